"""Interfaces between dispatch and evacuation."""

import asyncio
import enum
import typing
from collections import abc

from acaciaward import requests


class RecomputeCause(enum.Enum):
    """Why tokens were moved or recomputed."""

    RECLAIM = "reclaim"
    LOSS = "loss"
    RESUME = "resume"


class Move(typing.NamedTuple):
    """
    Where a stream continues after its endpoint.

    ``target`` is None if routing is to choose. ``kv_handle`` names the KV cache
    imported at the target; without it the engine recomputes the prompt and the
    delivered tokens.
    """

    target: requests.Endpoint | None = None
    kv_handle: str | None = None


class RunningStream:
    """
    A stream that runs at an engine and may be moved.

    ``count_delivered`` returns the number of tokens delivered so far. The evacuation
    sets ``move_future`` before it ends the stream at its engine; its result is the
    ``Move``.
    """

    def __init__(
        self,
        request: requests.Request,
        endpoint: requests.Endpoint,
        stream_id: str,
        priority: int,
        count_delivered: abc.Callable[[], int],
    ):
        self.request = request
        self.endpoint = endpoint
        self.stream_id = stream_id
        self.priority = priority
        self.count_delivered = count_delivered
        self.move_future: asyncio.Future[Move] | None = None


class Evacuation(typing.Protocol):
    """Knows which endpoints are leaving, and moves the streams that run there."""

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether an endpoint is leaving or has just left."""

    def add(self, running: RunningStream) -> None:
        """Track a stream that has started, to move it if its endpoint leaves."""

    def remove(self, running: RunningStream) -> None:
        """Stop tracking a stream that has ended at its engine."""


class TargetChooser(typing.Protocol):
    """Chooses the endpoint that a stream moves to; implemented by ``Router``."""

    def choose(
        self,
        request: requests.Request,
        *,
        excluded: abc.Set[str] = frozenset(),
    ) -> requests.Endpoint:
        """Return an endpoint, or raise ``NoEndpointError``."""


class NoEvacuation:
    """Implements ``Evacuation`` where no endpoint ever leaves."""

    def is_leaving(self, endpoint: str) -> bool:
        """Return False."""
        return False

    def add(self, running: RunningStream) -> None:
        """Do nothing."""

    def remove(self, running: RunningStream) -> None:
        """Do nothing."""
