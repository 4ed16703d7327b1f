"""Steps for the conditional lease; clock and topic are fakes."""

import asyncio
import itertools
import random
import types

from behave import given, then, when

from acaciaward import errors
from acaciaward.leases import conditionallease
from acaciaward.platform import store

DURATION_S = 3.0
STEP_S = 0.25


class Topic:
    """
    A topic in memory that can lose answers, before or after the append.

    It can be restored from an older copy. With ``delay_rate`` some appends have no
    answer, and ``do_late`` does them if their condition still holds.
    """

    def __init__(self, rng):
        self.era = 0
        self.first_offset = 0
        self.names_first_offset = True
        self.records = []
        self.late = []
        self.delay_rate = 0.0
        self.appended_at = []
        self.now = lambda: 0.0
        self.rng = rng
        self.loss_rate = 0.0

    def restore(self, before):
        """Lose what was appended at ``before`` or later."""
        count = sum(at < before for at in self.appended_at)
        del self.records[count:], self.appended_at[count:]
        self.first_offset = min(self.first_offset, count)
        self.era += 1

    def expire(self, before):
        """Drop what was appended before ``before``."""
        count = sum(at < before for at in self.appended_at)
        self.first_offset = max(self.first_offset, count)

    def do_late(self):
        """Do the appends that got no answer."""
        late, self.late = self.late, []
        for record, expected_end in late:
            if expected_end == len(self.records):
                self._add(record)

    async def read(self, start):
        await self._fail()
        if not self.first_offset <= start <= len(self.records):
            is_named = self.names_first_offset or start < self.first_offset
            first_offset = self.first_offset if is_named else 0
            raise errors.RecordsExpiredError("gone", first_offset=first_offset)
        return types.SimpleNamespace(
            records=self.records[start:],
            start=start,
            end_offset=len(self.records),
            era=self.era,
        )

    async def append(self, record, *, expected_end):
        await self._fail()
        if self.rng.random() < self.delay_rate:
            self.late.append((record, expected_end))
            raise errors.PlatformUnknownError("no answer yet")
        if expected_end != len(self.records):
            raise store.AppendRefusedError("ends elsewhere", len(self.records))
        self._add(record)
        appended = store.Appended(len(self.records), self.era)
        await self._fail()
        return appended

    def _add(self, record):
        self.records.append(record)
        self.appended_at.append(self.now())

    async def _fail(self):
        await asyncio.sleep(0)
        if self.rng.random() < self.loss_rate:
            raise errors.PlatformUnknownError("lost")


class Candidates:
    """Several entries on one clock; records who held the lease when and its fence."""

    def __init__(self, count, seed=1):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.topic = Topic(self.rng)
        self.topic.now = lambda: self.now
        self.numbers = itertools.count()
        self.leases = {}
        self.suspended = set()
        self.held = []
        for _ in range(count):
            self.add()

    def add(self):
        name = f"e-{next(self.numbers)}"
        self.leases[name] = conditionallease.ConditionalLease(
            self.topic,
            name,
            duration_s=DURATION_S,
            is_candidate=lambda: True,
            clock=lambda: self.now,
        )

    def holders(self):
        return [name for name, lease in self.leases.items() if lease.held()]

    async def step(self):
        await asyncio.gather(
            *(
                self._step(lease)
                for name, lease in self.leases.items()
                if name not in self.suspended
            )
        )
        for name in self.holders():
            self.held.append((self.now, name, self.leases[name].held().fence))
        self.now += STEP_S

    @staticmethod
    async def _step(lease):
        try:
            await lease.step()
        except errors.PlatformError:
            pass

    async def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            await self.step()

    def check_no_overlap(self):
        fences = [fence for _, _, fence in self.held]
        assert fences == sorted(fences), fences
        by_fence = {}
        for _, name, fence in self.held:
            assert by_fence.setdefault(fence, name) == name
        moments = {}
        for at, name, _ in self.held:
            assert moments.setdefault(at, name) == name, at


@given("{count:d} candidates on one topic")
def make_candidates(context, count):
    context.candidates = Candidates(count)


@when("all of them run once")
def run_once(context):
    context.runner.run(context.candidates.step())


@when("they run for {seconds:d} s")
def run_for(context, seconds):
    context.runner.run(context.candidates.run(seconds))


@when("answers of the store are lost and they run for {seconds:d} s")
def run_with_lost_answers(context, seconds):
    context.candidates.topic.loss_rate = 0.3
    context.runner.run(context.candidates.run(seconds))


@when("the lease holder dies")
def kill_holder(context):
    (name,) = context.candidates.holders()
    del context.candidates.leases[name]


@when(
    "the store loses what was appended in the last {seconds:d} s"
    " and the lease holder dies"
)
def restore_and_kill(context, seconds):
    candidates = context.candidates
    candidates.topic.restore(candidates.now - seconds)
    kill_holder(context)


@when("the store loses everything, and an entry starts")
def lose_all_and_start(context):
    context.candidates.topic.restore(0.0)
    context.candidates.add()


@when("the store loses what was appended in the last {seconds:d} s")
def restore_store(context, seconds):
    candidates = context.candidates
    candidates.topic.restore(candidates.now - seconds)


@when("all records expire while only the holder runs for {seconds:d} s")
def expire_unread(context, seconds):
    candidates = context.candidates
    candidates.suspended = set(candidates.leases) - set(candidates.holders())
    context.runner.run(candidates.run(seconds))
    candidates.topic.expire(candidates.now)
    candidates.suspended = set()


@when("reads beyond the end name no first offset and old records have expired")
def expire_without_first_offset(context):
    topic = context.candidates.topic
    topic.names_first_offset = False
    topic.expire(context.candidates.now - 2.0)


@when("the store loses the last renewal while the holder goes on")
def lose_renewal(context):
    topic = context.candidates.topic
    topic.restore(topic.appended_at[-1])


@when("the lease holder is suspended while the others run for {seconds:d} s")
def suspend(context, seconds):
    context.candidates.suspended = set(context.candidates.holders())
    context.runner.run(context.candidates.run(seconds))


@then("exactly {count:d} holds the lease")
def check_count(context, count):
    assert len(context.candidates.holders()) == count, context.candidates.holders()


@then("only one fence was ever used")
def check_fence(context):
    assert len({fence for _, _, fence in context.candidates.held}) == 1


@then("fences only rise, and no two leases overlap")
def check_no_overlap(context):
    context.candidates.check_no_overlap()


def play_schedules(context, disturb):
    """Play 200 schedules; ``disturb(topic, rng, now)`` disturbs the store in each."""

    async def play(seed):
        candidates = Candidates(3, seed)
        rng = candidates.rng
        for _ in range(12):
            candidates.topic.loss_rate = rng.choice([0.0, 0.0, 0.2, 0.6])
            disturb(candidates.topic, rng, candidates.now)
            action = rng.choice(["die", "sleep", "wake", "none"])
            names = list(candidates.leases)
            if action == "die":
                del candidates.leases[rng.choice(names)]
                candidates.add()
            elif action == "sleep":
                candidates.suspended.add(rng.choice(names))
            else:
                candidates.suspended.clear()
            await candidates.run(rng.uniform(0.5, 5.0))
        candidates.check_no_overlap()
        return bool(candidates.held)

    held = [context.runner.run(play(seed)) for seed in range(200)]
    assert sum(held) > 190


@then("for any schedule fences only rise, and no two leases overlap")
def check_any(context):
    play_schedules(context, lambda topic, rng, now: None)


@then("for any schedule with restores fences only rise, and no two leases overlap")
def check_any_with_restores(context):
    def disturb(topic, rng, now):
        topic.delay_rate = rng.choice([0.0, 0.0, 0.3])
        if rng.random() < 0.4:
            topic.restore(now - rng.uniform(0.0, 8.0))
        if rng.random() < 0.5:
            topic.do_late()

    play_schedules(context, disturb)


@then("for any schedule with expiry fences only rise, and no two leases overlap")
def check_any_with_expiry(context):
    def disturb(topic, rng, now):
        topic.delay_rate = rng.choice([0.0, 0.0, 0.3])
        if rng.random() < 0.5:
            topic.expire(now - rng.uniform(0.0, 4.0))
        if rng.random() < 0.5:
            topic.do_late()

    play_schedules(context, disturb)
