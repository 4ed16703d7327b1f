"""Steps for service-level burn."""

import math
import typing

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward import errors
from acaciaward.observability import burn, recorder, slots

START = 1_800_000_000.0
CLASSES = ("urgent", "short")
DEPLOYMENTS = ("desk", "text")
CHANGE_AFTER_ANSWERS = 20


class Event(typing.NamedTuple):
    """One answer or failure, as the naive recount reads it."""

    at: float
    service_class: str
    deployment: str
    seconds: float
    is_failure: bool
    deadlines: frozenset


def _objectives(first_deadline_s):
    return {
        "urgent-in-time": _objective("urgent", first_deadline_s, 0.995, 86400.0),
        "short-in-time": _objective("short", 10.0, 0.99, 3600.0),
        "short-in-month": _objective("short", 3.0, 0.9, 30 * 86400.0),
    }


def _objective(service_class, deadline_s, share, window_s):
    return {
        "service_class": service_class,
        "deadline_s": deadline_s,
        "share": share,
        "window_s": window_s,
    }


class Clock:
    """A wall clock that the test moves."""

    def __init__(self):
        self.now = START

    def __call__(self):
        return self.now


# Entry number, pause before the answer in seconds, service class, deployment,
# duration in seconds, and whether it is a failure.
answers = strategies.tuples(
    strategies.integers(0, 2),
    strategies.sampled_from((0.0, 0.5, 4.0, 9.99, 10.0, 61.0, 700.0, 4000.0, 90000.0)),
    strategies.sampled_from(CLASSES),
    strategies.sampled_from(DEPLOYMENTS),
    strategies.one_of(
        strategies.sampled_from((0.005, 0.37, 0.3700001, 2.0, 3.0, 10.0, 10.01)),
        strategies.floats(0.0, 200.0),
    ),
    strategies.booleans(),
)


@given("{count:d} entries that count for objectives whose deadlines change")
def set_entry_count(context, count):
    context.entry_count = count
    context.compared = 0


@when("{count:d} drawn histories of answers and failures are counted")
def count_histories(context, count):
    @hypothesis.settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(strategies.lists(answers, max_size=60))
    def compare(history):
        context.compared += _compare(history, context.entry_count)

    compare()


def _compare(history, entry_count):
    clock = Clock()
    recorders = [
        recorder.Recorder(f"entry-{n}", clock=clock) for n in range(entry_count)
    ]
    raw = []
    for number, (entry, pause_s, service_class, deployment, seconds, bad) in enumerate(
        history
    ):
        clock.now += pause_s
        objectives = _objectives(2.0 if number < CHANGE_AFTER_ANSWERS else 0.37)
        for entry_recorder in recorders:
            entry_recorder.apply_document({"objectives": objectives})
        deadlines = frozenset(
            objective["deadline_s"] for objective in objectives.values()
        )
        raw.append(Event(clock.now, service_class, deployment, seconds, bad, deadlines))
        if bad:
            error = errors.NoEndpointError("none")
            recorders[entry].record_error(service_class, deployment, error)
        else:
            recorders[entry].record_answer(service_class, deployment, seconds=seconds)
    objectives = _objectives(2.0 if len(history) <= CHANGE_AFTER_ANSWERS else 0.37)
    at = clock.now
    rows = burn.report(
        objectives, [entry_recorder.snapshot(at) for entry_recorder in recorders]
    )
    return sum(_check_row(row, objectives, raw, at) for row in rows)


def _check_row(row, objectives, raw, at):
    objective = objectives[row["objective"]]
    for window in row["windows"]:
        expected = _recount(row, objective, raw, at, window["window_s"])
        assert (window["total"], window["good"]) == expected, (row, window, expected)
    return len(row["windows"])


def _recount(row, objective, raw, at, window_s):
    slot_s = 10 if window_s <= 3600 else 300 if window_s <= 3 * 86400 else 3600
    first_start = math.floor((at - window_s) / slot_s) * slot_s
    total = 0
    good = 0
    for event in raw:
        if event.at < first_start or event.service_class != objective["service_class"]:
            continue
        if row["deployment"] not in ("*", event.deployment):
            continue
        # Slots count a custom deadline only from when an objective has it.
        is_default = objective["deadline_s"] in slots.DEFAULT_BOUNDS_S
        if not is_default and objective["deadline_s"] not in event.deadlines:
            continue
        total += 1
        good += not event.is_failure and event.seconds <= objective["deadline_s"]
    return total, good


@then("every window of every objective equals the naive recount")
def check_compared(context):
    assert context.compared > 500, context.compared


@when("{bad:d} of {total:d} answers were bad and the objective requires {share:g}")
def compute_rate(context, bad, total, share):
    context.rate = burn.burn_rate(burn.Tally(total, total - bad), share)


@then("the burn rate is {rate}")
def check_rate(context, rate):
    if rate == "none":
        assert context.rate is None
    else:
        assert math.isclose(context.rate, float(rate)), context.rate


@when("an hour of bad answers ended 40 minutes ago within a window of a month")
def burn_an_hour(context):
    context.clock = Clock()
    context.recorder = recorder.Recorder("entry-1", clock=context.clock)
    context.objectives = {"o": _objective("urgent", 2.0, 0.99, 30 * 86400.0)}
    context.recorder.apply_document({"objectives": context.objectives})
    for _ in range(60):
        context.clock.now += 60.0
        context.recorder.record_answer("urgent", "desk", seconds=5.0)
    for _ in range(40):
        context.clock.now += 60.0
        context.recorder.record_answer("urgent", "desk", seconds=0.1)


def _severities(context):
    rows = burn.report(context.objectives, [context.recorder.snapshot()])
    return {alert["severity"] for alert in rows[0]["alerts"]}


@then("no rule pages for it")
def check_no_page(context):
    assert "page" not in _severities(context)


@when("the answers turn bad again")
def turn_bad(context):
    for _ in range(100):
        context.recorder.record_answer("urgent", "desk", seconds=5.0)


@then("a rule pages for it")
def check_page(context):
    assert "page" in _severities(context)


SYSTEM_ERRORS = (
    errors.NoEndpointError,
    errors.OverloadedError,
    errors.AttemptFailedError,
    errors.DeadlineExceededError,
    errors.NotCurrentError,
    errors.PlatformUnavailableError,
    errors.OutcomeUnknownError,
)
CALLER_ERRORS = (
    errors.InvalidRequestError,
    errors.LimitExceededError,
    errors.ConflictError,
    errors.QuarantinedError,
    errors.NotFoundError,
)


@then("each error counts as a failure only if the system caused it")
def check_failures(context):
    assert all(recorder.is_failure(kind("x")) for kind in SYSTEM_ERRORS)
    assert not any(recorder.is_failure(kind("x")) for kind in CALLER_ERRORS)


@when("answers of 40 days are counted")
def count_long(context):
    context.slot_table = slots.SlotTable()
    for minute in range(40 * 24 * 60):
        context.slot_table.add(
            START + 60.0 * minute, "short", "text", seconds=0.1, is_failure=False
        )


@then("no level keeps more slots than its limit")
def check_bounded(context):
    kept = [len(level_slots) for level_slots in context.slot_table._slots]
    assert kept == [level.max_slots for level in slots.LEVELS], kept


@when("requests of the classes urgent, rush and none are refused early")
def refuse_early(context):
    context.recorder = recorder.Recorder("entry-1", clock=Clock())
    context.objectives = _objectives(2.0)
    context.recorder.apply_document({"objectives": context.objectives})
    for requested in ("urgent", "rush", ""):
        context.recorder.record_early_refusal(
            requested, errors.NotCurrentError("not current")
        )


@then("the report has {urgent:d} bad urgent and {short:d} bad short answers")
def check_refused_early(context, urgent, short):
    rows = burn.report(context.objectives, [context.recorder.snapshot()])
    full_windows = {
        row["objective"]: row["windows"][-1] for row in rows if row["deployment"] == "*"
    }
    bad = {
        name: window["total"] - window["good"] for name, window in full_windows.items()
    }
    assert bad["urgent-in-time"] == urgent, bad
    assert bad["short-in-time"] == short, bad
