"""
Holds back lost connections that a cut explains better than parts of prompts do.

A part that crashes endpoints is in a call at most of those that an entry loses. An
entry that loses several at once, under calls that have no part in common, may be cut
off from endpoints that go on. It waits for what others hear from them.
"""

import collections
import typing
from collections import abc

# So many endpoints lost within this time without any of a call's possible causes may be
# a cut that lost the call, too.
LOST_IN_CUT = 3
BURST_S = 1.0
# How long losses in a cut are held back: a crash and an answer are told in turn.
HOLD_S = 3.0
# Bound on the losses that are remembered.
MAX_LOSSES = 256


class Loss(typing.NamedTuple):
    """
    An endpoint, when it was lost, and the parts of the call that it ran.

    ``causes`` are the parts that weren't served shortly before.
    """

    endpoint: str
    at: float
    parts: frozenset[str]
    causes: frozenset[str]


class Cuts:
    """The endpoints that one entry lost itself, lately."""

    def __init__(self):
        self._recent: collections.deque[Loss] = collections.deque(maxlen=MAX_LOSSES)
        self._held: collections.deque[Loss] = collections.deque(maxlen=MAX_LOSSES)

    def record(self, loss: Loss, *, is_doubtful: bool = False) -> bool:
        """
        Record a loss; return whether it counts now, otherwise it is held back.

        A loss that ``is_doubtful`` is held back in any case.
        """
        self._recent.append(loss)
        while self._recent[0].at < loss.at - BURST_S:
            self._recent.popleft()
        if not is_doubtful and not self._is_cut(loss):
            return True
        self._held.append(loss)
        return False

    def take_due(self, now: float) -> abc.Iterator[Loss]:
        """Return the losses that were held back for long enough."""
        while self._held and self._held[0].at <= now - HOLD_S:
            yield self._held.popleft()

    def _is_cut(self, loss: Loss) -> bool:
        together = {
            known.endpoint for known in self._recent if loss.causes & known.causes
        }
        lost = {known.endpoint for known in self._recent}
        return len(lost - together - {loss.endpoint}) >= LOST_IN_CUT
