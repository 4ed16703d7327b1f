"""Submits a change as a patch with its author and answers with its outcome."""

import typing
import uuid

from acaciaward.administration import access, redaction, routes
from acaciaward.configuration import follower, replay

STATUS_OF_OUTCOME = {
    replay.PatchStatus.ACCEPTED: 200,
    replay.PatchStatus.STALE: 409,
    replay.PatchStatus.INVALID: 422,
    replay.PatchStatus.UNKNOWN: 504,
}


class ChangeBody(typing.TypedDict, total=False):
    """What every change may state: the version it is against, and its patch id."""

    base: int
    id: str


class PatchAnswer(typing.TypedDict):
    """
    What became of a patch; ``id`` settles an unknown one later.

    ``missing`` names live entries that have not reported an accepted version,
    ``since`` holds what was accepted after the base of a stale one.
    """

    status: str
    version: int
    reason: str
    id: str
    missing: list[str]
    since: list[redaction.ShownPatch]


class Patches:
    """Submits patches to the configuration."""

    def __init__(self, configuration: follower.LogConfiguration):
        self._configuration = configuration

    async def submit(
        self,
        author: access.Principal,
        changes: dict[str, typing.Any],
        given: ChangeBody,
        **extra: typing.Any,
    ) -> routes.Answer:
        """
        Submit changes against the version that ``given`` states, or this one.

        ``extra`` is added to the answer, for what is told only once.
        """
        patch_id = given.get("id") or str(uuid.uuid4())
        outcome = await self._configuration.submit(
            base=given.get("base", self._configuration.view.version),
            author=author.name,
            changes=changes,
            patch_id=patch_id,
        )
        return answer_of(outcome, patch_id, **extra)


def answer_of(
    outcome: replay.PatchOutcome, patch_id: str, **extra: typing.Any
) -> routes.Answer:
    """Return the answer that tells a patch's outcome."""
    body: PatchAnswer = {
        "status": outcome.status.value,
        "version": outcome.version,
        "reason": outcome.reason,
        "id": patch_id,
        "missing": list(outcome.missing),
        "since": [redaction.show(entry) for entry in outcome.since],
    }
    return routes.Answer(body | extra, STATUS_OF_OUTCOME[outcome.status])
