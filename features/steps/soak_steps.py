"""Steps that play short soaks as a program of their own."""

import json
import subprocess
import sys

from behave import then, when

# A soak of half a minute, its start and its end, in seconds.
LONGEST_S = 150


@when("seed {seed:d} is soaked for {seconds:d} s with {entries:d} entries")
def soak(context, seed, seconds, entries, plant=""):
    command = [sys.executable, "-m", "soak", "--json", "--callers", "12"]
    command += ["--seed", str(seed), "--minutes", str(seconds / 60)]
    command += ["--entries", str(entries), "--plant", plant]
    done = subprocess.run(command, capture_output=True, text=True, timeout=LONGEST_S)
    assert done.stdout, done.stderr
    context.result = json.loads(done.stdout)


@when(
    "seed {seed:d} is soaked for {seconds:d} s with {entries:d} entries"
    " and the plant {plant}"
)
def soak_plant(context, seed, seconds, entries, plant):
    soak(context, seed, seconds, entries, plant)


@then("no promise was broken")
def check_kept(context):
    assert not context.result["violations"], context.result


@then("{served:d} requests or more were served under {faults:d} faults or more")
def check_played(context, served, faults):
    assert context.result["served"] >= served, context.result
    assert context.result["faults"] >= faults, context.result


@then("the promise {promise} was broken")
def check_caught(context, promise):
    found = {one.split(" ")[0] for one in context.result["violations"]}
    assert promise in found, context.result
