"""
Replays lease records into who holds which duty.

Only the log's order and the log's own times decide. A lease lasts from the time
of the record that granted or renewed it; the next one is granted at a record of
a time at which it has lapsed, or after its release. So no two leases of a duty
overlap by the log's clock, and fences rise.

A replay that begins inside the stream takes a renewal of an unknown grant for
true in its first moments, since the grant may have expired from the log. Until
that can have misled it no longer, it is not settled and nobody may act on it.
"""

import typing

from acaciaward.leases import messages
from acaciaward.provider import interfaces as provider_interfaces

SETTLE_S = 3 * messages.MAX_DURATION_S


class Held(typing.NamedTuple):
    """
    The newest lease of a duty.

    ``until`` is the log's time at which it lapses. ``is_clean`` says that the
    lease before it was released, or that there was none, so that no order of an
    earlier holder can be on its way.
    """

    holder: str
    nonce: str
    fence: int
    until: float
    is_clean: bool


class LeaseReplay:
    """
    The leases after the records up to ``next_offset``.

    ``began`` is the log's time from which on every record is replayed, None
    when that is the whole stream.
    """

    def __init__(self, next_offset: int = 0, began: float | None = None):
        self._next_offset = next_offset
        self._began = began
        self._leases: dict[str, Held] = {}
        self._released: set[str] = set()
        self._time = 0.0
        self._skipped = 0

    @property
    def next_offset(self) -> int:
        """The offset of the first record that hasn't been replayed."""
        return self._next_offset

    @property
    def skipped(self) -> int:
        """Number of damaged or foreign records."""
        return self._skipped

    def newest(self, duty: str) -> Held | None:
        """Return the newest lease of a duty, lapsed or not; None once released."""
        return None if duty in self._released else self._leases.get(duty)

    def is_free(self, duty: str, now: float) -> bool:
        """Return whether the duty is free at a time of the log."""
        held = self.newest(duty)
        return held is None or max(now, self._time) >= held.until

    def is_settled(self, now: float) -> bool:
        """Return whether every lease in force at a time of the log is known."""
        # A renewal that came too late may be believed for one duration after
        # the beginning; a grant refused for its sake lies within the second,
        # and lapses or is renewed within the third.
        return self._began is None or now >= self._began + SETTLE_S

    def apply(self, record: provider_interfaces.LogRecord) -> bool:
        """Replay the next record and return whether it took effect."""
        if record.offset < self._next_offset:
            return False
        self._next_offset = record.offset + 1
        kind = messages.kind_of(record.data)
        if kind is None:
            self._skipped += 1
            return False
        # A log whose clock is set back must not lengthen a lease.
        self._time = max(self._time, record.time)
        apply = {
            "acquire": self._acquire,
            "renew": self._renew,
            "release": self._release,
        }
        return apply[kind](record.offset, record.data)

    def _acquire(self, offset: int, data: messages.AcquireRecord) -> bool:
        duty = data["duty"]
        if not self.is_free(duty, self._time):
            return False
        is_clean = self.newest(duty) is None
        self._released.discard(duty)
        self._leases[duty] = Held(
            data["holder"],
            data["nonce"],
            offset,
            self._time + data["duration_s"],
            is_clean,
        )
        return True

    def _renew(self, offset: int, data: messages.RenewRecord) -> bool:
        duty = data["duty"]
        held = self._leases.get(duty)
        until = self._time + data["duration_s"]
        is_unknown = held is None or held.fence < data["fence"]
        if is_unknown and self._may_have_begun_before() and data["fence"] < offset:
            self._released.discard(duty)
            self._leases[duty] = Held(
                data["holder"], data["nonce"], data["fence"], until, False
            )
            return True
        if held is None:
            return False
        is_same = held.fence == data["fence"] and held.nonce == data["nonce"]
        if not is_same or self.is_free(duty, self._time):
            return False
        self._leases[duty] = held._replace(until=max(held.until, until))
        return True

    def _may_have_begun_before(self) -> bool:
        if self._began is None:
            return False
        return self._time < self._began + messages.MAX_DURATION_S

    def _release(self, offset: int, data: messages.ReleaseRecord) -> bool:
        duty = data["duty"]
        held = self.newest(duty)
        is_same = held is not None and held.fence == data["fence"]
        if not is_same or held.nonce != data["nonce"]:
            return False
        self._released.add(duty)
        return True
