"""Steps for suspected requests; entries tell each other without a network."""

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
    context.entries[entry].note_crash(name, f"s-{endpoint}")


@when('request "{name}" is served at entry {entry:d}')
def serve(context, name, entry):
    context.entries[entry].note_served(name)


@when("{count:d} requests crash an endpoint at entry {entry:d}")
def flood(context, count, entry):
    for number in range(count):
        context.entries[entry].note_crash(f"r-{number}", "s-1")


@when("the entries tell each other")
def tell(context):
    told = suspects.merge(one.tell() for one in context.entries.values())
    for one in context.entries.values():
        one.hear(told)


@when("entry {entry:d} starts anew")
def start_anew(context, entry):
    context.entries[entry] = suspects.Suspects(lambda: context.now)


@when("{seconds:d} s pass")
def wait(context, seconds):
    context.now += seconds


@when("1 s passes and the entries tell each other, {count:d} times")
def tell_often(context, count):
    for _ in range(count):
        context.now += 1
        tell(context)


@then('no entry suspects "{name}"')
def check_none(context, name):
    found = [key for key, one in context.entries.items() if one.is_suspect(name)]
    assert not found, found


@then('every entry suspects "{name}"')
def check_all(context, name):
    assert all(one.is_suspect(name) for one in context.entries.values())


@then("entry {entry:d} knows at most {known:d} requests and tells at most {told:d}")
def check_bound(context, entry, known, told):
    one = context.entries[entry]
    assert len(one) <= known, len(one)
    assert len(one.tell()["crashes"]) <= told
