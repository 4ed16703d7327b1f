"""
Sends requests round robin and retries any failure: the naive version for ``policy``.

It sends straight to the engines on the instance list and, after each failure,
again from the first token, without service classes, limits or other policies.
"""

import asyncio
import itertools
import json
import time
import typing
import uuid
from collections import abc

from acaciaward import httpclient
from bench import load

MAX_TRIES = 8
LINE_TIMEOUT_S = 3.0
NO_ENDPOINT_PAUSE_S = 0.1


class NaiveSender:
    """Sends planned requests to ``endpoints``, round robin."""

    def __init__(self):
        self.endpoints: abc.Sequence[tuple[str, int]] = ()
        self._client = httpclient.HttpClient(connect_timeout_s=1.0)
        self._turn = itertools.count()

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.close()

    async def send(self, planned: load.PlannedRequest) -> load.Outcome:
        """Send one request, and retry it after each failure."""
        started = time.monotonic()
        for _ in range(MAX_TRIES):
            if not self.endpoints:
                await asyncio.sleep(NO_ENDPOINT_PAUSE_S)
                continue
            endpoint = self.endpoints[next(self._turn) % len(self.endpoints)]
            try:
                count = await self._attempt(endpoint, planned)
                return load.Outcome(planned, time.monotonic() - started, count)
            except httpclient.HttpError:
                continue
        return load.Outcome(planned, time.monotonic() - started, 0)

    async def _attempt(
        self, endpoint: tuple[str, int], planned: load.PlannedRequest
    ) -> int:
        body: dict[str, typing.Any] = {
            "request": uuid.uuid4().hex,
            "organisation": planned.organisation,
            "attempt": uuid.uuid4().hex,
            "prompt": planned.prompt,
            "max_tokens": planned.max_tokens,
            "cache_salt": planned.organisation,
        }
        async with self._client.send(
            "POST",
            *endpoint,
            "/generate",
            headers={"content-type": "application/json"},
            body=json.dumps(body).encode(),
            timeout_s=LINE_TIMEOUT_S,
        ) as response:
            if response.status != 200:
                raise httpclient.ConnectionLostError(f"status {response.status}")
            async for line in response.lines():
                frame = json.loads(line)
                if frame["type"] == "end":
                    return frame["count"]
        raise httpclient.ConnectionLostError("stream ended without an end frame")
