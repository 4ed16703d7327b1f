"""
The way of one stream from dispatch to its caller, through a bounded buffer.

A task reads the events of dispatch and keeps them encoded until the caller's
connection takes them. When the buffer is full that task waits, and with it the
connection to the engine, so a slow caller slows its own stream only. The feed
ends by itself when the caller goes away, which cancels the stream at the engine,
and it can be handed over to another entry, which doesn't.
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
    ``is_handed_over`` when another entry may go on with it.
    """

    def __init__(
        self,
        events: abc.AsyncIterator[streams.StreamEvent],
        encode: Encoder,
        control: streams.StreamControl,
        is_gone: abc.Callable[[], abc.Awaitable[bool]],
        *,
        max_events: int,
    ):
        self.error: errors.RequestError | None = None
        self.is_handed_over = False
        self._events = events
        self._encode = encode
        self._control = control
        self._is_gone = is_gone
        self._buffer: asyncio.Queue[bytes | None] = asyncio.Queue(max_events)
        self._has_begun = asyncio.Event()
        self._has_ended = False
        self._pump = asyncio.create_task(self._run_pump())
        self._watch = asyncio.create_task(self._run_watch())

    async def wait_for_first(self) -> None:
        """Wait for the first event, or raise the error that came instead."""
        await self._has_begun.wait()
        if self.error is not None and self._control.opened is None:
            raise self.error

    def hand_over(self) -> None:
        """Stop reading and leave the stream at its engine."""
        if self._has_ended:
            return
        self._control.is_handed_over = True
        self.is_handed_over = True
        self._pump.cancel()

    async def close(self) -> None:
        """Stop reading; a stream that isn't whole is cancelled at its engine."""
        for task in (self._pump, self._watch):
            task.cancel()
        await asyncio.gather(self._pump, self._watch, return_exceptions=True)

    async def parts(self) -> abc.AsyncIterator[bytes]:
        """Yield the encoded events until the stream ends or is handed over."""
        while not (self._has_ended and self._buffer.empty()):
            part = await self._buffer.get()
            if part is not None:
                yield part

    async def _run_pump(self) -> None:
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
            # The reader may wait on an empty buffer; a full one wakes it anyway.
            with contextlib.suppress(asyncio.QueueFull):
                self._buffer.put_nowait(None)

    async def _run_watch(self) -> None:
        while not self._has_ended:
            await asyncio.sleep(DISCONNECT_POLL_S)
            if await self._is_gone():
                self._pump.cancel()
                return
