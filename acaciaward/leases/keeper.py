"""
Holds duties by leases in the order of the log.

One task reads the lease stream and appends what is due: an acquisition when a
wanted duty is free, a renewal well before a lease lapses, a release when a duty
is given up. A lease counts here by the monotonic clock from before the append
was sent, so that a process that slept, or whose append lingered, never takes it
for longer than the log does.
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

# Clocks of two machines may run apart by this share of a lease.
CLOCK_MARGIN = 0.1
RENEW_SHARE = 0.4
READ_SHARE = 0.15
BACKOFF_S = 0.1
BACKOFF_MAX_S = 2.0
IDLE_S = 0.5
LEAVE_POLL_S = 0.02
HISTORY_S = replay.SETTLE_S + 1.0

EVENTS = prometheus_client.Counter(
    "acaciaward_lease_events_total", "What became of leases here", ["event"]
)


class _Own(typing.NamedTuple):
    """A lease of this process, in seconds of the monotonic clock."""

    nonce: str
    fence: int
    usable_from: float
    expires: float


class _Sent(typing.NamedTuple):
    """A record on its way, and the monotonic clock before it was sent."""

    duty: str
    nonce: str
    at: float


class LogLeases:
    """Implements ``interfaces.Leases`` over the platform's log."""

    def __init__(
        self,
        platform_log: provider_interfaces.Log,
        holder: str,
        *,
        stream: str,
        duration_s: float,
        order_timeout_s: float,
        is_candidate: abc.Callable[[str], bool] = lambda duty: True,
        chooser: random.Random | None = None,
    ):
        self._log = platform_log
        self._holder = holder
        self._stream = stream
        self._duration_s = duration_s
        self._order_timeout_s = order_timeout_s
        self._is_candidate = is_candidate
        self._random = chooser or random.Random()
        self._wanted: set[str] = set()
        self._own: dict[str, _Own] = {}
        self._sent: dict[str, _Sent] = {}
        self._holders: dict[str, str] = {}
        self._replay: replay.LeaseReplay | None = None
        self._log_time = 0.0

    def held(self, duty: str) -> interfaces.Lease | None:
        """Return the lease if this entry holds it now by the monotonic clock."""
        own = self._own.get(duty)
        if own is None or not own.usable_from <= time.monotonic() < own.expires:
            return None
        return interfaces.Lease(duty, self._holder, own.fence, own.expires)

    def want(self, duty: str) -> None:
        """Try to hold the duty from now on, renewing and taking over as needed."""
        self._wanted.add(duty)

    def give_up(self, duty: str) -> None:
        """Give the duty back; call it once no order is on its way any more."""
        self._wanted.discard(duty)

    async def leave(self, timeout_s: float) -> bool:
        """Give every duty back and return whether that was done in time."""
        self._wanted.clear()
        deadline = time.monotonic() + timeout_s
        while self._own and time.monotonic() < deadline:
            await asyncio.sleep(LEAVE_POLL_S)
        return not self._own

    async def run(self) -> None:
        """Read and append until cancelled."""
        failures = 0
        while True:
            try:
                await self._take_step()
                failures = 0
            except errors.PlatformError as error:
                log.warning("leases unread", extra=logs.fields(error=error))
                highest = min(BACKOFF_MAX_S, BACKOFF_S * 2 ** min(failures, 16))
                failures += 1
                await asyncio.sleep(self._random.uniform(0.0, highest))
            self._drop_lapsed()

    async def _take_step(self) -> None:
        # Entries that could not get a duty don't read, so that reads of the
        # log stay as few as candidates.
        if not self._own and not any(map(self._is_candidate, self._wanted)):
            self._replay = None
            await asyncio.sleep(IDLE_S)
            return
        if self._replay is None:
            self._replay = await self._begin()
        try:
            page = await self._log.read(
                self._stream,
                self._replay.next_offset,
                wait_s=self._duration_s * READ_SHARE,
            )
        except errors.RecordsExpiredError:
            self._replay = None
            raise
        for record in page.records:
            self._take_record(record)
        self._log_time = page.time
        is_whole = self._replay.next_offset >= page.next_offset
        if is_whole and self._replay.is_settled(page.time):
            await self._append_due()

    async def _begin(self) -> replay.LeaseReplay:
        """Begin where every lease that is in force now has a record after it."""
        try:
            page = await self._log.read(self._stream, 0, limit=1)
        except errors.RecordsExpiredError as error:
            first = error.first_offset
            page = await self._log.read(self._stream, first, limit=1)
        else:
            first = 0
        since = page.time - HISTORY_S
        low, high = first, page.next_offset
        while low < high:
            middle = (low + high) // 2
            page = await self._log.read(self._stream, middle, limit=1)
            if page.records and page.records[0].time < since:
                low = middle + 1
            else:
                high = middle
        if low == 0:
            return replay.LeaseReplay()
        page = await self._log.read(self._stream, low, limit=1)
        begins_at_first = low == first and bool(page.records)
        began = page.records[0].time if begins_at_first else since
        return replay.LeaseReplay(low, began)

    def _take_record(self, record: provider_interfaces.LogRecord) -> None:
        took_effect = self._replay.apply(record)
        data = record.data
        if messages.kind_of(data) is None:
            log.warning("record skipped", extra=logs.fields(offset=record.offset))
            return
        duty = data["duty"]
        self._note_holder(duty)
        sent = self._sent.pop(data["id"], None)
        if sent is None:
            return
        if not took_effect:
            EVENTS.labels("refused").inc()
            return
        self._take_own(data["kind"], sent)

    def _note_holder(self, duty: str) -> None:
        newest = self._replay.newest(duty)
        holder = newest.holder if newest else ""
        before = self._holders.get(duty, "")
        if holder and holder != before:
            is_takeover = not newest.is_clean
            event = "taken over" if is_takeover else "granted"
            EVENTS.labels(event.replace(" ", "_")).inc()
            log.info(
                f"lease {event}",
                extra=logs.fields(duty=duty, holder=holder, before=before),
            )
        self._holders[duty] = holder

    def _take_own(self, kind: str, sent: _Sent) -> None:
        if kind == "release":
            self._own.pop(sent.duty, None)
            return
        newest = self._replay.newest(sent.duty)
        expires = sent.at + self._duration_s * (1 - CLOCK_MARGIN)
        own = self._own.get(sent.duty)
        if own is None or own.nonce != sent.nonce:
            # An order that the last holder sent just before its lease ended may
            # still be on its way.
            wait_s = 0.0 if newest.is_clean else self._order_timeout_s
            usable_from = time.monotonic() + wait_s
        else:
            usable_from = own.usable_from
        self._own[sent.duty] = _Own(newest.nonce, newest.fence, usable_from, expires)

    def _drop_lapsed(self) -> None:
        now = time.monotonic()
        for duty, own in list(self._own.items()):
            if now >= own.expires:
                del self._own[duty]
                EVENTS.labels("lapsed").inc()
                log.warning(
                    "lease lapsed", extra=logs.fields(duty=duty, fence=own.fence)
                )
        oldest = now - messages.MAX_DURATION_S
        late = [name for name, sent in self._sent.items() if sent.at < oldest]
        for name in late:
            del self._sent[name]

    async def _append_due(self) -> None:
        now = time.monotonic()
        due = [self._renewal(duty) for duty in self._duties_to_renew(now)]
        due += [self._release(duty) for duty in self._own if duty not in self._wanted]
        due += [self._acquisition(duty) for duty in self._duties_to_acquire()]
        if not due:
            return
        for record in due:
            sent = _Sent(record["duty"], record["nonce"], now)
            self._sent[record["id"]] = sent
        await self._log.append(self._stream, due)

    def _duties_to_renew(self, now: float) -> list[str]:
        left_s = self._duration_s * (1 - RENEW_SHARE)
        return [
            duty
            for duty, own in self._own.items()
            if duty in self._wanted
            and now < own.expires < now + left_s
            and not self._is_under_way(duty, now)
        ]

    def _duties_to_acquire(self) -> list[str]:
        now = time.monotonic()
        return [
            duty
            for duty in sorted(self._wanted)
            if duty not in self._own
            and self._is_candidate(duty)
            and self._replay.is_free(duty, self._log_time)
            and not self._is_under_way(duty, now)
        ]

    def _is_under_way(self, duty: str, now: float) -> bool:
        # What has not come back by then is sent anew; both may land.
        recent = now - self._duration_s * READ_SHARE
        return any(
            sent.duty == duty and sent.at > recent for sent in self._sent.values()
        )

    def _common(self, kind: str, duty: str, nonce: str) -> dict[str, typing.Any]:
        return {
            "kind": kind,
            "rules": messages.RULES,
            "id": uuid.uuid4().hex,
            "duty": duty,
            "holder": self._holder,
            "nonce": nonce,
        }

    def _acquisition(self, duty: str) -> messages.AcquireRecord:
        common = self._common("acquire", duty, uuid.uuid4().hex)
        return {**common, "duration_s": float(self._duration_s)}

    def _renewal(self, duty: str) -> messages.RenewRecord:
        own = self._own[duty]
        common = self._common("renew", duty, own.nonce)
        return {**common, "fence": own.fence, "duration_s": float(self._duration_s)}

    def _release(self, duty: str) -> messages.ReleaseRecord:
        own = self._own[duty]
        return {**self._common("release", duty, own.nonce), "fence": own.fence}
