"""Asks the process that made a claim what became of it, and answers such questions."""

import typing

from acaciaward import errors, requests, verdicts
from acaciaward.claims import interfaces, messages, runs
from acaciaward.membership import interfaces as membership_interfaces

QUESTION = "claims_outcome"
MAX_WAIT_S = 1.0
REPLY_TIMEOUT_S = 1.0
UNKNOWN = "unknown"

# What a run that hasn't finished proves to an asker; None asks to wait longer.
VERDICT_OF_STATE = {
    runs.RunState.GIVEN_UP.value: verdicts.Verdict.NOT_RUN,
    UNKNOWN: verdicts.Verdict.MAY_HAVE_RUN,
}


class OutcomeLookup:
    """Questions and answers about outcomes between entries."""

    def __init__(
        self, name: str, book: runs.RunBook, network: membership_interfaces.PeerNetwork
    ):
        self._name = name
        self._book = book
        self._network = network
        network.handle(QUESTION, self._answer)

    async def ask(
        self, owner: str, nonce: str, *, wait_s: float
    ) -> interfaces.Outcome | None:
        """
        Return the outcome of a claim, or None while it is still running.

        An owner that can't be reached leaves MAY_HAVE_RUN.
        """
        if owner == self._name:
            answer = await self._look(nonce, wait_s)
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
        question = {"sender": self._name, "nonce": nonce, "wait_s": wait_s}
        try:
            return await self._network.request(
                owner, QUESTION, question, timeout_s=wait_s + REPLY_TIMEOUT_S
            )
        except errors.PeerUnreachableError:
            return {"state": UNKNOWN}

    async def _answer(
        self, sender: str, question: dict[str, typing.Any]
    ) -> messages.OutcomeAnswer:
        return await self._look(question["nonce"], question["wait_s"])

    async def _look(self, nonce: str, wait_s: float) -> messages.OutcomeAnswer:
        run = self._book.get(nonce)
        if run is None:
            return {"state": UNKNOWN}
        if not run.ended.is_set() and wait_s > 0:
            await self._book.wait(run, min(wait_s, MAX_WAIT_S))
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
    kept = requests.ServiceAnswer(
        answer["status"], answer["content_type"], answer["body"]
    )
    return interfaces.Outcome(verdict, kept)
