"""Steps for short runs of experiments, each in a process of its own."""

import json
import subprocess
import sys

from behave import then, when

from bench import processes

TIMEOUT_S = 200.0


def run(context, name, *options):
    command = [sys.executable, "-m", "bench", name, "--quick", "--json", *options]
    done = subprocess.run(
        command, cwd=processes.ROOT, capture_output=True, text=True, timeout=TIMEOUT_S
    )
    assert done.returncode == 0, done.stderr[-2000:]
    context.figures = json.loads(done.stdout.splitlines()[-1])


@when("the experiment {name:w} runs for a short time")
def run_briefly(context, name):
    run(context, name)


@when(
    "the experiment {name:w} runs for a short time with {entries:d} entries and"
    " {endpoints:d} endpoints"
)
def run_small(context, name, entries, endpoints):
    run(context, name, "--entries", str(entries), "--endpoints", str(endpoints))


@then("it reports {figure}")
def check_figure(context, figure):
    assert figure in context.figures, list(context.figures)


@then("an entry exchanges messages with its peers, idle and under churn")
def check_messages(context):
    (measured,) = context.figures["runs"]
    for load in ("idle", "churn"):
        assert measured[load]["peer_messages_per_s"] > 0, measured
        assert measured[load]["bytes_per_s"] > 0, measured
