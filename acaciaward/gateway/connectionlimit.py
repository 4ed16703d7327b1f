"""
Bounds the connections of callers over all listeners of an entry.

    limit = ConnectionLimit(700)
    limit.add(connection)
    limit.touch(connection)  # A request begins.
    limit.remove(connection)

One connection more than the limit closes another: of the sender with the most, the one
on which a request began longest ago and that runs none. A client that connects always
gets a connection unless all others run requests, so a crowd of stalled clients doesn't
shut out ordinary ones, as it would if accepting stopped until descriptors are free.
"""

import typing

from acaciaward.gateway import metrics


class Connection(typing.Protocol):
    """One connection of a caller."""

    sender: str
    is_busy: bool

    def abort(self) -> None:
        """Reset the connection."""


class ConnectionLimit:
    """Counts connections and closes the least active one of the largest sender."""

    def __init__(self, max_count: int):
        self._max_count = max_count
        self._count = 0
        # Each sender's connections, the least recently active first.
        self._by_sender: dict[str, dict[Connection, None]] = {}

    @property
    def count(self) -> int:
        """The number of open connections."""
        return self._count

    @property
    def max_count(self) -> int:
        """The most connections that may be open."""
        return self._max_count

    def add(self, connection: Connection) -> None:
        """Count a new connection, and close one if there are too many."""
        self._by_sender.setdefault(connection.sender, {})[connection] = None
        self._count += 1
        if self._count > self._max_count:
            victim = self._choose_victim() or connection
            self.remove(victim)
            metrics.CONNECTIONS_CLOSED.inc()
            victim.abort()

    def touch(self, connection: Connection) -> None:
        """Make a connection the most recently active one of its sender."""
        connections = self._by_sender.get(connection.sender, {})
        if connection in connections:
            del connections[connection]
            connections[connection] = None

    def remove(self, connection: Connection) -> None:
        """Stop counting a connection."""
        connections = self._by_sender.get(connection.sender, {})
        if connection not in connections:
            return
        del connections[connection]
        self._count -= 1
        if not connections:
            del self._by_sender[connection.sender]

    def _choose_victim(self) -> Connection | None:
        for connections in sorted(self._by_sender.values(), key=len, reverse=True):
            for connection in connections:
                if not connection.is_busy:
                    return connection
        return None
