"""
Splits a stream of server-sent events into complete events with their numbers.

    splitter = EventSplitter()
    splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    # [Event(number=1, data=b"id: 1\\ndata: a\\n\\n")]
"""

import re
import typing

_END = re.compile(rb"\r?\n\r?\n")
_NUMBER = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class Event(typing.NamedTuple):
    """The bytes of one event with its end marker, and its number if it has one."""

    number: int | None
    data: bytes


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self):
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The bytes of the event that is still incomplete."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that the data completes."""
        self._rest += data
        events = []
        start = 0
        for match in _END.finditer(self._rest):
            piece = self._rest[start : match.end()]
            start = match.end()
            number = _NUMBER.search(piece)
            events.append(Event(int(number[1]) if number else None, piece))
        self._rest = self._rest[start:]
        return events
