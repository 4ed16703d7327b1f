"""Claims that hold within one entry only."""

import uuid

from acaciaward import errors, requests, verdicts
from acaciaward.claims import interfaces


class LocalClaimBook:
    """Implements ``interfaces.ClaimBook`` in the memory of one entry."""

    def __init__(self, owner: str):
        self._owner = owner
        self._claims: dict[tuple[str, str], tuple[interfaces.Claim, str]] = {}
        self._outcomes: dict[tuple[str, str], interfaces.Outcome] = {}

    async def claim(self, request: requests.Request) -> interfaces.Claim:
        """Claim the request's key and return who owns it."""
        subject = (request.organisation, request.key)
        held = self._claims.get(subject)
        if held is not None and held[1] != request.digest:
            raise errors.ConflictError("the key was used with another body")
        if held is not None:
            return held[0]._replace(ownership=interfaces.Ownership.LOST)
        claim = interfaces.Claim(
            interfaces.Ownership.OWNED, uuid.uuid4().hex, self._owner, 0
        )
        self._claims[subject] = (claim, request.digest)
        return claim

    def confirm(self, claim: interfaces.Claim) -> bool:
        """Return True: nobody else can hold the claim."""
        return True

    async def release(self, request: requests.Request, claim: interfaces.Claim) -> None:
        """Give the key back."""
        self._claims.pop((request.organisation, request.key), None)

    def complete(
        self,
        request: requests.Request,
        claim: interfaces.Claim,
        outcome: interfaces.Outcome,
    ) -> None:
        """Keep the outcome of an owned run."""
        self._outcomes[request.organisation, request.key] = outcome

    async def outcome(self, organisation: str, key: str) -> interfaces.Outcome:
        """Return what is known of a key here."""
        subject = (organisation, key)
        if subject not in self._claims:
            raise errors.NotFoundError("nothing is known of this key")
        unknown = interfaces.Outcome(verdicts.Verdict.MAY_HAVE_RUN)
        return self._outcomes.get(subject, unknown)
