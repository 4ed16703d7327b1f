"""Asks the entry that made a claim for its outcome, and serves such requests."""

import typing

from acaciaward import errors, requests, verdicts
from acaciaward.claims import interfaces, messages, runs
from acaciaward.membership import interfaces as membership_interfaces

OUTCOME_KIND = "claims_outcome"
MAX_WAIT_S = 1.0
REPLY_TIMEOUT_S = 1.0
UNKNOWN = "unknown"

# What the state of an unfinished run proves; other states mean it is under way.
VERDICT_OF_STATE = {
    runs.RunState.GIVEN_UP.value: verdicts.Verdict.NOT_RUN,
    UNKNOWN: verdicts.Verdict.MAY_HAVE_RUN,
}


class OutcomeLookup:
    """Looks up the outcomes of claims here and on other entries."""

    def __init__(
        self,
        name: str,
        run_registry: runs.RunRegistry,
        network: membership_interfaces.PeerNetwork,
    ):
        self._name = name
        self._run_registry = run_registry
        self._network = network
        network.handle(OUTCOME_KIND, self._handle_request)

    async def ask(
        self, owner: str, nonce: str, *, wait_s: float
    ) -> interfaces.Outcome | None:
        """
        Return the outcome of a claim, or None while it is still running.

        The verdict is MAY_HAVE_RUN if the owner can't be reached.
        """
        if owner == self._name:
            answer = await self._local_outcome(nonce, wait_s)
        else:
            answer = await self._ask_peer(owner, nonce, wait_s)
        if answer["state"] == runs.RunState.FINISHED.value:
            return _outcome_from(answer)
        verdict = VERDICT_OF_STATE.get(answer["state"])
        return interfaces.Outcome(verdict) if verdict else None

    async def _ask_peer(
        self, owner: str, nonce: str, wait_s: float
    ) -> messages.OutcomeAnswer:
        wait_s = max(0.0, min(wait_s, MAX_WAIT_S))
        body = {"sender": self._name, "nonce": nonce, "wait_s": wait_s}
        try:
            return await self._network.request(
                owner, OUTCOME_KIND, body, timeout_s=wait_s + REPLY_TIMEOUT_S
            )
        except errors.PeerUnreachableError:
            return {"state": UNKNOWN}

    async def _handle_request(
        self, sender: str, body: dict[str, typing.Any]
    ) -> messages.OutcomeAnswer:
        return await self._local_outcome(body["nonce"], body["wait_s"])

    async def _local_outcome(self, nonce: str, wait_s: float) -> messages.OutcomeAnswer:
        run = self._run_registry.get(nonce)
        if run is None:
            return {"state": UNKNOWN}
        if not run.ended.is_set() and wait_s > 0:
            await self._run_registry.wait(run, min(wait_s, MAX_WAIT_S))
        answer: messages.OutcomeAnswer = {"state": run.state.value}
        if run.outcome is not None:
            answer["verdict"] = run.outcome.verdict.value
            if run.outcome.answer is not None:
                answer |= run.outcome.answer._asdict()
        return answer


def _outcome_from(answer: messages.OutcomeAnswer) -> interfaces.Outcome:
    verdict = verdicts.Verdict(answer["verdict"])
    if "body" not in answer:
        return interfaces.Outcome(verdict)
    service_answer = requests.ServiceAnswer(
        answer["status"], answer["content_type"], answer["body"]
    )
    return interfaces.Outcome(verdict, service_answer)
