"""HTTP client of the platform's append-only log service."""

from collections import abc

from acaciaward import errors
from acaciaward.platform import calls
from acaciaward.provider import interfaces

EXPIRED_STATUS = 410


class HttpLog:
    """Implements ``interfaces.Log`` over HTTP."""

    def __init__(self, service: calls.PlatformService):
        self._service = service

    async def append(self, stream: str, records: abc.Sequence[dict]) -> list[int]:
        """Append all records in one call and return their offsets."""
        reply = await self._service.call(
            "POST", f"/streams/{stream}/records", {"records": list(records)}
        )
        return reply.body["offsets"]

    async def read(
        self, stream: str, from_offset: int, *, limit: int = 1000, wait_s: float = 0
    ) -> interfaces.LogPage:
        """
        Return records from an offset on; see ``interfaces.Log.read``.

        A record that is nested too deeply to decode is returned alone, with ``data``
        None.
        """
        try:
            return await self._read_page(stream, from_offset, limit, wait_s)
        except calls.AnswerTooDeepError:
            if limit > 1:
                return await self.read(stream, from_offset, limit=limit // 2)
            unreadable = interfaces.LogRecord(from_offset, 0.0, None)
            # The end of the stream is unknown here. Reporting one more record
            # keeps the reader from considering itself current.
            return interfaces.LogPage([unreadable], from_offset, from_offset + 2, 0.0)

    async def _read_page(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> interfaces.LogPage:
        query = f"from={from_offset}&limit={limit}&wait_s={wait_s}"
        reply = await self._service.call(
            "GET",
            f"/streams/{stream}/records?{query}",
            wait_s=wait_s,
            accepted=frozenset({EXPIRED_STATUS}),
        )
        body = reply.body
        if reply.status == EXPIRED_STATUS:
            raise errors.RecordsExpiredError(
                f"offset {from_offset} of {stream} is no longer retained",
                first_offset=body["first_offset"],
            )
        records = [
            interfaces.LogRecord(record["offset"], record["time"], record["data"])
            for record in body["records"]
        ]
        return interfaces.LogPage(
            records, body["first_offset"], body["next_offset"], body["time"]
        )
