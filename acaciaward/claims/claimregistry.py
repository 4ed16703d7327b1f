"""
Claims the keys of non-idempotent requests through the platform's log.

Before the first byte goes to an endpoint, a claim with a fresh nonce is appended
to the log and read back; the replay of the log decides whether it owns the key. A
claim that ends without a dispatch releases its nonce. A nonce that was given up here
is never dispatched, even if its record appears in the log later.

    registry = LogClaimRegistry("entry-1", log, membership, network, settings)
    claim = await registry.claim(request)
    registry.confirm(claim)
"""

import asyncio
import logging
import time
import typing
import uuid

import prometheus_client

from acaciaward import errors, requests, verdicts
from acaciaward.claims import (
    interfaces,
    lookups,
    messages,
    replay,
    runs,
    writers,
)
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import logs
from acaciaward.provider import (
    batchappender,
    interfaces as provider_interfaces,
    logfollower,
)

log = logging.getLogger(__name__)

CLAIM_READ_TIMEOUT_S = 2.0
MAX_EVALUATION_AGE_S = 10.0
RETRY_AFTER_S = 1.0

CLAIMS = prometheus_client.Counter(
    "acaciaward_claims_total", "Claims of keys by what the log decided", ["result"]
)
REMEMBERED_KEYS = prometheus_client.Gauge(
    "acaciaward_claims_remembered", "Keys that the claim replay remembers"
)


class LogClaimRegistry:
    """Implements ``interfaces.ClaimRegistry`` on the platform's log."""

    def __init__(
        self,
        name: str,
        platform_log: provider_interfaces.Log,
        membership: membership_interfaces.Membership,
        network: membership_interfaces.PeerNetwork,
        settings: dict[str, typing.Any],
    ):
        self._name = name
        self._settings = settings
        self._replay = replay.ClaimReplay(
            window_s=settings["window_s"], clock_skew_s=settings["clock_skew_s"]
        )
        self._follower = logfollower.LogFollower(
            platform_log, settings["stream"], self._replay
        )
        self._appender = batchappender.BatchAppender(
            platform_log, settings["stream"], interval_s=self._interval_s
        )
        self._writers = writers.RoutedAppender(membership, network, self._appender)
        self._runs = runs.RunRegistry(retention_s=settings["window_s"])
        self._lookup = lookups.OutcomeLookup(name, self._runs, network)
        REMEMBERED_KEYS.set_function(lambda: self._replay.key_count)

    def _interval_s(self) -> float:
        """Return the pause between appends that keeps all writers within the budget."""
        shared_s = self._writers.choice().total / self._settings["appends_per_s"]
        return max(self._settings["batch_delay_s"], shared_s)

    async def run(self) -> None:
        """Follow the log and append claims until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._appender.run())

    async def wait_until_replayed(self, timeout_s: float) -> bool:
        """Return whether the stream was replayed to its end within the timeout."""
        return await self._follower.wait_until_replayed(timeout_s)

    async def claim(self, request: requests.Request) -> interfaces.Claim:
        """Claim the request's key and return who owns it."""
        owning_claim = self._replay.owner(request.organisation, request.key)
        if owning_claim is not None:
            return self._lost_claim(request, owning_claim)
        self._check_log_is_reachable()
        self._check_key_window(request)
        run = self._runs.add(request, uuid.uuid4().hex)
        try:
            await self._append_and_read_back(request, run)
        except BaseException:
            self._give_up(run)
            raise
        return self._evaluate(request, run)

    def _check_log_is_reachable(self) -> None:
        if not self._follower.is_reachable:
            raise _unavailable("the log that decides about keys can't be read")

    def _check_key_window(self, request: requests.Request) -> None:
        now = self._follower.log_time()
        if not self._replay.is_in_window(request.key, now):
            CLAIMS.labels("out_of_window").inc()
            raise _out_of_window(self._settings)

    async def _append_and_read_back(
        self, request: requests.Request, run: runs.Run
    ) -> None:
        """Return when the run's claim has been replayed."""
        read_back = self._follower.wait_for_nonce(run.nonce)
        record: messages.ClaimRecord = {
            "kind": "claim",
            "organisation": run.organisation,
            "key": run.key,
            "digest": request.digest,
            "nonce": run.nonce,
            "owner": self._name,
        }
        left_s = request.deadline - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(max(0.0, min(left_s, CLAIM_READ_TIMEOUT_S))):
                await self._append_and_wait(record, read_back)
        except errors.PlatformRefusedError as error:
            # Nothing was appended, so there is nothing to release.
            self._runs.end(run, runs.RunState.GIVEN_UP)
            raise _unavailable(f"the log refused the claim: {error}") from error
        except TimeoutError as error:
            raise _unavailable("the claim wasn't read back in time") from error
        finally:
            self._follower.cancel_wait(run.nonce)

    async def _append_and_wait(
        self, record: messages.ClaimRecord, read_back: asyncio.Future
    ) -> None:
        appended = asyncio.ensure_future(self._writers.append(record))
        try:
            await asyncio.wait(
                {appended, read_back}, return_when=asyncio.FIRST_COMPLETED
            )
            if not read_back.done():
                await appended
        except errors.PlatformUnknownError:
            # Only a read can show whether the claim is in the log.
            log.info(
                "append result unknown; waiting to read the claim back",
                extra=logs.fields(nonce=record["nonce"]),
            )
        finally:
            appended.cancel()
        await read_back

    def _evaluate(self, request: requests.Request, run: runs.Run) -> interfaces.Claim:
        status = self._replay.evaluate(run.organisation, run.key, run.nonce)
        CLAIMS.labels(status.value).inc()
        owning_claim = self._replay.owner(run.organisation, run.key)
        if status is replay.ClaimStatus.OWNED:
            run.state = runs.RunState.OWNED
            run.evaluated_at = time.monotonic()
            return interfaces.Claim(
                interfaces.Ownership.OWNED, run.nonce, self._name, owning_claim.offset
            )
        self._give_up(run)
        if status is replay.ClaimStatus.LOST:
            return self._lost_claim(request, owning_claim)
        if status is replay.ClaimStatus.OUT_OF_WINDOW:
            raise _out_of_window(self._settings)
        raise _unavailable("this entry hasn't read the log from before the key's time")

    def _lost_claim(
        self, request: requests.Request, owning_claim: replay.LoggedClaim
    ) -> interfaces.Claim:
        if owning_claim.digest != request.digest:
            raise errors.ConflictError("the key was used with another body")
        return interfaces.Claim(
            interfaces.Ownership.LOST,
            owning_claim.nonce,
            owning_claim.owner,
            owning_claim.offset,
        )

    def confirm(self, claim: interfaces.Claim) -> bool:
        """Return whether the claim may still dispatch, just before the first byte."""
        run = self._runs.get(claim.nonce)
        if run is None or run.state is not runs.RunState.OWNED:
            return False
        is_stale = time.monotonic() - run.evaluated_at > MAX_EVALUATION_AGE_S
        is_past_deadline = asyncio.get_running_loop().time() >= run.deadline
        status = self._replay.evaluate(run.organisation, run.key, run.nonce)
        if is_stale or is_past_deadline or status is not replay.ClaimStatus.OWNED:
            CLAIMS.labels("unconfirmed").inc()
            return False
        run.state = runs.RunState.DISPATCHED
        return True

    def revert_confirmation(self, claim: interfaces.Claim) -> None:
        """Revert a confirmation after an attempt that is proved not to have run."""
        run = self._runs.get(claim.nonce)
        if run is not None and run.state is runs.RunState.DISPATCHED:
            run.state = runs.RunState.OWNED

    def release(self, request: requests.Request, claim: interfaces.Claim) -> None:
        """Release the key unless its request may have run."""
        run = self._runs.get(claim.nonce)
        if run is not None and run.state is runs.RunState.OWNED:
            self._give_up(run)

    def _give_up(self, run: runs.Run) -> None:
        """Ensure that a nonce is never dispatched, then release its key."""
        if run.state in runs.ENDED_STATES:
            return
        self._runs.end(run, runs.RunState.GIVEN_UP)
        record: messages.ReleaseRecord = {
            "kind": "release",
            "organisation": run.organisation,
            "key": run.key,
            "nonce": run.nonce,
        }
        self._appender.append_with_retry(record)

    def complete(
        self,
        request: requests.Request,
        claim: interfaces.Claim,
        outcome: interfaces.Outcome,
    ) -> None:
        """Store the outcome of an owned run for later queries."""
        run = self._runs.get(claim.nonce)
        if run is None:
            return
        answer = outcome.answer
        if answer is not None and len(answer.body) > self._settings["result_bytes"]:
            outcome = outcome._replace(answer=None)
        self._runs.end(run, runs.RunState.FINISHED, outcome)

    async def outcome_of_claim(
        self, claim: interfaces.Claim, *, wait_s: float
    ) -> interfaces.Outcome:
        """Return what the owner knows of the run; wait up to ``wait_s`` for its end."""
        loop = asyncio.get_running_loop()
        wait_deadline = loop.time() + wait_s
        while True:
            left_s = max(0.0, wait_deadline - loop.time())
            outcome = await self._lookup.ask(claim.owner, claim.nonce, wait_s=left_s)
            if outcome is not None:
                return outcome
            if loop.time() >= wait_deadline:
                return interfaces.Outcome(verdicts.Verdict.MAY_HAVE_RUN)

    async def outcome_of_key(self, organisation: str, key: str) -> interfaces.Outcome:
        """Return what is known about a key, or raise ``NotFoundError``."""
        has_caught_up = await self._follower.catch_up(CLAIM_READ_TIMEOUT_S)
        owning_claim = self._replay.owner(organisation, key)
        if owning_claim is not None:
            claim = interfaces.Claim(
                interfaces.Ownership.LOST,
                owning_claim.nonce,
                owning_claim.owner,
                owning_claim.offset,
            )
            return await self.outcome_of_claim(claim, wait_s=0.0)
        is_history_complete = has_caught_up and self._replay.covers(key)
        if self._replay.state(organisation, key) is not None and is_history_complete:
            return interfaces.Outcome(verdicts.Verdict.NOT_RUN)
        raise errors.NotFoundError(
            "nothing is known of this key",
            verdict=(
                verdicts.Verdict.NOT_RUN
                if is_history_complete
                else verdicts.Verdict.MAY_HAVE_RUN
            ),
        )


def _unavailable(message: str) -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(message, retry_after_s=RETRY_AFTER_S)


def _out_of_window(settings: dict[str, typing.Any]) -> errors.InvalidRequestError:
    return errors.InvalidRequestError(
        f"the key's time must lie within the last {settings['window_s']:.0f} s"
        f" and at most {settings['clock_skew_s']:.0f} s ahead"
    )
