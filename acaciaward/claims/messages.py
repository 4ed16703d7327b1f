"""Records of the claims stream and messages between entries about outcomes."""

import typing


class ClaimRecord(typing.TypedDict):
    """One entry wants to run the request of a key; ``digest`` names its body."""

    kind: str
    organisation: str
    key: str
    digest: str
    nonce: str
    owner: str


class ReleaseRecord(typing.TypedDict):
    """The process that made a nonce will never dispatch under it."""

    kind: str
    organisation: str
    key: str
    nonce: str


class OutcomeQuestion(typing.TypedDict):
    """Asks the owner of a claim what became of it, waiting up to ``wait_s``."""

    sender: str
    nonce: str
    wait_s: float


class OutcomeAnswer(typing.TypedDict, total=False):
    """
    What the owner knows.

    ``state`` is a ``runs.RunState``, or "unknown" for a nonce of another
    process. The answer's fields are there only when its body was kept.
    """

    state: str
    verdict: str
    status: int
    content_type: str
    body: bytes


class AppendQuestion(typing.TypedDict):
    """Asks a writer to append a claim."""

    sender: str
    record: ClaimRecord


class AppendAnswer(typing.TypedDict):
    """Whether the log has taken the claim: taken, refused or unknown."""

    state: str
    reason: str


KINDS = {
    "claims_outcome": OutcomeQuestion,
    "claims_outcome_answer": OutcomeAnswer,
    "claims_append": AppendQuestion,
    "claims_append_answer": AppendAnswer,
}
