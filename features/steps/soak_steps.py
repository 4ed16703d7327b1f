"""
Steps that run short soaks in a process of their own.

A promise is a property that the entries guarantee; a plant is a defect put into a
build on purpose, to show that the soak detects it.
"""

import asyncio
import json
import random
import subprocess
import sys
import time
import types

from behave import given, then, when

from soak import callers, conditions, judge, ledger

# Covers a soak of 30 s, its start and its shutdown.
SOAK_TIMEOUT_S = 150


@when("a soak with seed {seed:d} and {entries:d} entries runs for {seconds:d} s")
def soak(context, seed, seconds, entries, plant="", favoured=""):
    command = [sys.executable, "-m", "soak", "--json", "--callers", "12"]
    command += ["--seed", str(seed), "--minutes", str(seconds / 60)]
    command += ["--entries", str(entries), "--plant", plant]
    command += ["--favoured", favoured]
    finished = subprocess.run(
        command, capture_output=True, text=True, timeout=SOAK_TIMEOUT_S
    )
    assert finished.stdout, finished.stderr
    context.result = json.loads(finished.stdout)


@when(
    "a soak with seed {seed:d}, {entries:d} entries and the plant {plant}"
    " runs for {seconds:d} s"
)
def soak_plant(context, seed, seconds, entries, plant):
    soak(context, seed, seconds, entries, plant)


@when(
    "a soak with seed {seed:d}, {entries:d} entries and the plant {plant}"
    " loses all entries often for {seconds:d} s"
)
def soak_losses(context, seed, seconds, entries, plant):
    soak(context, seed, seconds, entries, plant, favoured="kill_all_entries")


@when(
    "a soak with seed {seed:d}, {entries:d} entries and the plant {plant}"
    " has the fault {fault} often for {seconds:d} s"
)
def soak_fault(context, seed, seconds, entries, plant, fault):
    soak(context, seed, seconds, entries, plant, favoured=fault)


@then("no promise was broken")
def check_no_violation(context):
    assert not context.result["violations"], context.result


@then("{served:d} requests or more were served under {faults:d} faults or more")
def check_load_and_faults(context, served, faults):
    assert context.result["served"] >= served, context.result
    assert context.result["faults"] >= faults, context.result


@then("the promise {promise} was broken")
def check_promise_broken(context, promise):
    broken_promises = {
        violation.split(" ")[0] for violation in context.result["violations"]
    }
    assert promise in broken_promises, context.result


@when("a soak's caller asks discovery at an entry that ends while it answers")
def resolve_at_ending_entry(context):
    async def end(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n")
        writer.close()

    async def run():
        server = await asyncio.start_server(end, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        entries = {"127.0.0.1:1": callers.EntryPorts("edge-0", port, port)}
        caller = callers.Caller(
            ledger.Recorder(), [], {}, entries, lambda name: 1, random.Random(1)
        )
        context.failure = None
        try:
            await caller._resolve()
        except Exception as error:
            context.failure = error
        server.close()

    context.runner.run(run())


@then("the caller goes on")
def check_goes_on(context):
    assert context.failure is None, repr(context.failure)


STREAM_TIMEOUT_S = 3.0
DISTURBANCE_S = 0.2
STOP_S = 2.0
NAMES = {
    "its entry": "edge-0",
    "the peer": "edge-1",
    "another peer": "edge-2",
    "its server": "s-1",
    "the store": "store",
}
KINDS = {
    "a fault": conditions.Kind.FAULT,
    "a stop": conditions.Kind.STOP,
    "an end": conditions.Kind.END,
}


@given(
    "a stream that was sent to a server {ago_s:g} s ago and was cut after {after_s:g} s"
)
def cut_stream(context, ago_s, after_s):
    sent_at = time.monotonic() - ago_s
    server = types.SimpleNamespace(name="s-1", left_at=None)
    context.attempt = ledger.Attempt(
        *("a-1", "resumable", "/s/1", "calm", b"", "edge-0", 1, sent_at),
        timeout_s=STREAM_TIMEOUT_S,
        event_count=80,
        events=3,
        ended_at=sent_at + after_s,
        status=200,
        arrivals=[ledger.Observation(sent_at, server)],
        senders={"edge-1"},
    )
    context.disturbances = conditions.Disturbances()


@given("{what} that had {disturbance} {when_s:g} s after it was sent")
def disturb(context, what, disturbance, when_s):
    if what != "nothing":
        begin = context.attempt.sent_at + when_s
        name, kind = NAMES[what], KINDS[disturbance]
        context.disturbances.begin(name, begin, kind)
        context.disturbances.end(name, begin + DISTURBANCE_S, kind)


@when("the soak judges what callers got")
def judge_cuts(context):
    make_checker(context)._check_cuts()


@when("the soak judges a stop of its entry {when_s:g} s after it was sent")
def judge_stop(context, when_s):
    began = context.attempt.sent_at + when_s
    make_checker(context).check_stop("edge-0", began, began + STOP_S)


def make_checker(context):
    recorder = context.recorder = ledger.Recorder()
    recorder.attempts["a-1"] = context.attempt
    return judge.Checker(
        recorder,
        store=None,
        disturbances=context.disturbances,
        configuration_changes=[],
        bounds=conditions.Bounds(),
        version_service_count=1,
        part_crashes={},
        entry_names=[],
        signal_log=None,
        orderly_stops=[],
    )


@then("the stream {verdict} as lost")
def check_verdict(context, verdict):
    lost = [found for found in context.recorder.violations if found.promise == "LOST"]
    assert len(lost) == (verdict == "counts"), lost
