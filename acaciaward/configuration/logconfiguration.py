"""
Follows the configuration stream and maintains the view in force at this entry.

One task reads records, from the log or from a peer that reads the log, and
replays them. Another asks the peers whether the view is current while the log
can't confirm it.
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
        peers: peering.ConfigurationPeers | None = None,
        rng: random.Random | None = None,
    ):
        self._log = platform_log
        self._stream = stream
        self._poll_wait_s = poll_wait_s
        self._current_bound_s = current_bound_s
        self._renew_after_s = retention_s * RENEW_SHARE_OF_RETENTION
        self._peers = peers
        self._random = rng or random.Random()
        self._replay = replay.Replay()
        self._recent = recent.RecentRecords()
        self._renewal = self._make_renewal()
        self._listeners: list[abc.Callable[[documents.View], None]] = []
        self._has_state = False
        self._is_halted = False
        self._confirmed_at = NEVER
        self._peers_confirmed_at = NEVER
        self._log_time = 0.0
        self._next_direct_read_at = 0.0
        self._snapshot_due_at: float | None = None
        self._state_changed = asyncio.Condition()
        self._endpoints: dict[str, list[requests.Endpoint]] = {}
        self._submission = submission.Submission(
            self,
            platform_log,
            stream,
            peers,
            outcome_wait_s=outcome_wait_s,
            in_force_wait_s=in_force_wait_s,
        )

    def _make_renewal(self) -> snapshots.RenewalSchedule:
        return snapshots.RenewalSchedule(
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
    def renewal(self) -> snapshots.RenewalSchedule:
        """The age of the newest snapshot."""
        return self._renewal

    @property
    def log_time(self) -> float:
        """The log's clock at the last read."""
        return self._log_time

    @property
    def confirmed_at(self) -> float:
        """When the log last confirmed the view, as event loop time in seconds."""
        return self._confirmed_at

    @property
    def history(self) -> list[patch_history.AcceptedPatch]:
        """The accepted patches that are retained, oldest first."""
        return self._replay.history.patches

    def diff(self, older: int, newer: int) -> dict[str, typing.Any]:
        """
        Return the merge patch that leads from one version to another.

        Raises ``NotFoundError`` for future versions or ones no longer retained.
        """
        return self._replay.history.diff(older, newer, self.view)

    def changes_since(self, version: int) -> tuple[patch_history.AcceptedPatch, ...]:
        """Return the retained patches that were accepted after a version."""
        return self._replay.history.since(version)

    def known_patch(self, patch_id: str) -> replay.KnownPatch | None:
        """Return the record of a replayed patch, or None if its id isn't known."""
        return self._replay.known_patch(patch_id)

    def outcome(self, patch_id: str) -> replay.PatchOutcome | None:
        """Return the outcome of a patch, or None if it isn't known."""
        return self._replay.outcome(patch_id)

    def endpoints(self, deployment: str) -> list[requests.Endpoint]:
        """Return the endpoints of a deployment, empty if there is none."""
        if deployment not in self._endpoints:
            deployment_endpoints = document.endpoints_of(self.view.document, deployment)
            self._endpoints[deployment] = deployment_endpoints
        return self._endpoints[deployment]

    def subscribe(self, listener: abc.Callable[[documents.View], None]) -> None:
        """Call a listener with each new view."""
        self._listeners.append(listener)

    def _age_s(self) -> float:
        confirmed_at = max(self._confirmed_at, self._peers_confirmed_at)
        return time.monotonic() - confirmed_at

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
                await self._advance()
                failures = 0
            except replay.NewerRulesError as error:
                self._halt(error)
            except (errors.PlatformError, errors.PeerUnreachableError) as error:
                log.warning(
                    "could not read the configuration stream",
                    extra=logs.fields(error=error),
                )
            else:
                continue
            await asyncio.sleep(self._backoff_s(failures))
            failures += 1

    def _backoff_s(self, failures: int) -> float:
        # Full jitter, so that entries don't retry in lockstep after an outage.
        limit_s = min(BACKOFF_MAX_S, BACKOFF_S * 2 ** min(failures, 16))
        return self._random.uniform(0.0, limit_s)

    def _halt(self, error: replay.NewerRulesError) -> None:
        if not self._is_halted:
            log.error(
                "configuration halted: record needs a newer program",
                extra=logs.fields(error=error),
            )
        self._is_halted = True

    async def _advance(self) -> None:
        if not self._has_state:
            await self._join()
        elif self._may_read_log():
            await self._read_log()
        else:
            await self._read_peer()

    def _may_read_log(self) -> bool:
        """Return whether to read the log now; schedules the next direct read."""
        if self._peers is None or self._peers.is_reader:
            return True
        # If the reader doesn't confirm the view either, the log may be unreachable
        # from the reader alone. Direct reads stay rare, so that not all entries
        # read the log during an outage.
        now = time.monotonic()
        is_confirmation_old = self._log_age_s() > self._current_bound_s * 0.6
        if is_confirmation_old and now >= self._next_direct_read_at:
            pause_s = self._current_bound_s * self._random.uniform(0.5, 1.5)
            self._next_direct_read_at = now + pause_s
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
        self._recent.reset(joined.replay.next_offset)
        self._has_state = True
        if joined.confirmed_at is not None:
            self._confirmed_at = joined.confirmed_at
            self._log_time = joined.log_time
        log.info(
            "configuration state loaded",
            extra=logs.fields(version=self.view.version, source=joined.source),
        )
        if self.view.version != version:
            self._publish_view()
        await self._wake_waiters()

    async def _read_log(self) -> None:
        asked_at = time.monotonic()
        next_offset = self._replay.next_offset
        try:
            page = await self._log.read(
                self._stream, next_offset, wait_s=self._poll_wait_s
            )
        except errors.RecordsExpiredError:
            # This process was suspended for longer than the log retains records.
            self._has_state = False
            raise
        if page.next_offset < next_offset:
            raise errors.PlatformUnknownError(
                f"the log lost records: it ends at offset {page.next_offset}, "
                f"this entry has read to {next_offset}"
            )
        self._log_time = page.time
        await self._apply_records(page.records)
        if self._replay.next_offset >= page.next_offset:
            self._confirmed_at = max(self._confirmed_at, asked_at)
        await self._wake_waiters()
        await self._renew_snapshot()

    async def _read_peer(self) -> None:
        asked_at = time.monotonic()
        answer = await self._peers.read(self._replay.next_offset, self._poll_wait_s)
        await self._apply_answer(answer, asked_at)

    async def _apply_answer(self, answer: messages.ReadAnswer, asked_at: float) -> None:
        if not answer["held"]:
            if answer["next_offset"] > self._replay.next_offset:
                self._has_state = False
            raise errors.PeerUnreachableError(
                f"peer doesn't hold record {self._replay.next_offset}"
            )
        log_records = [
            provider_interfaces.LogRecord(
                record["offset"], record["time"], record["data"]
            )
            for record in answer["records"]
        ]
        await self._apply_records(log_records)
        if self._replay.next_offset >= answer["next_offset"]:
            # The peer answered no earlier than the request was sent plus its wait.
            confirmed_at = asked_at + answer["waited_s"] - answer["age_s"]
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
        await self._wake_waiters()

    async def _apply_records(
        self, log_records: typing.Sequence[provider_interfaces.LogRecord]
    ) -> None:
        version = self.view.version
        try:
            for record in log_records:
                self._apply_record(record)
                # Evaluating a patch may take long; let requests run in between.
                await asyncio.sleep(0)
        finally:
            SKIPPED.set(self._replay.skipped_count)
            if self.view.version != version:
                self._publish_view()

    def _apply_record(self, record: provider_interfaces.LogRecord) -> None:
        if record.offset < self._replay.next_offset:
            return
        if record.offset > self._replay.next_offset:
            raise errors.PlatformUnknownError(
                f"records {self._replay.next_offset} to {record.offset - 1} are missing"
            )
        skipped_count = self._replay.skipped_count
        mismatch_count = self._replay.mismatch_count
        self._replay.apply(record)
        self._recent.add(record)
        self._renewal.observe(record)
        if self._replay.skipped_count != skipped_count:
            log.warning(
                "skipped a corrupted or foreign configuration record",
                extra=logs.fields(offset=record.offset),
            )
        if self._replay.mismatch_count != mismatch_count:
            log.error(
                "snapshot version differs from the replayed version",
                extra=logs.fields(offset=record.offset),
            )

    def _publish_view(self) -> None:
        self._endpoints = {}
        VERSION.set(self.view.version)
        log.info("configuration in force", extra=logs.fields(version=self.view.version))
        for listener in self._listeners:
            listener(self.view)

    async def _wake_waiters(self) -> None:
        async with self._state_changed:
            self._state_changed.notify_all()

    async def _renew_snapshot(self) -> None:
        if not self._renewal.is_due(self._replay.next_offset, self._log_time):
            self._snapshot_due_at = None
            return
        now = time.monotonic()
        if self._snapshot_due_at is None:
            # Random delay: the first entry writes, the others then see its snapshot.
            jitter_s = self._renew_after_s * SNAPSHOT_JITTER_SHARE
            self._snapshot_due_at = now + self._random.uniform(0.0, jitter_s)
        if now < self._snapshot_due_at:
            return
        self._snapshot_due_at = None
        await self._log.append(self._stream, [snapshots.make(self._replay)])
        log.info("snapshot written", extra=logs.fields(version=self.view.version))

    async def _confirm_with_peers(self) -> None:
        pause_s = self._current_bound_s / 5
        while True:
            await asyncio.sleep(pause_s * self._random.uniform(0.5, 1.0))
            is_unconfirmed = self._log_age_s() > self._current_bound_s / 2
            if self._has_state and is_unconfirmed:
                await self._ask_peers_once()

    async def _ask_peers_once(self) -> None:
        asked_at = time.monotonic()
        answers, is_majority = await self._peers.ask_data_centres()
        most_advanced = max(
            answers, key=lambda answer: answer.next_offset, default=None
        )
        if (
            most_advanced is not None
            and most_advanced.next_offset > self._replay.next_offset
        ):
            await self._catch_up_from(most_advanced.name)
        highest_offset = max((answer.next_offset for answer in answers), default=0)
        if is_majority and self._replay.next_offset >= highest_offset:
            self._peers_confirmed_at = max(self._peers_confirmed_at, asked_at)
            await self._wake_waiters()

    async def _catch_up_from(self, name: str) -> None:
        asked_at = time.monotonic()
        try:
            answer = await self._peers.read_from(name, self._replay.next_offset, 0.0)
            await self._apply_answer(answer, asked_at)
        except (errors.PlatformError, errors.PeerUnreachableError) as error:
            log.warning(
                "could not read records from a peer", extra=logs.fields(error=error)
            )
        except replay.NewerRulesError as error:
            self._halt(error)

    async def wait_until_current(self, timeout_s: float) -> bool:
        """Wait for the view to become current; return whether it did in time."""
        return await self.wait_for(lambda: self.is_current, timeout_s)

    async def wait_for(
        self, condition: abc.Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait for a condition on the replayed state; return whether it came true."""
        try:
            async with asyncio.timeout(timeout_s), self._state_changed:
                await self._state_changed.wait_for(condition)
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
        """Append a patch and return its outcome; see ``Submission.submit``."""
        if self._is_halted:
            raise errors.NotCurrentError("the stream is newer than this entry")
        return await self._submission.submit(base, author, changes, patch_id)
