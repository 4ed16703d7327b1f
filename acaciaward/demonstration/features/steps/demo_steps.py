"""Steps for the demonstration."""

import asyncio
import json
import subprocess
import sys

from behave import then, when

from acaciaward.demonstration import run


@when("the demonstration of {example} runs {count:d} requests with seed {seed:d}")
def run_demonstration(context, example, count, seed):
    context.lines = []
    context.summary = asyncio.run(
        run.run(example, request_count=count, seed=seed, report=context.lines.append)
    )


@then("all {count:d} are answered, none incomplete, wrong or refused")
def check_summary(context, count):
    summary = dict(context.summary)
    summary.pop("moved")
    assert summary == {
        "requests": count,
        "answered": count,
        "incomplete": 0,
        "wrong": 0,
        "refused": 0,
    }, (summary, context.lines)


@when("the command runs the demonstration with {count:d} requests and JSON output")
def run_command(context, count):
    command = [sys.executable, "-m", "acaciaward", "demo", "--json"]
    command += ["--requests", str(count)]
    context.finished = subprocess.run(
        command, capture_output=True, text=True, timeout=60
    )


@then("its last line is the summary and its exit code 0")
def check_command(context):
    assert context.finished.returncode == 0, context.finished.stderr
    summary = json.loads(context.finished.stdout.splitlines()[-1])
    assert summary["answered"] == summary["requests"] == 20
