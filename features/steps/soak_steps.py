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

from behave import then, when

from soak import callers, ledger

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
