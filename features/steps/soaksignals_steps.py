"""Steps for what the soak judges of the answers in which servers speak."""

import time
import types
import typing

from behave import given, then, when

from soak import conditions, judge, ledger, signals


class FakeServer(typing.NamedTuple):
    """Stands in for a server."""

    name: str


BACKOFF_HEADERS = {"Retry-After": "6.00"}


@given(
    "a request that was sent {ago_s:g} s ago, and whose refusal {later_s:g} s later"
    " asks for 6 s of rest"
)
def refuse(context, ago_s, later_s):
    context.sent_at = time.monotonic() - ago_s
    context.answered_at = context.sent_at + later_s
    context.server = FakeServer("s-1")
    context.disturbances = conditions.Disturbances()
    context.signals = signals.Signals(lambda server, port: ("edge-0", 1))
    context.signals.answered(
        context.server,
        types.SimpleNamespace(peer_port=1),
        BACKOFF_HEADERS,
        context.answered_at,
        context.sent_at,
    )


@given("its entry was cut off from {begin_s:g} to {end_s:g} s after it was sent")
def cut_off(context, begin_s, end_s):
    context.disturbances.begin("edge-0", context.sent_at + begin_s)
    context.disturbances.end("edge-0", context.sent_at + end_s)


@when("{count:d} requests of the entry arrive {later_s:g} s after the refusal")
def arrive(context, count, later_s):
    at = context.answered_at + later_s
    for _ in range(count):
        context.signals.arrived(context.server, 1, at, at)


@then("the soak {verdict} them as too many")
def check_verdict(context, verdict):
    recorder = ledger.Recorder()
    context.signals.check(
        recorder,
        context.disturbances,
        conditions.Bounds(),
        judge.MEASUREMENT_ALLOWANCE_S,
    )
    found = [violation.promise for violation in recorder.violations]
    assert found == ["BUDGET"] * (verdict == "counts"), recorder.violations
