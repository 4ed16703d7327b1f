"""Finds the orders among what is read of the configuration's topic."""

import logging
import typing
from collections import abc

from acaciaward.catalogue import storeview, topicfollower
from acaciaward.observability import logs
from acaciaward.rollouts import entryrollouts, plans

log = logging.getLogger(__name__)

MAX_LOGGED_CHARACTERS = 80


class OrderReader:
    """
    Implements ``topicfollower.Source`` around another one, and reads orders on the way.

    Nothing is read of the store but what the source's own reader asks for.
    """

    def __init__(
        self,
        source: topicfollower.Source,
        decoder: entryrollouts.OrderDecoder,
        rollouts: entryrollouts.EntryRollouts,
        unix_time: abc.Callable[[], float],
    ):
        self._source = source
        self._decoder = decoder
        self._rollouts = rollouts
        self._unix_time = unix_time

    async def read_all(self) -> topicfollower.Listing:
        """Return all keys with their values."""
        listing = await self._source.read_all()
        place = (listing.era, listing.next_offset)
        for key, value in listing.values.items():
            self._read(key, value, place, is_exact=False)
        self._withdraw_missing(listing.values, place)
        return listing

    async def read_changes(self, start: int, *, wait_s: float) -> topicfollower.Page:
        """Return changes from an offset on."""
        page = await self._source.read_changes(start, wait_s=wait_s)
        # Without the records that have no complete key, offsets aren't known.
        is_exact = len(page.changes) == page.next_offset - start
        for index, change in enumerate(page.changes, start=1):
            offset = start + index if is_exact else page.next_offset
            place = (page.era, offset)
            self._read(change.key, change.value, place, is_exact=is_exact)
        return page

    def _read(
        self,
        key: str,
        value: bytes | None,
        place: tuple[int, int],
        *,
        is_exact: bool,
    ) -> None:
        service = key.removeprefix(self._decoder.ORDER_PREFIX)
        if service == key:
            return
        if not value:
            if service in self._rollouts.orders:
                self._record(service, "", 0.0, place, is_exact=is_exact)
            return
        try:
            fields = self._decoder.decode_rollout(key, value)
        except storeview.UnreadableError as error:
            log.error(
                "roll-out order unreadable",
                extra=logs.fields(key=key[:MAX_LOGGED_CHARACTERS], reason=error),
            )
            return
        self._record(*fields, place, is_exact=is_exact)

    def _withdraw_missing(
        self, values: abc.Mapping[str, typing.Any], place: tuple[int, int]
    ) -> None:
        """Withdraw the orders whose keys were removed before a listing."""
        for service, order in list(self._rollouts.orders.items()):
            is_missing = self._decoder.ORDER_PREFIX + service not in values
            # A copy from which the store was restored may lack an order.
            if is_missing and order.target and order.place[0] == place[0]:
                self._record(service, "", 0.0, place, is_exact=False)

    def _record(
        self,
        service: str,
        target: str,
        duration_s: float,
        place: tuple[int, int],
        *,
        is_exact: bool,
    ) -> None:
        self._rollouts.record_order(
            plans.Order(service, target, duration_s, self._unix_time(), place, is_exact)
        )
