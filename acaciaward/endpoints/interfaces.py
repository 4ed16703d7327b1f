"""
Interfaces of the clients for endpoints, as ``Protocol`` types.

Failures are raised as ``errors.EndpointError`` with the verdict that the client
can prove from what it saw on the wire.
"""

import typing
from collections import abc

from acaciaward import requests


class StreamStarted(typing.NamedTuple):
    """First frame of an attempt; ``stream`` is the engine's name for the stream."""

    stream: str
    cached_tokens: int = 0


class GenerateOrder(typing.NamedTuple):
    """
    One attempt of a model request.

    ``attempt`` identifies the attempt uniquely. ``delivered`` are the tokens that
    the caller already has, which the engine treats as part of the prompt: its first
    frame then has index ``len(delivered)``. ``kv_handle`` names an imported KV
    cache, with which the engine needn't recompute prompt and tokens.
    ``priority`` is lower for more urgent work, ``cache_salt`` separates the
    prefix caches of organisations, ``deadline_s`` is the time left in seconds.
    """

    attempt: str
    request: requests.Request
    delivered: abc.Sequence[str]
    priority: int
    cache_salt: str
    deadline_s: float
    kv_handle: str | None = None


EngineFrame = StreamStarted | requests.TokenFrame | requests.Completion


class EngineLoad(typing.NamedTuple):
    """
    An engine's load report, ``age_s`` seconds old.

    ``step_s`` is the time for one output token, ``leaving`` whether it shuts down.
    """

    running: int
    waiting: int
    free_slots: int
    step_s: float
    leaving: bool
    age_s: float


class CacheEvent(typing.NamedTuple):
    """A prompt prefix entered or left an engine's cache; offsets may have gaps."""

    offset: int
    block: str
    stored: bool


class EngineOrder(typing.NamedTuple):
    """
    An order to an engine; ``action`` is load, unload or role.

    ``fence`` is the fencing token of the lease under which the order is given.
    """

    action: str
    model: str
    version: str
    fence: int
    adapter: str | None = None
    role: str | None = None


class ModelEngine(typing.Protocol):
    """Client for model engines; every call names the endpoint."""

    def generate(
        self, endpoint: requests.Endpoint, order: GenerateOrder
    ) -> abc.AsyncIterator[EngineFrame]:
        """
        Run one attempt.

        Frames of another request, organisation or attempt are dropped, counted
        and logged here. Closing the iterator early closes the connection and
        cancels the stream at the engine.
        """

    def resume(
        self,
        endpoint: requests.Endpoint,
        *,
        stream: str,
        request: requests.Request,
        from_index: int,
    ) -> abc.AsyncIterator[EngineFrame]:
        """Continue reading a stream that another entry began."""

    async def cancel(self, endpoint: requests.Endpoint, stream: str) -> None:
        """Stop a stream; it is no error if it has ended already."""

    async def export_kv(self, endpoint: requests.Endpoint, stream: str) -> bytes:
        """Stop a stream and return its KV cache; its length gives bytes per token."""

    async def import_kv(self, endpoint: requests.Endpoint, blob: bytes) -> str:
        """Upload a KV cache to an engine and return the handle for ``generate``."""

    async def load(self, endpoint: requests.Endpoint) -> EngineLoad:
        """Return the engine's load report, which lags."""

    async def cache_events(
        self, endpoint: requests.Endpoint, from_offset: int
    ) -> list[CacheEvent]:
        """Return cache events from an offset on; they are late and have gaps."""

    async def order(self, endpoint: requests.Endpoint, order: EngineOrder) -> None:
        """Send an order; a fenced engine refuses an older fencing token."""


class PlainService(typing.Protocol):
    """Client for plain services."""

    async def call(
        self,
        endpoint: requests.Endpoint,
        request: requests.Request,
        *,
        attempt: str,
        deadline_s: float,
        before_write: abc.Callable[[], None] | None = None,
    ) -> requests.ServiceAnswer:
        """
        Send the body once and return the complete answer.

        ``before_write`` is called just before the first byte is written; if it
        raises, nothing is sent.
        """
