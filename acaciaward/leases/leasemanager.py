"""
Acquires, renews and releases leases of duties through records in the log.

One task reads the lease stream and appends the records that are due: an acquisition
when a requested duty is free, a renewal well before a lease lapses, and a release when
the duty is no longer requested. This process counts a lease by its monotonic clock from
before it sent the append. So if the process was suspended or the append was delayed,
it never considers the lease held for longer than the log does.
"""

import asyncio
import logging
import random
import time
import typing
import uuid
from collections import abc

import prometheus_client

from acaciaward import errors
from acaciaward.leases import interfaces, messages, replay
from acaciaward.observability import logs
from acaciaward.provider import interfaces as provider_interfaces

log = logging.getLogger(__name__)

# Clocks of two instances may drift apart by this fraction of a lease.
CLOCK_MARGIN_FRACTION = 0.1
RENEW_AFTER_FRACTION = 0.4
READ_WAIT_FRACTION = 0.15
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 2.0
IDLE_PAUSE_S = 0.5
RELEASE_POLL_S = 0.02
REPLAY_HISTORY_S = replay.SETTLE_S + 1.0

EVENTS = prometheus_client.Counter(
    "acaciaward_lease_events_total", "What became of leases here", ["event"]
)


class _OwnLease(typing.NamedTuple):
    """A lease of this process; times are in seconds of the monotonic clock."""

    nonce: str
    fence: int
    usable_from: float
    expires: float


class _PendingRecord(typing.NamedTuple):
    """A record not read back yet; ``sent_at`` is the monotonic clock before sending."""

    duty: str
    nonce: str
    sent_at: float


class LogLeases:
    """Implements ``interfaces.Leases`` on the platform's log."""

    def __init__(
        self,
        platform_log: provider_interfaces.Log,
        holder: str,
        *,
        stream: str,
        duration_s: float,
        order_timeout_s: float,
        is_candidate: abc.Callable[[str], bool] = lambda duty: True,
        rng: random.Random | None = None,
    ):
        self._log = platform_log
        self._holder = holder
        self._stream = stream
        self._duration_s = duration_s
        self._order_timeout_s = order_timeout_s
        self._is_candidate = is_candidate
        self._random = rng or random.Random()
        self._requested_duties: set[str] = set()
        self._own_leases: dict[str, _OwnLease] = {}
        self._pending_records: dict[str, _PendingRecord] = {}
        self._last_holders: dict[str, str] = {}
        self._replay: replay.LeaseReplay | None = None
        self._log_time = 0.0

    def held(self, duty: str) -> interfaces.Lease | None:
        """Return the lease if this entry holds it by the monotonic clock, else None."""
        own = self._own_leases.get(duty)
        if own is None or not own.usable_from <= time.monotonic() < own.expires:
            return None
        return interfaces.Lease(duty, self._holder, own.fence, own.expires)

    def request(self, duty: str) -> None:
        """Acquire the duty when it is free, and keep its lease renewed from then on."""
        self._requested_duties.add(duty)

    def release(self, duty: str) -> None:
        """Release the duty; call this only when no order for it is still in flight."""
        self._requested_duties.discard(duty)

    async def release_all(self, timeout_s: float) -> bool:
        """Release every duty; return whether that completed within the timeout."""
        self._requested_duties.clear()
        deadline = time.monotonic() + timeout_s
        while self._own_leases and time.monotonic() < deadline:
            await asyncio.sleep(RELEASE_POLL_S)
        return not self._own_leases

    async def run(self) -> None:
        """Read the lease stream and append due records until cancelled."""
        failures = 0
        while True:
            try:
                await self._step()
                failures = 0
            except errors.PlatformError as error:
                log.warning(
                    "lease stream read or append failed", extra=logs.fields(error=error)
                )
                max_delay_s = min(
                    BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(failures, 16)
                )
                failures += 1
                await asyncio.sleep(self._random.uniform(0.0, max_delay_s))
            self._drop_lapsed_leases()

    async def _step(self) -> None:
        # Entries that are not candidates don't read, so the number of readers of the
        # log is bounded by the number of candidates.
        if not self._own_leases and not any(
            map(self._is_candidate, self._requested_duties)
        ):
            self._replay = None
            await asyncio.sleep(IDLE_PAUSE_S)
            return
        if self._replay is None:
            self._replay = await self._start_replay()
        try:
            page = await self._log.read(
                self._stream,
                self._replay.next_offset,
                wait_s=self._duration_s * READ_WAIT_FRACTION,
            )
        except errors.RecordsExpiredError:
            self._replay = None
            raise
        for record in page.records:
            self._apply_record(record)
        self._log_time = page.time
        has_reached_end = self._replay.next_offset >= page.next_offset
        if has_reached_end and self._replay.is_settled(page.time):
            await self._append_due_records()

    async def _start_replay(self) -> replay.LeaseReplay:
        """Start early enough that each lease in force has a record in the replay."""
        try:
            page = await self._log.read(self._stream, 0, limit=1)
        except errors.RecordsExpiredError as error:
            first_offset = error.first_offset
            page = await self._log.read(self._stream, first_offset, limit=1)
        else:
            first_offset = 0
        history_start = page.time - REPLAY_HISTORY_S
        low, high = first_offset, page.next_offset
        while low < high:
            middle = (low + high) // 2
            page = await self._log.read(self._stream, middle, limit=1)
            if page.records and page.records[0].time < history_start:
                low = middle + 1
            else:
                high = middle
        if low == 0:
            return replay.LeaseReplay()
        page = await self._log.read(self._stream, low, limit=1)
        is_at_first_record = low == first_offset and bool(page.records)
        replay_start = page.records[0].time if is_at_first_record else history_start
        return replay.LeaseReplay(low, replay_start)

    def _apply_record(self, record: provider_interfaces.LogRecord) -> None:
        took_effect = self._replay.apply(record)
        data = record.data
        if messages.valid_kind_of(data) is None:
            log.warning(
                "invalid lease record skipped", extra=logs.fields(offset=record.offset)
            )
            return
        duty = data["duty"]
        self._record_holder(duty)
        pending = self._pending_records.pop(data["id"], None)
        if pending is None:
            return
        if not took_effect:
            EVENTS.labels("refused").inc()
            return
        self._update_own_lease(data["kind"], pending)

    def _record_holder(self, duty: str) -> None:
        newest = self._replay.newest(duty)
        holder = newest.holder if newest else ""
        previous = self._last_holders.get(duty, "")
        if holder and holder != previous:
            is_takeover = not newest.is_clean
            event = "taken over" if is_takeover else "granted"
            EVENTS.labels(event.replace(" ", "_")).inc()
            log.info(
                f"lease {event}",
                extra=logs.fields(duty=duty, holder=holder, before=previous),
            )
        self._last_holders[duty] = holder

    def _update_own_lease(self, kind: str, pending: _PendingRecord) -> None:
        if kind == "release":
            self._own_leases.pop(pending.duty, None)
            return
        newest = self._replay.newest(pending.duty)
        expires = pending.sent_at + self._duration_s * (1 - CLOCK_MARGIN_FRACTION)
        own = self._own_leases.get(pending.duty)
        if own is None or own.nonce != pending.nonce:
            # An order that the previous holder sent just before its lease ended may
            # still be in flight.
            wait_s = 0.0 if newest.is_clean else self._order_timeout_s
            usable_from = time.monotonic() + wait_s
        else:
            usable_from = own.usable_from
        self._own_leases[pending.duty] = _OwnLease(
            newest.nonce, newest.fence, usable_from, expires
        )

    def _drop_lapsed_leases(self) -> None:
        now = time.monotonic()
        for duty, own in list(self._own_leases.items()):
            if now >= own.expires:
                del self._own_leases[duty]
                EVENTS.labels("lapsed").inc()
                log.warning(
                    "lease lapsed", extra=logs.fields(duty=duty, fence=own.fence)
                )
        oldest = now - messages.MAX_DURATION_S
        expired_ids = [
            record_id
            for record_id, pending in self._pending_records.items()
            if pending.sent_at < oldest
        ]
        for record_id in expired_ids:
            del self._pending_records[record_id]

    async def _append_due_records(self) -> None:
        now = time.monotonic()
        due = [self._renewal(duty) for duty in self._duties_to_renew(now)]
        due += [
            self._release(duty)
            for duty in self._own_leases
            if duty not in self._requested_duties
        ]
        due += [self._acquisition(duty) for duty in self._duties_to_acquire()]
        if not due:
            return
        for record in due:
            pending = _PendingRecord(record["duty"], record["nonce"], now)
            self._pending_records[record["id"]] = pending
        await self._log.append(self._stream, due)

    def _duties_to_renew(self, now: float) -> list[str]:
        renew_below_s = self._duration_s * (1 - RENEW_AFTER_FRACTION)
        return [
            duty
            for duty, own in self._own_leases.items()
            if duty in self._requested_duties
            and now < own.expires < now + renew_below_s
            and not self._is_pending(duty, now)
        ]

    def _duties_to_acquire(self) -> list[str]:
        now = time.monotonic()
        return [
            duty
            for duty in sorted(self._requested_duties)
            if duty not in self._own_leases
            and self._is_candidate(duty)
            and self._replay.is_free(duty, self._log_time)
            and not self._is_pending(duty, now)
        ]

    def _is_pending(self, duty: str, now: float) -> bool:
        # A record that isn't read back within this time is sent again, so the log may
        # end up with both.
        oldest_pending_at = now - self._duration_s * READ_WAIT_FRACTION
        return any(
            pending.duty == duty and pending.sent_at > oldest_pending_at
            for pending in self._pending_records.values()
        )

    def _common_fields(self, kind: str, duty: str, nonce: str) -> dict[str, typing.Any]:
        return {
            "kind": kind,
            "rules": messages.RULES_VERSION,
            "id": uuid.uuid4().hex,
            "duty": duty,
            "holder": self._holder,
            "nonce": nonce,
        }

    def _acquisition(self, duty: str) -> messages.AcquireRecord:
        common = self._common_fields("acquire", duty, uuid.uuid4().hex)
        return {**common, "duration_s": float(self._duration_s)}

    def _renewal(self, duty: str) -> messages.RenewRecord:
        own = self._own_leases[duty]
        common = self._common_fields("renew", duty, own.nonce)
        return {**common, "fence": own.fence, "duration_s": float(self._duration_s)}

    def _release(self, duty: str) -> messages.ReleaseRecord:
        own = self._own_leases[duty]
        return {**self._common_fields("release", duty, own.nonce), "fence": own.fence}
