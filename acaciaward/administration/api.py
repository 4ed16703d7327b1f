"""
The operators' HTTP API: configuration, entries and health.

Everything under ``/v1/admin`` needs an operator's key. A viewer may read, only
an operator may change.
"""

import typing

import blacksheep
import msgspec

from acaciaward import errors, httpserver
from acaciaward.callers import answers, handling
from acaciaward.configuration import follower, replay
from acaciaward.identity import apikeys
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import metrics

MAX_PATCH_BYTES = 1024 * 1024
READINESS = {True: 200, False: 503}
STATUS_OF_OUTCOME = {
    replay.PatchStatus.ACCEPTED: 200,
    replay.PatchStatus.STALE: 409,
    replay.PatchStatus.INVALID: 422,
    replay.PatchStatus.UNKNOWN: 504,
}


class PatchBody(typing.TypedDict, total=False):
    """The body of a patch; ``id`` makes a repeated submission harmless."""

    base: int
    changes: dict[str, typing.Any]
    id: str


class AdministrationApi:
    """Routes of operators on one HTTP application."""

    def __init__(
        self,
        application: blacksheep.Application,
        *,
        configuration: follower.LogConfiguration,
        membership: membership_interfaces.Membership,
        bootstrap_key_digest: str | None,
    ):
        self._configuration = configuration
        self._membership = membership
        self._bootstrap_key_digest = bootstrap_key_digest
        routes = (
            ("GET", "/healthz", self._get_health),
            ("GET", "/readyz", self._get_readiness),
            ("GET", "/metrics", self._get_metrics),
            ("GET", "/v1/admin/config", self._get_configuration),
            ("GET", "/v1/admin/config/history", self._get_history),
            ("POST", "/v1/admin/config/patches", self._post_patch),
            ("GET", "/v1/admin/status", self._get_status),
        )
        for method, path, handler in routes:
            httpserver.add_route(application, method, path, handler)

    async def _get_health(self) -> blacksheep.Response:
        return answers.json_response({"status": "alive"})

    async def _get_readiness(self) -> blacksheep.Response:
        is_current = self._configuration.is_current
        body = {"current": is_current, "version": self._configuration.view.version}
        return answers.json_response(body, READINESS[is_current])

    async def _get_metrics(self) -> blacksheep.Response:
        content = blacksheep.Content(b"text/plain; version=0.0.4", metrics.exposition())
        return blacksheep.Response(200, content=content)

    async def _get_configuration(self, request: blacksheep.Request):
        def answer(operator: apikeys.Operator) -> typing.Any:
            view = self._configuration.view
            return {"version": view.version, "document": view.document}

        return self._read(request, answer)

    async def _get_history(self, request: blacksheep.Request):
        def answer(operator: apikeys.Operator) -> typing.Any:
            history = [entry._asdict() for entry in self._configuration.history]
            return {"history": history}

        return self._read(request, answer)

    async def _get_status(self, request: blacksheep.Request):
        def answer(operator: apikeys.Operator) -> typing.Any:
            entries = [
                peer._asdict() | {"state": peer.state.value}
                for peer in self._membership.peers()
            ]
            return {
                "name": self._membership.name,
                "current": self._configuration.is_current,
                "version": self._configuration.view.version,
                "entries": sorted(entries, key=lambda entry: entry["name"]),
            }

        return self._read(request, answer)

    def _read(
        self,
        request: blacksheep.Request,
        answer: typing.Callable[[apikeys.Operator], typing.Any],
    ) -> blacksheep.Response:
        try:
            operator = self._authenticate(request)
        except errors.RequestError as error:
            return answers.error_response(error, "")
        return answers.json_response(answer(operator))

    async def _post_patch(self, request: blacksheep.Request) -> blacksheep.Response:
        try:
            operator = self._authenticate(request)
            if operator.role != "operator":
                raise errors.PermissionDeniedError("a viewer may not change anything")
            patch = await self._read_patch(request)
            outcome = await self._configuration.submit(
                base=patch["base"],
                author=operator.name,
                changes=patch["changes"],
                patch_id=patch.get("id"),
            )
        except errors.RequestError as error:
            return answers.error_response(error, "")
        except errors.PlatformRefusedError as error:
            refused = errors.PlatformUnavailableError(
                f"the log refused: {error}", retry_after_s=error.retry_after_s or 1.0
            )
            return answers.error_response(refused, "")
        body = {
            "status": outcome.status.value,
            "version": outcome.version,
            "reason": outcome.reason,
        }
        return answers.json_response(body, STATUS_OF_OUTCOME[outcome.status])

    async def _read_patch(self, request: blacksheep.Request) -> PatchBody:
        body = await handling.read_limited(request, MAX_PATCH_BYTES)
        try:
            patch = msgspec.json.decode(body, type=PatchBody)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise errors.InvalidRequestError(f"malformed patch: {error}") from error
        if "base" not in patch or "changes" not in patch:
            raise errors.InvalidRequestError("a patch needs base and changes")
        return patch

    def _authenticate(self, request: blacksheep.Request) -> apikeys.Operator:
        return apikeys.authenticate_operator(
            self._configuration.view.document,
            handling.read_bearer(request),
            self._bootstrap_key_digest,
        )
