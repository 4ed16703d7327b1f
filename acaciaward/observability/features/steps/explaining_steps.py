"""Steps for explaining requests from logs."""

import logging
import os
import tempfile
import time

import hypothesis
from behave import given, then, when
from click import testing
from hypothesis import strategies

from acaciaward.cli import explain as explain_cli
from acaciaward.observability import bufferedlog, logs, timeline

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, max_examples=200, deadline=None
)


def line(event, *, second=0, instance="e-1", **fields):
    record = logging.LogRecord("x", logging.INFO, "", 0, event, None, None)
    record.created = 1_700_000_000.0 + second
    record.__dict__.update(logs.fields(**fields))
    return logs.KeyValueFormatter({"instance": instance}).format(record)


def explain(*lines):
    return timeline.describe_cause(timeline.request_timeline(lines, "a1"))


@then("each ending of a request is explained with its cause")
def check_endings(context):
    failed = line(
        "attempt failed", request="a1", endpoint="s-1", reason="connection lost"
    )
    refused = {"request": "a1", "status": 503, "begun": False}
    cases = (
        (
            [line("refused", reason="no endpoint of llm", **refused)],
            "no endpoint of llm",
        ),
        (
            [line("refused", request="a1", status=429, reason="quota of org spent")],
            "quota of org spent",
        ),
        ([failed, line("refused", reason="attempts used up", **refused)], "s-1"),
        (
            [line("refused", request="a1", status=502, begun=True, reason="x")],
            "cut with 502",
        ),
        ([line("caller left", request="a1", age_ms=310)], "after 310 ms"),
        (
            [
                line("sent", request="a1", endpoint="s-7"),
                line(
                    "refused",
                    request="a1",
                    status=504,
                    begun=True,
                    reason="deadline",
                    since_event_ms=2100,
                ),
            ],
            "waiting for s-7, silent for 2100 ms",
        ),
        (
            [
                line(
                    "answered",
                    request="a1",
                    status=200,
                    first_byte_ms=900,
                    target_ms=400,
                )
            ],
            "first byte after 900 ms, objective 400 ms",
        ),
        ([line("answered", request="a1", status=500)], "endpoint answered 500"),
        (
            [
                line(
                    "answered",
                    request="a1",
                    status=200,
                    first_byte_ms=300,
                    target_ms=1045,
                    longest_gap_ms=642,
                    max_gap_ms=500,
                )
            ],
            "answered late: a pause of 642 ms between events, 500 ms are allowed",
        ),
        ([failed], "no entry has logged its end"),
    )
    for lines, expected in cases:
        cause = explain(*lines)
        assert expected in cause, (cause, expected)


@given("logs of two entries, each line prefixed by another program")
def make_logs(context):
    context.lines = [
        "  3.1 e-2 " + line("refused", second=2, request="a1", status=502, reason="b"),
        "  1.0 e-1 " + line("sent", second=0, request="a1", endpoint="s-1"),
        "  1.0 e-1 " + line("sent", second=0, request="a12", endpoint="s-1"),
        "  2.0 e-1 "
        + line("attempt failed", second=1, request="a1", endpoint="s-1", kind="Broken"),
        "not a line",
        line("answered", second=2, request="a12", status=200),
    ]


@then("the request's lines come in order, and no other's")
def check_timeline(context):
    lines = timeline.request_timeline(context.lines, "a1")
    assert [line.event for line in lines] == ["sent", "attempt failed", "refused"]
    assert {line.fields["request"] for line in lines} == {"a1"}


@given("logs of an entry that ended without a stop while it had a request")
def log_outage(context):
    context.lines = [
        line("reader chosen", second=0, reader="e-1", of=1),
        line("entry started", second=1),
        line("sent", second=5, request="a1", endpoint="s-1"),
        line("answered", second=6, request="b1", status=200),
        line("reader chosen", second=9, reader="e-1", of=1),
        line("entry started", second=10),
        line("answered", second=11, request="c1", status=200),
    ]


@then("the cause names the entry, and the time of its restart")
def check_outage(context):
    tracker = timeline.OutageTracker()
    lines = timeline.request_timeline(tracker.track(context.lines), "a1")
    cause = timeline.describe_cause(lines, tracker)
    assert "e-1 ended without a stop" in cause, cause
    assert "22:13:26" in cause and "22:13:30" in cause, cause


@then("explaining a request that no entry logged names the entry that was down")
def check_not_found(context):
    with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
        file.write("\n".join(context.lines))
        file.flush()
        result = testing.CliRunner().invoke(explain_cli.explain, ["zz", file.name])
    error = str(result.exception)
    assert "e-1 2023-11-14T22:13:26" in error and "22:13:30" in error, error


@then("no reason that a caller chooses changes what is explained")
def check_forged(context):
    @SETTINGS
    @hypothesis.given(strategies.text(max_size=60))
    def check(text):
        forged = f'{text}" event="answered" status=200 request=a1 {text}\n'
        found = line("refused", request="a1", status=503, reason=forged)
        assert "\n" not in found
        parsed = timeline.parse(found)
        assert parsed.event == "refused"
        assert parsed.fields["request"] == "a1"
        assert parsed.fields["status"] == "503"

    check()


@then("the sums name the cause, the second and the endpoint")
def check_sums(context):
    summary = timeline.Summary()
    for text in context.lines:
        summary.add_line(text)
    fields = summary.to_fields()
    assert (fields["requests"], fields["refused"], fields["failed"]) == (2, 0, 1)
    assert fields["causes"] == {"refused with N: b": 1}
    assert fields["endpoints"] == {"s-1: Broken": 1}
    assert len(timeline.plot(summary)) == 1


@given("a buffered log handler whose reader has stopped")
def make_handler(context):
    context.reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(context.reader, False)
    context.handler = bufferedlog.BufferedHandler(lines_per_s=1e9, descriptor=writer)


@when("{count:d} lines and {warnings:d} warnings are logged")
def flood(context, count, warnings):
    started = time.monotonic()
    for number in range(count):
        context.handler.handle(_record(logging.INFO, f"line {number}"))
        if number % (count // warnings) == 0:
            context.handler.handle(_record(logging.WARNING, "trouble"))
        if number % 1000 == 0:
            context.handler.flush()
    context.took_s = time.monotonic() - started


def _record(level, text):
    return logging.LogRecord("x", level, "", 0, text, None, None)


@then("logging took less than {seconds:g} s and at most {count:d} lines are kept")
def check_bounded(context, seconds, count):
    assert context.took_s < seconds, context.took_s
    kept = len(context.handler._lines) + len(context.handler._urgent_lines)
    assert kept <= count, kept


@when("the reader resumes")
def resume_reading(context):
    context.data = b""
    for _ in range(2000):
        context.handler.flush()
        try:
            context.data += os.read(context.reader, 65536)
        except BlockingIOError:
            break


@then("every warning arrives, and a line says how many were dropped")
def check_warnings(context):
    text = context.data.decode()
    assert text.count("event=trouble") == 100, text.count("event=trouble")
    assert 'event="log lines dropped"' in text
