"""Submits changes as configuration patches and answers with their outcome."""

import typing
import uuid

from acaciaward.administration import access, redaction, routes
from acaciaward.configuration import logconfiguration, replay

STATUS_BY_OUTCOME = {
    replay.PatchStatus.ACCEPTED: 200,
    replay.PatchStatus.STALE: 409,
    replay.PatchStatus.INVALID: 422,
    replay.PatchStatus.UNKNOWN: 504,
}


class ChangeBody(typing.TypedDict, total=False):
    """Fields that every change may have: its base version and its patch id."""

    base: int
    id: str


class PatchAnswer(typing.TypedDict):
    """
    The outcome of a patch; one that is unknown can be looked up later by ``id``.

    For an accepted patch, ``missing`` names the live entries that had not reported
    its version in time. For a stale patch, ``since`` holds the patches accepted
    after its base version.
    """

    status: str
    version: int
    reason: str
    id: str
    missing: list[str]
    since: list[redaction.RedactedPatch]


class PatchSubmitter:
    """Submits patches to the configuration."""

    def __init__(self, configuration: logconfiguration.LogConfiguration):
        self._configuration = configuration

    async def submit(
        self,
        author: access.Principal,
        changes: dict[str, typing.Any],
        body: ChangeBody,
        **extra_fields: typing.Any,
    ) -> routes.Answer:
        """
        Submit changes against the base version in ``body``, or the current one.

        ``extra_fields`` are added to the answer, such as a new key, which is
        shown only once.
        """
        patch_id = body.get("id") or str(uuid.uuid4())
        outcome = await self._configuration.submit(
            base=body.get("base", self._configuration.view.version),
            author=author.name,
            changes=changes,
            patch_id=patch_id,
        )
        return outcome_answer(outcome, patch_id, **extra_fields)


def outcome_answer(
    outcome: replay.PatchOutcome, patch_id: str, **extra_fields: typing.Any
) -> routes.Answer:
    """Return the answer for a patch's outcome."""
    body: PatchAnswer = {
        "status": outcome.status.value,
        "version": outcome.version,
        "reason": outcome.reason,
        "id": patch_id,
        "missing": list(outcome.missing),
        "since": [redaction.redact_patch(patch) for patch in outcome.since],
    }
    return routes.Answer(body | extra_fields, STATUS_BY_OUTCOME[outcome.status])
