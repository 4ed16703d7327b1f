"""
Runs reporters of several entries on a topic in memory that can lose what it took.

Time is simulated. One entry at a time holds a lease; which one is up to the test.
"""

import collections
import itertools
import random
import types
import typing
from collections import abc

from acaciaward import errors
from acaciaward.catalogue import topicfollower
from acaciaward.platform import store
from acaciaward.usage import counting, reporting

WINDOW_S = 5.0
STEP_S = 0.25
REPORTED_WINDOWS = 2
DEADLINE_S = 10.0
# Start of the time that the tests use, and the window that begins there.
START_S = 1000.0
START_WINDOW = 200


class Topic:
    """
    A topic in memory.

    With ``loses_answers`` appends are done without an answer. With ``delays_appends``
    they are done by ``do_late`` if their condition still holds then. ``interfere`` is
    called before and after each call is carried out.
    """

    def __init__(self, now: abc.Callable[[], float]):
        self.era = 1
        self.records: list[bytes] = []
        self.first_offset = 0
        self.late: list[tuple[list[bytes], int | None]] = []
        self.loses_answers = False
        self.delays_appends = False
        self.interfere: abc.Callable[[], None] = lambda: None
        self._appended_at: list[float] = []
        self._now = now

    @property
    def end_offset(self) -> int:
        """The offset of the next record."""
        return self.first_offset + len(self.records)

    def restore(self, before: float) -> None:
        """Lose what was appended at ``before`` or later, and begin the next era."""
        self.cut_back(self.first_offset + sum(at < before for at in self._appended_at))

    def cut_back(self, end_offset: int) -> None:
        """Lose the records from an offset on, and begin the next era."""
        count = end_offset - self.first_offset
        del self.records[count:], self._appended_at[count:]
        self.era += 1

    def expire(self, before: float) -> None:
        """Drop the records that were appended before ``before``."""
        count = sum(at < before for at in self._appended_at)
        del self.records[:count], self._appended_at[:count]
        self.first_offset += count

    def do_late(self) -> None:
        """Do the appends that got no answer."""
        late, self.late = self.late, []
        for records, expected_end in late:
            if expected_end in (None, self.end_offset):
                self._add(records)

    async def read(self, start):
        """Return records as ``store.Store.read`` does."""
        self.interfere()
        if not self.first_offset <= start <= self.end_offset:
            raise errors.RecordsExpiredError("gone", first_offset=self.first_offset)
        page = store.Page(
            self.records[start - self.first_offset :],
            start,
            self.end_offset,
            self.first_offset,
            self.era,
        )
        self.interfere()
        return page

    async def append_unconditionally(self, records):
        """Append records wherever the topic ends."""
        return self._append(records, None)

    async def append(self, record, *, expected_end):
        """Append a record if the topic ends at ``expected_end``."""
        return self._append([record], expected_end)

    def _append(self, records, expected_end):
        self.interfere()
        if self.delays_appends:
            self.late.append((records, expected_end))
            raise errors.PlatformUnknownError("no answer")
        if expected_end not in (None, self.end_offset):
            raise store.AppendRefusedError("ends elsewhere", self.end_offset)
        self._add(records)
        appended = store.Appended(self.end_offset, self.era)
        self.interfere()
        if self.loses_answers:
            raise errors.PlatformUnknownError("no answer")
        return appended

    def _add(self, records):
        self.records += records
        self._appended_at += [self._now()] * len(records)


class KeyedTopic:
    """A keyed topic in memory that counts its calls."""

    def __init__(self):
        self.values: dict[str, bytes] = {}
        self.sets = 0
        self.is_away = False

    async def read_all(self):
        """Return all values."""
        if self.is_away:
            raise errors.PlatformUnknownError("no answer")
        return topicfollower.Listing(dict(self.values), self.sets)

    async def set(self, key, value):
        """Set a value."""
        if self.is_away:
            raise errors.PlatformUnknownError("no answer")
        self.sets += 1
        self.values[key] = value

    async def remove(self, key, *, expected_end):
        """Remove a key."""
        del self.values[key]


class Entry:
    """
    One run of an entry's process: its counter, its reporter and its lease.

    Its clock is ``clock_error_s`` ahead until ``correct_clock``, and it knows whether
    its clock is right if ``is_confirmed``.
    """

    def __init__(self, world: "World", name: str, clock_error_s: float = 0.0):
        self.name = name
        self.clock_error_s = clock_error_s
        self.is_confirmed = not clock_error_s
        self.is_suspended = False
        self.tenure = None
        # The last reports of entries that this one reads the store for, by name.
        self.received: dict[str, tuple[str, dict[int, dict[str, int]]]] = {}
        self.process_run = f"{name}/{next(world.numbers)}"
        self._world = world
        self.counter = counting.UsageCounter(
            WINDOW_S, lambda: world.now + self.clock_error_s
        )
        self.reporter = reporting.Reporter(
            world.topic,
            typing.cast(typing.Any, self),
            self.counter,
            counting.Ledger(),
            process_run=self.process_run,
            report_deadline_s=DEADLINE_S,
            live_names=lambda: world.known_names or world.entries,
            peer_counts=self._peer_counts,
            send=self._send,
            running_topic=world.running_topic,
            is_clock_confirmed=lambda: self.is_confirmed,
        )

    def correct_clock(self) -> None:
        """Correct the clock as a majority of entries does."""
        self.clock_error_s = 0.0
        self.is_confirmed = True
        self.counter.clear()

    def report(self, reader: "Entry") -> None:
        """Report to the reader, as relays do."""
        counts = self.counter.latest_counts(REPORTED_WINDOWS)
        reader.received[self.name] = (self.process_run, counts)

    def _peer_counts(self):
        if self._world.readers.get(self.name, self.name) != self.name:
            return None
        return dict(self.received.values())

    def held(self, *, for_s=0.0):
        """Return the tenure of this entry, as the duties' lease does."""
        return self.tenure

    async def _send(self, window, counts, fence):
        self._world.receive(window, counts, self.name)

    async def step(self):
        """Step the reporter; what the topic refuses is tried again later."""
        for step in (self.reporter.step, self.reporter._running.store):
            try:
                await step()
            except errors.PlatformError:
                pass


class World:
    """Entries, their topic, and what the platform got."""

    def __init__(self, names: abc.Iterable[str], seed: int = 1):
        self.now = START_S + 1.0
        self.random = random.Random(seed)
        self.numbers = itertools.count(1)
        self.topic = Topic(lambda: self.now)
        self.running_topic = KeyedTopic()
        # Whether requests come in.
        self.is_busy = True
        self.entries: dict[str, Entry] = {}
        # The reader of each entry that isn't its own.
        self.readers: dict[str, str] = {}
        # Entries whose reports don't arrive.
        self.silent: set[str] = set()
        # The names that entries know, if not all.
        self.known_names: set[str] = set()
        # How many requests started to run in each window.
        self.truth: collections.Counter[int] = collections.Counter()
        # Distinct reports of each window, in the order of their arrival.
        self.reports: dict[int, list[dict[str, int]]] = {}
        self.first_sent_at: dict[int, float] = {}
        for name in names:
            self.start(name)

    def start(self, name: str, clock_error_s: float = 0.0) -> None:
        """Start an entry's process, or start it again."""
        self.entries[name] = Entry(self, name, clock_error_s)

    def receive(self, window, counts, name):
        """Receive a report as the platform does."""
        reports = self.reports.setdefault(window, [])
        if counts not in reports:
            reports.append(dict(counts))
        self.first_sent_at.setdefault(window, self.now)

    def give_lease(self, name: str | None) -> None:
        """Let one entry hold the lease, or none."""
        for entry in self.entries.values():
            entry.tenure = None
        if name is not None:
            fence = next(self.numbers)
            self.entries[name].tenure = types.SimpleNamespace(fence=fence)

    async def run_until(self, moment: float) -> None:
        """Step all entries until a time; each gets about two requests a second."""
        while self.now < moment:
            for entry in list(self.entries.values()):
                if entry.is_suspended:
                    continue
                if self.is_busy and self.random.random() < 0.5:
                    entry.counter.record_request("org")
                    self.truth[int(self.now // WINDOW_S)] += 1
                reader = self.entries.get(self.readers.get(entry.name, ""))
                if reader is not None and entry.name not in self.silent:
                    entry.report(reader)
                await entry.step()
            self.now += STEP_S

    def windows_sent_twice(self) -> dict[int, list[dict[str, int]]]:
        """Return the windows that were reported with two counts, with the counts."""
        return {
            window: reports
            for window, reports in self.reports.items()
            if len(reports) > 1
        }

    def late_windows(self, first: int, last: int) -> list[int]:
        """Return the windows that weren't reported in time."""
        return [
            window
            for window in range(first, last + 1)
            if self.first_sent_at.get(window, float("inf"))
            > (window + 1) * WINDOW_S + DEADLINE_S
        ]
