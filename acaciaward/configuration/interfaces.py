"""The interface through which other packages read the configuration."""

import typing
from collections import abc

from acaciaward import documents, requests


class Configuration(typing.Protocol):
    """The configuration in force at this entry."""

    @property
    def view(self) -> documents.View:
        """The newest accepted version; version 0 is the empty document."""

    @property
    def is_current(self) -> bool:
        """Whether the view was confirmed as current within the configured bound."""

    def endpoints(self, deployment: str) -> list[requests.Endpoint]:
        """Return the endpoints of a deployment, empty if there is none."""

    def subscribe(self, listener: abc.Callable[[documents.View], None]) -> None:
        """Call a listener with each new view."""
