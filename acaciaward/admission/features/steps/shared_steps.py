"""Steps for quotas and budgets that entries share; time is simulated."""

import random

from behave import given, then, when

from acaciaward.admission import quotas, repeatbudget

STEP_S = 0.05
# A window may hold this many times what the quota allows, plus the step's units.
OVERSHOOT = 1.1


class Entries:
    """The quotas of several entries under one simulated clock."""

    def __init__(self, count, rate, burst):
        self.now = 0.0
        self.rule = quotas.Rule(rate, burst)
        self.partitioned_until = 0.0
        self.generation = 0
        self.quotas = []
        self.start(count)
        self.groups = [set(range(count))]
        self.exchange_interval_s = 0.5
        self.admitted = []
        self.refused = []
        self.rng = random.Random(4)
        self.amount = 20.0
        self.saved = {}
        self.started_at = 0.0

    def start(self, count, saved=None):
        self.generation += 1
        self.started_at = self.now
        self.quotas = [
            quotas.Quotas(lambda: self.now, lambda: count) for _ in range(count)
        ]
        for each in self.quotas:
            each.restore(saved or {})
            each.set_rules({"org": self.rule})

    def reachable_fraction(self, number):
        if self.now < self.partitioned_until:
            return 1 / len(self.quotas)
        (group,) = [candidate for candidate in self.groups if number in candidate]
        return len(group) / len(self.quotas)

    def run(self, factor, seconds):
        exchanged_at = 0.0
        saved_at = self.now
        end = self.now + seconds
        amount = self.amount
        due = 0.0
        while self.now < end:
            # Relative to 1000 a second, the rate of the quota before it is lowered.
            due += factor * 1000 * STEP_S / amount
            for _ in range(int(due)):
                due -= 1
                number = self.rng.randrange(len(self.quotas))
                wait_s = self.quotas[number].admit(
                    "org", amount, self.reachable_fraction(number)
                )
                outcomes = self.admitted if wait_s is None else self.refused
                outcomes.append((self.now, amount))
            self.now += STEP_S
            if self.now - saved_at >= quotas.SAVE_INTERVAL_S:
                saved_at = self.now
                self.saved = self.quotas[0].levels()
            if self.now - exchanged_at >= self.exchange_interval_s:
                exchanged_at = self.now
                self.exchange()

    def exchange(self):
        if self.now < self.partitioned_until:
            return
        totals = [each.admitted_totals() for each in self.quotas]
        for group in self.groups:
            for number in group:
                others = sum(totals[each].get("org", 0) for each in group - {number})
                source = f"{self.generation} of {sorted(group)}"
                is_recent_start = self.now - self.started_at < quotas.WARM_UP_S
                self.quotas[number].receive_totals(
                    source, {"org": others}, is_recent_start=is_recent_start
                )


@given(
    "{count:d} entries that share a quota of {rate:d} a second and {burst:d} at once"
)
def make_entries(context, count, rate, burst):
    context.entries = Entries(count, rate, burst)


@given("they exchange reports every {seconds:g} s")
def set_exchange_interval(context, seconds):
    context.entries.exchange_interval_s = seconds


@when("{factor:g} times the quota is requested over {seconds:g} s")
def run(context, factor, seconds):
    context.entries.run(factor, seconds)


@when("all entries restart without reports from each other for {seconds:g} s")
def restart_without_reports(context, seconds):
    entries = context.entries
    entries.partitioned_until = entries.now + seconds
    entries.start(len(entries.quotas))


@when("all entries restart with the saved levels, partitioned for {seconds:g} s")
def restart_partitioned(context, seconds):
    entries = context.entries
    entries.partitioned_until = entries.now + seconds
    entries.restarted_at = entries.now
    entries.start(len(entries.quotas), entries.saved)


@when("one entry restarts and adopts the levels of another")
def restart_one(context):
    entries = context.entries
    entries.restarted_at = entries.now
    fresh = quotas.Quotas(lambda: entries.now, lambda: len(entries.quotas))
    fresh.set_rules({"org": entries.rule})
    fresh.adopt(entries.quotas[1].levels())
    entries.quotas[0] = fresh


@given("requests of {amount:d} units")
def set_amount(context, amount):
    context.entries.amount = float(amount)


@then("at most {part:g} of what was requested since then is refused")
def check_refused_part(context, part):
    entries = context.entries
    refused, admitted = (
        sum(amount for at, amount in outcomes if at >= entries.restarted_at)
        for outcomes in (entries.refused, entries.admitted)
    )
    assert refused <= part * (refused + admitted), (refused, admitted)


@when(
    "they are partitioned into 6 and 3 and {factor:g} times the quota is requested "
    "over 20 s"
)
def run_partitioned(context, factor):
    context.entries.run(factor, 5.0)
    context.entries.groups = [set(range(6)), {6, 7, 8}]
    context.entries.run(factor, 20.0)


@when("they meet and {factor:g} times the quota is requested over {seconds:g} s")
def run_together(context, factor, seconds):
    context.entries.groups = [set(range(len(context.entries.quotas)))]
    context.entries.run(factor, seconds)


@then("at least {part:g} of the quota was used in the last {seconds:g} s")
def check_used_last(context, part, seconds):
    entries = context.entries
    begin = entries.now - seconds
    used = sum(amount for at, amount in entries.admitted if at >= begin)
    assert used >= part * entries.rule.rate * seconds, used


@when(
    "the quota is lowered to 100 and {factor:g} times the quota is requested over 20 s"
)
def run_with_lower_quota(context, factor):
    entries = context.entries
    entries.run(0.5, 5.0)
    entries.rule = quotas.Rule(100.0, 100.0)
    entries.admitted.clear()
    for each in entries.quotas:
        each.set_rules({"org": entries.rule})
    entries.run(factor, 20.0)


@then(
    "no window of {seconds:g} s exceeds the quota by more than a tenth and {slack:d}"
    " units"
)
def check_windows(context, seconds, slack):
    entries = context.entries
    rule = entries.rule
    allowed = (rule.rate * seconds + rule.burst) * OVERSHOOT + slack
    for start, _ in entries.admitted[::20]:
        total = sum(
            amount for at, amount in entries.admitted if start <= at < start + seconds
        )
        assert total <= allowed, (start, total, allowed)


@then("at least {part:g} of the quota was used")
def check_used(context, part):
    entries = context.entries
    used = sum(amount for _, amount in entries.admitted)
    assert used >= part * entries.rule.rate * entries.now, used


@then("nothing was refused after the first second")
def check_none_refused(context):
    late = [at for at, _ in context.entries.refused if at > 1.0]
    assert not late, late[:5]


@then("a request of {amount:d} passes after {seconds:g} s and the next has to wait")
def check_large(context, amount, seconds):
    entries = context.entries
    entries.now = seconds
    assert entries.quotas[0].admit("org", amount, 1.0) is None
    assert entries.quotas[0].admit("org", 10.0, 1.0) > 0


@given("{count:d} entries with a repeat ratio of {ratio:g} and {burst:d} in 10 s")
def make_budgets(context, count, ratio, burst):
    context.now = 0.0
    context.budget = repeatbudget.Budget(ratio, burst, 10.0)

    def make_budgets():
        is_first = context.now == 0.0
        return repeatbudget.RepeatBudgets(
            context.budget,
            lambda: context.now,
            lambda: count,
            has_predecessor=lambda: not is_first,
        )

    context.make_budgets = make_budgets
    context.budgets = [context.make_budgets() for _ in range(count)]


@when("every request of {seconds:d} s is repeated as often as allowed")
def repeat_all(context, seconds):
    repeat_between(context, 0, seconds)


@when(
    "every request from {begin:d} s to {end:d} s is repeated, and {which} start anew at"
    " {start:d} s"
)
def repeat_and_restart(context, begin, end, which, start):
    count = len(context.budgets)
    pause_s = 0.0 if which == "all entries" else 0.5
    starts = {number: start + number * pause_s for number in range(count)}
    repeat_between(context, begin, end, starts)


def repeat_between(context, begin, end, starts=None):
    """Repeat requests as often as allowed; ``starts`` says when entries start anew."""
    context.first_attempts, context.repeats = [], []
    starts = starts or {}
    rng = random.Random(2)
    while context.now < end:
        for number, start in list(starts.items()):
            if context.now >= start:
                del starts[number]
                context.budgets[number] = context.make_budgets()
        budget = rng.choice(context.budgets)
        budget.record_first_attempt("s")
        context.first_attempts.append(context.now)
        while context.now >= begin and budget.spend("s"):
            context.repeats.append(context.now)
        context.now += 0.01


@then("half of what the budget allows is used from {begin:d} s on")
def check_used(context, begin):
    budget = context.budget
    repeats = sum(begin <= at < begin + 10 for at in context.repeats)
    first_attempts = sum(begin <= at < begin + 10 for at in context.first_attempts)
    allowed = budget.ratio * first_attempts + budget.burst
    assert repeats >= 0.5 * allowed, (repeats, allowed)


@then("no window of 10 s holds more repeats than the budget allows")
def check_repeats(context):
    budget = context.budget
    for step in range(0, 500):
        start = step / 10
        first_attempts = sum(start <= at < start + 10 for at in context.first_attempts)
        repeats = sum(start <= at < start + 10 for at in context.repeats)
        assert repeats <= budget.ratio * first_attempts + budget.burst, (
            start,
            repeats,
            first_attempts,
        )
    assert len(context.repeats) > 0
