"""What dispatch needs of claims."""

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

    ``nonce`` names the claim, ``owner`` the entry that owns the key, and
    ``offset`` the claim's place in the log. Only with OWNED may the request be
    dispatched, once, by the process that made the nonce.
    """

    ownership: Ownership
    nonce: str
    owner: str
    offset: int


class Outcome(typing.NamedTuple):
    """What is known of the one run of a key."""

    verdict: verdicts.Verdict
    answer: requests.ServiceAnswer | None = None


class ClaimBook(typing.Protocol):
    """Claims of non-idempotent requests."""

    async def claim(self, request: requests.Request) -> Claim:
        """
        Claim the request's key and return who owns it.

        Raises ``InvalidRequestError`` for a key outside the window,
        ``ConflictError`` for a key with another body and
        ``PlatformUnavailableError``, always NOT_RUN, when the log is down.
        """

    def confirm(self, claim: Claim) -> bool:
        """Judge again, just before the first byte, that the claim may dispatch."""

    async def release(self, request: requests.Request, claim: Claim) -> None:
        """Give the key back; only allowed while not a byte was written."""

    def complete(
        self, request: requests.Request, claim: Claim, outcome: Outcome
    ) -> None:
        """Keep the outcome of an owned run for later askers."""

    async def outcome(self, organisation: str, key: str) -> Outcome:
        """Return what is known of a key here or at its owner."""
