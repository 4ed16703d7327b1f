"""
Keeps the list of entries to use, as discovery told it.

An answer holds for its lifetime. When no known address answers, the way back is
the list of seeds that the caller was made with.
"""

import time
from collections import abc

import msgspec

from acaciaward import httpclient

DISCOVERY_TIMEOUT_S = 2.0

Address = tuple[str, int]


class Entries:
    """The entries that one caller uses, in turn."""

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
        self._expire = 0.0
        self._turn = 0

    def pin(self, addresses: abc.Sequence[Address]) -> None:
        """Use these entries from now on, without asking which to use."""
        self._known = list(addresses)
        self._is_pinned = True

    async def next(self) -> Address:
        """Return the entry for the next request, asking anew when due."""
        is_due = not self._known or time.monotonic() > self._expire
        if is_due and not self._is_pinned:
            await self._discover()
        self._turn += 1
        return self._known[self._turn % len(self._known)]

    def forget(self, entry: Address) -> None:
        """Leave an entry out until discovery names it again."""
        if self._is_pinned:
            return
        self._known = [known for known in self._known if known != entry]

    async def _discover(self) -> None:
        query = f"?data_centre={self._data_centre}" if self._data_centre else ""
        for place in [*self._known, *self._seeds]:
            try:
                async with self._client.send(
                    "GET",
                    *place,
                    f"/v1/entries{query}",
                    timeout_s=DISCOVERY_TIMEOUT_S,
                ) as response:
                    answer = msgspec.json.decode(await response.read())
            except (httpclient.HttpError, msgspec.DecodeError):
                continue
            if answer["entries"]:
                self._known = [(e["address"], e["port"]) for e in answer["entries"]]
                self._expire = time.monotonic() + answer["lifetime_s"]
                return
        # Without any answer the addresses known so far are still the best guess.
        self._known = self._known or list(self._seeds)
