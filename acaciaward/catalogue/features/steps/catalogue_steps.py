"""Steps for the catalogue."""

from behave import given, then, when

from acaciaward.catalogue import endpoints, routehistory, routes

READY = endpoints.EndpointState.READY
LEAVING = endpoints.EndpointState.LEAVING


def make_route(host, prefix):
    return routes.Route(
        prefix,
        host,
        prefix,
        routes.RequestKind.IDEMPOTENT,
        1.0,
        1.0,
        0,
        (("s", 1.0),),
        1,
    )


def make_endpoint(name, *, state=READY, born=1):
    return endpoints.Endpoint(name, born, "s", "127.0.0.1", 1, "dc", 4, state)


@given('routes "/a/" and "/a/b/" of shop.example and "/" of other.example')
def make_routes(context):
    pairs = [("shop.example", "/a/"), ("shop.example", "/a/b/"), ("other.example", "/")]
    context.index = routes.Index(
        routes.Catalogue(1, tuple(make_route(*pair) for pair in pairs))
    )


@then('"{path}" of {host} takes "{prefix}"')
def check_route(context, path, host, prefix):
    assert context.index.find_route(host, path).prefix == prefix


@then('"{path}" of {host} takes no route')
def check_no_route(context, path, host):
    assert context.index.find_route(host, path) is None


@given("endpoints e-1 and e-2")
def make_directory(context, born=1):
    context.now = 100.0
    context.born = born
    context.directory = endpoints.Directory(
        lambda: context.now, unix_time=lambda: context.now
    )
    for name in ("e-1", "e-2"):
        context.directory.update(make_endpoint(name, born=born))


@given("endpoints e-1 and e-2 without the times of their starts")
def make_bornless(context):
    make_directory(context, born=0)


@when("{name} says in an answer that it leaves")
def say_leaving(context, name):
    context.directory.record_leaving((name, context.born), by_peer=False)


@when("a peer says that {name} leaves")
def hear_leaving(context, name):
    context.directory.record_leaving((name, context.born), by_peer=True)


@then("{name} is listed no more")
def check_removed(context, name):
    assert context.directory.get(name) is None


@then("{names} is told to peers as leaving")
def check_told(context, names):
    found = [name for name, _ in context.directory.announced_departures]
    assert (found or ["none"]) == names.split(", "), found


@when("the record of {name} is removed")
def remove(context, name):
    context.directory.remove(name, "test")


@when("the store fails")
def fail(context):
    context.directory.record_outage()


@when("{seconds:g} s pass")
def pass_time(context, seconds):
    context.now += seconds
    context.directory.remove_due()


@when("{name} writes its record again")
def write_again(context, name):
    context.directory.update(make_endpoint(name, born=context.born))


@when("an older copy of the store lists all as ready")
def list_older_copy(context):
    context.directory.replace_all([make_endpoint(name) for name in ("e-1", "e-2")])


@when("{name} reports that it is leaving")
def leave(context, name):
    context.directory.update(make_endpoint(name, state=LEAVING, born=context.born))


@when("another server answers at the address of {name}")
def mismatch(context, name):
    context.directory.record_mismatch(context.directory.get(name))


@when("{name} starts again")
def start_again(context, name):
    start_at(context, name, 2.0)


@when("the record of {name} names a start {ago_s:g} s ago")
def start_ago(context, name, ago_s):
    start_at(context, name, -ago_s)


def start_at(context, name, delay_s):
    born = int(1000 * (context.now + delay_s))
    context.directory.update(make_endpoint(name, born=born))


@when("{count:d} endpoints come, say that they leave and go")
def come_and_go(context, count):
    for number in range(count):
        endpoint = make_endpoint(f"brief-{number}")
        context.directory.update(endpoint)
        context.directory.record_leaving(endpoint.incarnation, by_peer=False)
        context.directory.remove_now(endpoint.name, "test")


@then("the departures of {most:d} endpoints at most are remembered")
def check_departures(context, most):
    assert 0 < len(context.directory._departures.names) <= most


@when("the record of {name} can't be decoded")
def unreadable(context, name):
    context.directory.remove_now(name, "test")


@then("{names} may get work if there is no other")
def check_lapsed(context, names):
    found = [endpoint.name for endpoint in context.directory.lapsed("s")]
    assert (found or ["none"]) == names.split(", "), found


@then("{names} may get work")
def check_ready(context, names):
    found = sorted(endpoint.name for endpoint in context.directory.ready("s"))
    assert found == names.split(", "), found


READ_INTERVAL_S = 0.5


def follow(context, seconds):
    for _ in range(round(seconds / READ_INTERVAL_S)):
        context.now += READ_INTERVAL_S
        context.directory.record_read(context.now)


@given("an endpoint of v1 that has been followed for {seconds:g} s")
def follow_one(context, seconds):
    make_directory(context)
    for name in ("e-1", "e-2"):
        context.directory.update(make_endpoint(name)._replace(version="v1"))
    follow(context, seconds)


@when("the endpoints are followed for {seconds:g} s")
def follow_on(context, seconds):
    follow(context, seconds)


@when("the endpoints aren't read for {seconds:g} s")
def leave_unread(context, seconds):
    context.now += seconds
    context.directory.record_read(context.now)


@when("the endpoints aren't read for {seconds:g} s, and then all changes are")
def read_late(context, seconds):
    context.now += seconds
    context.directory.record_read(context.now, is_continuous=True)


@when("the store lists v1 and v2")
def list_both(context):
    context.listed = {"v1", "v2"}


@when("the store lists v1")
def list_one(context):
    context.listed = {"v1"}


def only_version(context, span_s):
    return context.directory.only_version(
        "s", span_s, listed=context.listed, read_at=context.now
    )


@then("no version is the only one of the last {span:g} s")
def check_no_only(context, span):
    assert only_version(context, span) is None, only_version(context, span)


@then("{version} is the only one of the last {span:g} s")
def check_only(context, version, span):
    assert only_version(context, span) == version, only_version(context, span)


def record_route(context, *services):
    route = make_route("h", "/a/")._replace(
        kind=routes.RequestKind.STREAM,
        is_resumable=True,
        timeout_s=15.0,
        shares=tuple((name, 1.0) for name in services),
    )
    context.history.record(routes.Catalogue(1, (route,)))


@given("a route that leads to a, then for 5 s to b, then to a again")
def move_and_back(context):
    context.now = 100.0
    context.history = routehistory.RouteHistory(lambda: context.now)
    record_route(context, "a")
    context.now += 60.0
    record_route(context, "b")
    context.now += 5.0
    record_route(context, "a")


@given("a route that leads to a and b")
def split_route(context):
    context.now = 100.0
    context.history = routehistory.RouteHistory(lambda: context.now)
    record_route(context, "a", "b")


@when("{seconds:g} s go by")
def go_by(context, seconds):
    context.now += seconds


@then("a path has led to {names} within {span:g} s")
def check_services(context, names, span):
    found = context.history.services_within("h", "/a/1", span)
    assert found == set(names.split(", ")), found


@then("{names} share a route")
def check_shared(context, names):
    expected = set() if names == "none" else set(names.split(", "))
    assert context.history.shared_services == expected, context.history.shared_services
