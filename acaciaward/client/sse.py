"""Parses the server-sent events of a streamed answer."""

import typing
from collections import abc

import msgspec

from acaciaward import httpclient

DATA_PREFIX = b"data: "
DONE = b"[DONE]"


async def events(
    response: httpclient.Response,
) -> abc.AsyncIterator[typing.Any]:
    """
    Yield the JSON body of each event until ``[DONE]``.

    Raises ``ConnectionLostError`` if the body ends before that.
    """
    async for line in response.lines():
        if not line.startswith(DATA_PREFIX):
            continue
        data = line[len(DATA_PREFIX) :]
        if data == DONE:
            return
        yield msgspec.json.decode(data)
    raise httpclient.ConnectionLostError("the stream ended without its final event")
