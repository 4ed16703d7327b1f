"""Records of the claims stream and messages between entries about claims."""

import typing


class ClaimRecord(typing.TypedDict):
    """Claims the right to run a key's request; ``digest`` identifies its body."""

    kind: str
    organisation: str
    key: str
    digest: str
    nonce: str
    owner: str


class ReleaseRecord(typing.TypedDict):
    """States that the process that generated the nonce will never dispatch it."""

    kind: str
    organisation: str
    key: str
    nonce: str


class OutcomeRequest(typing.TypedDict):
    """Asks the owner of a claim for its outcome, waiting up to ``wait_s``."""

    sender: str
    nonce: str
    wait_s: float


class OutcomeAnswer(typing.TypedDict, total=False):
    """
    What the owner knows about a claim.

    ``state`` is the value of a ``runs.RunState``, or "unknown" if this process has no
    run with that nonce. ``verdict`` is there once the run finished, and the fields
    after it only if the answer was stored.
    """

    state: str
    verdict: str
    status: int
    content_type: str
    body: bytes


class AppendRequest(typing.TypedDict):
    """Asks a writer to append a claim."""

    sender: str
    record: ClaimRecord


class AppendAnswer(typing.TypedDict):
    """Whether the log accepted the claim; ``state`` is taken, refused or unknown."""

    state: str
    reason: str


MESSAGE_TYPES = {
    "claims_outcome": OutcomeRequest,
    "claims_outcome_answer": OutcomeAnswer,
    "claims_append": AppendRequest,
    "claims_append_answer": AppendAnswer,
}
