"""
Decides from relays whether this entry needs to read the configuration in the store.

It doesn't while its reader, the entry that reads the store for its data centre, has
read lately and has no newer version. One that has a newer version passes it on, and
the entry reads the store only if that takes too long.
"""

import math
import time
from collections import abc

# An entry reads the store itself if the reader's knowledge is older than this.
MAX_AGE_S = 1.3
# A newer version is expected from peers for this long. After the reader's read (a round
# trip of up to 0.25 s), the next relay and a check of the follower (0.25 and 0.1 s)
# that leaves 0.6 s of two for an own read.
PEERS_TIMEOUT_S = 0.75
# The newer version may have been acknowledged at any time since the last read without
# it. Counted from then, this leaves half a second of two for an own read.
MAX_AGE_WITHOUT_S = 1.5


class ReaderConfiguration:
    """What relays say of the reader's configuration; times are monotonic seconds."""

    def __init__(
        self,
        own_version: abc.Callable[[], int],
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        # When the reader last read the configuration.
        self.read_at = -math.inf
        self._own_version = own_version
        self._clock = clock
        self._version = -1
        # When the reader last read it without a version newer than this entry's.
        self._known_until = -math.inf
        self._newer_since: float | None = None

    @property
    def is_newer(self) -> bool:
        """Whether the reader has a newer version than this entry."""
        return self._version > self._own_version()

    @property
    def is_relied_on(self) -> bool:
        """Whether this entry needs no reads of its own."""
        now = self._clock()
        if now - self.read_at >= MAX_AGE_S:
            return False
        if not self.is_newer:
            return True
        return now < min(
            self._newer_since + PEERS_TIMEOUT_S, self._known_until + MAX_AGE_WITHOUT_S
        )

    def receive(self, version: int, age_s: float) -> None:
        """Receive the reader's version, and the age of its read, in a relay."""
        # This entry may have got the version of the relay before meanwhile.
        self._record_known()
        self._version = version
        self.read_at = self._clock() - age_s
        self._record_known()
        if self.is_newer and self._newer_since is None:
            self._newer_since = self._clock()

    def _record_known(self) -> None:
        if not self.is_newer:
            self._newer_since = None
            self._known_until = self.read_at
