"""
The interface through which dispatch claims the keys of non-idempotent requests.

A claim is a record in the log with which an entry asks for the right to run the
request of an idempotency key. The log's order decides which claim owns the key.
"""

import enum
import typing

from acaciaward import requests, verdicts


class Ownership(enum.Enum):
    """Who may run the request of a key."""

    OWNED = "owned"
    LOST = "lost"


class Claim(typing.NamedTuple):
    """
    The result of claiming a key.

    ``nonce`` identifies the claim that owns the key, ``owner`` is the entry that
    made that claim and ``offset`` the claim's offset in the log. Only if the result
    is OWNED may the request be dispatched: once, by the process that generated the
    nonce.
    """

    ownership: Ownership
    nonce: str
    owner: str
    offset: int


class Outcome(typing.NamedTuple):
    """
    What is known about the only run that a key may have.

    The verdict says whether the request ran. NOT_RUN means that, in the log as read
    so far, no claim on the key remains that could run it.
    """

    verdict: verdicts.Verdict
    answer: requests.ServiceAnswer | None = None


class ClaimRegistry(typing.Protocol):
    """Claims of non-idempotent requests."""

    async def claim(self, request: requests.Request) -> Claim:
        """
        Claim the request's key and return who owns it.

        Raises ``InvalidRequestError`` for a key outside the window,
        ``ConflictError`` for a key with another body and
        ``PlatformUnavailableError``, always NOT_RUN, when the log is unavailable.
        """

    def confirm(self, claim: Claim) -> bool:
        """
        Return whether the claim may still dispatch, just before the first byte.

        A claim is confirmed only once, unless ``revert_confirmation`` reverts that.
        """

    def revert_confirmation(self, claim: Claim) -> None:
        """Revert a confirmation after an attempt that is proved not to have run."""

    def release(self, request: requests.Request, claim: Claim) -> None:
        """Release the key; allowed only while the request cannot have run."""

    def complete(
        self, request: requests.Request, claim: Claim, outcome: Outcome
    ) -> None:
        """Store the outcome of an owned run for later queries."""

    async def outcome_of_claim(self, claim: Claim, *, wait_s: float) -> Outcome:
        """Return what the owner knows of the run; wait up to ``wait_s`` for its end."""

    async def outcome_of_key(self, organisation: str, key: str) -> Outcome:
        """Return what is known about a key, or raise ``NotFoundError``."""
