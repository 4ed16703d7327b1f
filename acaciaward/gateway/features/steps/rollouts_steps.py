"""Steps for roll-outs over entries, endpoints and callers."""

import asyncio
import collections
import json
import time

from behave import given, then, when

from acaciaward import errors
from acaciaward.gateway.features import fleet

ENDPOINTS = 4
RATE = 60
WARM_UP_S = 3.0
# The lease of the duties is taken within this time.
HOLDER_TIMEOUT_S = 10.0
DURATION_S = 12
POLL_S = 0.05
# How long callers go on after the end of a roll-out.
AFTER_S = 3.0
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
STATUS_TOPIC, PLANS_TOPIC = "keyed.status", "keyed.acaciaward.rollouts"
KEY = f"rollout/{fleet.SERVICE}"
OLD, TARGET = "v1", "v2"
UNREADABLE = (
    b"",
    b"{",
    {"Service": "other", "Target": "v2", "DurationS": 12},
    {"Service": fleet.SERVICE, "DurationS": 12},
    {"Service": fleet.SERVICE, "Target": "", "DurationS": 12},
    {"Service": fleet.SERVICE, "Target": "v2", "DurationS": -1},
    {"Service": fleet.SERVICE, "Target": "v2", "DurationS": 0},
    {"Service": fleet.SERVICE, "Target": ["v2"], "DurationS": "12"},
)


class _Observer:
    """Follows the states that the operator reads, and the runs at both versions."""

    def __init__(self, front):
        self.front = front
        self.ordered_at = None
        self.states = []
        self.ended_at = None
        self.ran_at_end = 0
        self.versions = {}
        self._running = collections.Counter()
        front.ran = self._ran
        front.ended = self._ended
        record = front.arrived

        def arrived(server, request):
            self.versions[server.name] = server.version
            record(server, request)

        front.arrived = arrived

    def _ran(self, server, request):
        self._running[server.version] += 1

    def _ended(self, server, request):
        self._running[server.version] -= 1

    def order(self, target):
        """Write the order."""
        self.ordered_at = time.monotonic()
        self.front.world.store.put(
            "keyed.op",
            KEY,
            {"Service": fleet.SERVICE, "Target": target, "DurationS": DURATION_S},
        )

    async def follow(self, timeout_s):
        """Record the states until the roll-out has ended, and callers go on."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and self.ended_at is None:
            data = self.front.world.store.newest_values(STATUS_TOPIC).get(KEY)
            state = json.loads(data)["State"] if data else None
            if state is not None and state not in self.states[-1:]:
                self.states.append(state)
                if state != "in_progress":
                    self.ended_at = time.monotonic()
                    self.ran_at_end = self._running[OLD]
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(AFTER_S)

    def arrivals(self, version, since, until=float("inf")):
        """Return how many requests reached endpoints of a version."""
        return sum(
            since <= arrival.at <= until
            and version in (None, self.versions.get(arrival.endpoint))
            for arrival in self.front.arrivals
        )


def _holder(front):
    held = [entry for entry in front.world.entries if entry.gateway._duties.is_held]
    return held[0] if held else None


@given(
    "{data_centres:d} data centres of {count:d} entries that follow orders, and streams"
)
def start(context, data_centres, count):
    context.front = fleet.Fleet(data_centres, count, ENDPOINTS, versions=(OLD,))
    context.front.world.has_duties = True
    context.observer = _Observer(context.front)

    async def run():
        await context.front.start(RATE)
        await context.front.world.wait_until(
            lambda: _holder(context.front) is not None, HOLDER_TIMEOUT_S
        )
        await asyncio.sleep(WARM_UP_S)

    context.runner.run(run())


async def _add_target(front, failed_share=0.0):
    await front.add_version(TARGET)
    for server in front.servers:
        if server.version == TARGET and failed_share:
            server.behaviour, server.share = "fail", failed_share


async def _order(context, failed_share=0.0):
    # The endpoints come after the order, as those that are started for it.
    context.observer.order(TARGET)
    await asyncio.sleep(1.0)
    await _add_target(context.front, failed_share)


@when("the operator orders a good version")
def order_good(context):
    context.runner.run(_order(context))


@when("the operator orders a version of which {share:g} of the answers fail")
def order_bad(context, share):
    context.runner.run(_order(context, share))


@when("the operator orders a good version, and the holder ends {seconds:g} s later")
def order_and_lose_holder(context, seconds):
    async def run():
        await _order(context)
        await asyncio.sleep(seconds - 1.0)
        await context.front.restart(_holder(context.front))

    context.runner.run(run())


@when("the store refuses all calls from {begin:g} s to {end:g} s later")
def refuse_calls(context, begin, end):
    async def run():
        await asyncio.sleep(begin)
        context.front.world.store.mode = "busy"
        await asyncio.sleep(end - begin)
        context.front.world.store.mode = "pass"

    context.runner.run(run())


@when("the operator orders a good version, and the old one again {seconds:g} s later")
def order_twice(context, seconds):
    async def run():
        await _order(context)
        await asyncio.sleep(seconds - 1.0)
        context.observer.order(OLD)

    context.runner.run(run())


def _cut_links(front, cut):
    """Lose all messages to and from an entry; return what ends that."""
    port = cut.ports["Control"]
    restored = []

    def wrap(entry):
        transport = entry.gateway._transport
        request, notify = transport.request, transport.notify

        async def request_if_connected(address, kind, body, *, timeout_s):
            if entry is cut or address.port == port:
                await asyncio.sleep(timeout_s)
                raise errors.PeerUnreachableError("cut")
            return await request(address, kind, body, timeout_s=timeout_s)

        def notify_if_connected(address, kind, body):
            if entry is not cut and address.port != port:
                notify(address, kind, body)

        transport.request, transport.notify = request_if_connected, notify_if_connected
        restored.append((transport, request, notify))

    for entry in front.world.entries:
        wrap(entry)

    def restore():
        for transport, request, notify in restored:
            transport.request, transport.notify = request, notify

    return restore


@when(
    "the operator orders a good version, and the holder is cut off from {begin:g} to"
    " {end:g} s"
)
def order_and_cut_holder(context, begin, end):
    async def run():
        await _order(context)
        await asyncio.sleep(begin - 1.0)
        restore = _cut_links(context.front, _holder(context.front))
        await asyncio.sleep(end - begin)
        values = context.front.world.store.newest_values(STATUS_TOPIC)
        context.state_before = json.loads(values[KEY])["State"]
        restore()

    context.runner.run(run())


@then("the order has not ended by then")
def check_not_ended(context):
    assert context.state_before == "in_progress", context.state_before


@when("the operator orders a version that never comes")
def order_absent(context):
    context.observer.order("v9")


@when("endpoints of a second version join without an order")
def join(context):
    context.observer.ordered_at = time.monotonic()

    async def run():
        await _add_target(context.front)
        await asyncio.sleep(AFTER_S)

    context.runner.run(run())


@when("the operator writes orders that can't be read")
def write_unreadable(context):
    async def run():
        for number, value in enumerate(UNREADABLE):
            context.front.world.store.put("keyed.op", KEY, value)
            context.front.world.store.put("keyed.op", f"rollout/{number}", value)
            await asyncio.sleep(0.1)
        await asyncio.sleep(AFTER_S)

    context.runner.run(run())


@when("the operator writes the next configuration")
def change_configuration(context):
    context.version = context.front.world.change()


@then("the order is {state} within {seconds:d} s")
def check_state(context, state, seconds):
    observer = context.observer
    context.runner.run(
        observer.follow(observer.ordered_at + seconds - time.monotonic())
    )
    assert observer.states[-1:] == [state], observer.states


@then('the operator has read the states "{states}"')
def check_states(context, states):
    assert context.observer.states == states.split(", "), context.observer.states


@then("no stream ran at an old endpoint then, and none is sent there later")
def check_drained(context):
    observer = context.observer
    later = observer.arrivals(OLD, observer.ended_at)
    assert (observer.ran_at_end, later) == (0, 0), (observer.ran_at_end, later)


@then("each stream holds events of one version")
def check_versions(context):
    versions = collections.defaultdict(set)
    for one in context.front.tries:
        versions[one.number] |= one.versions
    assert not [number for number, found in versions.items() if len(found) > 1]


@then("the bad version got no more than its exposure")
def check_exposure(context):
    observer = context.observer
    since, until = observer.ordered_at, observer.ordered_at + DURATION_S
    allowed = EXPOSURE_SHARE * observer.arrivals(None, since, until) + EXPOSURE_SLACK
    exposed = observer.arrivals(TARGET, since, until)
    assert 0 < exposed <= allowed, (exposed, allowed)


@then("nothing is sent to the new endpoints {seconds:g} s later")
def check_end(context, seconds):
    observer = context.observer
    sent = observer.arrivals(TARGET, observer.ended_at + seconds)
    assert not sent, sent


@then("both versions get requests")
def check_both(context):
    observer = context.observer
    since = observer.ordered_at
    assert observer.arrivals(OLD, since) and observer.arrivals(TARGET, since)


@then("no entry has read or written a topic of roll-outs")
def check_no_topics(context):
    # The stand-in knows a topic from its first call on.
    found = {STATUS_TOPIC, PLANS_TOPIC} & set(context.front.world.store._topics)
    assert not found, found


@then("no report holds anything of roll-outs")
def check_no_reports(context):
    for entry in context.front.world.entries:
        for report in entry.gateway._relaying.reports().values():
            assert "rollouts" not in report


@then("every entry has it in force within {seconds:d} s")
def check_in_force(context, seconds):
    due = time.monotonic() + seconds
    late = context.runner.run(context.front.world.late_entries(context.version, due))
    assert not late, late
