"""
Buffers the events of one stream between dispatch and its caller.

A task reads the events of dispatch and keeps them encoded until they are written to
the caller's connection. When the buffer is full that task waits, and with it the
connection to the engine, so a slow caller slows its own stream only. When the caller
disconnects, the feed ends and the stream is cancelled at the engine. When the stream
is handed over to another entry, the feed ends but the stream goes on at the engine.
"""

import asyncio
import contextlib
import logging
from collections import abc

from acaciaward import errors
from acaciaward.dispatch import streams

log = logging.getLogger(__name__)

DISCONNECT_POLL_S = 0.2

Encoder = abc.Callable[[streams.StreamEvent], bytes]


class Feed:
    """
    The events of one stream as bytes; iterate over it once, then close it.

    ``error`` is set when the stream ended without its answer, and
    ``is_handed_over`` when another entry may continue it.
    """

    def __init__(
        self,
        events: abc.AsyncIterator[streams.StreamEvent],
        encode: Encoder,
        control: streams.StreamControl,
        is_caller_gone: abc.Callable[[], abc.Awaitable[bool]],
        *,
        max_events: int,
    ):
        self.error: errors.RequestError | None = None
        self.is_handed_over = False
        self._events = events
        self._encode = encode
        self._control = control
        self._is_caller_gone = is_caller_gone
        self._buffer: asyncio.Queue[bytes | None] = asyncio.Queue(max_events)
        self._has_begun = asyncio.Event()
        self._has_ended = False
        self._buffer_task = asyncio.create_task(self._buffer_events())
        self._disconnect_task = asyncio.create_task(self._wait_for_disconnect())

    async def wait_for_first(self) -> None:
        """Wait for the first event, or raise the error that came instead."""
        await self._has_begun.wait()
        if self.error is not None and self._control.last_opened is None:
            raise self.error

    def hand_over(self) -> None:
        """Stop reading and leave the stream at its engine."""
        if self._has_ended:
            return
        self._control.is_handed_over = True
        self.is_handed_over = True
        self._buffer_task.cancel()

    async def close(self) -> None:
        """Stop reading; an incomplete stream is cancelled at its engine."""
        for task in (self._buffer_task, self._disconnect_task):
            task.cancel()
        await asyncio.gather(
            self._buffer_task, self._disconnect_task, return_exceptions=True
        )

    async def parts(self) -> abc.AsyncIterator[bytes]:
        """Yield the encoded events until the stream ends or is handed over."""
        while not (self._has_ended and self._buffer.empty()):
            part = await self._buffer.get()
            if part is not None:
                yield part

    async def _buffer_events(self) -> None:
        try:
            async with contextlib.aclosing(self._events) as events:
                async for event in events:
                    await self._buffer.put(self._encode(event))
                    self._has_begun.set()
        except errors.RequestError as error:
            self.error = error
        except Exception:
            log.exception("stream failed")
            self.error = errors.AttemptFailedError("internal error")
        finally:
            self._has_ended = True
            self._has_begun.set()
            # ``parts`` may wait on an empty buffer; a full one wakes it anyway.
            with contextlib.suppress(asyncio.QueueFull):
                self._buffer.put_nowait(None)

    async def _wait_for_disconnect(self) -> None:
        while not self._has_ended:
            await asyncio.sleep(DISCONNECT_POLL_S)
            if await self._is_caller_gone():
                self._buffer_task.cancel()
                return
