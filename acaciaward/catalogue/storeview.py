"""
Keeps the entry's copy of the store: the configuration in force and the endpoints.

The configuration version never decreases. A configuration that can't be decoded is
ignored; an endpoint whose record can't be decoded is removed.
"""

import asyncio
import collections
import logging
import typing
from collections import abc

from acaciaward import errors
from acaciaward.catalogue import endpoints, routes, sharedread, topicfollower
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# A key may be of any length.
MAX_LOGGED_CHARACTERS = 80
EMPTY_CATALOGUE = routes.Catalogue(version=-1)


class UnreadableError(errors.AcaciawardError):
    """A record of the store that can't be decoded; the message says why."""


class ListedVersions(typing.NamedTuple):
    """The versions of each service as of a read, and when that began."""

    read_at: float
    versions: abc.Mapping[str, abc.Set[str]]


class Decoder(typing.Protocol):
    """Decodes the store's records; raises ``UnreadableError`` for an invalid one."""

    CONFIGURATION_KEY: str

    def decode_catalogue(self, data: bytes) -> routes.Catalogue:
        """Decode a configuration."""

    def decode_endpoint(self, name: str, data: bytes) -> endpoints.Endpoint:
        """Decode the record of one endpoint."""


class StoreView:
    """
    Follows the topics of configurations and of endpoints.

    ``is_relayed`` and ``is_configuration_relayed`` return whether relays bring updates
    of endpoints and of configurations from a reader, the entry that reads the store for
    its data centre; while they do, this entry doesn't read them. ``outdated`` is set
    while the reader has a newer configuration, which ``PeerFetcher`` then requests.
    """

    def __init__(
        self,
        directory: endpoints.Directory,
        configuration_source: topicfollower.Source,
        endpoint_source: topicfollower.Source,
        decoder: Decoder,
        *,
        wait_s: float,
        pause_s: float,
        is_relayed: abc.Callable[[], bool],
        is_configuration_relayed: abc.Callable[[], bool],
    ):
        self.index: routes.Index | None = None
        # The store's record of the configuration in force.
        self.configuration_data: bytes | None = None
        self.on_endpoints_read: abc.Callable[[], None] = lambda: None
        self._directory = directory
        self._decoder = decoder
        # Set while the reader has a newer configuration.
        self.outdated = asyncio.Event()
        self._listeners: list[abc.Callable[[routes.Catalogue], None]] = []
        self._configuration_follower = topicfollower.Follower(
            configuration_source,
            name="configuration",
            on_listing=lambda values: self._apply_configurations(values, "listing"),
            on_change=lambda change: self._apply_configurations(
                {change.key: change.value}, "change"
            ),
            wait_s=wait_s,
            is_relayed=is_configuration_relayed,
        )
        self._endpoint_follower = topicfollower.Follower(
            endpoint_source,
            name="endpoints",
            on_listing=self._apply_endpoints,
            on_change=self._apply_endpoint,
            on_outage=directory.record_outage,
            on_read=lambda began_at, is_continuous: directory.record_read(
                began_at, is_continuous=is_continuous
            ),
            is_relayed=is_relayed,
            pause_s=pause_s,
        )

        self._listing = sharedread.SharedRead(endpoint_source.read_all)

    @property
    def catalogue(self) -> routes.Catalogue:
        """The configuration in force; version -1 if there is none yet."""
        return self.index.catalogue if self.index else EMPTY_CATALOGUE

    @property
    def is_complete(self) -> bool:
        """Whether there is a configuration, and the endpoints are listed."""
        return self.index is not None and self._endpoint_follower.listed.is_set()

    @property
    def endpoints_read_at(self) -> float:
        """The monotonic time at which the last successful read of endpoints began."""
        return self._endpoint_follower.read_at

    @property
    def configuration_read_at(self) -> float:
        """The monotonic time at which the last read of the configuration began."""
        return self._configuration_follower.read_at

    @property
    def scaled_services(self) -> list[routes.Service]:
        """The services with rented endpoints; empty until the endpoints are listed."""
        # Before the endpoints are listed, none of them would seem to exist.
        return self.index.scaled_services if self.is_complete else []

    @property
    def resumable_services(self) -> frozenset[str]:
        """The names of the services with streams that callers may take up."""
        return self.index.resumable_services if self.index else frozenset()

    def subscribe(self, listener: abc.Callable[[routes.Catalogue], None]) -> None:
        """Call a listener with each version that comes into force."""
        self._listeners.append(listener)

    @property
    def tasks(self) -> list[abc.Callable[[], abc.Coroutine]]:
        """The coroutine functions to run as tasks."""
        return [self._configuration_follower.run, self._endpoint_follower.run]

    def receive_version(self, version: int) -> None:
        """Receive the version in force at the reader."""
        if version <= self.catalogue.version:
            self.outdated.clear()
            return
        if not self.outdated.is_set():
            log.info(
                "reader has a newer configuration",
                extra=logs.fields(version=version, before=self.catalogue.version),
            )
        self.outdated.set()

    def receive_configuration(self, data: bytes) -> None:
        """Receive another entry's record of the configuration in force there."""
        self._apply_configurations({self._decoder.CONFIGURATION_KEY: data}, "peer")

    def _apply_configurations(
        self, values: abc.Mapping[str, bytes | None], source: str
    ) -> None:
        data = values.get(self._decoder.CONFIGURATION_KEY)
        if not data:
            return
        try:
            catalogue = self._decoder.decode_catalogue(data)
        except UnreadableError as error:
            log.error("configuration unreadable", extra=logs.fields(reason=error))
            return
        current_version = self.catalogue.version
        if catalogue.version <= current_version:
            return
        self.index = routes.Index(catalogue)
        self.configuration_data = data
        self.outdated.clear()
        for listener in self._listeners:
            listener(catalogue)
        log.info(
            "configuration in force",
            extra=logs.fields(
                version=catalogue.version,
                before=current_version,
                source=source,
                routes=len(catalogue.routes),
                organisations=len(catalogue.organisations),
            ),
        )

    def _apply_endpoints(self, values: abc.Mapping[str, bytes]) -> None:
        decoded = (self._decode(name, data) for name, data in values.items())
        self._directory.replace_all(
            [endpoint for endpoint in decoded if endpoint is not None]
        )
        self.on_endpoints_read()

    async def list_versions(self) -> ListedVersions:
        """
        Read which versions of the services' software the store lists now.

        The read begins after the call; it may raise ``PlatformError``. It changes
        nothing in the directory, which follows the topic by itself.
        """
        read = await self._listing.get()
        versions = collections.defaultdict(set)
        for name, data in read.value.values.items():
            endpoint = self._try_decode(name, data)
            if endpoint is not None:
                versions[endpoint.service].add(endpoint.version)
        return ListedVersions(read.began_at, versions)

    def _apply_endpoint(self, change: topicfollower.Change) -> None:
        if change.value is None:
            self._directory.remove(change.key, "its entry was removed")
            return
        endpoint = self._decode(change.key, change.value)
        if endpoint is not None:
            self._directory.update(endpoint)

    def _decode(self, name: str, data: bytes) -> endpoints.Endpoint | None:
        endpoint = self._try_decode(name, data)
        if endpoint is None:
            self._directory.remove_now(name, "unreadable entry")
        return endpoint

    def _try_decode(self, name: str, data: bytes) -> endpoints.Endpoint | None:
        try:
            return self._decoder.decode_endpoint(name, data)
        except UnreadableError as error:
            log.warning(
                "endpoint unreadable",
                extra=logs.fields(endpoint=name[:MAX_LOGGED_CHARACTERS], reason=error),
            )
        except Exception as error:
            # Whatever one record holds, the others have to be followed.
            log.error(
                "decoding a record failed",
                extra=logs.fields(endpoint=name[:MAX_LOGGED_CHARACTERS]),
                exc_info=error,
            )
        return None
