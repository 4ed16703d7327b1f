"""
Parses callers' requests with h11, and joins the chunks of chunked bodies before it.

h11 takes some 10 µs for each chunk, so that a body of many tiny chunks would keep the
process busy for seconds. Here all chunks that have arrived reach h11 as one. What
follows a request is kept back until its turn, so h11 gets one message at a time.

    parser = RequestParser(16384)
    parser.receive_data(b"GET / HTTP/1.1\\r\\nHost: x\\r\\n\\r\\n")
    parser.next_event()  # An h11.Request; as that of ``h11.Connection``.
"""

import re
import typing

import h11

# The blank line that ends a head or the trailers of a chunked body.
_BLANK_LINE = re.compile(rb"\n\r?\n")
# The end of a head may begin in the bytes that h11 has already got.
_TAIL_BYTES = 2
_CHUNK_HEAD = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\n]*?)?[ \t]*\r\n")
_LINE_END = b"\r\n"
# More chunks than this in one piece take longer to parse than an ordinary request.
MANY_CHUNKS = 256


class RequestParser:
    """The server's side of one connection."""

    def __init__(self, max_head_bytes: int):
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_head_bytes
        )
        self._max_head_bytes = max_head_bytes
        # Received, but not yet given to h11.
        self._pending = bytearray()
        self._feed = self._feed_head
        self._tail = b""
        # Bytes of a head or of trailers that h11 has got without their end.
        self._line_bytes = 0
        # Whether h11 has no event without further bytes, so it needn't be asked.
        self._is_drained = True
        self._body_left = 0
        self._chunk_left = 0
        self._is_at_chunk_end = False
        self._chunks_joined = 0

    @property
    def has_tiny_chunks(self) -> bool:
        """Whether the piece parsed last had so many chunks that parsing took long."""
        return self._chunks_joined > MANY_CHUNKS

    @property
    def connection(self) -> h11.Connection:
        """The connection of h11, for states and answers."""
        return self._connection

    @property
    def pending_bytes(self) -> int:
        """The number of bytes that belong to no parsed event yet."""
        return len(self._pending) + self._line_bytes

    @property
    def announced_bytes(self) -> int:
        """The length of the body that a head announces; 0 if it has chunks."""
        return self._body_left

    def receive_data(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        self._pending += data

    def next_event(self) -> typing.Any:
        """Return the next event, as ``h11.Connection.next_event`` does."""
        event = h11.NEED_DATA
        while event is h11.NEED_DATA:
            if self._is_drained and not (self._pending and self._feed()):
                return h11.NEED_DATA
            event = self._connection.next_event()
            self._is_drained = event is h11.NEED_DATA
        if isinstance(event, h11.Request):
            self._begin_body(event)
        elif isinstance(event, h11.EndOfMessage):
            self._chunks_joined = 0
            self._begin_lines()
            self._is_drained = True
        return event

    def _begin_body(self, head: h11.Request) -> None:
        self._line_bytes = 0
        self._body_left = self._chunk_left = 0
        for name, value in head.headers.raw_items():
            # h11 has checked both, and chunks go before a length.
            lower_name = name.lower()
            if lower_name == b"transfer-encoding":
                self._body_left = 0
                self._is_at_chunk_end = False
                self._feed = self._feed_chunks
                self._is_drained = True
                return
            if lower_name == b"content-length":
                self._body_left = int(value)
        self._feed = self._feed_sized
        self._is_drained = self._body_left > 0

    def _begin_lines(self) -> None:
        self._tail = b""
        self._line_bytes = 0
        self._feed = self._feed_head

    def _feed_head(self) -> bool:
        """Give h11 lines up to the next blank one; a head or trailers end there."""
        match = _BLANK_LINE.search(self._tail + self._pending)
        count = match.end() - len(self._tail) if match else len(self._pending)
        data = self._take(count)
        self._tail = b"" if match else (self._tail + data)[-_TAIL_BYTES:]
        self._line_bytes += count
        self._connection.receive_data(data)
        return True

    def _feed_sized(self) -> bool:
        """Give h11 bytes of a body of announced length."""
        data = self._take(min(self._body_left, len(self._pending)))
        if not data:
            return False
        self._body_left -= len(data)
        self._connection.receive_data(data)
        return True

    def _feed_chunks(self) -> bool:
        """Give h11 all chunks that have arrived as one."""
        data = bytes(self._pending)
        parts: list[bytes] = []
        at = 0
        is_last = False
        while not is_last:
            if self._chunk_left:
                part = data[at : at + self._chunk_left]
                parts.append(part)
                at += len(part)
                self._chunk_left -= len(part)
                self._is_at_chunk_end = not self._chunk_left
                if self._chunk_left:
                    break
            if self._is_at_chunk_end:
                line_end = data[at : at + len(_LINE_END)]
                if not _LINE_END.startswith(line_end):
                    raise h11.RemoteProtocolError("malformed end of a chunk")
                if line_end != _LINE_END:
                    break
                at += len(_LINE_END)
                self._is_at_chunk_end = False
            match = _CHUNK_HEAD.match(data, at)
            if match is None:
                self._check_partial_chunk_head(data, at)
                break
            self._chunk_left = int(match[1], 16)
            is_last = not self._chunk_left
            # h11 reads the head of the last chunk itself, and the trailers after it.
            at = match.start() if is_last else match.end()
        del self._pending[:at]
        self._chunks_joined = len(parts)
        joined = b"".join(parts)
        if joined:
            self._connection.receive_data(b"%x\r\n%b\r\n" % (len(joined), joined))
        if is_last:
            self._begin_lines()
        return bool(joined) or is_last

    def _check_partial_chunk_head(self, data: bytes, at: int) -> None:
        """Raise unless the bytes may become the head of a chunk."""
        if b"\n" in data[at:]:
            raise h11.RemoteProtocolError("illegal head of a chunk")
        if len(data) - at > self._max_head_bytes:
            raise h11.RemoteProtocolError("head of a chunk too long", 431)

    def _take(self, count: int) -> bytes:
        data = bytes(self._pending[:count])
        del self._pending[:count]
        return data
