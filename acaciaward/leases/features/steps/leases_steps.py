"""Steps for leases; the entries are objects in one event loop."""

import asyncio
import random
import time

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward.configuration.features import fakes
from acaciaward.leases import leasemanager, messages, replay
from acaciaward.provider import interfaces as provider_interfaces

SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=400,
    suppress_health_check=list(hypothesis.HealthCheck),
)
DURATION_S = 0.6
ORDER_TIMEOUT_S = 0.2
ROUND_S = 0.1
DUTY = "fleet"
FOREIGN = (
    None,
    7,
    {},
    {"kind": "acquire"},
    {"kind": ["acquire"], "rules": 1},
    {"kind": "renew", "rules": 2, "duty": DUTY, "fence": 10**6, "duration_s": 9.0},
    {"kind": "acquire", "rules": 1, "id": "", "duty": DUTY, "holder": "x"},
)


class World:
    """Entries that want one duty; tracks the number of holders and their fences."""

    def __init__(self):
        self.log = fakes.FakeLog()
        self.entries = {}
        self.tasks = {}
        self.candidates = set()
        self.most_holders = 0
        self.fences = []
        self.watch = asyncio.create_task(self._watch())

    def start(self, name, *, is_candidate=True, log=None):
        entry = leasemanager.LogLeases(
            log or self.log,
            name,
            stream="s",
            duration_s=DURATION_S,
            order_timeout_s=ORDER_TIMEOUT_S,
            is_candidate=lambda duty: is_candidate,
            rng=random.Random(name),
        )
        entry.request(DUTY)
        self.entries[name] = entry
        self.tasks[name] = asyncio.create_task(entry.run())

    def holders(self):
        found = {name: entry.held(DUTY) for name, entry in self.entries.items()}
        return {name: lease for name, lease in found.items() if lease is not None}

    async def _watch(self):
        while True:
            holders = self.holders()
            self.most_holders = max(self.most_holders, len(holders))
            for lease in holders.values():
                if not self.fences or self.fences[-1] != lease.fence:
                    self.fences.append(lease.fence)
            await asyncio.sleep(0.002)

    async def holder(self, excluding=()):
        async with asyncio.timeout(8.0):
            while not (found := set(self.holders()) - set(excluding)):
                await asyncio.sleep(0.005)
        return found.pop()

    async def kill(self, name):
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def stop(self):
        self.watch.cancel()
        for name in list(self.tasks):
            await self.kill(name)


@given('{count:d} entries that want the duty "{duty}"')
def start_entries(context, count, duty):
    async def start():
        context.world = World()
        for number in range(count):
            context.world.start(f"entry-{number}")
        context.holder = await context.world.holder()
        context.lease = context.world.holders()[context.holder]

    context.runner.run(start())


@then("exactly one holds it for {seconds:g} s")
def check_one(context, seconds):
    async def check():
        await context.world.holder()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            assert len(context.world.holders()) == 1, context.world.holders()
            await asyncio.sleep(0.01)

    context.runner.run(check())


@when("the holder releases it")
def release_duty(context):
    context.released = time.monotonic()
    context.world.entries[context.holder].release(DUTY)


@then("another holds it at once with a higher fence")
def check_handed_over(context):
    after = context.runner.run(context.world.holder([context.holder]))
    assert context.world.holders()[after].fence > context.lease.fence
    assert time.monotonic() - context.released < DURATION_S


@when("the holder dies")
def kill_holder(context):
    async def kill():
        context.taken_over = leasemanager.EVENTS.labels("taken_over")._value.get()
        await context.world.kill(context.holder)

    context.runner.run(kill())


@then("another holds it with a higher fence, never both at once")
def check_taken_over(context):
    after = context.runner.run(context.world.holder([context.holder]))
    assert context.world.holders()[after].fence > context.lease.fence
    assert context.world.most_holders == 1


@then("the takeover is counted and logged")
def check_counted(context):
    assert leasemanager.EVENTS.labels("taken_over")._value.get() > context.taken_over


@when("the log is down")
def stop_log(context):
    context.world.log.is_down = True


@then("nobody holds the duty any more when its lease could be granted again")
def check_lapsed(context):
    async def check():
        last = context.world.log.records[-1].time
        while context.world.holders():
            await asyncio.sleep(0.005)
        assert time.time() < last + DURATION_S

    context.runner.run(check())


@when("the log is back")
def restore_log(context):
    context.world.log.is_down = False


@when("the log loses answers and applies appends {late:g} s late for {seconds:g} s")
def disturb(context, late, seconds):
    async def run():
        log = context.world.log
        rng = random.Random(3)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            log.append_delay_s = rng.choice((0.0, late, 4 * late))
            log.answers_to_lose = rng.randrange(3)
            await asyncio.sleep(0.1)
        log.append_delay_s = 0.0
        await asyncio.sleep(1.0)

    context.runner.run(run())


@then("there were never two holders and fences never decreased")
def check_never_two(context):
    world = context.world
    assert world.most_holders == 1
    assert world.fences == sorted(world.fences), world.fences


class LateLog:
    """The log as seen by a process whose reads return late."""

    def __init__(self, log, late_s):
        self._log = log
        self._late_s = late_s

    async def append(self, stream, records):
        return await self._log.append(stream, records)

    async def read(self, stream, from_offset, **options):
        page = await self._log.read(stream, from_offset, **options)
        await asyncio.sleep(self._late_s)
        return page


@when("one that reads the log {late:g} s late takes the duty over for a while")
def take_over_late(context, late):
    async def run():
        world = context.world
        for name in list(world.entries):
            world.entries[name].release(DUTY)
        world.start("late", log=LateLog(world.log, late))
        await world.holder(["entry-0", "entry-1"])
        for name in ("entry-0", "entry-1"):
            world.entries[name].request(DUTY)
        await asyncio.sleep(2.5)

    context.runner.run(run())


class Engine:
    """Keeps the state from the last order that it accepted."""

    def __init__(self, is_fenced):
        self.is_fenced = is_fenced
        self.fence = -1
        self.state = None
        self.refused = 0

    def order(self, fence, state):
        if self.is_fenced and fence < self.fence:
            self.refused += 1
            return
        self.fence = max(self.fence, fence)
        self.state = state


@given("an engine that checks fencing tokens")
def make_fenced(context):
    context.engine = Engine(True)


@given("an engine that ignores fencing tokens")
def make_unfenced(context):
    context.engine = Engine(False)


@when("the holder is frozen between its check and its order")
def freeze_holder(context):
    async def run():
        world = context.world
        old = context.holder
        lease = world.entries[old].held(DUTY)
        assert lease is not None
        await world.kill(old)
        context.after = await world.holder([old])
        context.order_task = asyncio.create_task(_order_repeatedly(context))
        await asyncio.sleep(2 * ROUND_S)
        assert context.engine.state == context.after
        # The frozen process resumes here; it has already checked its lease.
        assert world.entries[old].held(DUTY) is None
        context.engine.order(lease.fence, old)
        context.state_after = context.engine.state

    context.runner.run(run())


async def _order_repeatedly(context):
    while True:
        lease = context.world.entries[context.after].held(DUTY)
        if lease is not None:
            context.engine.order(lease.fence, context.after)
        await asyncio.sleep(ROUND_S)


@then("the order is refused and the engine keeps the new holder's state")
def check_refused(context):
    assert context.engine.refused == 1
    assert context.engine.state == context.after
    context.order_task.cancel()


@then("the engine has the new holder's state again within one round")
def check_corrected(context):
    async def check():
        assert context.state_after == context.holder
        await asyncio.sleep(1.5 * ROUND_S)
        assert context.engine.state == context.after
        context.order_task.cancel()

    context.runner.run(check())


@given("{count:d} more entries that are not candidates")
def start_others(context, count):
    async def start():
        for number in range(count):
            context.world.start(f"other-{number}", is_candidate=False)

    context.runner.run(start())


@then("the entries that are not candidates don't read the log")
def check_reads(context):
    async def check():
        log = context.world.log
        await asyncio.sleep(0.3)
        before = len(log.reads)
        await asyncio.sleep(1.0)
        # Three candidates read once for each wait and once for each record.
        reads = len(log.reads) - before
        records = sum(record.time > time.time() - 1.0 for record in log.records)
        max_reads = 3 * (
            1.0 / (DURATION_S * leasemanager.READ_WAIT_FRACTION) + records + 2
        )
        assert reads <= max_reads, (reads, max_reads)
        for name, entry in context.world.entries.items():
            if name.startswith("other"):
                assert entry._replay is None

    context.runner.run(check())


def make(kind, nonce, fence=None, duration_s=10.0):
    data = {
        "kind": kind,
        "rules": 1,
        "id": f"{nonce}-{kind}",
        "duty": DUTY,
        "holder": f"holder-{nonce}",
        "nonce": nonce,
    }
    if kind != "release":
        data["duration_s"] = duration_s
    if fence is not None:
        data["fence"] = fence
    return data


class ReferenceModel:
    """A model that reads the whole stream; its timestamps must not decrease."""

    def __init__(self):
        self.lease = None
        self.until = 0.0
        self.grants = []

    def apply(self, offset, moment, data):
        kind = messages.valid_kind_of(data)
        if kind is None:
            return False
        is_live = self.lease is not None and moment < self.until
        if kind == "acquire":
            if is_live:
                return False
            assert not self.grants or moment >= self.until or self.lease is None
            self.lease = (data["nonce"], offset)
            self.until = moment + data["duration_s"]
            self.grants.append(self.lease)
            return True
        if self.lease != (data["nonce"], data["fence"]):
            return False
        if kind == "release":
            self.lease = None
            return True
        if is_live:
            self.until = max(self.until, moment + data["duration_s"])
        return is_live


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("acquire", "renew", "renew", "release", "foreign")),
        strategies.sampled_from((0.0, 0.0, 1.0, 4.0, 11.0, 29.0)),
        strategies.integers(0, 3),
        strategies.sampled_from((5.0, 10.0, 30.0)),
    ),
    min_size=25,
    max_size=60,
)


def play(steps):
    """Return each record with the model's verdict and the lease active after it."""
    model = ReferenceModel()
    moment = 1000.0
    played = []
    for offset, (kind, gap, back, duration_s) in enumerate(steps):
        moment += gap
        if kind == "foreign":
            data = FOREIGN[back]
        elif kind == "acquire" or not model.grants:
            data = make("acquire", f"n{offset - back}", duration_s=duration_s)
        else:
            # Renewals and releases refer to a real grant, possibly one long lapsed.
            nonce, fence = model.grants[max(0, len(model.grants) - 1 - back)]
            data = make(kind, nonce, fence, duration_s)
        verdict = model.apply(offset, moment, data)
        record = provider_interfaces.LogRecord(offset, moment, data)
        active = model.lease if moment < model.until else None
        played.append((record, verdict, active))
    return played


@then("every replay agrees with the model over late, duplicate and foreign records")
def check_replay(context):
    seen = {"late starts": 0}

    @SETTINGS
    @hypothesis.given(STEPS, strategies.integers(0, 9))
    def check(steps, begin):
        played = play(steps)
        begin %= len(played)
        whole = replay.LeaseReplay()
        late = replay.LeaseReplay(begin, played[begin][0].time)
        for record, verdict, active in played:
            assert whole.apply(record) == verdict, record
            _check_active(whole, record.time, active)
            if record.offset < begin:
                continue
            late.apply(record)
            if late.is_settled(record.time):
                seen["late starts"] += 1
                _check_active(late, record.time, active)

    check()
    assert seen["late starts"] > 500, seen


def _check_active(found, moment, active):
    newest = found.newest(DUTY)
    is_active = newest is not None and not found.is_free(DUTY, moment)
    assert ((newest.nonce, newest.fence) if is_active else None) == active


@then("a new entry finds its start by time and acts only once its replay is settled")
def check_new_entry(context):
    async def check():
        log = fakes.FakeLog()
        now = time.time()
        for number in range(500):
            data = make("renew", "old", 3, duration_s=30.0)
            record = provider_interfaces.LogRecord(
                number + 10, now - 1000 + 2 * number, data
            )
            log.records.append(record)
        log.first_offset = 10
        entry = leasemanager.LogLeases(
            log, "entry-1", stream="s", duration_s=0.5, order_timeout_s=0.1
        )
        started_replay = await entry._start_replay()
        expected_time = now - leasemanager.REPLAY_HISTORY_S
        assert (
            abs(log.records[started_replay.next_offset - 10].time - expected_time) < 3.0
        )
        assert len(log.reads) < 16
        assert started_replay.is_settled(now)
        assert not started_replay.is_settled(now - 5.0)

    context.runner.run(check())
