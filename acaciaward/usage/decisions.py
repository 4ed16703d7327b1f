"""
Decides the counts of each window once, in a topic that may lose its records.

The platform takes one report for a window, so its counts are decided in the topic
before they are sent, and every entry that reports the window sends these. But the topic
is no proof that a decision was never made: when the store is restored from an older
copy, and when records expire, decisions are lost that may have been sent. So an entry
decides on a window only if a decision on it, if there were one, must be among the
records that the entry has read. That is so for windows that weren't over yet when

- the entry began to read the topic in the store's present era, or
- another entry saw, in this era, where the topic ended, and said so in a record,
  provided that the entry has read on from there.

No decision is made before its window is over, by a margin that exceeds what the
entries' clocks differ by. A decision counts only in the era in which it was made: if it
is appended later, another one may have been lost before. What an entry has read of a
decision in its era, it keeps for good. A window that no entry can answer for isn't
reported.

    await decisions.read()
    if decisions.get(41) is None and decisions.may_decide(41):
        await decisions.decide(41, {"organisation": 3})
    decisions.get(41)  # Decision(counts={'organisation': 3}, offset=7, era=1)
"""

import logging
import typing
from collections import abc

import msgspec

from acaciaward import decoding, errors
from acaciaward.leases import conditionallease
from acaciaward.observability import logs
from acaciaward.usage import counting

log = logging.getLogger(__name__)

MAX_PAGES_PER_READ = 50
# More windows than can ever be due at one time.
MAX_DECISIONS = 1000


class Position(typing.NamedTuple):
    """Where the topic ended in an era of the store, at some time during a window."""

    era: int
    offset: int
    window: int


class Record(typing.NamedTuple):
    """
    Counts of one window: those of one entry, or the decision for all entries.

    ``start`` identifies one run of an entry's process; it is empty for a decision.
    ``era`` is the store's era in which a decision was made, ``position`` one that the
    author of an entry's counts has seen; both are missing in records of older builds.
    """

    window: int
    start: str
    counts: counting.Counts
    era: int | None = None
    position: Position | None = None


class Decision(typing.NamedTuple):
    """The counts decided for a window, and the offset and the era of its record."""

    counts: counting.Counts
    offset: int
    era: int


class Topic(typing.Protocol):
    """The topic that stores the counts; every call may raise ``PlatformError``."""

    @property
    def era(self) -> int:
        """The latest era that the store has stated, 0 if it states none."""

    async def read(self, start: int) -> conditionallease.TopicPage:
        """Return records from the offset ``start`` on."""

    async def append(
        self, record: bytes, *, expected_end: int
    ) -> conditionallease.Appended:
        """Append if the topic ends at ``expected_end``."""

    async def append_unconditionally(
        self, records: abc.Sequence[bytes]
    ) -> conditionallease.Appended:
        """Append records wherever the topic ends."""


class Decisions:
    """
    The decisions on windows, as read from the topic.

    Counts of entries are merged into ``ledger``. ``current_window`` returns the number
    of the current window.
    """

    def __init__(
        self,
        topic: Topic,
        ledger: counting.Ledger,
        current_window: abc.Callable[[], int],
    ):
        self._topic = topic
        self._ledger = ledger
        self._current_window = current_window
        self._decisions: dict[int, Decision] = {}
        self._next_offset = 0
        # What was read without a gap: the era, the first offset, and the first window
        # whose decision must be at this offset or after it.
        self._era: int | None = None
        self._first_offset = 0
        self._first_window = 0
        self._position: Position | None = None

    @property
    def is_outdated(self) -> bool:
        """Whether nothing was read yet in the store's latest era."""
        return self._era != self._topic.era

    def get(self, window: int) -> Decision | None:
        """Return the decision on a window, None if none is known."""
        return self._decisions.get(window)

    def may_decide(self, window: int) -> bool:
        """Return whether no decision on a window can have been made unseen."""
        return self._era is not None and window >= self._first_window

    async def store(self, records: abc.Sequence[Record]) -> None:
        """Append counts of entries, with the position that was seen before."""
        stored = [record._replace(position=self._position) for record in records]
        appended = await self._topic.append_unconditionally(
            [msgspec.json.encode(record) for record in stored]
        )
        self._see_end(appended.end_offset, appended.era)

    async def read(self) -> None:
        """Read the topic to its end; begin anew where records were lost."""
        for _ in range(MAX_PAGES_PER_READ):
            try:
                page = await self._topic.read(self._next_offset)
            except errors.RecordsExpiredError as error:
                self._begin_anew(error.first_offset)
                continue
            if page.era < self._topic.era:
                raise errors.PlatformUnknownError("usage records of an earlier era")
            is_same_era = self._era in (None, page.era)
            if not is_same_era or page.end_offset < self._next_offset:
                self._begin_anew(0)
                continue
            self._apply_page(page)
            if self._next_offset >= page.end_offset:
                self._see_end(page.end_offset, page.era)
                return

    async def decide(self, window: int, counts: counting.Counts) -> None:
        """
        Append a decision, provided that there is no record that wasn't read.

        Raises ``PlatformRefusedError`` if there is one, and ``PlatformUnknownError`` if
        the store was restored meanwhile or gave no answer; whether the decision counts
        is then told by the next ``read``.
        """
        offset, era = self._next_offset, self._era
        data = msgspec.json.encode(Record(window, "", counts, era))
        appended = await self._topic.append(data, expected_end=offset)
        if appended.era != era:
            raise errors.PlatformUnknownError(
                "the store was restored during a decision"
            )
        self._next_offset = appended.end_offset
        self._keep(window, Decision(counts, offset, era))
        log.info(
            "usage decided",
            extra=logs.fields(
                window=window,
                requests=sum(counts.values()),
                offset=offset,
                era=era,
                first_offset=self._first_offset,
                first_window=self._first_window,
            ),
        )

    def _begin_anew(self, offset: int) -> None:
        if self._era is not None:
            log.warning(
                "usage records were lost; read anew",
                extra=logs.fields(
                    era=self._era, next_offset=self._next_offset, first_offset=offset
                ),
            )
        self._era = None
        self._next_offset = offset

    def _apply_page(self, page: conditionallease.TopicPage) -> None:
        if self._era is None:
            self._era = page.era
            self._first_offset = page.start
            # Later decisions are appended after this page was read.
            self._first_window = self._current_window()
        for offset, data in enumerate(page.records, page.start):
            self._apply_record(data, offset)
        self._next_offset = page.start + len(page.records)

    def _apply_record(self, data: bytes, offset: int) -> None:
        try:
            record = decoding.from_json(data, Record)
        except errors.DecodingError as error:
            log.warning("invalid usage record skipped", extra=logs.fields(reason=error))
            return
        if record.start:
            self._ledger.merge(record.start, record.window, record.counts)
            self._apply_position(record.position)
        else:
            self._apply_decision(record, offset)

    def _apply_position(self, position: Position | None) -> None:
        if position is None or position.era != self._era:
            return
        if position.offset >= self._first_offset:
            self._first_window = min(self._first_window, position.window)

    def _apply_decision(self, record: Record, offset: int) -> None:
        known = self._decisions.get(record.window)
        if known is None and record.era == self._era:
            self._keep(record.window, Decision(record.counts, offset, record.era))
        elif known is None or known.counts != record.counts:
            log.warning(
                "usage decision ignored",
                extra=logs.fields(
                    window=record.window,
                    offset=offset,
                    made_in_era=record.era,
                    era=self._era,
                    known_offset=known.offset if known else None,
                    known_era=known.era if known else None,
                ),
            )

    def _keep(self, window: int, decision: Decision) -> None:
        self._decisions[window] = decision
        # Dropped by number and not by the clock, which may be corrected backwards.
        if len(self._decisions) > MAX_DECISIONS:
            del self._decisions[next(iter(self._decisions))]

    def _see_end(self, offset: int, era: int) -> None:
        self._position = Position(era, offset, self._current_window())
