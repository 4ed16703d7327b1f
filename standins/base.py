"""
The base of all stand-ins: a blacksheep application with a control API.

``POST /control/faults`` sets faults by name, ``GET /control/faults`` returns
them and ``GET /control/stats`` returns counters, so that tests and experiments
can drive a stand-in from outside.
"""

import asyncio
import json
import os
import typing
from collections import abc

import blacksheep
from blacksheep.server.responses import json as json_response

from acaciaward import httpserver

EXIT_CODE_OF_CRASH = 70


class StandIn:
    """
    One stand-in, embeddable in an event loop or run as its own process.

    Subclasses set ``self.faults`` to a dict of fault names with their default
    values and add their routes with ``add_route``.
    """

    def __init__(self, address: str = "127.0.0.1", port: int = 0):
        self.address = address
        self.port = port
        self.faults: dict[str, typing.Any] = {}
        self.application = httpserver.make_application()
        self.add_route("GET", "/control/faults", self._get_faults)
        self.add_route("POST", "/control/faults", self._set_faults)
        self.add_route("GET", "/control/stats", self._get_stats)
        self._server: httpserver.HttpServer | None = None
        self._is_own_process = False

    def add_route(self, method: str, path: str, handler: abc.Callable) -> None:
        """Register the handler of a method and path."""
        httpserver.add_route(self.application, method, path, handler)

    async def start(self, *, is_own_process: bool = False) -> None:
        """Start listening; with ``is_own_process``, a crash ends the process."""
        self._is_own_process = is_own_process
        self._server = httpserver.HttpServer(self.application, self.address, self.port)
        await self._server.start()

    async def stop(self) -> None:
        """Stop listening once running requests have ended."""
        if self._server is not None:
            await self._server.stop()

    async def crash(self) -> None:
        """Abort every connection and end at once, as a killed instance does."""
        if self._is_own_process:
            os._exit(EXIT_CODE_OF_CRASH)
        if self._server is not None:
            await self._server.kill()
            self._server = None

    def stats(self) -> dict[str, typing.Any]:
        """Return the counters that ``GET /control/stats`` shows."""
        return {}

    async def _get_faults(self) -> blacksheep.Response:
        return json_response(self.faults)

    async def _set_faults(self, request: blacksheep.Request) -> blacksheep.Response:
        changes = await read_json(request)
        unknown = set(changes) - set(self.faults)
        if unknown:
            return refusal_response(
                400, f"unknown faults: {', '.join(sorted(unknown))}"
            )
        self.faults.update(changes)
        return json_response(self.faults)

    async def _get_stats(self) -> blacksheep.Response:
        return json_response(self.stats())


async def read_json(request: blacksheep.Request) -> dict[str, typing.Any]:
    """Return the JSON object of a request's body, empty when there is none."""
    body = await request.read()
    return json.loads(body) if body else {}


def refusal_response(
    status: int, message: str, *, retry_after_s: float | None = None
) -> blacksheep.Response:
    """Return an error response whose verdict says that the request did not run."""
    response = json_response({"error": message, "verdict": "not_run"}, status=status)
    if retry_after_s is not None:
        response.add_header(b"retry-after", f"{retry_after_s:.3f}".encode())
    return response


def aborted_response() -> blacksheep.Response:
    """Return a response that is aborted, so that the client can't know the outcome."""

    async def aborted_body():
        yield b" "
        await asyncio.sleep(0)
        raise ConnectionAbortedError("fault injection: stand-in aborts this response")

    return blacksheep.Response(
        200, content=blacksheep.StreamedContent(b"application/json", aborted_body)
    )


def first_query_value(request: blacksheep.Request, name: str, default: str) -> str:
    """Return the first value of a query parameter."""
    values = request.query.get(name)
    return values[0] if values else default
