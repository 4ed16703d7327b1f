"""
Tracks which prompt prefixes the engines have cached, from their cache events.

A prompt is divided into blocks of ``BLOCK_TOKENS`` tokens, each named by a hash over
the salt and everything up to its end, as the engines do. The salt differs for each
organisation, so block names reveal nothing about another organisation's prompts.
Events arrive late and with gaps: a block that was sent is assumed to be cached until
an event says otherwise, a gap discards everything known before it, and every block
expires.
"""

import collections
import hashlib
import time
from collections import abc

from acaciaward.endpoints import interfaces as endpoints_interfaces

BLOCK_TOKENS = 16
# Remembered for each engine.
MAX_BLOCKS = 4096
# Named for one prompt, from its front.
MAX_NAMED_BLOCKS = 256
BLOCK_LIFETIME_S = 120.0


def block_names(prompt: str, salt: str) -> list[str]:
    """
    Return the names of the complete blocks of a prompt, from the front.

    Each word counts as one token.
    """
    words = prompt.split()
    last = min(len(words), BLOCK_TOKENS * MAX_NAMED_BLOCKS)
    digest = hashlib.sha256(salt.encode())
    names = []
    for end in range(BLOCK_TOKENS, last + 1, BLOCK_TOKENS):
        digest.update(" ".join(words[end - BLOCK_TOKENS : end]).encode())
        names.append(digest.hexdigest()[:16])
    return names


class CachedBlocks:
    """The blocks that one engine is assumed to have cached."""

    def __init__(self, *, clock: abc.Callable[[], float] = time.monotonic):
        self._clock = clock
        self._blocks: collections.OrderedDict[str, float] = collections.OrderedDict()
        self.next_offset = 0

    def record_sent(self, names: abc.Iterable[str]) -> None:
        """Record the blocks of a prompt that was sent to the engine as cached."""
        for name in names:
            self._add(name)

    def record_events(
        self, events: abc.Sequence[endpoints_interfaces.CacheEvent]
    ) -> None:
        """Apply cache events; a gap in their offsets discards all earlier blocks."""
        for event in events:
            if event.offset < self.next_offset:
                continue
            if event.offset > self.next_offset:
                self._blocks.clear()
            self.next_offset = event.offset + 1
            if event.stored:
                self._add(event.block)
            else:
                self._blocks.pop(event.block, None)

    def cached_tokens(self, names: abc.Sequence[str]) -> int:
        """Return how many tokens at the front of a prompt are cached."""
        oldest = self._clock() - BLOCK_LIFETIME_S
        hits = 0
        for name in names:
            if self._blocks.get(name, float("-inf")) < oldest:
                break
            hits += 1
        return hits * BLOCK_TOKENS

    def _add(self, name: str) -> None:
        self._blocks[name] = self._clock()
        self._blocks.move_to_end(name)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)
