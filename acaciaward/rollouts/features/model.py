"""
A model of a deployment that follows an order: entries, relays, holders, and answers.

Requests, answers, reports and plans are events of a simulated time. Entries choose
versions as the product's do, and holders decide by ``steering``. Nothing here knows
which versions are bad but the part that makes their answers.
"""

import collections
import functools
import heapq
import itertools
import random
import typing

from acaciaward.rollouts import comparison, decisions, figures, plans, steering

OLD, TARGET = "v1", "v2"
# Route, its share of the requests, median time to the first byte, longest whole time.
ROUTES = (("plain", 0.35, 0.02, 0.05), ("short", 0.45, 0.1, 0.4), ("long", 0.2, 0.5, 4))
TICK_S = 0.25
# A report, a summary and a relay.
DELAYS_S = (0.2, 0.8)
RECORD_S = 0.05
START_UNIX = 1000.0
# Share of the answers of any version that fail without a fault.
NORMAL_FAILED = 0.002


class Fault(typing.NamedTuple):
    """
    What is wrong with a version.

    ``share`` of its answers fail, or take ``slowdown`` times as long. This begins
    ``after_s`` after the order, while it gets ``load`` of the requests, on ``route``.
    """

    share: float = 0.0
    slowdown: float = 0.0
    after_s: float = 0.0
    load: float = 0.0
    route: str | None = None


class Case(typing.NamedTuple):
    """One deployment and what happens to it."""

    seed: int
    rate: float = 200.0
    duration_s: float = 12.0
    entries: int = 9
    fault: Fault = Fault()
    boot_s: float = 1.0
    # When the holder is lost, for 2 to 5 s.
    holder_losses: tuple[float, ...] = ()
    # When a third of the entries is cut off from the others, for 4 s.
    cut_at: float | None = None
    # When old endpoints crash or slow down: for 1 s, half of all answers are bad.
    old_crash_at: float | None = None
    # When all entries end, and start anew with nothing but the store's record.
    all_lost_at: float | None = None


class Result(typing.NamedTuple):
    """What came of a case; ``exposed`` of ``requests`` count until the deadline."""

    phase: plans.Phase | None
    ended_at: float
    requests: int
    exposed: int
    sent_too_late: int
    ran_at_completion: int
    bad_answers: int
    reason: str


class _Entry:
    def __init__(self):
        self.counts = {}
        self.plan: plans.Plan | None = None
        self.stated_at = 0.0
        self.is_cut = False
        self.suspended: tuple[int, int] | None = None


class Model:
    """Runs one case."""

    def __init__(
        self, case: Case, bounds: decisions.Bounds, *, ignores_running: bool = False
    ):
        """With ``ignores_running``, the holder doesn't know which requests run."""
        self._case = case
        self._bounds = bounds
        self._ignores_running = ignores_running
        self._random = random.Random(case.seed)
        self._events: list = []
        self._order_of_events = itertools.count()
        self._now = 0.0
        self._entries = [_Entry() for _ in range(case.entries)]
        self._reports: dict[int, tuple] = {}
        self._order = plans.Order(
            "app", TARGET, case.duration_s, START_UNIX, (1, 5), True
        )
        self._steering: steering.Steering | None = steering.Steering(bounds)
        self._fence = 1
        self._plan: plans.Plan | None = None
        self._recorded: plans.Plan | None = None
        self._ended_at: float | None = None
        self._target_times: collections.deque[float] = collections.deque()
        self._bad_at: list[float] = []
        self._sent_at: list[float] = []
        self._requests = 0
        self._ran_at_completion = 0
        self._generation = 0
        # What every entry concludes from the sums that relays bring.
        self._monitor = comparison.Monitor(TARGET)

    def run(self) -> Result:
        """Run until the roll-out has ended, and some seconds longer."""
        case = self._case
        self._at(0.0, self._request)
        self._at(0.3, self._tick)
        for lost_at in case.holder_losses:
            self._at(lost_at, self._lose_holder)
        if case.cut_at is not None:
            self._at(case.cut_at, functools.partial(self._cut, is_cut=True))
            self._at(case.cut_at + 4.0, functools.partial(self._cut, is_cut=False))
        if case.all_lost_at is not None:
            self._at(case.all_lost_at, self._lose_all)
        end_at = 3 * case.duration_s + 20.0
        while self._now < end_at and not (
            self._ended_at is not None and self._now > self._ended_at + 6.0
        ):
            self._now, _, run = heapq.heappop(self._events)
            run()
        return self._result()

    def _result(self) -> Result:
        deadline = self._case.duration_s
        in_touch = [at for at in self._sent_at if at <= deadline]
        too_late = 0
        if len(self._bad_at) >= 50:
            limit = sorted(self._bad_at)[49] + 5.0
            too_late = sum(at > limit for at in self._sent_at)
        return Result(
            self._plan.phase if self._plan and self._plan.is_final else None,
            self._now if self._ended_at is None else self._ended_at,
            self._requests,
            len(in_touch),
            too_late,
            self._ran_at_completion,
            len(self._bad_at),
            self._plan.reason if self._plan else "",
        )

    def _at(self, at, run):
        heapq.heappush(self._events, (at, next(self._order_of_events), run))

    def _request(self):
        self._at(self._now + self._random.expovariate(self._case.rate), self._request)
        if self._now <= self._case.duration_s:
            self._requests += 1
        entry = self._random.choice(self._entries)
        share = 0.0
        if entry.plan is not None and entry.plan.number != entry.suspended:
            share = entry.plan.share_after(self._now - entry.stated_at)
        is_target = self._random.random() < share and self._now >= self._case.boot_s
        route, _, median_s, longest_s = self._random.choices(
            ROUTES, [one[1] for one in ROUTES]
        )[0]
        first_byte_s = median_s * self._random.lognormvariate(0, 0.45)
        whole_s = first_byte_s + self._random.random() * longest_s
        is_failed = self._random.random() < NORMAL_FAILED
        crash_at = self._case.old_crash_at
        if not is_target and crash_at is not None and 0 <= self._now - crash_at < 1.0:
            is_failed = is_failed or self._random.random() < 0.3
            first_byte_s *= 3
        if is_target:
            is_bad, slowdown = self._apply_fault(route)
            is_failed = is_failed or (is_bad and not slowdown)
            if slowdown and is_bad:
                whole_s += first_byte_s * (slowdown - 1)
                first_byte_s *= slowdown
            if not entry.is_cut:
                self._sent_at.append(self._now)
            if is_bad:
                self._at(self._now + first_byte_s, self._record_bad)
        key = (TARGET if is_target else OLD, route)
        generation = self._generation
        self._count(entry, generation, key, figures.Figures(1, 1, running=1))
        buckets = [0] * len(figures.Figures().buckets)
        buckets[figures.bucket_of(first_byte_s)] = 1
        self._at(
            self._now + first_byte_s,
            lambda: self._count(
                entry, generation, key, figures.Figures(buckets=tuple(buckets))
            ),
        )
        self._at(
            self._now + whole_s,
            lambda: self._count(
                entry,
                generation,
                key,
                figures.Figures(ended=1, failed=int(is_failed), running=-1),
            ),
        )

    def _apply_fault(self, route):
        """Return whether an answer of the target is bad, and how slow that is."""
        fault = self._case.fault
        recent_s = 0.5
        self._target_times.append(self._now)
        while self._target_times[0] < self._now - recent_s:
            self._target_times.popleft()
        load = len(self._target_times) / recent_s / self._case.rate
        applies = (
            self._now >= fault.after_s
            and load >= fault.load
            and fault.route in (None, route)
            and self._random.random() < fault.share
        )
        return applies, fault.slowdown

    def _record_bad(self):
        self._bad_at.append(self._now)

    def _count(self, entry, generation, key, added):
        if generation == self._generation:
            before = entry.counts.get(key, figures.Figures())
            entry.counts[key] = before.plus(added)

    def _tick(self):
        """Let all entries report, and the holder decide."""
        self._at(self._now + TICK_S, self._tick)
        for number, entry in enumerate(self._entries):
            if entry.is_cut:
                continue
            number_followed = entry.plan.number if entry.plan else None
            report = (dict(entry.counts), number_followed, self._generation)
            delay_s = self._random.uniform(*DELAYS_S)
            self._at(
                self._now + delay_s,
                functools.partial(self._receive, number, report, self._now),
            )
        self._monitor.record(self._now, figures.add(r[0] for r in self._fresh()))
        if self._monitor.verdict().is_bad:
            for entry in self._entries:
                self._at(
                    self._now + self._random.uniform(0.0, TICK_S),
                    functools.partial(self._suspend, entry),
                )
        if self._steering is not None:
            self._decide()

    @staticmethod
    def _suspend(entry):
        if not entry.is_cut and entry.plan is not None and not entry.plan.is_final:
            entry.suspended = entry.plan.number

    def _fresh(self):
        return [
            report
            for report, sent_at in self._reports.values()
            if self._now - sent_at < 2.0 and report[2] == self._generation
        ]

    def _receive(self, number, report, sent_at):
        known = self._reports.get(number)
        if known is None or known[1] < sent_at:
            self._reports[number] = (report, sent_at)

    def _decide(self):
        fresh = self._fresh()
        numbers = [report[1] for report in fresh]
        counts = figures.add(report[0] for report in fresh)
        if self._ignores_running:
            counts = {key: one._replace(running=0) for key, one in counts.items()}
        versions = {OLD} | ({TARGET} if self._now >= self._case.boot_s else set())
        view = steering.View(
            self._now,
            START_UNIX + self._now,
            counts,
            None if None in numbers or not numbers else min(numbers),
            # An entry that is cut off counts until the others take it for dead.
            len(fresh) == len(self._entries),
            frozenset(versions),
            self._fence,
        )
        plan = self._steering.next_plan(self._order, self._plan, view)
        if plan is not None:
            self._plan = self._recorded = plan
            if plan.is_final and self._ended_at is None:
                self._ended_at = self._now
                self._ran_at_completion = sum(
                    counts.running
                    for entry in self._entries
                    if not entry.is_cut
                    for (version, _), counts in entry.counts.items()
                    if version == OLD
                )
        for entry in self._entries:
            if not entry.is_cut and self._plan is not None:
                self._at(
                    self._now + RECORD_S + self._random.uniform(*DELAYS_S),
                    functools.partial(self._hear, entry, self._plan, self._now),
                )

    def _hear(self, entry, plan, stated_at):
        if entry.is_cut:
            return
        entry.plan = plans.newer_plan(entry.plan, plan)
        if entry.plan.number == plan.number:
            entry.stated_at = max(entry.stated_at, stated_at)

    def _lose_holder(self):
        self._steering = None
        self._at(self._now + self._random.uniform(2.0, 5.0), self._replace_holder)

    def _replace_holder(self):
        self._fence += 10
        self._plan = self._recorded
        self._steering = steering.Steering(self._bounds)

    def _cut(self, *, is_cut):
        for entry in self._entries[: len(self._entries) // 3]:
            entry.is_cut = is_cut

    def _lose_all(self):
        self._generation += 1
        self._entries = [_Entry() for _ in self._entries]
        self._reports.clear()
        self._lose_holder()
