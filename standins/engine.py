"""
Stand-in for a model engine with continuous batching.

A step takes ``step_s`` and adds one token to each running stream whose prefill is
done; it also prefills up to ``PREFILL_TOKENS_PER_STEP`` tokens. A stream is kept
for ``orphan_s`` after its last consumer has disconnected, so that another entry
can resume it; then it ends as orphaned. It also ends at its last token, when it is
cancelled or when its KV cache is exported.

Frames are JSON lines that carry request, organisation and attempt:

    {"type": "token", "request": "...", "organisation": "...", "attempt": "...",
     "index": 0, "text": "box"}

Faults: ``step_s``, ``max_batch``, ``refuse``, ``poison`` (a text in the prompt
that makes the engine crash), ``crossed`` (before how many of the next frames a
frame of another request is sent), ``repeat`` (how many of the next frames are sent
twice), ``truncate`` (how many of the next responses end early, without
a final frame), ``stall`` (streams make no progress), ``load_lag_s`` (age of the
load report), ``event_lag_s`` (age at which cache events are shown), ``event_gap``
(every n-th cache event is lost, 0 for none), ``fenced`` (orders with an older
fencing token are refused), ``refuse_import``, ``refuse_export``. ``orphan_s``,
``kv_bytes_per_token`` and ``cache_blocks`` are parameters that are set like faults.
"""

import asyncio
import collections
import contextlib
import hashlib
import json
import time
import typing

import blacksheep
from blacksheep.server.responses import json as json_response

from standins import base, kvcache, tokens

PREFILL_TOKENS_PER_STEP = 512
PREFILL_STEP_S_PER_TOKEN = 0.00001
ORPHAN_POLL_S = 0.5


class _Stream:
    """
    One generation and the tokens that it has produced.

    ``order`` is the body of ``POST /generate``. Its ``delivered`` tokens were
    generated elsewhere; they are part of the context and the stream goes on after
    them, at ``first_index``.
    """

    def __init__(self, name: str, order: dict[str, typing.Any], cached_tokens: int):
        self.name = name
        self.order = order
        self.delivered = list(order.get("delivered", ()))
        self.first_index = len(self.delivered)
        self.texts: list[str] = []
        self.cached_tokens = cached_tokens
        self.prompt_tokens = tokens.count_tokens(order["prompt"])
        context_tokens = self.prompt_tokens + self.first_index
        self.prefill_left = max(0, context_tokens - cached_tokens)
        self.finish_reason: str | None = None
        self.changed = asyncio.Event()
        self.consumers = 0
        self.last_consumed_at = time.monotonic()

    @property
    def count(self) -> int:
        """The answer's length in tokens so far, including those delivered before."""
        return self.first_index + len(self.texts)

    def notify_consumers(self) -> None:
        """Wake up every response that waits for this stream."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def identity(self) -> dict[str, str]:
        """Return the fields that every frame carries."""
        return {name: self.order[name] for name in ("request", "organisation")} | {
            "attempt": self.order["attempt"]
        }

    def final_frame(self) -> dict[str, typing.Any]:
        """Return the frame that ends the stream."""
        answer = "".join([*self.delivered, *self.texts])
        return self.identity() | {
            "type": "end",
            "finish_reason": self.finish_reason,
            "count": self.count,
            "digest": hashlib.sha256(answer.encode()).hexdigest(),
            "prompt_tokens": self.prompt_tokens,
            "cached_tokens": self.cached_tokens,
        }


class EngineStandIn(base.StandIn):
    """A model engine whose text a test can compute in advance."""

    def __init__(self, address: str = "127.0.0.1", port: int = 0):
        super().__init__(address, port)
        self.faults = {
            "step_s": 0.003,
            "max_batch": 32,
            "refuse": False,
            "poison": "",
            "crossed": 0,
            "repeat": 0,
            "truncate": 0,
            "stall": False,
            "load_lag_s": 0.3,
            "event_lag_s": 0.2,
            "event_gap": 0,
            "fenced": True,
            "refuse_import": False,
            "refuse_export": False,
            "orphan_s": 10.0,
            "kv_bytes_per_token": 1024,
            "cache_blocks": 2048,
        }
        self.is_leaving = False
        self.state: dict[str, typing.Any] = {"models": {}, "role": "mixed", "fence": 0}
        self._streams: dict[str, _Stream] = {}
        self._cache = kvcache.KvCache()
        self._counts = collections.Counter()
        self._sequence = 0
        self._work_added = asyncio.Event()
        self._step_task: asyncio.Task | None = None
        self._load_reports: collections.deque = collections.deque(maxlen=1000)
        self._add_routes()

    def _add_routes(self) -> None:
        self.add_route("POST", "/generate", self._generate)
        self.add_route("GET", "/streams/{name}", self._resume)
        self.add_route("POST", "/streams/{name}/cancel", self._cancel)
        self.add_route("POST", "/streams/{name}/export", self._export)
        self.add_route("POST", "/kv", self._import)
        self.add_route("GET", "/load", self._get_load)
        self.add_route("GET", "/cache-events", self._get_cache_events)
        self.add_route("POST", "/orders", self._order)
        self.add_route("GET", "/state", self._get_state)
        self.add_route("POST", "/control/leave", self._control_leave)
        self.add_route("POST", "/control/die", self._control_die)

    async def start(self, *, is_own_process: bool = False) -> None:
        """Start listening and stepping."""
        await super().start(is_own_process=is_own_process)
        self._step_task = asyncio.create_task(self._step_forever())

    async def stop(self) -> None:
        """Stop stepping and listening."""
        if self._step_task is not None:
            self._step_task.cancel()
        await super().stop()

    async def crash(self) -> None:
        """End at once, losing every stream."""
        if self._step_task is not None:
            self._step_task.cancel()
        await super().crash()

    def stats(self) -> dict[str, typing.Any]:
        """Return counters of streams, computed tokens and refusals."""
        return dict(self._counts, running=len(self._running_streams()))

    def _running_streams(self) -> list[_Stream]:
        running = [
            stream for stream in self._streams.values() if stream.finish_reason is None
        ]
        running.sort(key=lambda stream: stream.order.get("priority", 0))
        return running

    async def _step_forever(self) -> None:
        while True:
            batch = self._running_streams()[: self.faults["max_batch"]]
            self._record_load()
            if not batch:
                self._work_added.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(ORPHAN_POLL_S):
                        await self._work_added.wait()
                self._drop_abandoned()
                continue
            prefilled_tokens = 0 if self.faults["stall"] else self._advance(batch)
            duration_s = (
                self.faults["step_s"] + prefilled_tokens * PREFILL_STEP_S_PER_TOKEN
            )
            await asyncio.sleep(duration_s)
            self._drop_abandoned()

    def _advance(self, batch: list[_Stream]) -> int:
        """Compute one step and return the number of tokens that it prefilled."""
        prefill_budget_tokens = PREFILL_TOKENS_PER_STEP
        for stream in batch:
            if stream.prefill_left > 0:
                chunk_tokens = min(stream.prefill_left, prefill_budget_tokens)
                stream.prefill_left -= chunk_tokens
                prefill_budget_tokens -= chunk_tokens
                self._counts["computed_prefill"] += chunk_tokens
                continue
            text = tokens.token(stream.order["prompt"], stream.count)
            stream.texts.append(text)
            self._counts["computed_decode"] += 1
            if stream.count >= stream.order["max_tokens"]:
                stream.finish_reason = "length"
                self._counts["completed"] += 1
            stream.notify_consumers()
        return PREFILL_TOKENS_PER_STEP - prefill_budget_tokens

    def _drop_abandoned(self) -> None:
        abandoned_before = time.monotonic() - self.faults["orphan_s"]
        for stream in list(self._streams.values()):
            if stream.consumers == 0 and stream.last_consumed_at < abandoned_before:
                self._streams.pop(stream.name)
                if stream.finish_reason is None:
                    self._finish(stream, "orphaned")

    def _finish(self, stream: _Stream, reason: str) -> None:
        if stream.finish_reason is None:
            stream.finish_reason = reason
            self._counts[reason] += 1
        stream.notify_consumers()

    async def _generate(self, request: blacksheep.Request) -> blacksheep.Response:
        order = await base.read_json(request)
        if self.faults["refuse"] or self.is_leaving:
            self._counts["refused"] += 1
            return base.refusal_response(
                503, "engine refuses new work", retry_after_s=0.5
            )
        poison = self.faults["poison"]
        if poison and poison in order["prompt"]:
            await self.crash()
            return base.aborted_response()
        handle = order.get("kv_handle")
        imported = self._cache.consume_import(handle, order["cache_salt"])
        if handle and imported is None:
            return base.refusal_response(409, "unknown KV handle")
        self._sequence += 1
        cached_tokens = self._cached_tokens(order, imported)
        stream = _Stream(f"s{self._sequence}", order, cached_tokens)
        if stream.count >= order["max_tokens"]:
            self._finish(stream, "length")
        self._streams[stream.name] = stream
        self._counts["streams"] += 1
        self._counts["cached"] += cached_tokens
        self._work_added.set()
        return self._stream_response(request, stream, stream.first_index)

    def _cached_tokens(self, order: dict[str, typing.Any], imported: int | None) -> int:
        if imported is not None:
            return imported
        return self._cache.admit_prompt(
            order["prompt"],
            order["cache_salt"],
            capacity_blocks=self.faults["cache_blocks"],
            drop_every=self.faults["event_gap"],
        )

    async def _resume(self, name: str, request: blacksheep.Request):
        stream = self._streams.get(name)
        organisation = base.first_query_value(request, "organisation", "")
        request_id = base.first_query_value(request, "request", "")
        identity = stream.identity() if stream else {}
        is_same_request = identity.get("request") == request_id
        if not is_same_request or identity.get("organisation") != organisation:
            return base.refusal_response(404, "no such stream")
        first_index = int(base.first_query_value(request, "from", "0"))
        if first_index < stream.first_index:
            return base.refusal_response(409, "stream begins later")
        return self._stream_response(request, stream, first_index)

    def _stream_response(
        self, request: blacksheep.Request, stream: _Stream, first_index: int
    ) -> blacksheep.Response:
        async def frames():
            stream.consumers += 1
            try:
                yield self._encode_frame(stream, self._started_frame(stream))
                async for frame in self._frames_from(request, stream, first_index):
                    yield frame
            finally:
                stream.consumers -= 1
                stream.last_consumed_at = time.monotonic()

        return blacksheep.Response(
            200, content=blacksheep.StreamedContent(b"application/x-ndjson", frames)
        )

    def _started_frame(self, stream: _Stream) -> dict[str, typing.Any]:
        return stream.identity() | {
            "type": "started",
            "stream": stream.name,
            "cached_tokens": stream.cached_tokens,
        }

    async def _frames_from(
        self, request: blacksheep.Request, stream: _Stream, index: int
    ):
        is_truncated = self.faults["truncate"] > 0
        self.faults["truncate"] -= 1 if is_truncated else 0
        while True:
            changed = stream.changed
            while index < stream.count:
                text = stream.texts[index - stream.first_index]
                token = {"type": "token", "index": index, "text": text}
                yield self._encode_frame(stream, stream.identity() | token)
                index += 1
            if is_truncated and index > stream.first_index:
                return
            if stream.finish_reason is not None:
                yield self._encode_frame(stream, stream.final_frame())
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ORPHAN_POLL_S):
                    await changed.wait()
            if await request.is_disconnected():
                return

    def _encode_frame(self, stream: _Stream, frame: dict[str, typing.Any]) -> bytes:
        line = json.dumps(frame).encode() + b"\n"
        if self.faults["crossed"] > 0:
            self.faults["crossed"] -= 1
            crossed_frame = frame | {
                "request": "req-of-somebody-else",
                "text": "STOLEN",
            }
            line = json.dumps(crossed_frame).encode() + b"\n" + line
        if self.faults["repeat"] > 0:
            self.faults["repeat"] -= 1
            line += line
        return line

    async def _cancel(self, name: str) -> blacksheep.Response:
        stream = self._streams.get(name)
        if stream is not None:
            self._finish(stream, "cancelled")
        return json_response({"cancelled": name})

    async def _export(self, name: str) -> blacksheep.Response:
        stream = self._streams.get(name)
        if stream is None or stream.finish_reason is not None:
            return base.refusal_response(404, "no such stream")
        if self.faults["refuse_export"] or stream.prefill_left > 0:
            return base.refusal_response(409, "KV cache can't be exported")
        self._finish(stream, "exported")
        length_tokens = stream.prompt_tokens + stream.count
        blob = kvcache.make_blob(
            stream.order["cache_salt"], length_tokens, self.faults["kv_bytes_per_token"]
        )
        self._counts["exported_tokens"] += length_tokens
        return blacksheep.Response(
            200, content=blacksheep.Content(b"application/octet-stream", blob)
        )

    async def _import(self, request: blacksheep.Request) -> blacksheep.Response:
        if self.faults["refuse_import"] or self.is_leaving:
            return base.refusal_response(409, "KV cache can't be imported")
        blob = await request.read() or b""
        try:
            handle = self._cache.add_import(blob)
        except ValueError as error:
            return base.refusal_response(400, str(error))
        self._counts["imports"] += 1
        return json_response({"handle": handle})

    def _record_load(self) -> None:
        running = len(self._running_streams())
        batch = min(running, self.faults["max_batch"])
        report = {
            "running": batch,
            "waiting": running - batch,
            "free_slots": self.faults["max_batch"] - batch,
            "step_s": self.faults["step_s"],
        }
        self._load_reports.append((time.monotonic(), report))

    async def _get_load(self) -> blacksheep.Response:
        visible_until = time.monotonic() - self.faults["load_lag_s"]
        while len(self._load_reports) > 1 and self._load_reports[1][0] <= visible_until:
            self._load_reports.popleft()
        recorded_at, report = self._load_reports[0]
        age_s = time.monotonic() - recorded_at
        return json_response(report | {"leaving": self.is_leaving, "age_s": age_s})

    async def _get_cache_events(self, request: blacksheep.Request):
        first_offset = int(base.first_query_value(request, "from", "0"))
        visible_until = time.monotonic() - self.faults["event_lag_s"]
        return json_response(self._cache.events_from(first_offset, visible_until))

    async def _order(self, request: blacksheep.Request) -> blacksheep.Response:
        order = await base.read_json(request)
        if self.faults["fenced"] and order["fence"] < self.state["fence"]:
            self._counts["orders_refused"] += 1
            return base.refusal_response(409, "fencing number is old")
        self._counts["orders"] += 1
        self.state["fence"] = max(self.state["fence"], order["fence"])
        if order["action"] == "load":
            self.state["models"][order["model"]] = order["version"]
        elif order["action"] == "unload":
            self.state["models"].pop(order["model"], None)
        else:
            self.state["role"] = order["role"]
        return json_response(self.state)

    async def _get_state(self) -> blacksheep.Response:
        return json_response(self.state)

    async def _control_leave(self) -> blacksheep.Response:
        self.is_leaving = True
        return json_response({"leaving": True})

    async def _control_die(self) -> blacksheep.Response:
        await self.crash()
        return base.aborted_response()
