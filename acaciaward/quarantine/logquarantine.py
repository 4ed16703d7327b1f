"""
Quarantines requests that crash endpoints; the log and gossip share the state.

Deaths, turns to run alone and clearances are records of a log stream, so any entry
applies them to a request that is retried, even after all entries were replaced.
Gossip hints cover the time until the log is read.
"""

import asyncio
import logging
import time
import typing
import uuid
from collections import abc

import prometheus_client

from acaciaward import errors, requests
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import logs
from acaciaward.provider import (
    batchappender,
    interfaces as provider_interfaces,
    logfollower,
)
from acaciaward.quarantine import deaths, replay

log = logging.getLogger(__name__)

REPORT_SETTLE_S = 0.3
READ_BACK_TIMEOUT_S = 1.5
SUSPECT_HINT_LIFETIME_S = 10.0
APPEND_INTERVAL_S = 0.01
RETRY_AFTER_S = 1.0
HintKind = membership_interfaces.HintKind

DEATHS = prometheus_client.Counter(
    "acaciaward_endpoint_deaths_total", "Suspected deaths by their cause", ["cause"]
)


def subject_of(request: requests.Request) -> str:
    """Return the subject of a request, which is the same for every retry."""
    return f"{request.organisation}/{request.digest}"


class LogQuarantine:
    """Implements ``interfaces.Quarantine`` over the log and gossip."""

    def __init__(
        self,
        platform_log: provider_interfaces.Log,
        configuration: configuration_interfaces.Configuration,
        hints: membership_interfaces.Hints,
        settings: dict[str, typing.Any],
    ):
        self._configuration = configuration
        self._hints = hints
        self._settings = settings
        self._classifier = deaths.DeathClassifier(configuration, hints)
        self._replay = replay.QuarantineReplay(
            suspect_s=settings["suspect_s"], duration_s=settings["duration_s"]
        )
        self._follower = logfollower.LogFollower(
            platform_log,
            settings["stream"],
            self._replay,
            is_long_polling=True,
            after_page=self._publish_quarantines,
        )
        self._appender = batchappender.BatchAppender(
            platform_log, settings["stream"], interval_s=lambda: APPEND_INTERVAL_S
        )
        self._turn_nonces: dict[tuple[str, str], str] = {}
        self._reported_at: dict[tuple[str, str], float] = {}
        # Hints are indexed by subject here, since every request looks up its own.
        self._hinted_suspects: dict[str, float] = {}
        self._hinted_quarantines: dict[str, tuple[float, float]] = {}
        hints.subscribe(HintKind.SUSPECT_REQUEST, self._receive_suspect)
        hints.subscribe(HintKind.QUARANTINED_REQUEST, self._receive_quarantine)
        self._published_quarantines: set[tuple[str, float]] = set()

    async def run(self) -> None:
        """Follow the log and append until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._appender.run())

    async def wait_until_replayed(self, timeout_s: float) -> bool:
        """Return whether the stream was replayed to its end within the timeout."""
        return await self._follower.wait_until_replayed(timeout_s)

    def check(self, request: requests.Request) -> None:
        """Raise ``QuarantinedError`` for a request that must not run."""
        since, until = self._quarantine_of(subject_of(request))
        lifted = self._configuration.view.document.get("lifted", {})
        is_lifted = lifted.get(request.digest, 0.0) >= since
        if until <= time.time() or is_lifted:
            return
        end = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(until))
        raise errors.QuarantinedError(
            f"this request is quarantined until {end}, since endpoints died of it",
            retry_after_s=max(0.0, until - time.time()),
        )

    def _quarantine_of(self, subject: str) -> tuple[float, float]:
        """Return start and end of a quarantine in Unix seconds; 0 without one."""
        quarantine = self._replay.quarantined.get(subject)
        if quarantine is not None:
            return quarantine.since, quarantine.until
        hinted = self._hinted_quarantines.get(subject)
        if hinted is not None:
            return hinted
        if self._replay.is_sole_common_suspect(subject):
            since = self._replay.suspected_at(subject)
            return since, since + self._duration_s()
        return 0.0, 0.0

    def _duration_s(self) -> float:
        document = self._configuration.view.document
        return document.get("quarantine_s", self._settings["duration_s"])

    def is_suspect(self, request: requests.Request) -> bool:
        """Return whether the request must run alone on its endpoint."""
        subject = subject_of(request)
        if self._replay.suspected_at(subject) is not None:
            return True
        return self._hinted_suspects.get(subject, 0.0) > time.monotonic()

    def _receive_suspect(self, hint: membership_interfaces.Hint) -> None:
        now = time.monotonic()
        self._hinted_suspects = {
            subject: until
            for subject, until in self._hinted_suspects.items()
            if until > now
        }
        self._hinted_suspects[hint.subject] = now + min(
            hint.lifetime_s, SUSPECT_HINT_LIFETIME_S
        )

    def _receive_quarantine(self, hint: membership_interfaces.Hint) -> None:
        now = time.time()
        self._hinted_quarantines = {
            subject: span
            for subject, span in self._hinted_quarantines.items()
            if span[1] > now
        }
        span = (hint.stamp, hint.stamp + hint.lifetime_s)
        self._hinted_quarantines[hint.subject] = span

    async def acquire_turn(
        self, request: requests.Request, endpoint: requests.Endpoint
    ) -> bool:
        """Return whether the request may run alone on the endpoint now."""
        if not self._follower.is_reachable:
            raise errors.PlatformUnavailableError(
                "a suspected request runs alone, which the log must grant",
                retry_after_s=RETRY_AFTER_S,
            )
        nonce = uuid.uuid4().hex
        record = {
            "kind": "turn",
            "nonce": nonce,
            "endpoint": endpoint.name,
            "subject": subject_of(request),
        }
        has_turn = False
        try:
            await self._append_and_await_replay(record)
            has_turn = self._replay.has_turn(nonce)
        finally:
            if not has_turn:
                self._end_turn(nonce, endpoint.name)
        if has_turn:
            self._turn_nonces[request.request_id, endpoint.name] = nonce
        return has_turn

    async def _append_and_await_replay(self, record: dict[str, typing.Any]) -> None:
        """Append a record and wait, within a timeout, until it was replayed."""
        replayed = self._follower.wait_for_nonce(record["nonce"])
        try:
            async with asyncio.timeout(READ_BACK_TIMEOUT_S):
                try:
                    await self._appender.append(record)
                except errors.PlatformUnknownError:
                    # Only the replay shows whether the record was appended.
                    pass
                await replayed
        except (errors.PlatformRefusedError, TimeoutError) as error:
            log.warning(
                "cannot append or read back a quarantine record",
                extra=logs.fields(reason=error),
            )
        finally:
            self._follower.cancel_wait(record["nonce"])

    def _end_turn(self, nonce: str, endpoint: str) -> None:
        record = {"kind": "turn_end", "nonce": nonce, "endpoint": endpoint}
        self._appender.append_with_retry(record)

    def release_turn(
        self,
        request: requests.Request,
        endpoint: requests.Endpoint,
        *,
        is_completed: bool,
    ) -> None:
        """Release a turn; a completed request is no longer a suspect."""
        nonce = self._turn_nonces.pop((request.request_id, endpoint.name), None)
        if nonce is None:
            return
        if is_completed:
            clear = {"kind": "clear", "nonce": nonce, "subject": subject_of(request)}
            self._appender.append_with_retry(clear)
        self._end_turn(nonce, endpoint.name)

    async def report_death(
        self,
        endpoint: requests.Endpoint,
        in_flight: abc.Sequence[requests.Request],
    ) -> None:
        """Find the cause of an endpoint's death and record the requests as suspects."""
        cause = await self._classifier.classify(endpoint, self._replay.dead_endpoints())
        DEATHS.labels(cause.value).inc()
        fields = logs.fields(endpoint=endpoint.name, cause=cause.value)
        log.warning("endpoint lost", extra=fields)
        if cause in (deaths.DeathCause.ALIVE, deaths.DeathCause.ANNOUNCED):
            return
        subjects = self._unreported(endpoint, in_flight)
        if subjects:
            await self._report(endpoint, in_flight, subjects, cause)
        # Wait for the reports of other entries about the same death.
        await asyncio.sleep(REPORT_SETTLE_S)

    def _unreported(
        self,
        endpoint: requests.Endpoint,
        in_flight: abc.Sequence[requests.Request],
    ) -> list[str]:
        """Return the subjects that haven't been reported for this death yet."""
        now = time.monotonic()
        recent = now - replay.MERGE_WINDOW_S
        self._reported_at = {
            key: reported
            for key, reported in self._reported_at.items()
            if reported > recent
        }
        subjects = {subject_of(request) for request in in_flight}
        unreported = [
            subject
            for subject in subjects
            if (endpoint.name, subject) not in self._reported_at
        ]
        self._reported_at |= {(endpoint.name, subject): now for subject in unreported}
        return unreported

    async def _report(
        self,
        endpoint: requests.Endpoint,
        in_flight: abc.Sequence[requests.Request],
        subjects: list[str],
        cause: deaths.DeathCause,
    ) -> None:
        for subject in subjects:
            self._hints.publish(
                HintKind.SUSPECT_REQUEST,
                subject,
                {"endpoint": endpoint.name},
                lifetime_s=SUSPECT_HINT_LIFETIME_S,
            )
        alone = [
            subject_of(request)
            for request in in_flight
            if (request.request_id, endpoint.name) in self._turn_nonces
        ]
        record = {
            "kind": "death",
            "nonce": uuid.uuid4().hex,
            "endpoint": endpoint.name,
            "suspects": subjects,
            "alone": alone,
            "counts": cause is deaths.DeathCause.CRASHED,
        }
        await self._append_and_await_replay(record)

    def _publish_quarantines(self) -> None:
        """Log quarantines that are new here and publish them to the other entries."""
        self._replay.duration_s = self._duration_s()
        quarantined = self._replay.quarantined.values()
        self._published_quarantines &= {
            (quarantine.subject, quarantine.since) for quarantine in quarantined
        }
        for quarantine in quarantined:
            key = (quarantine.subject, quarantine.since)
            if key in self._published_quarantines:
                continue
            self._published_quarantines.add(key)
            log.error(
                "request quarantined", extra=logs.fields(subject=quarantine.subject)
            )
            if not self._hints.get(HintKind.QUARANTINED_REQUEST, quarantine.subject):
                self._hints.publish(
                    HintKind.QUARANTINED_REQUEST,
                    quarantine.subject,
                    {"endpoints": list(quarantine.endpoints)},
                    lifetime_s=max(0.0, quarantine.until - time.time()),
                )
