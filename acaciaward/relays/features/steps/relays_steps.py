"""Steps for relays; messages are passed to aggregators without a network."""

import asyncio
import time

import msgspec
from behave import given, then, when

from acaciaward.catalogue import endpoints
from acaciaward.relays import aggregation, relaysizes
from acaciaward.relays.features import fakes

TICK_S = 0.25


class Simulation:
    """The entries of several data centres, with one reader's aggregator for each."""

    def __init__(self, data_centres, entries):
        self.now = 100.0
        self.aggregators = {}
        self.entries = {}
        self.received_uses = {}
        self.sums = {}
        self.clock_offsets_s = {}
        self.cut_off = None
        for data_centre in range(data_centres):
            self.aggregators[data_centre] = aggregation.Aggregator(lambda: self.now)
            for number in range(entries):
                self.entries[f"e-{data_centre}-{number}"] = [data_centre, 1, 0.0]

    def report(self, name):
        data_centre, start, used = self.entries[name]
        return {
            "sender": name,
            "start": f"{name}/{start}",
            "uptime_s": 100.0,
            "now": self.now + self.clock_offsets_s.get(name, 0.0),
            "use": {"org": used},
            "load": {"s": (1.0, 10.0)},
            "demand": {"llm": (5.0, 1.0)},
            "crashes": {"crashes": {"r": [f"s-{data_centre}"]}, "cleared": []},
            "windows": {},
        }

    def tick(self, rate):
        for name, entry in self.entries.items():
            entry[2] += rate * TICK_S
            self.aggregators[entry[0]].receive_report(self.report(name))
        for data_centre, reader_aggregator in self.aggregators.items():
            summary = {
                "sender": f"r-{data_centre}",
                "uptime_s": 100.0,
                "data_centre": str(data_centre),
            }
            summary |= reader_aggregator.summary()._asdict()
            summary |= reader_aggregator.clocks()._asdict()
            for other_data_centre, other_aggregator in self.aggregators.items():
                is_cut = self.cut_off in (data_centre, other_data_centre)
                if other_data_centre != data_centre and not is_cut:
                    other_aggregator.receive_summary(summary)
        for name, (data_centre, start, _) in self.entries.items():
            sums = self.aggregators[data_centre].sums_for(name)
            self.sums[name] = sums
            self.received_uses.setdefault((name, start), []).append(
                (self.now, sums.use.get("org", 0.0))
            )
        self.now += TICK_S

    def run(self, rate, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.tick(rate)


class IterationCountingLoad(dict):
    """Counts how often it is iterated over."""

    def __init__(self, *args):
        super().__init__(*args)
        self.count = 0

    def items(self):
        self.count += 1
        return super().items()


@given("a data centre with {entries:d} entries")
def make_data_centre(context, entries):
    context.aggregator = aggregation.Aggregator(lambda: 1.0)
    context.loads = {
        f"e-{number}": IterationCountingLoad(
            {"s": (1.0, 10.0), f"s-{number}": (2.0, 5.0)}
        )
        for number in range(entries)
    }
    for name, load in context.loads.items():
        report = {"sender": name, "start": name, "uptime_s": 100.0, "now": 0.0}
        report |= {"use": {}, "load": load, "demand": {}, "windows": {}}
        report["crashes"] = {"crashes": {}, "cleared": []}
        context.aggregator.receive_report(report)


@when("its reader computes the sums for each of them")
def compute_sums(context):
    context.sums = context.aggregator.sums_for_each(list(context.loads))
    context.counts = [load.count for load in context.loads.values()]


@then("no report was iterated over more than twice")
def check_iterations(context):
    # Once for the total, once to subtract the part of the entry that reported it.
    assert max(context.counts) <= 2, max(context.counts)


@then("each entry gets the load of the other {count:d}")
def check_others(context, count):
    for name, sums in context.sums.items():
        number = name.removeprefix("e-")
        assert sums.load["s"] == (count, 10.0 * count), sums.load["s"]
        assert f"s-{number}" not in sums.load and len(sums.load) == count + 1


@given("{data_centres:d} data centres with {entries:d} entries each")
def make_simulation(context, data_centres, entries):
    context.simulation = Simulation(data_centres, entries)


@when("each entry uses {rate:d} units a second for {seconds:g} s")
def use(context, rate, seconds):
    context.simulation.run(rate, seconds)


@when(
    "a data centre is cut off while each entry uses {rate:d} units a second for"
    " {seconds:d} s"
)
def use_cut_off(context, rate, seconds):
    simulation = context.simulation
    simulation.cut_off = 2
    simulation.run(rate, seconds)
    simulation.cut_off = None
    context.before = {name: sums.use["org"] for name, sums in simulation.sums.items()}


@then("no entry has received a use that rose by more than {units:g} units meanwhile")
def check_rise(context, units):
    rises = {
        name: sums.use["org"] - context.before[name]
        for name, sums in context.simulation.sums.items()
    }
    assert max(rises.values()) <= units, rises


@when("an entry restarts")
def restart_entry(context):
    entry = context.simulation.entries["e-1-2"]
    entry[1:] = [2, 0.0]


@when("an entry fails")
def fail_entry(context):
    del context.simulation.entries["e-1-2"]


@when("the clock of one entry is {seconds:d} s off")
def set_clock_offset(context, seconds):
    context.simulation.clock_offsets_s["e-0-1"] = seconds


@then("each entry has received a use of {rate:d} units a second from {count:d} entries")
def check_use_received(context, rate, count):
    simulation = context.simulation
    for name, (_, start, _) in simulation.entries.items():
        received_uses = simulation.received_uses[(name, start)]
        (first_at, first_use), (last_at, last_use) = received_uses[4], received_uses[-1]
        use_per_s = (last_use - first_use) / (last_at - first_at)
        assert abs(use_per_s - rate) < 0.05 * rate, (name, use_per_s)
        assert simulation.sums[name].heard == count


@then("no entry ever received a use that fell")
def check_rises(context):
    for key, received_uses in context.simulation.received_uses.items():
        amounts = [amount for _, amount in received_uses]
        assert amounts == sorted(amounts), key


@then("each entry knows the loads of {count:d} others")
def check_loads(context, count):
    for name in context.simulation.entries:
        assert context.simulation.sums[name].load == {"s": (count, 10.0 * count)}, name


@then("each entry knows of {count:d} endpoints that one request crashed")
def check_crashes(context, count):
    for name, sums in context.simulation.sums.items():
        assert len(sums.crashes["crashes"]["r"]) == count, name


@then("every reader's time is accurate to {seconds:g} s")
def check_time(context, seconds):
    simulation = context.simulation
    for reader_aggregator in simulation.aggregators.values():
        assert abs(reader_aggregator.majority_time() - simulation.now) <= seconds


@then("a relay for {many:d} entries is at most {factor:g} times one for {few:d}")
def check_size(context, many, factor, few):
    sizes = {}
    for count in (few, many):
        simulation = Simulation(3, count // 3)
        simulation.run(10, 1)
        sums = simulation.sums["e-0-1"]
        sizes[count] = len(msgspec.msgpack.encode(sums._asdict()))
    assert sizes[many] <= factor * sizes[few], sizes


def make_endpoint(state=endpoints.EndpointState.READY):
    return endpoints.Endpoint("s-1", 1, "s", "127.0.0.1", 1, "dc", 4, state)


@when("the reader's clock is {seconds:g} s ahead as it starts")
def start_ahead(context, seconds):
    state = context.reader.state
    context.reader.state = state._replace(now=state.now + seconds)
    context.entry.received_times.clear()
    for _ in range(5):
        tick_both(context)


@when("it hears of {count:d} clocks of another data centre")
def hear_clocks(context, count):
    summary = {"sender": "r-2/1", "uptime_s": 100.0, "data_centre": "dc-2"}
    summary |= aggregation.Aggregator(time.monotonic).summary()._asdict()
    summary |= {"now": context.entry.state.now, "clock_count": count}
    handler = context.reader.membership.handlers["summary"]
    asyncio.run(handler("r-2", summary))
    tick_both(context)


@then("the entry's clock isn't corrected")
def check_not_corrected(context):
    assert not context.entry.received_times, context.entry.received_times


@then("both clocks are corrected to the entry's time")
def check_corrected(context):
    for member in (context.reader, context.entry):
        (received_time,) = member.received_times
        assert abs(received_time - context.entry.state.now) < 0.5, received_time


@given("a reader and an entry of its data centre that know endpoint s-1")
def make_both(context):
    context.now = 50.0
    members = {}
    both = [
        fakes.EntryUnderTest(name, members, lambda: context.now) for name in ("a", "b")
    ]
    for member in both:
        member.directory.update(make_endpoint())
    tick_all(both)
    both.sort(key=lambda member: member.relaying.is_relayed)
    context.reader, context.entry = both
    assert context.entry.relaying.is_relayed


def tick_all(both):
    for member in both:
        member.relaying.tick()


def tick_both(context):
    tick_all([context.reader, context.entry])


@when("s-1's record lapses at the reader just after a store outage")
def lapse(context):
    context.reader.directory.record_outage()
    context.reader.directory.remove("s-1", "test")
    tick_both(context)


@then("s-1 is used by both only as a last resort")
def check_lapsed(context):
    for member in (context.reader, context.entry):
        assert not member.directory.ready("s")
        assert [endpoint.name for endpoint in member.directory.lapsed("s")] == ["s-1"]


@when("s-1 leaves")
def leave(context):
    leaving = endpoints.EndpointState.LEAVING
    context.reader.directory.update(make_endpoint(leaving))
    tick_both(context)


@then("s-1 gets no new work from either")
def check_left(context):
    for member in (context.reader, context.entry):
        assert not member.directory.ready("s") and not member.directory.lapsed("s")


@when("the entry misses a relay with the removal of s-1")
def miss(context):
    context.entry.membership.drops_messages = True
    context.reader.directory.remove_now("s-1", "test")
    tick_both(context)
    context.entry.membership.drops_messages = False


@then("after {count:d} more relays the entry no longer relies on relays")
def check_not_relayed(context, count):
    for _ in range(count):
        tick_both(context)
    assert context.entry.relaying.is_behind
    context.entry.relaying.record_store_read()
    assert not context.entry.relaying.is_behind


@when("the reader has read nothing for {seconds:g} s")
def go_stale(context, seconds):
    for age_s in (0.6, seconds):
        context.reader.age_s = age_s
        tick_both(context)


@then("the entry reads the store itself")
def check_reads_store(context):
    # The last relay was 0.6 s old when it was sent.
    time.sleep(0.75)
    assert not context.entry.relaying.is_relayed


@then("it still receives sums over {count:d} entries")
def check_sums_received(context, count):
    tick_both(context)
    assert not context.entry.relaying.is_relayed
    assert context.entry.relaying.entry_count == count, (
        context.entry.relaying.entry_count
    )


@when("the reader relays for {seconds:g} s")
def relay_for(context, seconds):
    tick_both(context)
    time.sleep(seconds)
    tick_both(context)


@then("the parts of its last relay add up to a size over {size:d} bytes")
def check_measured_size(context, size):
    parts = (*relaysizes.PARTS, "other")
    sizes = [relaysizes.RELAY_BYTES.labels(part)._value.get() for part in parts]
    assert sum(sizes) > size and min(sizes) > 0, sizes
