"""Steps for suspected requests; entries exchange reports without a network."""

import logging

from behave import given, then, when

from acaciaward.quarantine import crashreports, suspects


@given("{count:d} entries that know of no crash")
def make_entries(context, count):
    context.now = 100.0
    context.entries = {
        number: suspects.Suspects(lambda: context.now) for number in range(1, count + 1)
    }


@when('request "{name}" crashes endpoint {endpoint:d} at entry {entry:d}')
def crash(context, name, endpoint, entry):
    context.entries[entry].record_crash(name, f"s-{endpoint}")


@when(
    'request "{name}" runs for a while until endpoints {first:d} to {last:d} crash at'
    " entry {entry:d}"
)
def crash_later(context, name, first, last, entry):
    for number in range(first, last + 1):
        context.entries[entry].record_crash(name, f"s-{number}", is_early=False)


@when("other requests crash endpoints {first:d} to {last:d} at entry {entry:d}")
def crash_others(context, first, last, entry):
    for number in range(first, last + 1):
        context.entries[entry].record_crash(f"other-{number}", f"s-{number}")


@when('request "{name}" is served at entry {entry:d}')
def serve(context, name, entry):
    context.entries[entry].record_served(name)


@when('request "{name}" is served by "{version}" at entry {entry:d}')
def serve_at_version(context, name, version, entry):
    context.entries[entry].record_served(name, version)


@when(
    'request "{name}" crashes endpoints {first:d} to {last:d} of "{version}" at entry'
    " {entry:d}"
)
def crash_at_version(context, name, first, last, version, entry):
    for number in range(first, last + 1):
        endpoint = crashreports.endpoint_key(f"s-{number}", 1, version)
        context.entries[entry].record_crash(name, endpoint)


@when('entry {entry:d} gets a report that clears "{name}"')
def receive_clearance(context, entry, name):
    context.entries[entry].receive({"crashes": {}, "cleared": [name]})


@when("{count:d} requests crash an endpoint at entry {entry:d}")
def flood(context, count, entry):
    for number in range(count):
        context.entries[entry].record_crash(f"r-{number}", "s-1")


@when("{count:d} requests run for a while until an endpoint crashes at entry {entry:d}")
def flood_company(context, count, entry):
    for number in range(count):
        context.entries[entry].record_crash(f"r-{number}", "s-9", is_early=False)


@when('entry {entry:d} gets a report that names only "{name}" and {count:d} endpoints')
def receive_old(context, entry, name, count):
    crashes = {name: [f"s-{number}" for number in range(count)]}
    context.entries[entry].receive({"crashes": crashes, "cleared": []})


ODD_CRASHES = {
    "a long name": {"n" * 300: ["s-1"]},
    "control characters": {"odd\n": ["s-1"]},
    "a long endpoint": {"odd": ["s" * 300]},
    "too many endpoints": {"odd": [f"s-{number}" for number in range(1000)]},
}


@when(
    'entry {entry:d} gets a report of "{name}" and {count:d} endpoints, and of a'
    " request with {what}"
)
def receive_odd(context, entry, name, count, what):
    crashes = {name: [f"s-{number}" for number in range(count)]}
    report = {
        "crashes": ODD_CRASHES.get(what, {}) | crashes,
        "cleared": [],
        "company": {"s" * 300: ["odd"]} if what == "odd company" else {},
    }
    context.records = []
    handler = logging.Handler()
    handler.emit = context.records.append
    suspects.log.addHandler(handler)
    context.add_cleanup(suspects.log.removeHandler, handler)
    context.entries[entry].receive(report)


@then("one line says that {count:d} reported crash is invalid")
def check_invalid(context, count):
    (fields,) = [
        record.acaciaward_fields
        for record in context.records
        if record.getMessage() == "reported crashes are invalid"
    ]
    assert fields == {"count": count}, fields


@when("the entries exchange reports")
def exchange_reports(context):
    report = crashreports.merge(entry.report() for entry in context.entries.values())
    for entry in context.entries.values():
        entry.receive(report)


@when("entry {entry:d} restarts")
def restart(context, entry):
    context.entries[entry] = suspects.Suspects(lambda: context.now)


@when("{seconds:d} s pass")
def wait(context, seconds):
    context.now += seconds


@when("1 s passes and the entries exchange reports, {count:d} times")
def exchange_reports_often(context, count):
    for _ in range(count):
        context.now += 1
        exchange_reports(context)


@then('no entry suspects "{name}"')
def check_none(context, name):
    found = [key for key, entry in context.entries.items() if entry.is_suspect(name)]
    assert not found, found


@then('entry {entry:d} suspects "{name}"')
def check_suspects(context, entry, name):
    assert context.entries[entry].is_suspect(name)


@then(
    "entry {entry:d} reports at most {count:d} requests that ran beside a crash, and"
    ' "{name}"'
)
def check_company(context, entry, count, name):
    report = context.entries[entry].report()
    company = sum(map(len, report["company"].values()))
    assert 0 < company <= count, company
    assert name in report["crashes"]


@then(
    'entry {entry:d} and the merged reports name at most {most:d} endpoints of "{name}"'
)
def check_named(context, entry, most, name):
    own = context.entries[entry].report()
    for report in (own, crashreports.merge([own])):
        named = {
            endpoint for endpoint, names in report["company"].items() if name in names
        }
        named |= set(report["crashes"].get(name, ()))
        assert 0 < len(named) <= most, named


@then('every entry suspects "{name}"')
def check_all(context, name):
    assert all(entry.is_suspect(name) for entry in context.entries.values())


@then(
    "entry {entry:d} knows at most {known:d} requests and reports at most {reported:d}"
)
def check_bound(context, entry, known, reported):
    entry_suspects = context.entries[entry]
    assert len(entry_suspects) <= known, len(entry_suspects)
    assert len(entry_suspects.report()["crashes"]) <= reported
