"""Steps for roll-outs in the model."""

import random
import re

from behave import then, when

from acaciaward.rollouts import decisions, plans
from acaciaward.rollouts.features import model

EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
BOUNDS = decisions.Bounds(EXPOSURE_SHARE, EXPOSURE_SLACK)
FAULT = re.compile(
    r"(?:fail|are (?P<slowdown>[\d.]+) times slower)(?: after (?P<after_s>[\d.]+) s)?"
    r"(?: with (?P<load>[\d.]+) of the load)?(?: on route (?P<route>\w+))?"
)


def _cases(count, fault):
    for seed in range(count):
        rng = random.Random(seed * 7 + 1)
        yield model.Case(
            seed,
            rate=rng.choice([75, 150, 300, 600]),
            duration_s=rng.choice([12, 12, 20, 40]),
            entries=rng.choice([5, 9, 30]),
            fault=fault,
            boot_s=rng.uniform(0.2, 4),
            holder_losses=tuple(
                rng.uniform(0, 14) for _ in range(rng.choice([0, 0, 1, 2]))
            ),
            cut_at=rng.choice([None, None, rng.uniform(0, 12)]),
            old_crash_at=rng.choice([None, rng.uniform(0, 13)]),
            all_lost_at=rng.choice([None, None, None, rng.uniform(0, 14)]),
        )


def _run(context, count, fault, bounds=BOUNDS):
    context.results = [
        (case, model.Model(case, bounds).run()) for case in _cases(count, fault)
    ]


def _excess(result):
    """Return how many requests the target got beyond its exposure."""
    allowed = EXPOSURE_SHARE * result.requests + EXPOSURE_SLACK
    return max(0, result.exposed - allowed)


@when("{count:d} good versions are rolled out")
def roll_out_good(context, count):
    _run(context, count, model.Fault())


@when("{count:d} versions are rolled out of which {share:g} of the answers {fault}")
def roll_out_bad(context, count, share, fault):
    found = {
        name: value if name == "route" else float(value)
        for name, value in FAULT.fullmatch(fault.strip()).groupdict().items()
        if value is not None
    }
    _run(context, count, model.Fault(share, **found))


@when(
    "{count:d} versions that fail with {load:g} of the load are rolled out without a"
    " bound"
)
def roll_out_unbounded(context, count, load):
    fault = model.Fault(0.3, load=load)
    _run(context, count, fault, decisions.Bounds(1.0, 1e9))


@when("{count:d} good versions are rolled out by a holder that ignores what runs")
def roll_out_ignoring(context, count):
    context.results = [
        (case, model.Model(case, BOUNDS, ignores_running=True).run())
        for case in _cases(count, model.Fault())
    ]


@then("requests run at old endpoints at the end of each")
def check_running(context):
    assert all(result.ran_at_completion for _, result in context.results)


@then("at least {count:d} of them are completed")
def check_completed(context, count):
    others = [
        (case.seed, result)
        for case, result in context.results
        if result.phase is not plans.Phase.COMPLETED
    ]
    assert len(context.results) - len(others) >= count, others


@then("no request runs at an old endpoint then")
def check_drained(context):
    assert not any(
        result.ran_at_completion
        for _, result in context.results
        if result.phase is plans.Phase.COMPLETED
    )


@then("all of them are rolled back")
def check_rolled_back(context):
    others = [
        (case.seed, result)
        for case, result in context.results
        if result.phase is not plans.Phase.ROLLED_BACK
    ]
    assert not others, others


@then("each gets at most its exposure until the deadline")
def check_exposure(context):
    found = [(case, _excess(result)) for case, result in context.results]
    assert not any(excess for _, excess in found), found


@then("some of them get more than their exposure")
def check_exposed(context):
    assert any(_excess(result) for _, result in context.results)


@then("none gets requests {seconds:d} s after its {count:d}th bad answer")
def check_no_late_requests(context, seconds, count):
    late = [
        (case, result.sent_too_late)
        for case, result in context.results
        if result.sent_too_late
    ]
    assert not late, late
