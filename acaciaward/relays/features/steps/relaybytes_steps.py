"""Steps for the size of relays, and for readers that are suspect."""

import time

from behave import given, then, when

from acaciaward.quarantine import crashedendpoints, crashreports, partreports
from acaciaward.relays import raterelays, relaying
from acaciaward.relays.features import fakes
from acaciaward.routing import endpointrates, ratesums

ORGANISATIONS = 16
UPTIME_S = 60.0
COMMON_PARTS = 8
SERVICES = 4
CRASHES_OF_PART = 6


def make_figures():
    """Return crashes and parts, of each one fewer than a message holds."""
    crashes = {
        f"{number:016x}": [f"i-{number:08x}{at:02x}" for at in range(3)]
        for number in range(crashreports.MAX_REPORTED - 1)
    }
    cleared = [
        f"{number:016x}" for number in range(100, 100 + crashreports.MAX_REPORTED)
    ]
    each = crashreports.MAX_COMPANY_REPORTED // crashreports.MAX_ENDPOINTS_REPORTED
    company = {
        f"i-{number:08x}01": [f"{number:08x}{at:08x}" for at in range(each)]
        for number in range(crashreports.MAX_ENDPOINTS_REPORTED)
    }
    common = [f"{number:012x}" for number in range(COMMON_PARTS)]
    parts = {
        f"p{number:011x}": {
            "ages": {f"i-{number:08x}{at:02x}": 1.5 for at in range(CRASHES_OF_PART)},
            "common": common,
        }
        for number in range(partreports.MAX_REPORTED - 1)
    }
    served = {f"s{number:011x}": 2.5 for number in range(partreports.MAX_REPORTED)}
    endpoints = [
        f"i-{number:08x}01/5" for number in range(crashedendpoints.MAX_REPORTED)
    ]
    return {"crashes": crashes, "cleared": cleared, "company": company}, {
        "crashes": parts,
        "served": served,
        "crashed": dict.fromkeys(endpoints, 1.5),
        "answered": dict.fromkeys(endpoints, 0.5),
    }


@given("a data centre of {count:d} entries that know all crashes that a relay may hold")
def make_data_centre(context, count):
    context.members = {}
    context.entries = [
        fakes.EntryUnderTest(f"edge-dc-{number}", context.members, time.monotonic)
        for number in range(count)
    ]
    context.crashes, context.parts = make_figures()
    quota = {f"organisation-{number}": 12345.5 for number in range(ORGANISATIONS)}
    for entry in context.entries:
        # What an entry knows stays its own here, so that all of it comes from relays.
        entry.state = entry.state._replace(
            use=quota, levels=quota, crashes=context.crashes, parts=context.parts
        )
        entry.relaying._started_at -= UPTIME_S
    tick(context)
    name = context.entries[0].relaying._reader
    (context.reader,) = [
        entry for entry in context.entries if entry.membership.name == name
    ]
    context.others = [entry for entry in context.entries if entry != context.reader]


@given("each entry has calls at {count:d} endpoints")
def set_load(context, count):
    for number, entry in enumerate(context.entries):
        load = {
            f"i-{at:010x}": (1 + at % 3, 700.25 + number + at) for at in range(count)
        }
        # Only some of them, as an entry sends few of its calls at a time.
        own = dict(list(load.items())[number % 6 :: 6])
        # Over some seconds it has sent some to all.
        rates = {
            ratesums.key_of((name, 1700000000000)): (40 + at, 12 - at, 15, -8)
            for at, name in enumerate(load)
        }
        histogram = (0,) * 6 + (12, 30, 55, 160, 70, 24) + (0,) * 12
        prefill_rates = {f"service-{at}": histogram for at in range(SERVICES)}
        entry.state = entry.state._replace(
            load=own, rates=rates, prefill_rates=prefill_rates
        )
        entry.speeds = raterelays.Speeds(
            dict.fromkeys(list(rates)[: endpointrates.MAX_RELAYED], -150),
            dict.fromkeys(prefill_rates, 64_000),
        )


def tick(context):
    for entry in context.entries:
        entry.received.clear()
    reader_last = sorted(
        context.entries,
        key=lambda entry: entry.relaying._reader == entry.membership.name,
    )
    for entry in reader_last:
        entry.relaying.tick()


@when("nothing new happens for {count:d} relays")
def run(context, count):
    for entry in context.entries:
        entry.membership.sent_bytes = entry.heard_speeds = 0
    context.relays = count
    context.sources = {entry.membership.name: [] for entry in context.entries}
    previous = getattr(context, "all_sources", context.sources)
    for _ in range(count):
        tick(context)
        for entry in context.entries:
            sources = [state.source for state in entry.received]
            context.sources[entry.membership.name] += sources
    context.all_sources = {
        name: previous[name] + sources if previous is not context.sources else sources
        for name, sources in context.sources.items()
    }


def megabits_per_s(context, sent_bytes):
    return sent_bytes * 8 / 1e6 / (context.relays * relaying.TICK_INTERVAL_S)


@then("its reader sent less than {limit:g} Mbit/s")
def check_sent(context, limit):
    sent = megabits_per_s(context, context.reader.membership.sent_bytes)
    assert sent < limit, sent


@then("it received less than {limit:g} Mbit/s")
def check_received(context, limit):
    received = megabits_per_s(
        context, sum(entry.membership.sent_bytes for entry in context.others)
    )
    assert received < limit, received


@when("an entry reports a new crash of a request and of a part of prompts")
def add_crash(context):
    entry = context.others[3]
    crashes = {"f" * 16: ["i-1", "i-2", "i-3"], **context.crashes["crashes"]}
    parts = {
        "pf": {"ages": {f"i-{at}": 0.1 for at in range(9)}, "common": ["pf"]},
        **context.parts["crashes"],
    }
    entry.state = entry.state._replace(
        crashes={**context.crashes, "crashes": crashes},
        parts={**context.parts, "crashes": parts},
    )
    tick(context)


@then("every entry learns of both with the next relay")
def check_news(context):
    for entry in context.entries:
        (state,) = entry.received
        assert "f" * 16 in state.sums.crashes["crashes"]
        assert "pf" in state.sums.parts["crashes"]


@then("every entry hears of all crashes again within {count:d} relays")
def check_repeated(context, count):
    heard = {entry.membership.name: set() for entry in context.entries}
    for _ in range(count):
        tick(context)
        for entry in context.entries:
            (state,) = entry.received
            heard[entry.membership.name] |= names_in(state.sums)
    for entry in context.others:
        missing = all_names(context) - heard[entry.membership.name]
        assert not missing, missing


def names_in(sums):
    return {
        *sums.crashes["crashes"],
        *sums.crashes["cleared"],
        *company_of(sums.crashes),
        *sums.parts["crashes"],
        *sums.parts["served"],
        *sums.parts["crashed"],
        *sums.parts["answered"],
    }


def company_of(crashes):
    return {name for names in crashes["company"].values() for name in names}


def all_names(context):
    return {
        *context.crashes["crashes"],
        *context.crashes["cleared"],
        *company_of(context.crashes),
        *context.parts["crashes"],
        *context.parts["served"],
        *context.parts["crashed"],
        *context.parts["answered"],
    }


@when("an entry restarts with no knowledge of them")
def restart(context):
    old = context.others[3]
    new = fakes.EntryUnderTest(old.membership.name, context.members, time.monotonic)
    context.entries[context.entries.index(old)] = new
    context.restarted = new
    tick(context)
    if not new.received:
        tick(context)


@then("its first relay tells all crashes")
def check_first(context):
    assert names_in(context.restarted.received[0].sums) >= all_names(context)


@when("all entries take their reader for suspect")
def suspect_reader(context):
    for entry in context.others:
        entry.membership.suspects.add(context.reader.membership.name)


@then("each entry got {count:d} relays from the same reader")
def check_same_reader(context, count):
    for name, sources in context.all_sources.items():
        assert sources == [context.reader.relaying._process_run] * count, name


@given("{centres:d} data centres of {count:d} entries each")
def make_data_centres(context, centres, count):
    members = {}
    context.entries = [
        fakes.EntryUnderTest(
            f"edge-{centre}-{number}", members, time.monotonic, f"dc-{centre}"
        )
        for centre in range(centres)
        for number in range(count)
    ]


@given("each takes the readers of the others for suspect")
def suspect_other_readers(context):
    for entry in context.entries:
        entry.relaying._choose_reader()
    readers = {
        entry.membership.data_centre: entry.relaying._reader
        for entry in context.entries
    }
    for entry in context.entries:
        others = {**readers, entry.membership.data_centre: None}
        entry.membership.suspects.update(others.values())


@then("each entry has got sums over {count:d} entries")
def check_heard(context, count):
    for entry in context.entries:
        assert [state.sums.heard for state in entry.received] == [count]


@when("their reader has sent nothing for {seconds:g} s and is suspect")
def stop_reader(context, seconds):
    context.entries = context.others
    time.sleep(seconds)
    suspect_reader(context)
    for _ in range(2):
        tick(context)


@then("all other entries choose the same other reader")
def check_replaced(context):
    readers = {entry.relaying._reader for entry in context.others}
    assert len(readers) == 1 and context.reader.membership.name not in readers


@then("each reader has summed the samples of all {count:d} other entries")
def check_summed(context, count):
    readers = {entry.relaying._reader for entry in context.entries}
    summed = [
        entry.summarized[-1]["rates"]
        for entry in context.entries
        if entry.membership.name in readers
    ]
    assert len(summed) == len(readers)
    for rates in summed:
        assert len(rates) == 8, rates
        # Each entry has 40 hundredths of a sample of the first endpoint.
        assert max(row[0] for row in rates.values()) == count * 47, rates
        assert min(row[0] for row in rates.values()) == count * 40, rates


@then("each entry has heard {count:d} times how fast endpoints are")
def check_heard_speeds(context, count):
    for entry in context.entries:
        assert entry.heard_speeds == count, entry.heard_speeds
