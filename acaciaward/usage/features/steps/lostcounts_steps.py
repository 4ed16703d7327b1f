"""Steps for counts of entries that end, start, and change their reader."""

from behave import given, then, when

from acaciaward.usage.features import reporters

WINDOW_S = reporters.WINDOW_S
NAMES = ("one", "two", "three", "four", "five")


def end_of(window):
    return (window + 1) * WINDOW_S


def run_until(context, moment):
    context.runner.run(context.world.run_until(moment))


@given("five entries of two data centres that report usage, one holds the lease")
def make_world(context):
    world = context.world = reporters.World(NAMES)
    world.readers = {"two": "one", "three": "one", "five": "four"}
    world.give_lease("one")
    context.appends = 0
    append = world.topic.append_unconditionally

    async def count_and_append(records):
        context.appends += 1
        return await append(records)

    world.topic.append_unconditionally = count_and_append


@when(
    "all entries start {seconds:g} s before the end of window {window:d}, unconfirmed"
)
def start_all(context, seconds, window):
    world = context.world
    context.window = window
    run_until(context, end_of(window) - seconds)
    context.lost = world.truth[window]
    for name in NAMES:
        world.start(name)
        world.entries[name].is_confirmed = False


@when(
    "their clocks are confirmed {seconds:g} s after its end, and {name} holds the lease"
)
def confirm(context, seconds, name):
    run_until(context, end_of(context.window) + seconds)
    for entry in context.world.entries.values():
        entry.is_confirmed = True
    context.world.give_lease(name)


@when(
    "entry {name} ends, and starts {seconds:g} s before the end of window {window:d},"
    " unheard"
)
def start_unheard(context, name, seconds, window):
    world = context.world
    context.window = window
    run_until(context, end_of(window - 1) - 0.5)
    del world.entries[name]
    run_until(context, end_of(window) - seconds)
    world.silent.add(name)
    world.start(name)


@when("it reports to another reader {seconds:g} s after its end")
def move(context, seconds):
    run_until(context, end_of(context.window) + seconds)
    context.world.readers["three"] = "four"
    context.world.silent.clear()


@when(
    "entry {name} ends {seconds:g} s before the end of window {window:d}, and starts"
    " again"
)
def end_and_start(context, name, seconds, window):
    run_until(context, end_of(window) - seconds)
    context.world.start(name)


@when(
    "all entries start {seconds:g} s before the end of window {window:d}, and one knows"
    " one to three"
)
def start_knowing_few(context, seconds, window):
    world = context.world
    context.window = window
    run_until(context, end_of(window) - seconds)
    context.lost = world.truth[window]
    for name in NAMES:
        world.start(name)
    world.give_lease("one")
    world.entries["four"].is_confirmed = False
    world.known_names = {"one", "two", "three"}


@when(
    "four's clock is confirmed {confirmed_s:g} s after its end, and all are known"
    " {known_s:g} s after it"
)
def learn(context, confirmed_s, known_s):
    run_until(context, end_of(context.window) + confirmed_s)
    context.world.entries["four"].is_confirmed = True
    run_until(context, end_of(context.window) + known_s)
    context.world.known_names.clear()


@when(
    "entry {name} starts {seconds:g} s before the end of window {window:d}, its clock"
    " {ahead_s:g} s ahead for {duration_s:g} s"
)
def start_ahead(context, name, seconds, window, ahead_s, duration_s):
    world = context.world
    run_until(context, end_of(window) - seconds)
    world.start(name, ahead_s)
    for _ in range(50):
        world.entries[name].counter.record_request("org")
    run_until(context, end_of(window) - seconds + duration_s)
    world.entries[name].correct_clock()


@when(
    "window {window:d} ended {seconds:g} s ago, and each entry becomes its own reader"
)
def lose_readers(context, window, seconds):
    world = context.world
    run_until(context, end_of(window) + seconds)
    world.readers.clear()
    context.appends = 0


@then("the entries have stored counts at most {most:d} time since")
def check_few_appends(context, most):
    assert context.appends <= most, context.appends


def find_missing(context, window):
    world = context.world
    reports = world.reports.get(window, [])
    assert len(reports) == 1, (window, reports)
    return world.truth[window] - sum(reports[0].values())


# Each of five entries gets two requests a second on average, at most four.
MAX_REQUESTS_PER_S = 5 * 4 * 0.75


@then(
    "the report of window {window:d} lacks at most {seconds:g} s of what was counted"
    " before"
)
@then("the report of window {window:d} lacks at most {seconds:g} s of requests")
def check_lost(context, window, seconds):
    missing = find_missing(context, window)
    limit = min(seconds * MAX_REQUESTS_PER_S, context.world.truth[window] / 2)
    assert 0 <= missing <= limit, (missing, limit, context.lost)


@when("the topic of running counts is away")
def lose_running_topic(context):
    context.world.running_topic.is_away = True


@then("running counts were stored by one and four only, at most {most:d} times")
def check_sets(context, most):
    topic = context.world.running_topic
    names = {key.partition("/")[0] for key in topic.values}
    assert names == {"one", "four"}, names
    assert topic.sets <= most, topic.sets
    context.sets = topic.sets


@when("no requests come in for {seconds:d} s")
def calm(context, seconds):
    context.world.is_busy = False
    run_until(context, context.world.now + seconds)


@then("running counts were stored at most {most:d} times more")
def check_few_sets(context, most):
    assert context.world.running_topic.sets - context.sets <= most


@then("all records of running counts but one are removed once they are outdated")
def check_removed(context):
    values = context.world.running_topic.values
    assert len(values) <= 1, values


@then("the report of window {window:d} lacks nothing")
def check_nothing_missing(context, window):
    missing = find_missing(context, window)
    assert missing == 0, (missing, context.world.truth[window])


@then("each reader has stored counts of finished windows at most {most:d} times")
def check_appends(context, most):
    readers = 2
    assert context.appends <= most * readers, context.appends
