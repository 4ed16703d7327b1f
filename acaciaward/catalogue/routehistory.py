"""
Remembers which services routes have led to, for as long as streams of theirs run.

A stream that began a while ago may have begun at a service to which its route leads no
more, or at any of several.

    history.record(index)
    history.services_within("shop.example", "/chat/1", 15.0)  # frozenset({'a', 'b'})
    history.shared_services  # frozenset({'a', 'b'})
"""

import collections
import math
import time
import typing
from collections import abc

from acaciaward.catalogue import routes

# Longer than a stream.
RETENTION_S = 600.0
MAX_CATALOGUES = 100


class _Former(typing.NamedTuple):
    """The routes that were in force until a monotonic time."""

    until: float
    index: routes.Index


class RouteHistory:
    """
    The services of the routes now and before.

    Before this entry's first configuration nothing is known, which isn't told from
    that nothing has changed.
    """

    def __init__(self, clock: abc.Callable[[], float] = time.monotonic):
        self._clock = clock
        self._current: routes.Index | None = None
        self._former: collections.deque[_Former] = collections.deque()
        # Until when streams of a service may be some that began at another one.
        self._shared_until: dict[str, float] = {}

    def record(self, catalogue: routes.Catalogue) -> None:
        """Record the routes of a configuration that comes into force."""
        now = self._clock()
        # The organisations of former configurations would only take memory.
        index = routes.Index(routes.Catalogue(catalogue.version, catalogue.routes))
        previous, self._current = self._current, index
        if previous is not None and previous.catalogue.routes != catalogue.routes:
            self._former.append(_Former(now, previous))
        while self._former and (
            len(self._former) > MAX_CATALOGUES
            or now - self._former[0].until > RETENTION_S
        ):
            self._former.popleft()
        self._record_shared(now, previous, index)

    def _record_shared(
        self, now: float, previous: routes.Index | None, index: routes.Index
    ) -> None:
        """Record the services of which a stream's path doesn't tell one."""
        longest_s = index.longest_stream_s
        if previous is not None:
            longest_s = max(longest_s, previous.longest_stream_s)
        # Where a route leads to several no more, its streams run on.
        self._shared_until = {
            name: min(until, now + longest_s)
            for name, until in self._shared_until.items()
            if until > now
        }
        for route in filter(lambda route: route.is_resumable, index.catalogue.routes):
            own = _services_of(route)
            former = _find_services(previous, route.host, route.prefix)
            until = math.inf if len(own) > 1 else now + longest_s
            for name in own | former if len(own | former) > 1 else ():
                known_until = self._shared_until.get(name, -math.inf)
                self._shared_until[name] = max(known_until, until)

    @property
    def shared_services(self) -> frozenset[str]:
        """The services of resumable routes that lead, or led just now, to several."""
        now = self._clock()
        return frozenset(
            name for name, until in self._shared_until.items() if until > now
        )

    def services_within(self, host: str, path: str, span_s: float) -> frozenset[str]:
        """Return the services that a path has led to in a span of time until now."""
        began_at = self._clock() - span_s
        found = _find_services(self._current, host, path)
        for former in reversed(self._former):
            if former.until < began_at:
                break
            found |= _find_services(former.index, host, path)
        return found


def _find_services(index: routes.Index | None, host: str, path: str) -> frozenset[str]:
    route = index.find_route(host, path) if index is not None else None
    return _services_of(route) if route is not None else frozenset()


def _services_of(route: routes.Route) -> frozenset[str]:
    names = [name for name, weight in route.shares if weight > 0]
    return frozenset(names or [name for name, _ in route.shares])
