"""
Replays lease records to determine which entry holds which duty.

Only the order and the timestamps of the log count. A lease lasts for its duration
from the timestamp of the record that granted or last renewed it. The next one is
granted only at a record by whose timestamp the lease has lapsed, or after its
release. So no two leases of a duty overlap by the log's clock, and fences rise.

A replay that starts in the middle of the stream at first accepts a renewal of a
grant that it has not seen, because the grant may have expired from the log. It is
not settled, and nobody may act on it, until such a renewal can no longer have
misled it.
"""

import typing

from acaciaward.leases import messages
from acaciaward.provider import interfaces as provider_interfaces

SETTLE_S = 3 * messages.MAX_DURATION_S


class GrantedLease(typing.NamedTuple):
    """
    The newest lease of a duty.

    ``until`` is the log's time at which it lapses. ``is_clean`` means that the
    previous lease was released or that there was none, so no order from an earlier
    holder can still be in flight.
    """

    holder: str
    nonce: str
    fence: int
    until: float
    is_clean: bool


class LeaseReplay:
    """
    The leases according to all records before ``next_offset``.

    ``start_time`` is the log's time from which on every record is replayed, or
    None if the replay covers the stream from its beginning.
    """

    def __init__(self, next_offset: int = 0, start_time: float | None = None):
        self._next_offset = next_offset
        self._start_time = start_time
        self._leases: dict[str, GrantedLease] = {}
        self._released: set[str] = set()
        self._time = 0.0
        self._skipped = 0

    @property
    def next_offset(self) -> int:
        """The offset of the first record that hasn't been replayed."""
        return self._next_offset

    @property
    def skipped(self) -> int:
        """Number of corrupted or foreign records."""
        return self._skipped

    def newest(self, duty: str) -> GrantedLease | None:
        """Return the newest lease of a duty, lapsed or not; None once released."""
        return None if duty in self._released else self._leases.get(duty)

    def is_free(self, duty: str, now: float) -> bool:
        """Return whether the duty is free at the log's time ``now``."""
        lease = self.newest(duty)
        return lease is None or max(now, self._time) >= lease.until

    def is_settled(self, now: float) -> bool:
        """Return whether every lease in force at the log's time ``now`` is known."""
        # For one maximum duration after the start, a renewal that was too late may be
        # accepted wrongly. A grant that is refused because of it lies within the second
        # duration, and that grant lapses or is renewed within the third.
        return self._start_time is None or now >= self._start_time + SETTLE_S

    def apply(self, record: provider_interfaces.LogRecord) -> bool:
        """Replay the next record and return whether it took effect."""
        if record.offset < self._next_offset:
            return False
        self._next_offset = record.offset + 1
        kind = messages.valid_kind_of(record.data)
        if kind is None:
            self._skipped += 1
            return False
        # If the log's clock is set back, no lease may become longer.
        self._time = max(self._time, record.time)
        appliers = {
            "acquire": self._acquire,
            "renew": self._renew,
            "release": self._release,
        }
        return appliers[kind](record.offset, record.data)

    def _acquire(self, offset: int, data: messages.AcquireRecord) -> bool:
        duty = data["duty"]
        if not self.is_free(duty, self._time):
            return False
        is_clean = self.newest(duty) is None
        self._released.discard(duty)
        self._leases[duty] = GrantedLease(
            data["holder"],
            data["nonce"],
            offset,
            self._time + data["duration_s"],
            is_clean,
        )
        return True

    def _renew(self, offset: int, data: messages.RenewRecord) -> bool:
        duty = data["duty"]
        lease = self._leases.get(duty)
        until = self._time + data["duration_s"]
        is_unknown = lease is None or lease.fence < data["fence"]
        if is_unknown and self._may_trust_unknown_grant() and data["fence"] < offset:
            self._released.discard(duty)
            self._leases[duty] = GrantedLease(
                data["holder"], data["nonce"], data["fence"], until, False
            )
            return True
        if lease is None:
            return False
        is_same = lease.fence == data["fence"] and lease.nonce == data["nonce"]
        if not is_same or self.is_free(duty, self._time):
            return False
        self._leases[duty] = lease._replace(until=max(lease.until, until))
        return True

    def _may_trust_unknown_grant(self) -> bool:
        if self._start_time is None:
            return False
        return self._time < self._start_time + messages.MAX_DURATION_S

    def _release(self, offset: int, data: messages.ReleaseRecord) -> bool:
        duty = data["duty"]
        lease = self.newest(duty)
        is_same = lease is not None and lease.fence == data["fence"]
        if not is_same or lease.nonce != data["nonce"]:
            return False
        self._released.add(duty)
        return True
