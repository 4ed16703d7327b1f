"""Steps for short runs of experiments that need no processes."""

from behave import then, when

from bench import options as bench_options, taintedparts

GUILTY_LOADS = [name for name, load in taintedparts.LOADS.items() if load.guilty_parts]


@when("the experiment taintedparts runs on a few seeds")
def run_tainted_parts(context):
    options = bench_options.Options(seed=1, quick=True)
    context.figures = context.runner.run(taintedparts.run(options))


def crashes_per_part(context, way):
    """Return for each load the worst day's crashes per guilty part."""
    return {
        load: context.figures[load][way]["guilty_crashes_max"]
        / taintedparts.LOADS[load].guilty_parts
        for load in GUILTY_LOADS
    }


@then('"{way}" lets a part crash more than {most:d} endpoints')
def check_many_crashes(context, way, most):
    found = crashes_per_part(context, way)
    assert min(found.values()) > most, found


@then('"{way}" lets a part crash at most {most:d} endpoints')
def check_few_crashes(context, way, most):
    context.way = way
    found = crashes_per_part(context, way)
    assert max(found.values()) <= most, found


@then('it refuses fewer sound requests than "{way}"')
def check_refused(context, way):
    for load in GUILTY_LOADS:
        ways = context.figures[load]
        found = [ways[name]["sound_refused_permille"] for name in (context.way, way)]
        assert found[0] < found[1], (load, found)
