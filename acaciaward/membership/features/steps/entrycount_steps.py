"""Steps for the count of entries; time is set by the steps."""

from behave import given, then, when

from acaciaward.membership import entrycount

NAME = "entry-0"
HOUSEKEEPING_INTERVAL_S = 0.25


def start(context, saved=0):
    context.now = 1000.0
    context.live = {NAME}
    context.silent = set()
    context.known = entrycount.EntryCount(NAME, lambda: context.now, lambda: saved)
    context.known.record_heard(context.live)


@given("an entry that knows nobody")
def start_alone(context):
    start(context)


@given("an entry that knows nobody, where {count:d} were saved")
def start_saved(context, count):
    start(context, count)


@given("an entry that hears of {count:d} others")
def start_among(context, count):
    start(context)
    hear(context, count)


@when("it hears of {count:d} others")
def hear(context, count):
    context.live = {NAME} | {f"entry-{number + 1}" for number in range(count)}
    context.known.record_heard(context.live)


@when("{seconds:g} s pass")
def wait(context, seconds):
    end = context.now + seconds
    while context.now < end:
        context.now = min(end, context.now + HOUSEKEEPING_INTERVAL_S)
        context.known.record_heard(context.live)


@when("{count:d} others fall silent for {seconds:g} s")
def fall_silent(context, count, seconds):
    # As soon as gossip has settled.
    wait(context, 5.0)
    context.silent = set(sorted(context.live)[-count:])
    context.live -= context.silent
    wait(context, seconds)


def show(context, names, age_s, is_own_shown=True):
    heard_at = dict.fromkeys(names, context.now - age_s)
    context.known.record_read(heard_at, context.now, is_own_shown=is_own_shown)
    context.known.record_heard(context.live)


@when("the store shows no others")
def show_none(context):
    show(context, (), 0.0)


@when("the store shows no others, and this entry has no record there yet")
def show_too_early(context):
    show(context, (), 0.0, is_own_shown=False)


@when("the store shows {count:d} others, heard of {age_s:g} s ago")
def show_others(context, count, age_s):
    show(context, [f"entry-{number + 1}" for number in range(count)], age_s)


@when("the store shows them, heard of {age_s:g} s ago")
def show_silent(context, age_s):
    show(context, context.silent, age_s)


@then("it counts {count:d} entries")
@then("it counts {count:d} entry")
def check_count(context, count):
    found = context.known.count()
    assert found == count, found


@then("it counts {count:d} entries, and needs a read")
def check_needs_read(context, count):
    check_count(context, count)
    assert context.known.needs_read


@then("it counts {count:d} entries, and needs no read")
def check_needs_none(context, count):
    check_count(context, count)
    assert not context.known.needs_read
