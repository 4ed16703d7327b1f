"""
Keeps what endpoints say of themselves, apart from their records in the store.

A record may go, be unreadable or name another start while its endpoint runs on. So a
statement doesn't end with the record but with the start that made it: when a later
start is proven, or when the endpoint hasn't been listed or heard for long. A record
that is gone or names no start proves nothing.

    statements = Statements(time.monotonic, time.time)
    statements.record_answer(("app-1", 0), "leaving")
    statements.find(("app-1", 0))  # ["leaving"]
"""

import collections
import logging
import typing
from collections import abc

from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Name and start of an endpoint, in Unix milliseconds, 0 if it isn't reported.
Incarnation = tuple[str, int]

# How long a statement is kept after its endpoint was last heard or asked for.
MEMORY_S = 3600.0
# How long it binds a start that may or may not have made it.
UNPROVEN_MEMORY_S = 600.0
# By how much the clocks of entries and endpoints may differ.
CLOCK_ERROR_S = 1.0
# How long it binds a start that can have made it only if its clock differs so much. An
# endpoint that starts again within a second of its last answer is avoided no longer.
UNLIKELY_MEMORY_S = 5.0
MAX_ENDPOINTS = 4096
MAX_STARTS_PER_ENDPOINT = 4

Value = typing.TypeVar("Value")


class _Statement(typing.NamedTuple):
    """
    A value, and when it was heard and last needed, by the steady clock.

    ``latest_start_ms`` is the latest start that may have made the statement, in Unix
    milliseconds, and ``likely_start_ms`` the latest one if all clocks agree.
    """

    value: typing.Any
    heard_at: float
    needed_at: float
    latest_start_ms: float
    likely_start_ms: float

    def memory_s(self, born: int) -> float:
        """Return for how long the statement binds a start that isn't proven."""
        if born > self.latest_start_ms:
            return 0.0
        is_likely = born <= self.likely_start_ms
        return UNPROVEN_MEMORY_S if is_likely else UNLIKELY_MEMORY_S


class Statements(typing.Generic[Value]):
    """
    One kind of statement of all endpoints.

    ``clock`` returns seconds of a steady clock, ``unix_time`` Unix seconds.
    """

    def __init__(
        self, clock: abc.Callable[[], float], unix_time: abc.Callable[[], float]
    ):
        self._clock = clock
        self._unix_time = unix_time
        # By name and start; the endpoint that was heard last comes last.
        self._by_name: collections.OrderedDict[str, dict[int, _Statement]]
        self._by_name = collections.OrderedDict()

    @property
    def names(self) -> list[str]:
        """The names of the endpoints that have made statements."""
        return list(self._by_name)

    def __contains__(self, name: str) -> bool:
        """Return whether any start of an endpoint has made a statement."""
        return name in self._by_name

    def record_answer(self, incarnation: Incarnation, value: Value) -> None:
        """
        Record what an answer says that arrives now.

        The start is the one that is listed. A later one, whose record hasn't arrived
        yet, may have given the answer.
        """
        now_ms = 1000 * self._unix_time()
        self._add(incarnation, value, now_ms + 1000 * CLOCK_ERROR_S, now_ms)

    def record_of_start(self, incarnation: Incarnation, value: Value) -> None:
        """Record what is known of exactly this start, as from its record."""
        _, born = incarnation
        if born:
            self._add(incarnation, value, born, born)
        else:
            self.record_answer(incarnation, value)

    def find(self, incarnation: Incarnation) -> list[Value]:
        """Return the statements that this start has made, or may have made."""
        name, born = incarnation
        by_start = self._by_name.get(name)
        if by_start is None:
            return []
        now = self._clock()
        found = []
        for start, statement in list(by_start.items()):
            if start == born:
                if now - statement.needed_at < MEMORY_S:
                    by_start[start] = statement._replace(needed_at=now)
                    found.append(statement.value)
            elif now - statement.heard_at < statement.memory_s(born):
                found.append(statement.value)
        return found

    def _add(
        self,
        incarnation: Incarnation,
        value: Value,
        latest_start_ms: float,
        likely_start_ms: float,
    ) -> None:
        name, born = incarnation
        now = self._clock()
        by_start = self._by_name.setdefault(name, {})
        statement = _Statement(value, now, now, latest_start_ms, likely_start_ms)
        known = by_start.pop(born, None)
        # What is known of exactly this start takes nothing back of what an answer,
        # perhaps of a later start, has said.
        if known is not None and known.latest_start_ms > latest_start_ms:
            statement = statement._replace(
                heard_at=known.heard_at,
                latest_start_ms=known.latest_start_ms,
                likely_start_ms=known.likely_start_ms,
            )
        by_start[born] = statement
        if len(by_start) > MAX_STARTS_PER_ENDPOINT:
            del by_start[next(iter(by_start))]
        self._by_name.move_to_end(name)
        if len(self._by_name) > MAX_ENDPOINTS:
            oldest, _ = self._by_name.popitem(last=False)
            log.info(
                "endpoint's statements dropped", extra=logs.fields(endpoint=oldest)
            )
