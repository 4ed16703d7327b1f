"""Steps for what an entry concludes from its reader's configuration; time is a fake."""

from behave import given, then, when

from acaciaward.relays import readerconfiguration, relaydelay

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


# The times that relays take, in seconds; they are sent four times a second.
WAYS_S = {
    "come in time": [0.01] * 20,
    "take 0.2 s": [0.2] * 20,
    "take longer and longer, up to 0.8 s": [0.01 + 0.04 * n for n in range(21)],
    "take longer and longer, up to 3 s": [0.01 + 0.15 * n for n in range(21)],
    "take 3 s once, and come in time again": [0.01] * 5
    + [max(0.01, 3.0 - 0.25 * n) for n in range(16)],
    "come in time, from a reader that took over": [0.01] * 20,
}


@when("relays {come}, each sent 0.1 s after the reader read version 4")
def receive_relays(context, come):
    delay = relaydelay.RelayDelay(lambda: context.now)
    began_at, starts = context.now, ["edge-1/a"] * 30
    if "took over" in come:
        starts = ["edge-1/a"] * 10 + ["edge-2/b"] * 20
    for index, way_s in enumerate(WAYS_S[come]):
        sent_at = began_at + 0.25 * index
        context.now = max(context.now, sent_at + way_s)
        # Another reader has been up for longer.
        uptime_s = sent_at if starts[index] == "edge-1/a" else sent_at + 1000.0
        delay_s = delay.record(starts[index], uptime_s)
        context.reader.receive(4, 0.1 + delay_s)
