"""
Interfaces of the platform's services, as ``Protocol`` types.

The HTTP clients in ``acaciaward.platform`` implement them; tests may pass fakes. Every
call either returns, or raises ``PlatformRefusedError`` (certainly no effect) or
``PlatformUnknownError`` (the answer was lost; it may or may not have had effect).
"""

import typing
from collections import abc


class LogRecord(typing.NamedTuple):
    """One record of a stream; ``time`` is by the log's clock, in Unix seconds."""

    offset: int
    time: float
    data: dict[str, typing.Any]


class LogPage(typing.NamedTuple):
    """
    Consecutive records of a stream.

    ``first_offset`` is the oldest offset that the log retains, ``next_offset``
    the one that the next record appended will get, ``time`` the log's clock.
    """

    records: list[LogRecord]
    first_offset: int
    next_offset: int
    time: float


class Log(typing.Protocol):
    """An append-only log service with offsets."""

    async def append(self, stream: str, records: abc.Sequence[dict]) -> list[int]:
        """Append all records as one call and return their offsets."""

    async def read(
        self, stream: str, from_offset: int, *, limit: int = 1000, wait_s: float = 0
    ) -> LogPage:
        """
        Return records from an offset on, waiting up to ``wait_s`` for the first.

        Raises ``RecordsExpiredError`` when the offset is no longer retained.
        """


class Offer(typing.NamedTuple):
    """A machine class for rent, with its price (currency units) and reclaim rate."""

    data_centre: str
    machine_class: str
    market: str
    price_per_hour: float
    reclaims_per_hour: float


class CloudInstance(typing.NamedTuple):
    """One rented instance, as the cloud reports it."""

    name: str
    address: str
    port: int
    data_centre: str
    machine_class: str
    market: str
    deployment: str
    client_token: str
    state: str


class ReclaimNotice(typing.NamedTuple):
    """Notice that the cloud reclaims an instance at ``deadline`` (Unix seconds)."""

    offset: int
    instance: str
    deadline: float


class Cloud(typing.Protocol):
    """The cloud API."""

    async def offers(self) -> list[Offer]:
        """Return what can be rented now."""

    async def start_instance(
        self,
        *,
        client_token: str,
        deployment: str,
        data_centre: str,
        machine_class: str,
        market: str,
    ) -> CloudInstance:
        """Rent an instance; repeated calls with a client token rent only one."""

    async def stop_instance(self, name: str) -> None:
        """Release an instance; releasing it twice is no error."""

    async def notices(
        self, from_offset: int, *, wait_s: float = 0
    ) -> list[ReclaimNotice]:
        """Return the reclaim notices from an offset on."""


class InstanceList(typing.Protocol):
    """The platform's list of live and leaving instances, some seconds old."""

    async def instances(self) -> list[CloudInstance]:
        """Return the list as it was some seconds ago."""


class WeightStore(typing.Protocol):
    """The rate-limited store of model weights."""

    async def reserve(self, model: str, version: str) -> float:
        """Return the seconds to wait before an engine may load these weights."""
