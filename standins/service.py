"""
Stand-in for a plain service that counts how often each key ran.

It answers every POST outside ``/control`` with a JSON object that names the
organisation, the key and how many times the key has run by now. Faults:
``delay_s`` before the run, ``answer_delay_s`` after it, ``refuse`` answers 503
without running, ``poison`` is a text in the body that makes the service crash.
"""

import asyncio
import json
import typing

import blacksheep
from blacksheep.server.responses import json as json_response

from standins import base


class ServiceStandIn(base.StandIn):
    """A plain service whose runs can be counted from outside."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0):
        super().__init__(address, port)
        self.faults = {
            "delay_s": 0.0,
            "answer_delay_s": 0.0,
            "refuse": False,
            "poison": "",
        }
        self.runs: dict[str, int] = {}
        self.add_route("POST", "/control/die", self._control_die)
        self.add_route("GET", "/control/runs", self._control_runs)
        self.add_route("POST", "/{path:path}", self._handle_call)

    def stats(self) -> dict[str, typing.Any]:
        """Return how many keys ran, and how many of them ran more than once."""
        ran_twice_count = sum(1 for count in self.runs.values() if count > 1)
        return {"keys": len(self.runs), "ran_twice": ran_twice_count}

    async def _handle_call(
        self, path: str, request: blacksheep.Request
    ) -> blacksheep.Response:
        body = await request.read() or b""
        if self.faults["refuse"]:
            return base.refusal_response(503, "service refuses", retry_after_s=0.1)
        poison = self.faults["poison"]
        if poison and poison.encode() in body:
            await self.crash()
            return base.aborted_response()
        await asyncio.sleep(self.faults["delay_s"])
        key = _header(request, b"idempotency-key") or _header(request, b"x-request-id")
        self.runs[key] = self.runs.get(key, 0) + 1
        await asyncio.sleep(self.faults["answer_delay_s"])
        answer_fields = {
            "path": path,
            "key": key,
            "organisation": _header(request, b"x-organisation"),
            "runs": self.runs[key],
            "echo": _echo(body),
        }
        response = json_response(answer_fields)
        for name in (b"x-request-id", b"x-attempt"):
            response.add_header(name, _header(request, name).encode())
        return response

    async def _control_die(self) -> blacksheep.Response:
        await self.crash()
        return base.aborted_response()

    async def _control_runs(self) -> blacksheep.Response:
        return json_response(self.runs)


def _header(request: blacksheep.Request, name: bytes) -> str:
    value = request.get_first_header(name)
    return value.decode("latin-1") if value else ""


def _echo(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        return None
