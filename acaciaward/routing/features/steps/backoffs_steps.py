"""Steps for back-offs that endpoints ask for, with a clock of their own."""

from behave import given, then, when

from acaciaward.catalogue import endpoints
from acaciaward.routing import occupancy


def make_endpoint(name, born=1):
    ready = endpoints.EndpointState.READY
    return endpoints.Endpoint(name, born, "app", "127.0.0.1", 1, "dc", 4, ready)


RECORD_CHANGES = {
    "as it was": {},
    "without its start": {"born": 0},
    "with a start that was just listed": {"born": 500},
}


@given("endpoints app-1 and app-2 at 0 s")
def make_occupancy(context):
    context.now = 0.0
    context.directory = endpoints.Directory(
        lambda: context.now, unix_time=lambda: context.now
    )
    context.occupancy = occupancy.Occupancy(
        context.directory,
        data_centre="dc",
        clock=lambda: context.now,
        unix_time=lambda: context.now,
    )
    for name in ("app-1", "app-2"):
        context.directory.update(make_endpoint(name))


@when("{name} asks for a back-off of {seconds:g} s at {at:g} s")
def ask_to_back_off(context, name, seconds, at):
    context.now = at
    context.occupancy.backoffs.record(context.directory.get(name), seconds)


@when("{name} starts anew")
def start_anew(context, name):
    born = int(1000 * (context.now + 2.0))
    context.directory.update(make_endpoint(name, born=born))


@when("{name} loses its record, and has it back {change}")
def lose_record(context, name, change):
    endpoint = context.directory.get(name)
    context.directory.remove_now(name, "test")
    context.directory.update(endpoint._replace(**RECORD_CHANGES[change]))


@then("{name} is left alone for {left:g} s more")
def check_left(context, name, left):
    if name == "the service":
        found = context.occupancy.backoff_left_s("app", None)
    else:
        found = context.occupancy.backoffs.left_s(context.directory.get(name))
    assert found == left, found
