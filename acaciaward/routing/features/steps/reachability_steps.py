"""Steps for reachability, on a clock of their own."""

from behave import given, then, when

from acaciaward.catalogue import endpoints
from acaciaward.routing import reachability

POLL_S = 0.1


class _Links:
    """A directory of endpoints, and the reachability of these."""

    def __init__(self, counts):
        self.now = 100.0
        self.silent_service = None
        self.dropped = []
        self.probes = []
        self._ready = {
            service: [_make_endpoint(service, number) for number in range(count)]
            for service, count in counts.items()
        }
        self.reachability = reachability.Reachability(
            self,
            lambda endpoint: endpoint.service == self.silent_service,
            clock=lambda: self.now,
        )
        self.reachability.on_cut_off = self.dropped.append

    def ready(self, service):
        return self._ready[service]

    def keep(self, service, count):
        self._ready[service] = self._ready[service][:count]

    def connect(self, endpoint, *, is_connected):
        self.reachability.record_connect(endpoint, is_connected=is_connected)

    def pass_time(self, duration_s, on_probe=None, on_poll=None):
        for _ in range(round(duration_s / POLL_S)):
            self.now += POLL_S
            if on_poll is not None:
                on_poll()
            for endpoint in self.reachability.due_probes():
                self.probes.append(endpoint)
                if on_probe is not None:
                    self.connect(endpoint, is_connected=on_probe)


def _make_endpoint(service, number):
    state = endpoints.EndpointState.READY
    return endpoints.Endpoint(
        f"{service}-{number}", 1, service, "127.0.0.1", 1, "dc", 8, state
    )


@given("6 endpoints of app and 4 of web")
def make_links(context):
    context.links = _Links({"app": 6, "web": 4})


@given("only {count:d} endpoint of app is left")
@given("only {count:d} endpoints of app are left")
def keep(context, count):
    context.links.keep("app", count)


@given("endpoints of app have work and send nothing")
def silence(context):
    links = context.links
    links.connect(links.ready("app")[0], is_connected=True)
    links.silent_service = "app"


@when("{count:d} endpoint of {service} takes no connection")
@when("{count:d} endpoints of {service} take no connection")
def fail(context, count, service):
    for endpoint in context.links.ready(service)[:count]:
        context.links.connect(endpoint, is_connected=False)


@when("1 endpoint of {service} takes no connection, {times:d} times")
def fail_often(context, service, times):
    for _ in range(times):
        fail(context, 1, service)


@when("endpoint {number:d} of {service} takes no connection")
def fail_one(context, number, service):
    endpoint = context.links.ready(service)[number - 1]
    context.links.connect(endpoint, is_connected=False)


@when("an endpoint of {service} takes a connection")
def connect(context, service):
    context.links.connect(context.links.ready(service)[-1], is_connected=True)


@when("an endpoint of {service} sends data")
def send_data(context, service):
    context.links.reachability.record_data(service)


@when("endpoints of web send data for {duration_s:g} s")
def send_data_long(context, duration_s):
    context.links.pass_time(duration_s, on_poll=lambda: send_data(context, "web"))


@when("the clock advances by {duration_s:g} s")
def pass_time(context, duration_s):
    context.links.now += duration_s


@when("{duration_s:g} s pass in which probes {result}")
def pass_time_probing(context, duration_s, result):
    context.links.pass_time(duration_s, on_probe=result == "work")


@when("all endpoints of {service} end")
def end_all(context, service):
    context.links.keep(service, 0)
    context.links.pass_time(POLL_S)


@then("{service} is cut off")
def check_cut_off(context, service):
    assert context.links.reachability.is_cut_off(service)


@then("{service} is reached")
def check_reached(context, service):
    assert not context.links.reachability.is_cut_off(service)


@then("the entry is isolated")
def check_isolated(context):
    assert context.links.reachability.is_isolated


@then("the entry isn't isolated")
def check_not_isolated(context):
    assert not context.links.reachability.is_isolated


@then("the service's connections were dropped once")
def check_dropped(context):
    assert context.links.dropped == ["app"], context.links.dropped


@then("probes in the next 3 s go to each endpoint of app once")
def check_probes(context):
    # The last probe is due within a poll after this time.
    context.links.pass_time(3.0 + POLL_S, on_probe=False)
    names = sorted(endpoint.name for endpoint in context.links.probes[:6])
    assert names == [f"app-{number}" for number in range(6)], names
    assert len(context.links.probes) <= 7, len(context.links.probes)


@then("nothing was probed")
def check_no_probes(context):
    assert not context.links.probes, context.links.probes


@then("at most {count:d} probes were made")
def check_few_probes(context, count):
    assert 0 < len(context.links.probes) <= count, len(context.links.probes)


@then("{count:d} probes were made")
def check_probe_count(context, count):
    assert len(context.links.probes) == count, context.links.probes
