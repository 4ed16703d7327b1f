"""Steps for parts of prompts; entries exchange reports without a network."""

import random

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward.quarantine import partreports, promptparts
from acaciaward.quarantine.features import cutmodel

# Of the random days: the pause between reports, and between two calls of a part.
REPORT_S = 0.25
STEP_S = 0.05
DAY_STEPS = 800
# Crashes of one part after which only a few more may follow.
CRASHES = 5
LATE_CRASHES = 3
# Random cuts that are played.
CUT_SEEDS = 10
FIRST_PARTS = ("a", "b")
# Within two reports an entry learns which parts of a crash others have served.
REPORTED_S = 2 * REPORT_S


@given("{count:d} entries that know of no part")
def make_entries(context, count):
    context.now = 100.0
    context.entries = {
        number: make_entry(context, number, count) for number in range(1, count + 1)
    }


def make_entry(context, number, count):
    names = [f"e-{number}" for number in range(1, count + 1)]
    return promptparts.PromptParts(lambda: context.now, f"e-{number}", lambda: names)


@when('a call with "{parts}" crashes endpoint {endpoint:d} at entry {entry:d}')
def crash(context, parts, endpoint, entry):
    context.entries[entry].record_crash(parts.split(), f"s-{endpoint}")


@when('a call with "{parts}" crashes {count:d} endpoints at entry {entry:d}')
def crash_several(context, parts, count, entry):
    for number in range(1, count + 1):
        crash(context, parts, number, entry)


@when('a call with "{parts}" is answered at entry {entry:d}')
def answer(context, parts, entry):
    context.entries[entry].record_served(parts.split())


@when("{count:d} calls with other parts crash an endpoint at entry {entry:d}")
def flood(context, count, entry):
    for number in range(count):
        context.entries[entry].record_crash([f"p-{number}"], "s-1")


@when("{seconds:g} s pass at all entries")
def wait(context, seconds):
    context.now += seconds


def exchange_reports(entries):
    report = partreports.merge(entry.report() for entry in entries)
    for entry in entries:
        entry.receive(report)


@when(
    "{endpoints:d} endpoints crash under calls, of which {same:d} have the same session"
)
def crash_in_release(context, endpoints, same):
    for number in range(1, endpoints + 1):
        is_same = number <= same
        session = "session" if is_same else f"session-{number}"
        entry = 1 + number % len(context.entries)
        crash(context, session, number, entry)


@when("{count:d} endpoints crash under calls with a session each")
def crash_sessions(context, count):
    for number in range(1, count + 1):
        crash(context, f"session-{number}", f"other-{number}", 2)


@when('a call with "{parts}" crashes {count:d} other endpoints at entry {entry:d}')
def crash_others(context, parts, count, entry):
    crash_several(context, parts, count, entry)


@when('endpoint {endpoint:d} answers a call with "{parts}" at entry {entry:d}')
def answer_at(context, endpoint, parts, entry):
    context.entries[entry].record_served(parts.split(), f"s-{endpoint}")


@when(
    'endpoint {endpoint:d} ends an answer to a call with "{parts}" that entry {entry:d}'
    " sent {ago_s:g} s ago"
)
def end_answer(context, endpoint, parts, entry, ago_s):
    sent_at = context.now - ago_s
    context.entries[entry].record_served(
        parts.split(), f"s-{endpoint}", sent_at=sent_at
    )


@when("the entries tell each other once")
def tell_once(context):
    exchange_reports(context.entries.values())


@when("the entries tell each other, {seconds:g} s later")
def tell(context, seconds):
    # Twice: an entry answers what it has heard in its next report.
    for _ in range(2):
        exchange_reports(context.entries.values())
        context.now += seconds / 2


@when("the entries tell each other every {pause:g} s for {seconds:g} s")
def tell_often(context, pause, seconds):
    for _ in range(int(seconds / pause)):
        exchange_reports(context.entries.values())
        context.now += pause


@when("entry {entry:d} starts anew")
def restart(context, entry):
    context.entries[entry] = make_entry(context, entry, len(context.entries))


def senders(context, parts):
    return [
        name
        for name, entry in context.entries.items()
        if not entry.refuse_for_s(parts.split())
    ]


@then('every entry sends "{parts}"')
def check_sent(context, parts):
    found = senders(context, parts)
    assert found == list(context.entries), found


@then('no entry sends "{parts}"')
def check_refused(context, parts):
    found = senders(context, parts)
    assert not found, found


@then('entry {entry:d} doesn\'t send "{parts}"')
def check_not_sent(context, entry, parts):
    assert entry not in senders(context, parts)


@then('one entry sends one call with "{parts}"')
def check_one_sent(context, parts):
    check_few_sent(context, 1, parts)


@then('{count:d} entries send one call with "{parts}"')
def check_few_sent(context, count, parts):
    found = senders(context, parts)
    assert len(found) == count, found
    assert not senders(context, parts)


@then("no entry knows a crash")
def check_forgotten(context):
    found = [entry.report()["crashes"] for entry in context.entries.values()]
    assert not any(found), found


@then(
    "entry {entry:d} remembers at most {known:d} parts and reports at most {reported:d}"
)
def check_bound(context, entry, known, reported):
    parts = context.entries[entry]
    assert len(parts._suspects) <= known, len(parts._suspects)
    assert len(parts.report()["crashes"]) <= reported


@then(
    "on {count:d} random days a part crashes few endpoints, and sound calls are served"
)
def check_random_days(context, count):
    @hypothesis.settings(
        database=None, derandomize=True, max_examples=count, deadline=None
    )
    @hypothesis.given(strategies.integers(1, 2), strategies.integers(0, 2**32 - 1))
    def check(guilty_count, seed):
        day = RandomDay(guilty_count, random.Random(seed))
        for _ in range(DAY_STEPS):
            day.step()
        assert max(day.crashes.values()) <= CRASHES + LATE_CRASHES, day.crashes
        # Half of the sound calls must begin, of each first part.
        for part in FIRST_PARTS:
            sent, refused = day.sound[part]
            assert refused <= sent, (part, sent, refused)
        assert not day.wrongly_refused, day.wrongly_refused

    check()


@then(
    "with {cut:d} of {count:d} entries cut off by resets for {seconds:g} s, no call is"
    " refused for a part"
)
def check_cut(context, cut, count, seconds):
    refused = {}
    for seed in range(CUT_SEEDS):
        model = cutmodel.CutModel(count, cut, seconds, random.Random(seed))
        model.run()
        assert model.sent > seconds * cutmodel.CALLS_PER_S / 2, model.sent
        refused[seed] = (model.refused, model.sent + model.refused)
    assert not any(found for found, _ in refused.values()), refused


class RandomDay:
    """Four entries with sound and guilty calls, and crashes by chance."""

    def __init__(self, guilty_count, rng):
        names = [f"e-{number}" for number in range(4)]
        self._now = 100.0
        self._entries = [
            promptparts.PromptParts(lambda: self._now, name, lambda: names)
            for name in names
        ]
        self._guilty = [f"g-{number}" for number in range(guilty_count)]
        self._rng = rng
        self._steps = 0
        self.crashes = dict.fromkeys(self._guilty, 0)
        # By first part: sound calls that were sent, and those that were refused.
        self.sound = {part: [0, 0] for part in FIRST_PARTS}
        # When each part was first served, and when it last met a crash.
        self._served_at = {}
        self._crashed_at = {}
        # Sound calls that were refused although an entry had served their parts, and
        # all had been told.
        self.wrongly_refused = []

    def step(self):
        rng = self._rng
        self._now += STEP_S
        self._steps += 1
        if self._steps % int(REPORT_S / STEP_S) == 0:
            exchange_reports(self._entries)
        entry = rng.choice(self._entries)
        parts = self._draw_parts()
        is_guilty = rng.random() < 0.1
        if is_guilty:
            parts.append(rng.choice(self._guilty))
        is_refused = entry.refuse_for_s(parts) > 0
        if not is_guilty:
            self.sound[parts[0]][is_refused] += 1
        if is_refused:
            if not is_guilty and self._are_known_as_served(parts):
                self.wrongly_refused.append((self._steps, parts))
            return
        if not is_guilty and rng.random() >= 0.02:
            entry.record_served(parts)
            for part in parts:
                self._served_at.setdefault(part, self._now)
            return
        endpoint = f"s-{self._steps}"
        self._crash(entry, parts, endpoint)
        if is_guilty:
            self.crashes[parts[-1]] += 1
        # A call that ran beside it at another entry.
        self._crash(rng.choice(self._entries), self._draw_parts(), endpoint)

    def _crash(self, entry, parts, endpoint):
        entry.record_crash(parts, endpoint)
        self._crashed_at |= dict.fromkeys(parts, self._now)

    def _are_known_as_served(self, parts):
        """Whether all entries were told who served these parts since they crashed."""
        told = self._now - REPORTED_S - STEP_S / 2
        return all(
            self._served_at.get(part, self._now) < told
            and self._crashed_at.get(part, 0.0) < told
            for part in parts
        )

    def _draw_parts(self):
        session = f"session-{self._rng.randrange(6)}"
        return [self._rng.choice(FIRST_PARTS), session]
