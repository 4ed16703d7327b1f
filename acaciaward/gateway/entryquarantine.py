"""Builds what an entry knows of requests and parts of prompts that crash endpoints."""

import time
from collections import abc

from acaciaward.membership import rendezvous
from acaciaward.platform import store, topics
from acaciaward.quarantine import promptparts, suspects, suspicionstore

SUSPICIONS_TOPIC = "keyed.acaciaward.suspicions"


class EntryQuarantine:
    """
    The suspicions of one entry; ``store`` keeps them over a loss of all entries.

    ``serving_entries`` returns the names of the entries that serve callers, one of
    which writes the suspicions of all; ``now`` returns Unix time in seconds.
    """

    def __init__(
        self,
        name: str,
        platform_store: store.Store,
        serving_entries: abc.Callable[[], list[str]],
        *,
        now: abc.Callable[[], float],
    ):
        self._name = name
        self._serving_entries = serving_entries
        self.suspects = suspects.Suspects(time.monotonic)
        self.prompt_parts = promptparts.PromptParts(
            time.monotonic, name, serving_entries
        )
        self.store = suspicionstore.SuspicionStore(
            topics.KeyedTopic(platform_store, SUSPICIONS_TOPIC),
            self.suspects,
            self.prompt_parts,
            is_writer=self._is_writer,
            now=now,
            era=lambda: platform_store.era,
        )

    def _is_writer(self) -> bool:
        names = {*self._serving_entries(), self._name}
        return rendezvous.choose("suspicions", names, 1) == [self._name]
