"""What dispatch and evacuation need of each other."""

import asyncio
import enum
import typing
from collections import abc

from acaciaward import requests


class Cause(enum.Enum):
    """Why tokens were moved or computed again."""

    RECLAIM = "reclaim"
    LOSS = "loss"
    RESUME = "resume"


class Move(typing.NamedTuple):
    """
    Where a stream goes on.

    ``target`` is None when routing shall choose. ``kv_handle`` names the cache
    imported at the target; without one the engine computes prompt and
    delivered tokens again.
    """

    target: requests.Endpoint | None = None
    kv_handle: str | None = None


class RunningStream:
    """
    One stream at an engine, as the evacuation sees it.

    ``count`` returns the number of tokens delivered so far. ``moving`` is set
    by the evacuation before it ends the stream at its engine, and gets the
    ``Move`` as its result.
    """

    def __init__(
        self,
        request: requests.Request,
        endpoint: requests.Endpoint,
        stream: str,
        priority: int,
        count: abc.Callable[[], int],
    ):
        self.request = request
        self.endpoint = endpoint
        self.stream = stream
        self.priority = priority
        self.count = count
        self.moving: asyncio.Future[Move] | None = None


class Evacuation(typing.Protocol):
    """Knows which endpoints leave and moves the streams that run there."""

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether an endpoint is about to go."""

    def add(self, running: RunningStream) -> None:
        """Watch over a stream that has started."""

    def remove(self, running: RunningStream) -> None:
        """Forget a stream that has ended at its engine."""


class TargetChooser(typing.Protocol):
    """Chooses where a stream may go; a ``Router`` fits."""

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
