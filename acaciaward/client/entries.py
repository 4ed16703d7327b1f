"""
The entries that a caller uses, as discovery (``GET /v1/entries``) lists them.

A list is used for the lifetime that came with it. Discovery asks the known entries
first and falls back to the seeds, the addresses that the caller was created with.
"""

import time
from collections import abc

import msgspec

from acaciaward import httpclient

DISCOVERY_TIMEOUT_S = 2.0

Address = tuple[str, int]


class Entries:
    """The entries that one caller uses, in rotation."""

    def __init__(
        self,
        seeds: abc.Sequence[Address],
        client: httpclient.HttpClient,
        data_centre: str | None = None,
    ):
        self._seeds = list(seeds)
        self._is_pinned = False
        self._client = client
        self._data_centre = data_centre
        self._known: list[Address] = []
        self._expires_at = 0.0
        self._request_count = 0

    def pin(self, addresses: abc.Sequence[Address]) -> None:
        """Use only these entries from now on and skip discovery."""
        self._known = list(addresses)
        self._is_pinned = True

    async def next(self) -> Address:
        """Return the entry for the next request; repeat discovery when due."""
        is_discovery_due = not self._known or time.monotonic() > self._expires_at
        if is_discovery_due and not self._is_pinned:
            await self._discover()
        self._request_count += 1
        return self._known[self._request_count % len(self._known)]

    def forget(self, entry: Address) -> None:
        """Stop using an entry until discovery lists it again, unless pinned."""
        if self._is_pinned:
            return
        self._known = [address for address in self._known if address != entry]

    async def _discover(self) -> None:
        query = f"?data_centre={self._data_centre}" if self._data_centre else ""
        for address in [*self._known, *self._seeds]:
            try:
                async with self._client.send(
                    "GET",
                    *address,
                    f"/v1/entries{query}",
                    timeout_s=DISCOVERY_TIMEOUT_S,
                ) as response:
                    answer = msgspec.json.decode(await response.read())
            except (httpclient.HttpError, msgspec.DecodeError):
                continue
            if answer["entries"]:
                self._known = [
                    (entry["address"], entry["port"]) for entry in answer["entries"]
                ]
                self._expires_at = time.monotonic() + answer["lifetime_s"]
                return
        # No usable answer: keep the known entries, or use the seeds if there are none.
        self._known = self._known or list(self._seeds)
