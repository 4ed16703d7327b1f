"""
Remembers which software version began each stream, also at entries that never saw it.

What two versions of an endpoint's software write doesn't fit together, so a stream may
go on only at the version that began it. A caller that takes a stream up may come to any
entry, and often because the entry that began it has ended. So before an entry passes on
the first event of a stream, it tells a few other entries, the stream's keepers, chosen
by rendezvous hashing. An entry that doesn't know a stream asks them.

    await origins.record("org", "attempt-1", Origin("service", "v2"))
    await origins.find("org", "attempt-1")  # Origin(service='service', version='v2')

What must outlive all entries is in the store: which versions may have begun streams,
and while there are several, which stream began at which. One entry, the recorder, is
told of all streams and writes that for the others.

See ``docs/design/software-versions.md`` for the ways weighed.
"""

import asyncio
import collections
import hashlib
import logging
import math
import time
import typing
from collections import abc

from acaciaward import errors
from acaciaward.membership import interfaces, rendezvous
from acaciaward.observability import logs
from acaciaward.resumption import messages, servingversions, streamlog

log = logging.getLogger(__name__)

State = interfaces.PeerState

# Entries that are told of a stream, of a group that is the same for all streams: the
# connections of an entry don't grow with the number of entries.
KEEPERS = 3
KEEPER_GROUP = 12
# How often the group is chosen again.
GROUP_INTERVAL_S = 0.25
REQUEST_TIMEOUT_S = 0.3
# Streams are remembered for longer than callers take them up.
RETENTION_S = 60.0
MAX_STREAMS = 20_000
DIGEST_BYTES = 8


Origin = servingversions.Origin


class Search(typing.NamedTuple):
    """
    What the entries that were asked know of a stream.

    ``origin`` is None if nobody knows. ``known_by`` says who does: this entry's
    ``memory`` or a ``peer``. ``answered`` of the ``asked`` peers had answered by then.
    """

    origin: Origin | None
    known_by: str | None = None
    asked: int = 0
    answered: int = 0


class StoredAnswer(typing.NamedTuple):
    """
    What the store says of a stream.

    ``origin`` is None if it doesn't tell. With ``is_shared``, its service shares or
    just shared a route with others, also if this entry's configuration doesn't say so.
    """

    origin: Origin | None = None
    is_shared: bool = False


class Stored(typing.NamedTuple):
    """What is kept in the store, and outlives all entries."""

    versions: servingversions.ServingVersions
    streams: streamlog.StreamLog


class Membership(interfaces.Membership, interfaces.PeerNetwork, typing.Protocol):
    """The entries that this one knows, and messages to them."""

    def notify(self, peer: str, kind: str, body: abc.Mapping[str, typing.Any]) -> None:
        """Send a message without reply to a peer."""


class StreamOrigins:
    """The origins of streams that this entry began or keeps for others."""

    def __init__(
        self, membership: Membership, *, clock: abc.Callable[[], float] = time.monotonic
    ):
        self._membership = membership
        self._stored: Stored | None = None
        self._clock = clock
        self._origins: collections.OrderedDict[str, tuple[Origin, float]]
        self._origins = collections.OrderedDict()
        self._group: list[str] = []
        self._recorder = membership.name
        self._group_chosen_at = -math.inf
        membership.handle("stream_began", self._receive)
        membership.handle("stream_origin", self._answer)

    def __len__(self) -> int:
        return len(self._origins)

    def use_store(self, stored: Stored) -> None:
        """Keep in the store what must outlive all entries."""
        self._stored = stored
        stored.versions.store_streams = self._store_streams

    @property
    def recorder(self) -> str:
        """The name of the entry that writes to the store for all."""
        self._choose_group()
        return self._recorder

    @property
    def tasks(self) -> list[abc.Callable[[], abc.Coroutine]]:
        """The coroutine functions to run as tasks."""
        return [part.run for part in self._stored or ()]

    async def record(self, organisation: str, attempt_id: str, origin: Origin) -> None:
        """
        Record where a stream began, and tell its keepers and the recorder.

        The stream's first event may be passed on afterwards.
        """
        self.record_taken_up(organisation, attempt_id, origin)
        if self._stored is not None:
            await self._stored.versions.ensure(origin)

    def record_taken_up(
        self, organisation: str, attempt_id: str, origin: Origin
    ) -> None:
        """Record that an attempt takes a stream up, as it may break off, too."""
        stream = _digest(organisation, attempt_id)
        self._remember(stream, origin)
        body: messages.StreamBegan = {
            "sender": self._membership.name,
            "stream": stream,
            **origin._asdict(),
        }
        told = dict.fromkeys([*self._ranked_entries(stream)[:KEEPERS], self.recorder])
        for name in told:
            if name != self._membership.name:
                self._membership.notify(name, "stream_began", body)

    async def find(self, organisation: str, attempt_id: str) -> Origin | None:
        """Return where a stream began, or None if no entry that was asked knows."""
        return (await self.search(organisation, attempt_id)).origin

    async def search(self, organisation: str, attempt_id: str) -> Search:
        """Find out where a stream began from this entry's memory, or from peers."""
        stream = _digest(organisation, attempt_id)
        known = self._origins.get(stream)
        if known is not None:
            return Search(known[0], "memory")
        asked = dict.fromkeys([*self._ranked_entries(stream), self.recorder])
        requests = [
            asyncio.ensure_future(self._request(name, stream))
            for name in asked
            if name != self._membership.name
        ]
        answered = 0
        try:
            for request in asyncio.as_completed(requests):
                answer = await request
                answered += answer is not None
                origin = _decode(answer)
                if origin is not None:
                    self._remember(stream, origin)
                    return Search(origin, "peer", len(requests), answered)
        finally:
            for request in requests:
                request.cancel()
        return Search(None, None, len(requests), answered)

    async def find_stored(
        self, organisation: str, attempt_id: str | None, service: str
    ) -> Origin | None:
        """
        Return where the store says that a stream began, None if it doesn't tell.

        ``service`` is the only one that the stream can have begun at.
        """
        return (await self.look_up(organisation, attempt_id, service)).origin

    async def look_up(
        self, organisation: str, attempt_id: str | None, service: str
    ) -> StoredAnswer:
        """Look up in the store where a stream of a service began."""
        if self._stored is None:
            return StoredAnswer()
        try:
            versions = await self._stored.versions.read(service)
            origin = Origin(service, *versions) if len(versions) == 1 else None
            if origin is None and attempt_id is not None:
                stream = _digest(organisation, attempt_id)
                origin = await self._stored.streams.find(stream)
        except errors.PlatformError as error:
            log.info(
                "could not ask the store where a stream began",
                extra=logs.fields(reason=error),
            )
            return StoredAnswer()
        log.info(
            "asked the store where a stream began",
            extra=logs.fields(
                attempt=attempt_id,
                service=service,
                versions=",".join(sorted(versions)),
                endpoint_version=origin.version if origin else None,
            ),
        )
        return StoredAnswer(origin, servingversions.SHARED in versions)

    async def find_recorded(self, organisation: str, attempt_id: str) -> Origin | None:
        """
        Return where the store says that this stream began, None if it doesn't tell.

        It has the streams of services that have several versions or share a route.
        """
        if self._stored is None:
            return None
        return await self._stored.streams.find(_digest(organisation, attempt_id))

    async def _request(
        self, keeper: str, stream: str
    ) -> abc.Mapping[str, typing.Any] | None:
        """Ask a peer; return its answer, None if there is none."""
        body: messages.OriginRequest = {
            "sender": self._membership.name,
            "stream": stream,
        }
        try:
            return await self._membership.request(
                keeper, "stream_origin", body, timeout_s=REQUEST_TIMEOUT_S
            )
        except errors.PeerUnreachableError as error:
            log.info(
                "could not ask a peer where a stream began",
                extra=logs.fields(peer=keeper, reason=error),
            )
            return None

    async def _receive(self, sender: str, body: messages.StreamBegan) -> None:
        self._remember(body["stream"], Origin(body["service"], body["version"]))

    async def _answer(
        self, sender: str, body: messages.OriginRequest
    ) -> messages.OriginAnswer:
        known = self._origins.get(body["stream"])
        if known is None:
            return {"service": None, "version": None}
        return {"service": known[0].service, "version": known[0].version}

    def _remember(self, stream: str, origin: Origin) -> None:
        now = self._clock()
        if stream not in self._origins:
            self._origins[stream] = (origin, now)
            self._store_if_needed(stream, origin)
        while self._origins:
            _, recorded_at = next(iter(self._origins.values()))
            is_expired = now - recorded_at > RETENTION_S
            if len(self._origins) <= MAX_STREAMS and not is_expired:
                break
            self._origins.popitem(last=False)

    def _store_if_needed(self, stream: str, origin: Origin) -> None:
        if self._stored is None or self.recorder != self._membership.name:
            return
        if self._stored.versions.needs_streams(origin.service):
            self._stored.streams.add(stream, origin)

    async def _store_streams(self, service: str) -> None:
        """Store the streams that began before a service had several versions."""
        for stream, (origin, _) in self._origins.items():
            if origin.service == service:
                self._stored.streams.add(stream, origin)
        try:
            await self._stored.streams.flush()
        except errors.PlatformError as error:
            log.warning(
                "could not store the streams of a service in time",
                extra=logs.fields(service=service, reason=error),
            )

    def _ranked_entries(self, stream: str) -> list[str]:
        """
        Return the entries that may keep a stream, the first keeper first.

        They are one more than there are keepers, as the entry that began the stream may
        be among them, but not this entry.
        """
        self._choose_group()
        ranked = rendezvous.choose(stream, self._group, KEEPERS + 1)
        return [name for name in ranked if name != self._membership.name]

    def _choose_group(self) -> None:
        now = self._clock()
        if now - self._group_chosen_at >= GROUP_INTERVAL_S:
            names = {
                peer.name
                for peer in self._membership.peers()
                if peer.state in (State.LIVE, State.LEAVING)
            } | {self._membership.name}
            self._group = rendezvous.choose("stream origins", names, KEEPER_GROUP)
            self._group_chosen_at = now
            (self._recorder,) = rendezvous.choose("stream recorder", self._group, 1)


def _decode(answer: abc.Mapping[str, typing.Any] | None) -> Origin | None:
    if answer is None or answer["service"] is None or answer["version"] is None:
        return None
    return Origin(answer["service"], answer["version"])


def _digest(organisation: str, attempt_id: str) -> str:
    """Return a name that no other organisation's stream has."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    hasher.update(f"{len(organisation)}:{organisation}{attempt_id}".encode())
    return hasher.hexdigest()
