"""
Which prompt prefixes the engines hold, learnt from their cache events.

A prompt is cut into blocks of ``BLOCK_TOKENS`` tokens, each named by a hash over
the salt and everything up to its end, as the engines do. The salt differs for
each organisation, so nobody's blocks tell of another's. Events come late and
with gaps: a block that was sent is taken as held until an event says otherwise,
after a gap only what has been confirmed since counts, and all of it expires.
"""

import collections
import hashlib
import time
from collections import abc

from acaciaward.endpoints import interfaces as endpoints_interfaces

BLOCK_TOKENS = 16
MAX_BLOCKS = 4096
MAX_NAMED_BLOCKS = 256
BLOCK_LIFETIME_S = 120.0


def block_names(prompt: str, salt: str) -> list[str]:
    """Return the names of the whole blocks of a prompt, from the front."""
    words = prompt.split()
    last = min(len(words), BLOCK_TOKENS * MAX_NAMED_BLOCKS)
    digest = hashlib.sha256(salt.encode())
    names = []
    for end in range(BLOCK_TOKENS, last + 1, BLOCK_TOKENS):
        digest.update(" ".join(words[end - BLOCK_TOKENS : end]).encode())
        names.append(digest.hexdigest()[:16])
    return names


class HeldBlocks:
    """The blocks that one engine is believed to hold."""

    def __init__(self, *, clock: abc.Callable[[], float] = time.monotonic):
        self._clock = clock
        self._blocks: collections.OrderedDict[str, float] = collections.OrderedDict()
        self.next_offset = 0

    def note_sent(self, names: abc.Iterable[str]) -> None:
        """Take the blocks of a prompt that was sent there as held."""
        for name in names:
            self._hold(name)

    def note_events(
        self, events: abc.Sequence[endpoints_interfaces.CacheEvent]
    ) -> None:
        """Take events in; a gap makes everything known before it uncertain."""
        for event in events:
            if event.offset < self.next_offset:
                continue
            if event.offset > self.next_offset:
                self._blocks.clear()
            self.next_offset = event.offset + 1
            if event.stored:
                self._hold(event.block)
            else:
                self._blocks.pop(event.block, None)

    def cached_tokens(self, names: abc.Sequence[str]) -> int:
        """Return how many tokens at the front of a prompt are held."""
        oldest = self._clock() - BLOCK_LIFETIME_S
        hits = 0
        for name in names:
            if self._blocks.get(name, float("-inf")) < oldest:
                break
            hits += 1
        return hits * BLOCK_TOKENS

    def _hold(self, name: str) -> None:
        self._blocks[name] = self._clock()
        self._blocks.move_to_end(name)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)
