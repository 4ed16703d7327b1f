"""Steps for usage reports; time and topic are fakes."""

import types

from behave import given, then, when

from acaciaward.platform import store
from acaciaward.usage import counting, reporting

WINDOW_S = 5.0


class Topic:
    """A topic in memory."""

    era = 1

    def __init__(self):
        self.records = []

    async def read(self, start):
        return types.SimpleNamespace(
            records=self.records[start:],
            start=start,
            end_offset=len(self.records),
            era=self.era,
        )

    async def append(self, record, *, expected_end):
        if expected_end != len(self.records):
            raise store.AppendRefusedError("ends elsewhere", len(self.records))
        return await self.append_unconditionally([record])

    async def append_unconditionally(self, records):
        self.records += records
        return store.Appended(len(self.records), self.era)


class Lease:
    """A lease whose holder the test decides."""

    def __init__(self, fence):
        self.tenure = types.SimpleNamespace(fence=fence)

    def held(self, *, for_s=0.0):
        return self.tenure


class Holder:
    """One reporter with its lease, its counter and the reports that it sent."""

    def __init__(self, context, name, fence):
        self.context = context
        self.lease = Lease(fence)
        self.sent = []
        self.fails = False
        self.counter = counting.UsageCounter(WINDOW_S, lambda: context.now)
        self.reporter = reporting.Reporter(
            context.topic,
            self.lease,
            self.counter,
            counting.Ledger(),
            process_run=f"{name}/1",
            report_deadline_s=10.0,
            live_names=lambda: context.live,
            peer_counts=lambda: {},
            send=self.send,
        )

    async def send(self, window, counts, fence):
        if self.fails and window == 200:
            raise InterruptedError
        self.sent.append((window, counts, fence))


@given("a corrected clock that began at 1000")
def make_clock(context):
    context.wall, context.steady = 1000.0, 50.0
    context.clock = counting.CorrectedClock(
        lambda: context.wall, lambda: context.steady
    )


@when("the wall clock jumps by {seconds:g} s")
def jump(context, seconds):
    context.wall += seconds
    context.steady += 10


@then("the true time is still right")
def check_right(context):
    assert context.clock.now() == 1010.0


@given("a corrected clock that began 30 s ahead of two peers")
def make_clock_ahead(context):
    context.steady = 0.0
    context.clock = counting.CorrectedClock(lambda: 1030.0, lambda: context.steady)
    receive_times(context)


def receive_times(context, delay_s=0.0):
    """Let the peers' time arrive four times a second, for a second."""
    for _ in range(4):
        context.clock.correct(1000.0 + context.steady - delay_s)
        context.steady += 0.25


@then("the true time is that of the peers")
def check_peers(context):
    now = context.clock.now()
    assert abs(now - 1000.0 - context.steady) < 1e-6, (now, context.steady)


@given("a corrected clock that began {seconds:g} s behind two peers")
def make_clock_behind(context, seconds):
    context.steady = 0.0
    context.clock = counting.CorrectedClock(
        lambda: 1000.0 - seconds, lambda: context.steady
    )


@when("the time of the peers arrives once")
def receive_time_once(context):
    context.clock.correct(1000.0)


@given("a corrected clock that has the time of two peers")
def make_right_clock(context):
    make_clock_behind(context, 0.0)


@when("{count:d} messages with the time arrive at once, the first {delay_s:g} s late")
def receive_backlog(context, count, delay_s):
    for number in range(count):
        late_s = delay_s * (1 - number / count)
        context.clock.correct(1000.0 + context.steady - late_s)
        check_peers(context)


@given("entries that reported 10 and 20 before the second died")
def make_ledger(context):
    context.ledger = counting.Ledger()
    context.ledger.merge("one/1", 7, {"org": 10})
    for count in (5, 20, 12):
        context.ledger.merge("two/1", 7, {"org": count})


@then("the window's total is {count:d}")
def check_total(context, count):
    assert context.ledger.total(7) == {"org": count}


@given("two reporters on one topic")
def make_reporters(context):
    context.now = 1002.0
    context.topic = Topic()
    context.live = ["one", "two"]
    context.holders = [Holder(context, "one", 3), Holder(context, "two", 9)]
    # An entry can answer only for windows during which it has run.
    for holder in context.holders:
        context.runner.run(holder.reporter.step())


@when("the first decides and dies before it sends")
def decide(context):
    first, second = context.holders
    first.counter.record_request("org")
    second.counter.record_request("org")
    context.now = 1006.5
    second.lease.tenure = None
    first.fails = True
    context.runner.run(second.reporter.step())
    try:
        context.runner.run(first.reporter.step())
    except InterruptedError:
        pass


@when("the second takes over with other counts")
def take_over(context):
    second = context.holders[1]
    second.lease.tenure = types.SimpleNamespace(fence=9)
    second.reporter._ledger.merge("three/1", 200, {"org": 50})
    context.runner.run(second.reporter.step())


@then("what the second sends is what the first decided")
def check_same(context):
    assert (200, {"org": 2}, 9) in context.holders[1].sent, context.holders[1].sent


@when("one of them has not stored its counts")
def keep_counts_unstored(context):
    context.holders[0].counter.record_request("org")


@then("the window isn't reported for 5 s, and then with the counts that are known")
def check_waits(context):
    first = context.holders[0]
    for moment in (1006.5, 1008.0, 1010.9):
        context.now = moment
        context.runner.run(first.reporter.step())
        assert 200 not in [window for window, _, _ in first.sent], first.sent
    context.now = 1011.5
    context.runner.run(first.reporter.step())
    assert (200, {"org": 1}, 3) in first.sent, first.sent
