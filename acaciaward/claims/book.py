"""
Claims of non-idempotent requests by the order of the platform's log.

Before the first byte goes to an endpoint, a claim with a fresh nonce is appended
and read back; the replay of the log decides whether it owns the key. Whatever
ends without a dispatch releases its nonce, and a nonce that was given up here is
never dispatched, wherever its record may land.

    book = LogClaimBook("entry-1", log, membership, network, settings)
    claim = await book.claim(request)
    book.confirm(claim)
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
from acaciaward.provider import appending, following, interfaces as provider_interfaces

log = logging.getLogger(__name__)

CLAIM_WAIT_S = 2.0
CONFIRM_BOUND_S = 10.0
RETRY_AFTER_S = 1.0

CLAIMS = prometheus_client.Counter(
    "acaciaward_claims_total", "Claims of keys by what the log decided", ["result"]
)
REMEMBERED = prometheus_client.Gauge(
    "acaciaward_claims_remembered", "Keys that the claim replay remembers"
)


class LogClaimBook:
    """Implements ``interfaces.ClaimBook`` over the log."""

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
        self._follower = following.LogFollower(
            platform_log, settings["stream"], self._replay
        )
        self._appender = appending.BatchAppender(
            platform_log, settings["stream"], interval_s=self._interval_s
        )
        self._writers = writers.RoutedAppender(membership, network, self._appender)
        self._runs = runs.RunBook(kept_s=settings["window_s"])
        self._lookup = lookups.OutcomeLookup(name, self._runs, network)
        REMEMBERED.set_function(lambda: self._replay.remembered)

    def _interval_s(self) -> float:
        """Return the pause between appends that keeps all writers in the budget."""
        shared_s = self._writers.choice().total / self._settings["appends_per_s"]
        return max(self._settings["batch_delay_s"], shared_s)

    async def run(self) -> None:
        """Follow the log and append until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follower.run())
            group.create_task(self._appender.run())

    async def wait_until_replayed(self, timeout_s: float) -> bool:
        """Return whether the stream was replayed to its end in time."""
        return await self._follower.wait_until_replayed(timeout_s)

    async def claim(self, request: requests.Request) -> interfaces.Claim:
        """Claim the request's key and return who owns it."""
        held = self._replay.owner(request.organisation, request.key)
        if held is not None:
            return self._lost_to(request, held)
        self._check_log()
        self._check_key(request)
        run = self._runs.begin(request, uuid.uuid4().hex)
        try:
            await self._append_and_read_back(request, run)
        except BaseException:
            self._give_up(run)
            raise
        return self._judge(request, run)

    def _check_log(self) -> None:
        if not self._follower.is_reachable:
            raise _unavailable("the log that decides about keys can't be read")

    def _check_key(self, request: requests.Request) -> None:
        now = self._follower.log_time()
        if not self._replay.is_in_window(request.key, now):
            CLAIMS.labels("out_of_window").inc()
            raise _out_of_window(self._settings)

    async def _append_and_read_back(
        self, request: requests.Request, run: runs.Run
    ) -> None:
        """Return when the run's claim has been replayed."""
        seen = self._follower.watch(run.nonce)
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
            async with asyncio.timeout(max(0.0, min(left_s, CLAIM_WAIT_S))):
                await self._append_until_seen(record, seen)
        except errors.PlatformRefusedError as error:
            # Nothing was appended, so there is nothing to release.
            self._runs.end(run, runs.RunState.GIVEN_UP)
            raise _unavailable(f"the log refused the claim: {error}") from error
        except TimeoutError as error:
            raise _unavailable("the claim wasn't read back in time") from error
        finally:
            self._follower.unwatch(run.nonce)

    async def _append_until_seen(
        self, record: messages.ClaimRecord, seen: asyncio.Future
    ) -> None:
        appended = asyncio.ensure_future(self._writers.append(record))
        try:
            await asyncio.wait({appended, seen}, return_when=asyncio.FIRST_COMPLETED)
            if not seen.done():
                await appended
        except errors.PlatformUnknownError:
            # Only reading tells whether the claim has landed.
            log.info("settling an append", extra=logs.fields(nonce=record["nonce"]))
        finally:
            appended.cancel()
        await seen

    def _judge(self, request: requests.Request, run: runs.Run) -> interfaces.Claim:
        judgement = self._replay.judge(run.organisation, run.key, run.nonce)
        CLAIMS.labels(judgement.value).inc()
        held = self._replay.owner(run.organisation, run.key)
        if judgement is replay.Judgement.OWNED:
            run.state = runs.RunState.OWNED
            run.judged_at = time.monotonic()
            return interfaces.Claim(
                interfaces.Ownership.OWNED, run.nonce, self._name, held.offset
            )
        self._give_up(run)
        if judgement is replay.Judgement.LOST:
            return self._lost_to(request, held)
        if judgement is replay.Judgement.OUT_OF_WINDOW:
            raise _out_of_window(self._settings)
        raise _unavailable("this entry hasn't read the log from before the key's time")

    def _lost_to(
        self, request: requests.Request, held: replay.LoggedClaim
    ) -> interfaces.Claim:
        if held.digest != request.digest:
            raise errors.ConflictError("the key was used with another body")
        return interfaces.Claim(
            interfaces.Ownership.LOST, held.nonce, held.owner, held.offset
        )

    def confirm(self, claim: interfaces.Claim) -> bool:
        """Judge again, just before the first byte, that the claim may dispatch."""
        run = self._runs.get(claim.nonce)
        if run is None or run.state is not runs.RunState.OWNED:
            return False
        is_late = time.monotonic() - run.judged_at > CONFIRM_BOUND_S
        is_over = asyncio.get_running_loop().time() >= run.deadline
        judgement = self._replay.judge(run.organisation, run.key, run.nonce)
        if is_late or is_over or judgement is not replay.Judgement.OWNED:
            CLAIMS.labels("unconfirmed").inc()
            return False
        run.state = runs.RunState.DISPATCHED
        return True

    def withdraw(self, claim: interfaces.Claim) -> None:
        """Take a confirmation back, since the attempt is proved not to have run."""
        run = self._runs.get(claim.nonce)
        if run is not None and run.state is runs.RunState.DISPATCHED:
            run.state = runs.RunState.OWNED

    def release(self, request: requests.Request, claim: interfaces.Claim) -> None:
        """Give the key back."""
        run = self._runs.get(claim.nonce)
        if run is not None and run.state is runs.RunState.OWNED:
            self._give_up(run)

    def _give_up(self, run: runs.Run) -> None:
        """Make sure that a nonce is never dispatched, then free its key."""
        if run.state in runs.ENDED:
            return
        self._runs.end(run, runs.RunState.GIVEN_UP)
        record: messages.ReleaseRecord = {
            "kind": "release",
            "organisation": run.organisation,
            "key": run.key,
            "nonce": run.nonce,
        }
        self._appender.append_surely(record)

    def complete(
        self,
        request: requests.Request,
        claim: interfaces.Claim,
        outcome: interfaces.Outcome,
    ) -> None:
        """Keep the outcome of an owned run for later askers."""
        run = self._runs.get(claim.nonce)
        if run is None:
            return
        answer = outcome.answer
        if answer is not None and len(answer.body) > self._settings["result_bytes"]:
            outcome = outcome._replace(answer=None)
        self._runs.end(run, runs.RunState.FINISHED, outcome)

    async def outcome_of(
        self, claim: interfaces.Claim, *, wait_s: float
    ) -> interfaces.Outcome:
        """Return what the owner knows of a run, waiting for its end."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            left_s = max(0.0, until - loop.time())
            found = await self._lookup.ask(claim.owner, claim.nonce, wait_s=left_s)
            if found is not None:
                return found
            if loop.time() >= until:
                return interfaces.Outcome(verdicts.Verdict.MAY_HAVE_RUN)

    async def outcome(self, organisation: str, key: str) -> interfaces.Outcome:
        """Return what is known of a key, or raise ``NotFoundError``."""
        has_read = await self._follower.catch_up(CLAIM_WAIT_S)
        held = self._replay.owner(organisation, key)
        if held is not None:
            claim = interfaces.Claim(
                interfaces.Ownership.LOST, held.nonce, held.owner, held.offset
            )
            return await self.outcome_of(claim, wait_s=0.0)
        is_proved = has_read and self._replay.covers(key)
        if self._replay.state(organisation, key) is not None and is_proved:
            return interfaces.Outcome(verdicts.Verdict.NOT_RUN)
        raise errors.NotFoundError(
            "nothing is known of this key",
            verdict=(
                verdicts.Verdict.NOT_RUN if is_proved else verdicts.Verdict.MAY_HAVE_RUN
            ),
        )


def _unavailable(message: str) -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(message, retry_after_s=RETRY_AFTER_S)


def _out_of_window(settings: dict[str, typing.Any]) -> errors.InvalidRequestError:
    return errors.InvalidRequestError(
        f"the key's time must lie within the last {settings['window_s']:.0f} s"
        f" and at most {settings['clock_skew_s']:.0f} s ahead"
    )
