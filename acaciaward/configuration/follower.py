"""
Follows the configuration stream and keeps the view in force at this entry.

One task reads records, from the log or from a peer that reads the log, and
replays them. Another asks the peers while the log can't confirm that the view
is current.
"""

import asyncio
import logging
import random
import time
import typing
from collections import abc

import prometheus_client

from acaciaward import documents, errors, requests
from acaciaward.configuration import (
    document,
    history as patch_history,
    joining,
    messages,
    peering,
    recent,
    replay,
    snapshots,
    submission,
)
from acaciaward.observability import logs
from acaciaward.provider import interfaces as provider_interfaces

log = logging.getLogger(__name__)

BACKOFF_S = 0.1
BACKOFF_MAX_S = 2.0
NEVER = float("-inf")
RENEW_SHARE_OF_RETENTION = 0.25
RENEW_AFTER_RECORDS = 1000
SNAPSHOT_JITTER_SHARE = 0.2

VERSION = prometheus_client.Gauge(
    "acaciaward_configuration_version", "Configuration version in force here"
)
SKIPPED = prometheus_client.Gauge(
    "acaciaward_configuration_records_skipped",
    "Damaged or foreign records met on the configuration stream",
)


class LogConfiguration:
    """Implements ``interfaces.Configuration`` from the platform's log."""

    def __init__(
        self,
        platform_log: provider_interfaces.Log,
        *,
        stream: str,
        poll_wait_s: float,
        current_bound_s: float,
        in_force_wait_s: float = 5.0,
        outcome_wait_s: float = 5.0,
        retention_s: float = 86400.0,
        peers: peering.PeerSide | None = None,
        chooser: random.Random | None = None,
    ):
        self._log = platform_log
        self._stream = stream
        self._poll_wait_s = poll_wait_s
        self._current_bound_s = current_bound_s
        self._renew_after_s = retention_s * RENEW_SHARE_OF_RETENTION
        self._peers = peers
        self._random = chooser or random.Random()
        self._replay = replay.Replay()
        self._recent = recent.RecentRecords()
        self._renewal = self._make_renewal()
        self._listeners: list[abc.Callable[[documents.View], None]] = []
        self._has_state = False
        self._is_halted = False
        self._confirmed_at = NEVER
        self._peers_confirmed_at = NEVER
        self._log_time = 0.0
        self._next_direct_read = 0.0
        self._snapshot_at: float | None = None
        self._changed = asyncio.Condition()
        self._endpoints: dict[str, list[requests.Endpoint]] = {}
        self._submission = submission.Submission(
            self,
            platform_log,
            stream,
            peers,
            outcome_wait_s=outcome_wait_s,
            in_force_wait_s=in_force_wait_s,
        )

    def _make_renewal(self) -> snapshots.RenewalClock:
        return snapshots.RenewalClock(
            renew_after_s=self._renew_after_s, renew_after_records=RENEW_AFTER_RECORDS
        )

    @property
    def view(self) -> documents.View:
        """The newest accepted version."""
        return self._replay.view

    @property
    def is_current(self) -> bool:
        """Whether the log or the peers confirmed the view within the bound."""
        is_usable = self._has_state and not self._is_halted
        return is_usable and self._age_s() <= self._current_bound_s

    @property
    def replayed(self) -> replay.Replay | None:
        """The replayed state, None while this entry has none."""
        return self._replay if self._has_state else None

    @property
    def recent(self) -> recent.RecentRecords:
        """The newest records in memory."""
        return self._recent

    @property
    def renewal(self) -> snapshots.RenewalClock:
        """The age of the newest snapshot."""
        return self._renewal

    @property
    def log_time(self) -> float:
        """The log's clock at the last read."""
        return self._log_time

    @property
    def confirmed_at(self) -> float:
        """When the log last confirmed the view, in the loop's seconds."""
        return self._confirmed_at

    @property
    def history(self) -> list[patch_history.HistoryEntry]:
        """The accepted patches that are still known, oldest first."""
        return self._replay.history.entries

    def diff(self, older: int, newer: int) -> dict[str, typing.Any]:
        """
        Return the merge patch that leads from one version to another.

        Raises ``NotFoundError`` for versions that are ahead or forgotten.
        """
        return self._replay.history.diff(older, newer, self.view)

    def changes_since(self, version: int) -> tuple[patch_history.HistoryEntry, ...]:
        """Return the known patches that were accepted after a version."""
        return self._replay.history.since(version)

    def known(self, patch_id: str) -> replay.KnownPatch | None:
        """Return what became of a patch, or None if its id isn't known."""
        return self._replay.known(patch_id)

    def outcome(self, patch_id: str) -> replay.PatchOutcome | None:
        """Return the outcome of a patch, or None if it isn't known."""
        return self._replay.outcome(patch_id)

    def endpoints(self, deployment: str) -> list[requests.Endpoint]:
        """Return the endpoints of a deployment, empty if there is none."""
        if deployment not in self._endpoints:
            found = document.endpoints_of(self.view.document, deployment)
            self._endpoints[deployment] = found
        return self._endpoints[deployment]

    def subscribe(self, listener: abc.Callable[[documents.View], None]) -> None:
        """Call a listener with each new view."""
        self._listeners.append(listener)

    def _age_s(self) -> float:
        confirmed = max(self._confirmed_at, self._peers_confirmed_at)
        return time.monotonic() - confirmed

    def _log_age_s(self) -> float:
        return time.monotonic() - self._confirmed_at

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            if self._peers is not None:
                group.create_task(self._confirm_with_peers())

    async def _follow(self) -> None:
        failures = 0
        while True:
            try:
                await self._take_step()
                failures = 0
            except replay.NewerRulesError as error:
                self._halt(error)
            except (errors.PlatformError, errors.PeerUnreachableError) as error:
                log.warning("configuration unread", extra=logs.fields(error=error))
            else:
                continue
            await asyncio.sleep(self._backoff_s(failures))
            failures += 1

    def _backoff_s(self, failures: int) -> float:
        # Full jitter, so that entries don't come back in step after an outage.
        highest = min(BACKOFF_MAX_S, BACKOFF_S * 2 ** min(failures, 16))
        return self._random.uniform(0.0, highest)

    def _halt(self, error: replay.NewerRulesError) -> None:
        if not self._is_halted:
            log.error("configuration not understood", extra=logs.fields(error=error))
        self._is_halted = True

    async def _take_step(self) -> None:
        if not self._has_state:
            await self._join()
        elif self._reads_log():
            await self._read_log()
        else:
            await self._read_peer()

    def _reads_log(self) -> bool:
        if self._peers is None or self._peers.is_reader:
            return True
        # A peer that can't confirm either may have lost the log alone; asking
        # the log itself stays rare, so that an outage brings no crowd.
        now = time.monotonic()
        is_due = self._log_age_s() > self._current_bound_s * 0.6
        if is_due and now >= self._next_direct_read:
            pause_s = self._current_bound_s * self._random.uniform(0.5, 1.5)
            self._next_direct_read = now + pause_s
            return True
        return False

    async def _join(self) -> None:
        joined = await joining.join(
            self._log,
            self._stream,
            self._peers,
            oldest=self._replay,
            renewal=self._make_renewal(),
        )
        version = self.view.version
        self._replay = joined.replay
        self._renewal = joined.renewal
        self._recent.clear(joined.replay.next_offset)
        self._has_state = True
        if joined.confirmed_at is not None:
            self._confirmed_at = joined.confirmed_at
            self._log_time = joined.log_time
        log.info(
            "configuration state taken",
            extra=logs.fields(version=self.view.version, source=joined.source),
        )
        if self.view.version != version:
            self._announce()
        await self._notify()

    async def _read_log(self) -> None:
        asked = time.monotonic()
        wanted = self._replay.next_offset
        try:
            page = await self._log.read(self._stream, wanted, wait_s=self._poll_wait_s)
        except errors.RecordsExpiredError:
            # This process slept longer than the log retains records.
            self._has_state = False
            raise
        if page.next_offset < wanted:
            raise errors.PlatformUnknownError("the log lost records that were read")
        self._log_time = page.time
        await self._take_records(page.records)
        if self._replay.next_offset >= page.next_offset:
            self._confirmed_at = max(self._confirmed_at, asked)
        await self._notify()
        await self._renew_snapshot()

    async def _read_peer(self) -> None:
        asked = time.monotonic()
        answer = await self._peers.read(self._replay.next_offset, self._poll_wait_s)
        await self._take_answer(answer, asked)

    async def _take_answer(self, answer: messages.ReadAnswer, asked: float) -> None:
        if not answer["held"]:
            if answer["next_offset"] > self._replay.next_offset:
                self._has_state = False
            raise errors.PeerUnreachableError("the peer doesn't hold these records")
        found = [
            provider_interfaces.LogRecord(
                fields["offset"], fields["time"], fields["data"]
            )
            for fields in answer["records"]
        ]
        await self._take_records(found)
        if self._replay.next_offset >= answer["next_offset"]:
            # The answer left no earlier than it was asked for and waited.
            confirmed_at = asked + answer["waited_s"] - answer["age_s"]
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
        await self._notify()

    async def _take_records(
        self, found: typing.Sequence[provider_interfaces.LogRecord]
    ) -> None:
        version = self.view.version
        try:
            for record in found:
                self._take_record(record)
                # Judging a patch may take a while; requests go on in between.
                await asyncio.sleep(0)
        finally:
            SKIPPED.set(self._replay.skipped)
            if self.view.version != version:
                self._announce()

    def _take_record(self, record: provider_interfaces.LogRecord) -> None:
        if record.offset < self._replay.next_offset:
            return
        if record.offset > self._replay.next_offset:
            raise errors.PlatformUnknownError("records are missing in the answer")
        skipped = self._replay.skipped
        disagreeing = self._replay.disagreeing
        self._replay.apply(record)
        self._recent.add(record)
        self._renewal.note(record)
        if self._replay.skipped != skipped:
            log.warning("record skipped", extra=logs.fields(offset=record.offset))
        if self._replay.disagreeing != disagreeing:
            log.error("snapshot disagrees", extra=logs.fields(offset=record.offset))

    def _announce(self) -> None:
        self._endpoints = {}
        VERSION.set(self.view.version)
        log.info("configuration in force", extra=logs.fields(version=self.view.version))
        for listener in self._listeners:
            listener(self.view)

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _renew_snapshot(self) -> None:
        if not self._renewal.is_due(self._replay.next_offset, self._log_time):
            self._snapshot_at = None
            return
        now = time.monotonic()
        if self._snapshot_at is None:
            # The first to wake writes; the others see its record in time.
            jitter_s = self._renew_after_s * SNAPSHOT_JITTER_SHARE
            self._snapshot_at = now + self._random.uniform(0.0, jitter_s)
        if now < self._snapshot_at:
            return
        self._snapshot_at = None
        await self._log.append(self._stream, [snapshots.make(self._replay)])
        log.info("snapshot written", extra=logs.fields(version=self.view.version))

    async def _confirm_with_peers(self) -> None:
        pause_s = self._current_bound_s / 5
        while True:
            await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.0))
            is_doubtful = self._log_age_s() > self._current_bound_s / 2
            if self._has_state and is_doubtful:
                await self._confirm_once()

    async def _confirm_once(self) -> None:
        asked = time.monotonic()
        answers, is_majority = await self._peers.hear_data_centres()
        ahead = max(answers, key=lambda answer: answer.next_offset, default=None)
        if ahead is not None and ahead.next_offset > self._replay.next_offset:
            await self._catch_up_from(ahead.name)
        newest = max((answer.next_offset for answer in answers), default=0)
        if is_majority and self._replay.next_offset >= newest:
            self._peers_confirmed_at = max(self._peers_confirmed_at, asked)
            await self._notify()

    async def _catch_up_from(self, name: str) -> None:
        asked = time.monotonic()
        try:
            answer = await self._peers.read_from(name, self._replay.next_offset, 0.0)
            await self._take_answer(answer, asked)
        except (errors.PlatformError, errors.PeerUnreachableError) as error:
            log.warning("peer's records unread", extra=logs.fields(error=error))
        except replay.NewerRulesError as error:
            self._halt(error)

    async def wait_until_current(self, timeout_s: float) -> bool:
        """Return whether the view became current in time."""
        return await self.wait_for(lambda: self.is_current, timeout_s)

    async def wait_for(
        self, condition: abc.Callable[[], bool], timeout_s: float
    ) -> bool:
        """Return whether a condition on the replayed state came true in time."""
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(condition)
        except TimeoutError:
            return condition()
        return True

    async def submit(
        self,
        *,
        base: int,
        author: str,
        changes: dict[str, typing.Any],
        patch_id: str | None = None,
    ) -> replay.PatchOutcome:
        """Append a patch and return what the log's order decided; see there."""
        if self._is_halted:
            raise errors.NotCurrentError("the stream is newer than this entry")
        return await self._submission.submit(base, author, changes, patch_id)
