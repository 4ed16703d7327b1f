"""Steps for quotas and budgets that entries share; time is simulated."""

import random

from behave import given, then, when

from acaciaward.admission import quotas, repeats

STEP_S = 0.05
# Tolerance of the rule: a tenth, and the slack that a step names.
OVERSHOOT = 1.1


class Entries:
    """Several entries under one clock."""

    def __init__(self, count, rate, burst):
        self.now = 0.0
        self.rule = quotas.Rule(rate, burst)
        self.apart_until = 0.0
        self.generation = 0
        self.quotas = []
        self.start(count)
        self.groups = [set(range(count))]
        self.hear_s = 0.5
        self.taken = []
        self.refused = []
        self.chooser = random.Random(4)
        self.amount = 20.0
        self.saved = {}
        self.started = 0.0

    def start(self, count, saved=None):
        self.generation += 1
        self.started = self.now
        self.quotas = [
            quotas.Quotas(lambda: self.now, lambda: count) for _ in range(count)
        ]
        for each in self.quotas:
            each.restore(saved or {})
            each.set_rules({"org": self.rule})

    def part(self, number):
        if self.now < self.apart_until:
            return 1 / len(self.quotas)
        (group,) = [one for one in self.groups if number in one]
        return len(group) / len(self.quotas)

    def run(self, factor, seconds):
        heard = 0.0
        saved = self.now
        end = self.now + seconds
        amount = self.amount
        owed = 0.0
        while self.now < end:
            owed += factor * 1000 * STEP_S / amount
            for _ in range(int(owed)):
                owed -= 1
                number = self.chooser.randrange(len(self.quotas))
                wait_s = self.quotas[number].admit("org", amount, self.part(number))
                kept = self.taken if wait_s is None else self.refused
                kept.append((self.now, amount))
            self.now += STEP_S
            if self.now - saved >= quotas.SAVE_S:
                saved = self.now
                self.saved = self.quotas[0].levels()
            if self.now - heard >= self.hear_s:
                heard = self.now
                self.exchange()

    def exchange(self):
        if self.now < self.apart_until:
            return
        totals = [each.totals() for each in self.quotas]
        for group in self.groups:
            for one in group:
                others = sum(totals[each].get("org", 0) for each in group - {one})
                source = f"{self.generation} of {sorted(group)}"
                is_fresh = self.now - self.started < quotas.YOUNG_S
                self.quotas[one].hear(source, {"org": others}, is_fresh=is_fresh)


@given(
    "{count:d} entries that share a quota of {rate:d} a second and {burst:d} at once"
)
def make_entries(context, count, rate, burst):
    context.entries = Entries(count, rate, burst)


@given("they hear one another every {seconds:g} s")
def hear(context, seconds):
    context.entries.hear_s = seconds


@when("{factor:g} times the quota is asked for over {seconds:g} s")
def run(context, factor, seconds):
    context.entries.run(factor, seconds)


@when("all entries start anew without knowing each other for {seconds:g} s")
def start_anew(context, seconds):
    entries = context.entries
    entries.apart_until = entries.now + seconds
    entries.start(len(entries.quotas))


@when("all entries start anew with what was saved, apart for {seconds:g} s")
def restart(context, seconds):
    entries = context.entries
    entries.apart_until = entries.now + seconds
    entries.restarted = entries.now
    entries.start(len(entries.quotas), entries.saved)


@when("one entry starts anew and hears the levels of another")
def restart_one(context):
    entries = context.entries
    entries.restarted = entries.now
    fresh = quotas.Quotas(lambda: entries.now, lambda: len(entries.quotas))
    fresh.set_rules({"org": entries.rule})
    fresh.adopt(entries.quotas[1].levels())
    entries.quotas[0] = fresh


@given("requests of {amount:d} units")
def set_amount(context, amount):
    context.entries.amount = float(amount)


@then("at most {part:g} of what was asked since then is refused")
def check_refused_part(context, part):
    entries = context.entries
    refused, taken = (
        sum(amount for at, amount in kept if at >= entries.restarted)
        for kept in (entries.refused, entries.taken)
    )
    assert refused <= part * (refused + taken), (refused, taken)


@when("they are cut into 6 and 3 and {factor:g} times the quota is asked for over 20 s")
def run_cut(context, factor):
    context.entries.run(factor, 5.0)
    context.entries.groups = [set(range(6)), {6, 7, 8}]
    context.entries.run(factor, 20.0)


@when("the quota is cut to 100 and {factor:g} times the quota is asked for over 20 s")
def run_lower(context, factor):
    entries = context.entries
    entries.run(0.5, 5.0)
    entries.rule = quotas.Rule(100.0, 100.0)
    entries.taken.clear()
    for each in entries.quotas:
        each.set_rules({"org": entries.rule})
    entries.run(factor, 20.0)


@then("no window of {seconds:g} s holds more than the rule and {slack:d}")
def check_windows(context, seconds, slack):
    entries = context.entries
    rule = entries.rule
    allowed = (rule.rate * seconds + rule.burst) * OVERSHOOT + slack
    for start, _ in entries.taken[::20]:
        total = sum(
            amount for at, amount in entries.taken if start <= at < start + seconds
        )
        assert total <= allowed, (start, total, allowed)


@then("at least {part:g} of the quota was used")
def check_used(context, part):
    entries = context.entries
    used = sum(amount for _, amount in entries.taken)
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
    context.budget = repeats.Budget(ratio, burst, 10.0)
    context.budgets = [
        repeats.RepeatBudgets(context.budget, lambda: context.now, lambda: count)
        for _ in range(count)
    ]


@when("every request of {seconds:d} s is repeated as often as allowed")
def repeat_all(context, seconds):
    context.firsts, context.repeats = [], []
    chooser = random.Random(2)
    while context.now < seconds:
        budget = chooser.choice(context.budgets)
        budget.note_first("s")
        context.firsts.append(context.now)
        while budget.spend("s"):
            context.repeats.append(context.now)
        context.now += 0.01


@then("no window of 10 s holds more repeats than the rule allows")
def check_repeats(context):
    budget = context.budget
    for start in range(0, 50):
        firsts = sum(start <= at < start + 10 for at in context.firsts)
        found = sum(start <= at < start + 10 for at in context.repeats)
        assert found <= budget.ratio * firsts + budget.burst, (start, found, firsts)
    assert len(context.repeats) > 0
