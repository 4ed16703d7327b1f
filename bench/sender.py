"""
Sends planned requests to entries, round robin, and times the answers.

Unlike the caller library it never retries, so that every refusal and its latency
is measured.
"""

import itertools
import json
import time
import typing
from collections import abc

from acaciaward import httpclient
from acaciaward.client import sse
from bench import load

READ_TIMEOUT_S = 20.0


class EntrySender:
    """Streams completions from ``entries`` with each organisation's key."""

    def __init__(
        self,
        entries: abc.Sequence[tuple[str, int]],
        keys: abc.Mapping[str, str],
    ):
        self._entries = list(entries)
        self._keys = keys
        self._client = httpclient.HttpClient(connect_timeout_s=5.0)
        self._turn = itertools.count()

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.close()

    async def send(
        self, planned: load.PlannedRequest, *, abort_after_tokens: int | None = None
    ) -> load.Outcome:
        """Send one request; abort the stream after ``abort_after_tokens`` tokens."""
        body: dict[str, typing.Any] = {
            "model": planned.deployment,
            "prompt": planned.prompt,
            "max_tokens": planned.max_tokens,
            "stream": True,
        }
        headers = {
            "authorization": f"Bearer {self._keys[planned.organisation]}",
            "content-type": "application/json",
            "x-service-class": planned.service_class,
            "x-deadline-s": str(planned.deadline_s),
        }
        entry = self._entries[next(self._turn) % len(self._entries)]
        started = time.monotonic()
        async with self._client.send(
            "POST",
            *entry,
            "/v1/completions",
            headers=headers,
            body=json.dumps(body).encode(),
            timeout_s=READ_TIMEOUT_S,
        ) as response:
            if response.status != 200:
                await response.read()
                took_s = time.monotonic() - started
                return load.Outcome(planned, took_s, 0, refused_s=took_s)
            return await self._read(planned, response, started, abort_after_tokens)

    async def _read(
        self,
        planned: load.PlannedRequest,
        response: httpclient.Response,
        started: float,
        abort_after_tokens: int | None,
    ) -> load.Outcome:
        first_token_s = None
        count = 0
        async for event in sse.events(response):
            extra = event.get("acaciaward", {})
            if "index" in extra:
                first_token_s = first_token_s or time.monotonic() - started
                if extra["index"] + 1 == abort_after_tokens:
                    break
            count = extra.get("count", count)
        took_s = time.monotonic() - started
        return load.Outcome(planned, took_s, count, first_token_s)
