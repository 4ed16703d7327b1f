"""
What an entry knows of the store: the configuration in force, and the endpoints.

A version never goes back, and what can't be read changes nothing.
"""

import logging
import typing
from collections import abc

from acaciaward import errors
from acaciaward.catalogue import endpoints, following, routes
from acaciaward.observability import logs

log = logging.getLogger(__name__)

NOTHING = routes.Catalogue(version=-1)


class UnreadableError(errors.AcaciawardError):
    """A record of the store that can't be understood; the message says why."""


class Decoder(typing.Protocol):
    """Decodes the records; ``UnreadableError`` says what is wrong with one."""

    CONFIGURATION_KEY: str

    def decode_catalogue(self, data: bytes) -> routes.Catalogue:
        """Decode a configuration."""

    def decode_endpoint(self, name: str, data: bytes) -> endpoints.Endpoint:
        """Decode what one endpoint says of itself."""


class Knowledge:
    """Follows both topics; ``is_fed`` says that a reader does it for this entry."""

    def __init__(
        self,
        directory: endpoints.Directory,
        configurations: following.Source,
        listing: following.Source,
        decoder: Decoder,
        *,
        wait_s: float,
        pause_s: float,
        is_fed: abc.Callable[[], bool],
    ):
        self.index: routes.Index | None = None
        self.note_listed: abc.Callable[[], None] = lambda: None
        self._directory = directory
        self._decoder = decoder
        self._is_behind = False
        self._listeners: list[abc.Callable[[routes.Catalogue], None]] = []
        self._configurations = following.Follower(
            configurations,
            name="configuration",
            on_listing=self._take_configurations,
            on_change=lambda one: self._take_configurations({one.key: one.value}),
            wait_s=wait_s,
            is_fed=lambda: is_fed() and not self._is_behind,
        )
        self._endpoints = following.Follower(
            listing,
            name="endpoints",
            on_listing=self._take_endpoints,
            on_change=self._take_endpoint,
            on_outage=directory.note_outage,
            is_fed=is_fed,
            pause_s=pause_s,
        )

    @property
    def catalogue(self) -> routes.Catalogue:
        """The configuration in force; version -1 before the first."""
        return self.index.catalogue if self.index else NOTHING

    @property
    def is_complete(self) -> bool:
        """Whether there is a configuration, and the endpoints are listed."""
        return self.index is not None and self._endpoints.is_listed.is_set()

    @property
    def endpoints_read_at(self) -> float:
        """The monotonic moment at which the endpoints were last asked for and read."""
        return self._endpoints.read_at

    @property
    def scaled_services(self) -> list[routes.Service]:
        """The services whose endpoints are rented, once the endpoints are known."""
        # Before the endpoints are listed, none of them would seem to exist.
        return self.index.scaled_services if self.is_complete else []

    def subscribe(self, listener: abc.Callable[[routes.Catalogue], None]) -> None:
        """Call a listener with each version that comes into force."""
        self._listeners.append(listener)

    def work(self) -> list[abc.Coroutine]:
        """Return the tasks to run."""
        return [self._configurations.run(), self._endpoints.run()]

    def hear_version(self, version: int) -> None:
        """Take in the version in force elsewhere; a newer one is read at once."""
        self._is_behind = version > self.catalogue.version

    def _take_configurations(self, values: abc.Mapping[str, bytes | None]) -> None:
        data = values.get(self._decoder.CONFIGURATION_KEY)
        if not data:
            return
        try:
            catalogue = self._decoder.decode_catalogue(data)
        except UnreadableError as error:
            log.error("configuration unreadable", extra=logs.fields(reason=error))
            return
        known = self.catalogue.version
        if catalogue.version <= known:
            return
        self.index = routes.Index(catalogue)
        self._is_behind = False
        for listener in self._listeners:
            listener(catalogue)
        log.info(
            "configuration in force",
            extra=logs.fields(
                version=catalogue.version,
                before=known,
                routes=len(catalogue.routes),
                organisations=len(catalogue.organisations),
            ),
        )

    def _take_endpoints(self, values: abc.Mapping[str, bytes]) -> None:
        found = (self._decode(name, data) for name, data in values.items())
        self._directory.replace_all([one for one in found if one is not None])
        self.note_listed()

    def _take_endpoint(self, change: following.Change) -> None:
        if change.value is None:
            self._directory.remove(change.key, "its entry was removed")
            return
        endpoint = self._decode(change.key, change.value)
        if endpoint is not None:
            self._directory.put(endpoint)

    def _decode(self, name: str, data: bytes) -> endpoints.Endpoint | None:
        try:
            return self._decoder.decode_endpoint(name, data)
        except UnreadableError as error:
            log.warning(
                "endpoint unreadable", extra=logs.fields(endpoint=name, reason=error)
            )
            self._directory.remove_now(name, "unreadable entry")
            return None
