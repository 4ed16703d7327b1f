"""Steps for suspected requests; entries exchange reports without a network."""

from behave import given, then, when

from acaciaward.quarantine import suspects


@given("{count:d} entries that know of no crash")
def make_entries(context, count):
    context.now = 100.0
    context.entries = {
        number: suspects.Suspects(lambda: context.now) for number in range(1, count + 1)
    }


@when('request "{name}" crashes endpoint {endpoint:d} at entry {entry:d}')
def crash(context, name, endpoint, entry):
    context.entries[entry].record_crash(name, f"s-{endpoint}")


@when('request "{name}" is served at entry {entry:d}')
def serve(context, name, entry):
    context.entries[entry].record_served(name)


@when("{count:d} requests crash an endpoint at entry {entry:d}")
def flood(context, count, entry):
    for number in range(count):
        context.entries[entry].record_crash(f"r-{number}", "s-1")


@when("the entries exchange reports")
def exchange_reports(context):
    report = suspects.merge(entry.report() for entry in context.entries.values())
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
