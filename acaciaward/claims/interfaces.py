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

    ``nonce`` names the claim that owns the key, ``owner`` the entry that made
    it, and ``offset`` the claim's place in the log. Only with OWNED may the
    request be dispatched, once, by the process that made the nonce.
    """

    ownership: Ownership
    nonce: str
    owner: str
    offset: int


class Outcome(typing.NamedTuple):
    """
    What is known of the one run of a key.

    NOT_RUN says that no claim on the key is left that could run it, as far as
    the log has been read.
    """

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
        """
        Judge again, just before the first byte, that the claim may dispatch.

        A claim is confirmed once; see ``withdraw``.
        """

    def withdraw(self, claim: Claim) -> None:
        """Take a confirmation back, since the attempt is proved not to have run."""

    def release(self, request: requests.Request, claim: Claim) -> None:
        """Give the key back; only allowed while nothing can have run."""

    def complete(
        self, request: requests.Request, claim: Claim, outcome: Outcome
    ) -> None:
        """Keep the outcome of an owned run for later askers."""

    async def outcome_of(self, claim: Claim, *, wait_s: float) -> Outcome:
        """Return what the owner knows of a lost claim's run, waiting for its end."""

    async def outcome(self, organisation: str, key: str) -> Outcome:
        """Return what is known of a key, or raise ``NotFoundError``."""
