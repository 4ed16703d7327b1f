"""Steps for the speed of endpoints that entries learn; the clock is simulated."""

import json
import math
import random

from behave import given, then, when

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import calls
from acaciaward.relays import raterelays
from acaciaward.routing import health, occupancy, ratesums

PLAIN_S = 0.06
PROMPT_TOKENS = 6000
NOISE = 0.4
RELAY_S = 1.0


class Group:
    """Entries that choose endpoints, with simulated answers and relays."""

    def __init__(self, entry_count, endpoint_count, factors=None, rate=60_000.0):
        # Whether what isn't known makes answers slower only, as a queue does.
        self.has_delays_only = False
        self.now = 100.0
        self.rng = random.Random(7)
        self.factors = factors or {}
        self.rate = rate
        self.directories = []
        self.entries = []
        self.endpoints = [
            endpoints.Endpoint(
                f"e-{number}",
                1,
                "s",
                "127.0.0.1",
                1,
                "dc",
                64,
                endpoints.EndpointState.READY,
            )
            for number in range(1, endpoint_count + 1)
        ]
        for _ in range(entry_count):
            directory = endpoints.Directory(lambda: self.now)
            directory.replace_all(self.endpoints)
            self.directories.append(directory)
            self.entries.append(
                occupancy.Occupancy(
                    directory,
                    data_centre="dc",
                    rng=self.rng,
                    clock=lambda: self.now,
                    unix_time=lambda: self.now,
                )
            )

    @property
    def service(self):
        return routes.Service("s", 64)

    def candidate(self, entry, endpoint, call):
        return entry._candidate(self.service, endpoint, call, False)

    def send(self, entry, kind, endpoint, *, ahead=0.0, outcome="served"):
        """Send one call, and advance the clock by its time and back."""
        began = self.now
        prompt = None
        took_s = PLAIN_S
        if kind == "prompt":
            own = (("own", PROMPT_TOKENS),)
            prompt = calls.Prompt(PROMPT_TOKENS, 10, own)
            took_s = (PROMPT_TOKENS + ahead) / self.rate
        call = calls.Call(b"POST", b"/a", "h", [], b"", self.now, prompt=prompt)
        candidate = self.candidate(entry, endpoint, call)._replace(backlog_tokens=ahead)
        took_s *= self.factors.get(endpoint.name, 1.0)
        noise = self.rng.gauss(0.0, NOISE)
        took_s *= math.exp(abs(noise) if self.has_delays_only else noise)
        if outcome == "failed":
            took_s = 0.001
        if outcome == "silent":
            took_s *= 3
        work = entry.start(candidate, call)
        self.now += took_s
        if kind == "prompt" and outcome != "silent":
            work.record_first_byte()
        work.end(health.Outcome(outcome))
        self.now = began

    def send_many(self, count, kind, seconds, choose, **options):
        order = [entry for entry in self.entries for _ in range(count)]
        self.rng.shuffle(order)
        relayed_at = self.now
        for entry in order:
            endpoint = choose()
            self.send(entry, kind, endpoint, **_options(options, endpoint))
            self.now += seconds / len(order)
            if self.now - relayed_at >= RELAY_S:
                self.relay()
                relayed_at = self.now
        self.relay()

    def relay(self):
        relays = raterelays.RateRelays(lambda: self.now)
        names = [str(number) for number in range(len(self.entries))]
        for name, entry in zip(names, self.entries, strict=True):
            relays.receive_report(
                {
                    "sender": name,
                    "rates": entry.rates.report(),
                    "prefill_rates": entry.rates.prefill_rates.report(),
                }
            )
        # The first entry is the reader.
        reader = self.entries[0].rates
        reader.receive(**figures_of(relays.sums_excluding("0")))
        speeds = raterelays.Speeds(*reader.summarize(["s"]))
        for entry in self.entries:
            entry.rates.adopt(*speeds)

    def factors_at(self, name):
        self.now += 0.2
        (endpoint,) = [one for one in self.endpoints if one.name == name]
        return [
            entry.rates.time_factor("s", endpoint.incarnation) for entry in self.entries
        ]


def figures_of(figures):
    return {"sums": figures["rates"], "prefill_rates": figures["prefill_rates"]}


def _options(options, endpoint):
    by_name = options.get("outcomes", {})
    return {"outcome": by_name.get(endpoint.name, "served")}


@given(
    "{entries:d} entries and {count:d} endpoints, of which {name} takes {times:g} "
    "times as long"
)
def make_group(context, entries, count, name, times):
    context.group = Group(entries, count, {name: times})


@given("{entries:d} entries and {count:d} endpoints that are alike")
def make_alike(context, entries, count):
    context.group = Group(entries, count)


@given("{entries:d} entries and {count:d} endpoints that read {rate:g} tokens a second")
def make_readers(context, entries, count, rate):
    context.group = Group(entries, count, rate=rate)
    context.group.has_delays_only = True


@when(
    "each entry sends {count:d} {kind} calls to random endpoints within {seconds:g} s"
)
def send_calls(context, count, kind, seconds):
    group = context.group
    group.send_many(count, kind, seconds, lambda: group.rng.choice(group.endpoints))


@when(
    "each entry sends {count:d} {kind} calls to random endpoints, and {name} fails all "
    "at once"
)
def send_failing(context, count, kind, name):
    group = context.group
    group.send_many(
        count,
        kind,
        10.0,
        lambda: group.rng.choice(group.endpoints),
        outcomes={name: "failed"},
    )


@when(
    "each entry sends {count:d} {kind} calls to random endpoints, and gives up those "
    "at {name}"
)
def send_given_up(context, count, kind, name):
    group = context.group
    group.send_many(
        count,
        kind,
        10.0,
        lambda: group.rng.choice(group.endpoints),
        outcomes={name: "silent"},
    )


@when("{seconds:g} s pass in which only other endpoints get calls")
def send_elsewhere(context, seconds):
    group = context.group
    others = [one for one in group.endpoints if one.name != "e-1"]
    group.send_many(
        round(10 * seconds), "plain", seconds, lambda: group.rng.choice(others)
    )


@when(
    "{name} takes {times:g} times as long, and each entry sends {count:d} {kind} calls "
    "within {seconds:g} s"
)
def recover(context, name, times, count, kind, seconds):
    context.group.factors = {name: times}
    send_calls(context, count, kind, seconds)


@when("the entry stands still for {seconds:g} s while calls run at {name}")
def stand_still(context, seconds, name):
    group = context.group
    (endpoint,) = [one for one in group.endpoints if one.name == name]
    entry = group.entries[0]
    call = calls.Call(b"POST", b"/a", "h", [], b"", group.now)
    works = [
        entry.start(group.candidate(entry, endpoint, call), call) for _ in range(20)
    ]
    group.now += seconds
    for number, work in enumerate(works):
        # The answers are read before and after the first report.
        if number == 10:
            group.relay()
        work.end(health.Outcome.SERVED)
    group.relay()


@when("{name} starts again under its name")
def restart(context, name):
    group = context.group
    group.endpoints = [
        one._replace(born=5000) if one.name == name else one for one in group.endpoints
    ]
    for directory in group.directories:
        directory.replace_all(group.endpoints)


def parse_row(text):
    return json.loads(text.replace("1e999", "Infinity"))


@when("another entry reports {row} of {name}")
def report_false(context, row, name):
    group = context.group
    relays = raterelays.RateRelays(lambda: group.now)
    rates = {ratesums.key_of((name, 1)): parse_row(row)}
    relays.receive_report({"sender": "other", "rates": rates})
    rates = group.entries[0].rates
    rates.receive(**figures_of(relays.sums_excluding("0")))
    rates.adopt(*rates.summarize(["s"]))


@when("its reader relays {row} of {name}")
def relay_false(context, row, name):
    speeds = {ratesums.key_of((name, 1)): float(row)}
    context.group.entries[0].rates.adopt(speeds, {"s": float(row)})


@when("each entry sends {count:d} prompt calls, {share:g} of them behind others")
def send_behind(context, count, share):
    group = context.group
    for entry in group.entries:
        for _ in range(count):
            ahead = 20_000.0 if group.rng.random() < share else 0.0
            group.send(entry, "prompt", group.rng.choice(group.endpoints), ahead=ahead)
            group.now += 0.01
    group.relay()


@then(
    "all entries expect engines to read between {least:g} and {most:g} tokens a second"
)
def check_typical(context, least, most):
    found = [
        entry.rates.typical_prefill_tokens_per_s("s") for entry in context.group.entries
    ]
    assert all(least <= rate <= most for rate in found), found


@then(
    "all entries expect between {least:g} and {most:g} times the average time at {name}"
)
def check_all_expect(context, least, most, name):
    check_factors(context, least, most, [name])


@then("they expect between {least:g} and {most:g} times the average time at {names}")
def check_expect(context, least, most, names):
    group = context.group
    all_names = [one.name for one in group.endpoints]
    others = [name for name in all_names if name not in group.factors]
    found = {"all others": others, "all endpoints": all_names}
    check_factors(context, least, most, found.get(names, [names]))


@then("they expect at least {least:g} times the average time at {name}")
def check_at_least(context, least, name):
    check_factors(context, least, math.inf, [name])


def check_factors(context, least, most, names):
    for name in names:
        found = context.group.factors_at(name)
        assert all(least <= factor <= most for factor in found), (name, found)


@then("they expect the average time at more than {count:d} of them")
def check_average(context, count):
    group = context.group
    found = [group.factors_at(one.name)[0] for one in group.endpoints]
    assert sum(factor == 1.0 for factor in found) > count, found
