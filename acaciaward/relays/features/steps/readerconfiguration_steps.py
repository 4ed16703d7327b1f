"""Steps for what an entry concludes from its reader's configuration; time is a fake."""

from behave import given, then, when

from acaciaward.relays import readerconfiguration

STEP_S = 0.01


@given(
    "an entry with version {own:d}, whose reader has version {version:d} and read it"
    " {age_s:g} s ago"
)
def make_entry(context, own, version, age_s):
    context.now, context.own_version = 100.0, own
    context.reader = readerconfiguration.ReaderConfiguration(
        lambda: context.own_version, lambda: context.now
    )
    context.reader.receive(version, age_s)


@when(
    "{pause_s:g} s later the reader has version {version:d} and read it {age_s:g} s ago"
)
def receive(context, pause_s, version, age_s):
    context.now += pause_s
    context.reader.receive(version, age_s)


@when("the entry gets version {version:d} from a peer")
def get_version(context, version):
    context.own_version = version


@then("the entry relies on its peers for {expected_s:g} s more")
def check_relied(context, expected_s):
    began_at = context.now
    while context.reader.is_relied_on:
        context.now += STEP_S
    relied_s, context.now = context.now - began_at, began_at
    assert abs(relied_s - expected_s) < 2 * STEP_S, relied_s
