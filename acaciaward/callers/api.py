"""
The callers' HTTP API: discovery, completions, service calls and outcomes.

Every answer has a request id, and every error a verdict: whether the request may
have run. A request is refused before anything runs unless this entry can show that
its configuration is current.
"""

import asyncio
import typing

import blacksheep

from acaciaward import errors, httplimits, httpserver, requests
from acaciaward.callers import answers, completions, discovery, drain, handling, parsing
from acaciaward.claims import interfaces as claims_interfaces
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.dispatch import dispatcher
from acaciaward.observability import recorder


class CallersApi:
    """Routes of callers on one HTTP application."""

    def __init__(
        self,
        application: blacksheep.Application,
        *,
        configuration: configuration_interfaces.Configuration,
        requests_dispatcher: dispatcher.Dispatcher,
        claims: claims_interfaces.ClaimRegistry,
        entries: discovery.Discovery,
        request_drain: drain.Drain,
        connections: httplimits.ConnectionLimiter,
        max_body_bytes: int,
        stream_limits: completions.StreamLimits,
        request_recorder: recorder.Recorder,
    ):
        self._configuration = configuration
        self._dispatcher = requests_dispatcher
        self._claims = claims
        self._entries = entries
        self._context = handling.HandlerContext(
            configuration,
            request_drain,
            max_body_bytes=max_body_bytes,
            connections=connections,
            request_recorder=request_recorder,
        )
        routes = (
            ("GET", "/v1/entries", self._get_entries),
            ("GET", "/v1/models", self._get_models),
            ("POST", "/v1/services/{deployment}/{path:path}", self._post_service),
            ("GET", "/v1/outcomes/{key}", self._get_outcome),
        )
        for method, path, handler in routes:
            httpserver.add_route(application, method, path, handler)
        completions.CompletionRoutes(
            application, self._context, requests_dispatcher, stream_limits
        )

    async def _get_entries(self, request: blacksheep.Request) -> blacksheep.Response:
        data_centre = request.query.get("data_centre", [None])[0]
        return answers.json_response(self._entries.answer(data_centre))

    async def _get_models(self, request: blacksheep.Request) -> blacksheep.Response:
        async def answer(request_id: str) -> blacksheep.Response:
            caller = self._context.authenticate(request)
            deployments = self._configuration.view.document.get("deployments", {})
            models = [
                {"id": name, "object": "model", "owned_by": "acaciaward"}
                for name, deployment in sorted(deployments.items())
                if deployment["kind"] == requests.DeploymentKind.MODEL.value
                and caller.organisation in deployment.get("organisations", [])
            ]
            return answers.json_response({"object": "list", "data": models})

        return await self._context.run_handler(answer, request)

    async def _post_service(
        self, deployment: str, path: str, request: blacksheep.Request
    ) -> blacksheep.Response:
        async def answer(request_id: str) -> blacksheep.Response:
            caller = self._context.authenticate(request)
            self._context.check_current(request)
            raw = await self._context.read_body(request)
            headers = handling.read_headers(request)
            options = parsing.read_options(headers)
            deployment_entry = parsing.find_deployment(
                self._configuration.view.document,
                caller.organisation,
                deployment,
                requests.DeploymentKind.SERVICE,
            )
            now = asyncio.get_running_loop().time()
            service_request = requests.Request(
                request_id=request_id,
                organisation=caller.organisation,
                deployment=deployment,
                kind=requests.DeploymentKind.SERVICE,
                service_class=options.service_class,
                idempotent=options.idempotent,
                key=options.key,
                digest=parsing.digest_request(deployment, path, raw),
                deadline=now + parsing.choose_deadline_s(deployment_entry, options),
                body=raw,
                path=path,
                content_type=headers.get("content-type", "application/json"),
            )
            result = await self._finish_call(request, service_request)
            content = blacksheep.Content(result.content_type.encode(), result.body)
            id_header = (b"x-request-id", request_id.encode())
            return blacksheep.Response(
                result.status, [id_header, (b"x-verdict", b"ran")], content
            )

        return await self._context.run_handler(answer, request)

    async def _finish_call(
        self, request: blacksheep.Request, service_request: requests.Request
    ) -> requests.ServiceAnswer:
        # A non-idempotent call runs to its end even when its caller has
        # disconnected, so that the caller can query its outcome.
        call_task = asyncio.create_task(self._dispatcher.call(service_request))
        is_caller_gone = (
            request.is_disconnected if service_request.idempotent else _never
        )
        request_drain = self._context.drain
        if await drain.wait_until_done(
            call_task, request_drain, drain.Phase.ABORTING, is_caller_gone
        ):
            return call_task.result()
        if service_request.idempotent:
            call_task.cancel()
        if request_drain.phase < drain.Phase.ABORTING:
            raise errors.AttemptFailedError("the caller went away")
        raise request_drain.abort_request()

    async def _get_outcome(
        self, key: str, request: blacksheep.Request
    ) -> blacksheep.Response:
        async def answer(request_id: str) -> blacksheep.Response:
            caller = self._context.authenticate(request)
            outcome = await self._claims.outcome_of_key(
                caller.organisation, parsing.read_key(key)
            )
            body: dict[str, typing.Any] = {
                "key": key,
                "verdict": outcome.verdict.value,
                "status": None,
                "body": None,
            }
            if outcome.answer is not None:
                body["status"] = outcome.answer.status
                body["body"] = outcome.answer.body.decode(errors="replace")
            return answers.json_response(body)

        return await self._context.run_handler(answer, request)


async def _never() -> bool:
    return False
