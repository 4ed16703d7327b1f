"""
Splits a stream of server-sent events into complete events with their numbers.

    splitter = EventSplitter()
    splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    # [Event(number=1, data=b"id: 1\\ndata: a\\n\\n")]
"""

import re
import typing
from collections import abc

from acaciaward.gateway import errors

# An event may not be larger; without an end it would fill the memory.
MAX_EVENT_BYTES = 8 * 1024 * 1024
# Where an answer has neither length nor chunks, another answer may follow inside it.
ANSWER_START = b"HTTP/1."
_END = re.compile(rb"\r?\n\r?\n")
_MAX_END_BYTES = len(b"\r\n\r\n")
_NUMBER = re.compile(rb"^id: ?(\d{1,15})\r?$", re.MULTILINE)


class Event(typing.NamedTuple):
    """The bytes of one event with its end marker, and its number if it has one."""

    number: int | None
    data: bytes

    @property
    def has_content(self) -> bool:
        """Whether it has more than comments and the pause before a reconnect."""
        return any(
            line and not line.startswith((b":", b"retry:"))
            for line in self.data.splitlines()
        )


class AnswerCheck:
    """
    Checks that the events of one answer belong to its stream.

    An answer that continues a stream must show by its first event's number that it
    does; text without one may be an error that an endpoint answers with success.
    """

    def __init__(self, *, is_continued: bool):
        self._needs_number = is_continued

    def check(self, new_events: abc.Sequence[Event]) -> abc.Sequence[Event]:
        """Return the events; raise ``errors.BrokenOffError`` at a foreign one."""
        for event in new_events:
            if event.data.startswith(ANSWER_START):
                raise errors.BrokenOffError("another answer's head inside a stream")
            if event.number is not None:
                self._needs_number = False
            elif self._needs_number and event.has_content:
                raise errors.BrokenOffError("a stream goes on without a number")
        return new_events


class EventSplitter:
    """Buffers bytes until an event is complete."""

    def __init__(self):
        self._buffer = bytearray()

    @property
    def rest(self) -> bytes:
        """The bytes of the event that is still incomplete."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """
        Return the events that the data completes.

        Raises ``errors.BrokenOffError`` if one grows beyond ``MAX_EVENT_BYTES``.
        """
        # The time must not grow with what was searched before, as an event may come in
        # thousands of parts; an end may have begun in the last of them.
        search_from = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        self._buffer += data
        events = []
        start = 0
        for match in _END.finditer(self._buffer, search_from):
            piece = bytes(self._buffer[start : match.end()])
            start = match.end()
            number = _NUMBER.search(piece)
            events.append(Event(int(number[1]) if number else None, piece))
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise errors.BrokenOffError(f"event larger than {MAX_EVENT_BYTES} bytes")
        return events
