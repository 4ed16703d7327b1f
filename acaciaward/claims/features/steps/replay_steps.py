"""Steps for the claim replay: differential tests over generated logs."""

import tracemalloc
import uuid

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward.claims import replay
from acaciaward.provider import interfaces as provider_interfaces

WINDOW_S = 20.0
SKEW_S = 2.0
BEGIN = 1_000_000.0
ORGANISATION = "org"


def make_key(time, number=0):
    milliseconds = int(time * 1000)
    return str(uuid.UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | number))


def claim(key, nonce, digest="d"):
    return {
        "kind": "claim",
        "organisation": ORGANISATION,
        "key": key,
        "digest": digest,
        "nonce": nonce,
        "owner": "entry",
    }


def release(key, nonce):
    return {
        "kind": "release",
        "organisation": ORGANISATION,
        "key": key,
        "nonce": nonce,
    }


KEYS = [make_key(BEGIN + offset, index) for index, offset in enumerate((0, 3, 9, 40))]
NONCES = ["n1", "n2", "n3", "n4"]

# Each tuple is a kind, a key, a nonce and the seconds since the previous record.
RECORDS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["claim", "claim", "release", "noise"]),
        strategies.sampled_from(KEYS),
        strategies.sampled_from(NONCES),
        strategies.sampled_from([0.0, 0.5, 4.0, 15.0]),
    ),
    max_size=24,
)
MAKERS = {
    "claim": claim,
    "release": release,
    "noise": lambda key, nonce: {"kind": "claim", "key": 5, "nonce": nonce},
}


def make_log(drawn):
    time = BEGIN - SKEW_S
    log = []
    for kind, key, nonce, pause_s in drawn:
        time += pause_s
        data = MAKERS[kind](key, nonce)
        log.append(provider_interfaces.LogRecord(len(log), time, data))
    return log


def page_of(log, first, end, time):
    return provider_interfaces.LogPage(log[first:end], first, len(log), time)


def naive_owner(log, key):
    """Return the first claim of a key whose nonce is released nowhere in the log."""
    key_records = [record for record in log if record.data.get("key") == key]
    released = {
        record.data["nonce"]
        for record in key_records
        if record.data["kind"] == "release"
    }
    for record in key_records:
        if record.data["kind"] == "claim" and record.data["nonce"] not in released:
            return record
    return None


def naive_owns(log, key, nonce):
    owner = naive_owner(log, key)
    if owner is None or owner.data["nonce"] != nonce:
        return False
    stated_time = replay.key_time(key)
    return stated_time - SKEW_S <= owner.time <= stated_time + WINDOW_S


def is_too_early(owner, key):
    return owner is not None and owner.time < replay.key_time(key) - SKEW_S


def settings(count):
    return hypothesis.settings(
        database=None, derandomize=True, max_examples=count, deadline=None
    )


@then("the replay finds the same owners as the naive model, over {count:d} logs")
def check_differential(context, count):
    @settings(count)
    @hypothesis.given(RECORDS, strategies.integers(0, 24))
    def check(drawn, first):
        log = make_log(drawn)
        whole = make_replay()
        late = make_replay()
        first = min(first, len(log))
        late.restart(first)
        for end in range(first, len(log) + 1):
            time = log[end - 1].time if end else BEGIN
            whole.apply_page(page_of(log, whole.next_offset, end, time))
            late.apply_page(page_of(log, late.next_offset, end, time))
            for key in KEYS:
                for nonce in NONCES:
                    # A key may be evicted after its window, so the replay may own less.
                    is_over = time > replay.key_time(key) + WINDOW_S
                    owns = naive_owns(log[:end], key, nonce)
                    if not is_over:
                        assert is_owned(whole, key, nonce) == owns
                    assert not is_owned(whole, key, nonce) or owns
                    # A replay that started later hasn't read claims from before the
                    # key's window. Those block later claims but never run themselves.
                    can_own = owns or is_too_early(naive_owner(log[:end], key), key)
                    assert not is_owned(late, key, nonce) or can_own

    check()


def make_replay(**options):
    return replay.ClaimReplay(window_s=WINDOW_S, clock_skew_s=SKEW_S, **options)


def is_owned(claim_replay, key, nonce):
    status = claim_replay.evaluate(ORGANISATION, key, nonce)
    return status is replay.ClaimStatus.OWNED


class Process:
    """One entry of the model: its replay and its nonces not dispatched yet."""

    def __init__(self, world, rules):
        self.world = world
        self.rules = rules
        self.replay = make_replay()
        self.undispatched = {}

    def claim(self, key):
        nonce = f"n{self.world.next_nonce()}"
        self.undispatched[nonce] = key
        self.world.in_flight.append(claim(key, nonce))

    def give_up(self):
        if self.undispatched:
            nonce, key = self.undispatched.popitem()
            self.world.in_flight.append(release(key, nonce))

    def read(self):
        world = self.world
        if self.replay.next_offset < world.first_offset:
            self.replay.restart(world.first_offset)
        page = page_of(world.log, self.replay.next_offset, len(world.log), world.time)
        self.replay.apply_page(page)

    def dispatch(self):
        """Run each key that the replay, as of its last read, says is owned here."""
        for nonce, key in list(self.undispatched.items()):
            if self.may_dispatch(nonce, key):
                del self.undispatched[nonce]
                self.world.runs.append(key)

    def may_dispatch(self, nonce, key):
        status = self.replay.evaluate(ORGANISATION, key, nonce)
        allowed = {replay.ClaimStatus.OWNED}
        if "coverage" not in self.rules:
            allowed |= {replay.ClaimStatus.UNCOVERED}
        if "order" not in self.rules:
            allowed |= {replay.ClaimStatus.LOST}
        return status in allowed


class World:
    """The log, the records in flight to it and the keys that were run."""

    def __init__(self, rules):
        self.log = []
        self.in_flight = []
        self.first_offset = 0
        self.time = BEGIN
        self.runs = []
        self._nonces = 0
        self._rules = rules
        self.processes = [Process(self, rules) for _ in range(3)]

    def next_nonce(self):
        self._nonces += 1
        return self._nonces

    def append_in_flight(self, choice):
        """Append any one of the records in flight, so that their order is arbitrary."""
        if self.in_flight:
            data = self.in_flight.pop(choice % len(self.in_flight))
            record = provider_interfaces.LogRecord(len(self.log), self.time, data)
            self.log.append(record)

    def expire(self):
        """Expire half of what the log retains, sooner than any setting should."""
        self.first_offset = (self.first_offset + len(self.log) + 1) // 2

    def act(self, step):
        action, number, key = step
        process = self.processes[number]
        actions = {
            "claim": lambda: process.claim(KEYS[key]),
            "give up": process.give_up,
            "read": process.read,
            "dispatch": process.dispatch,
            "land": lambda: self.append_in_flight(key),
            "pass": lambda: self.wait(3.0),
            "expire": self.expire,
            "replace": lambda: self.replace(number),
        }
        actions[action]()

    def wait(self, seconds):
        self.time += seconds

    def replace(self, number):
        self.processes[number] = Process(self, self._rules)


ACTIONS = ["claim", "claim", "read", "read", "dispatch", "land", "land", "land"]
ACTIONS += ["give up", "pass", "expire", "replace"]
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(ACTIONS),
        strategies.integers(0, 2),
        strategies.integers(0, 1),
    ),
    min_size=10,
    max_size=60,
)
ALL_RULES = frozenset({"coverage", "order"})


def runs_twice(steps, rules):
    world = World(rules)
    for step in steps:
        world.act(step)
    return len(world.runs) > len(set(world.runs))


@then("no schedule of {count:d} with freezes, late records and expiry runs a key twice")
def check_schedules(context, count):
    @settings(count)
    @hypothesis.given(STEPS)
    def check(steps):
        assert not runs_twice(steps, ALL_RULES)

    check()


@then('some schedule runs a key twice without the rule "{rule}"')
def check_switched_off(context, rule):
    hypothesis.find(
        STEPS,
        lambda steps: runs_twice(steps, ALL_RULES - {rule}),
        settings=hypothesis.settings(
            database=None,
            derandomize=True,
            max_examples=20_000,
            deadline=None,
            phases=[hypothesis.Phase.generate],
        ),
    )


@given("a replay that may remember {count:d} keys")
def make_small_replay(context, count):
    context.replay = make_replay(max_keys=count)


@when("{count:d} keys are claimed")
def claim_keys(context, count):
    claim_many(context, count)


def claim_many(context, count):
    context.keys = [make_key(BEGIN + n / 1000, n) for n in range(count)]
    for number, key in enumerate(context.keys):
        time = BEGIN + number / 1000
        record = provider_interfaces.LogRecord(number, time, claim(key, f"n{number}"))
        page = provider_interfaces.LogPage([record], 0, number + 1, time)
        context.replay.apply_page(page)


@then("it remembers at most {count:d} keys")
def check_remembered(context, count):
    assert context.replay.key_count <= count, context.replay.key_count


@then("each evicted key is uncovered, and a new key is not")
def check_evicted(context):
    evicted = [
        key for key in context.keys if context.replay.state(ORGANISATION, key) is None
    ]
    assert len(evicted) == len(context.keys) - context.replay.key_count
    assert not any(context.replay.covers(key) for key in evicted)
    assert context.replay.covers(make_key(BEGIN + 60))


@when("{count:d} keys are claimed in a fresh replay")
def measure_memory(context, count):
    context.replay = replay.ClaimReplay(window_s=600.0, clock_skew_s=SKEW_S)
    context.count = count
    tracemalloc.start()
    claim_many(context, count)
    context.keys = None
    context.bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()


@then("each takes less than {bound:d} bytes")
def check_memory(context, bound):
    each = context.bytes / context.count
    print(f"{each:.0f} bytes a remembered claim")
    assert each < bound, each
