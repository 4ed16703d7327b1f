"""Steps for back-offs that endpoints ask for, with a clock of their own."""

from behave import given, then, when

from acaciaward.catalogue import endpoints
from acaciaward.routing import occupancy


def make_endpoint(name, born=1):
    ready = endpoints.EndpointState.READY
    return endpoints.Endpoint(name, born, "app", "127.0.0.1", 1, "dc", 4, ready)


@given("endpoints app-1 and app-2 at 0 s")
def make_occupancy(context):
    context.now = 0.0
    context.directory = endpoints.Directory(lambda: context.now)
    context.occupancy = occupancy.Occupancy(
        context.directory, data_centre="dc", clock=lambda: context.now
    )
    for name in ("app-1", "app-2"):
        context.directory.update(make_endpoint(name))


@when("{name} asks for a back-off of {seconds:g} s at {at:g} s")
def ask_to_back_off(context, name, seconds, at):
    context.now = at
    context.occupancy.backoffs.record(context.directory.get(name), seconds)


@when("{name} starts anew")
def start_anew(context, name):
    context.directory.update(make_endpoint(name, born=2))


@then("{name} is left alone for {left:g} s more")
def check_left(context, name, left):
    if name == "the service":
        found = context.occupancy.backoff_left_s("app", None)
    else:
        found = context.occupancy.backoffs.left_s(context.directory.get(name))
    assert found == left, found
