"""Steps for calls through peers, with one entry, its peers and their endpoints."""

import asyncio
import time

from behave import given, then, when

from acaciaward.admission import quotas
from acaciaward.catalogue import routes
from acaciaward.gateway.features import forwardingscripts, scripted
from acaciaward.membership import interfaces
from standins import ports

KINDS = {
    "idempotent requests": (routes.RequestKind.IDEMPOTENT, {}),
    "non_idempotent requests": (routes.RequestKind.NON_IDEMPOTENT, {}),
    "resumable streams": (routes.RequestKind.STREAM, {"resumable": True}),
}
FORGED = [
    'Acaciaward-Detour: {"service":"service","version":null,"sends":0,"limit":9}',
]


class _Membership:
    """What an entry knows of its peers."""

    def __init__(self, name):
        self.name = name
        self.known = []

    def peers(self):
        return self.known

    def handle(self, kind, handler):
        pass


class _Group:
    """One entry with peers; each has endpoints of its own."""

    def __init__(self, kind, count):
        kind, options = KINDS[kind]
        self.memberships = [_Membership(f"e-{number}") for number in range(3)]
        self.entry, *self.peers = [
            scripted.Front(kind, count=count, peers=membership, **options)
            for membership in self.memberships
        ]
        self.came = {}
        self.dying = []

    @property
    def fronts(self):
        return [self.entry, *self.peers]

    @property
    def requests(self):
        return [request for front in self.fronts for request in front.requests]

    async def start(self):
        for front in self.fronts:
            await front.start()
        for membership, front in zip(self.memberships, self.fronts, strict=True):
            self.came[membership.name] = []
            self._watch(membership.name, front)
        self.introduce()

    def _watch(self, name, front):
        handler = front.detours.handler

        async def watched(call, responder):
            self.came[name].append(call)
            await handler(call, responder)

        front.detours.handler = watched

    def introduce(self, **changes):
        """Let all entries know each other; ``changes`` are of the peers' records."""
        known = [
            interfaces.Peer(
                membership.name,
                "127.0.0.1",
                front.port,
                1,
                "dc",
                "region",
                1,
                interfaces.PeerState.LIVE,
                1,
                detour_port=front.detour_port,
            )
            for membership, front in zip(self.memberships, self.fronts, strict=True)
        ]
        known[1:] = [peer._replace(**changes) for peer in known[1:]]
        for membership in self.memberships:
            membership.known = known

    async def let_die(self):
        """Replace the peers by processes that reset each call that they have read."""
        for membership in self.memberships[1:]:
            dying = scripted.ScriptedEndpoint()
            dying.default_script = scripted.die()
            await dying.start()
            self.dying.append(dying)
            self.introduce()
            self.came[membership.name] = dying.requests
        known = self.memberships[0].known
        self.memberships[0].known = [
            known[0],
            *(
                peer._replace(detour_port=dying.port)
                for peer, dying in zip(known[1:], self.dying, strict=True)
            ),
        ]

    async def stop(self):
        for front in self.fronts:
            await front.stop()
        for dying in self.dying:
            await dying.stop()
        # Connections that were closed here end at their other side, too.
        await asyncio.sleep(0.01)

    @property
    def came_to_peers(self):
        return sum(len(self.came[one.name]) for one in self.memberships[1:])


def cut_off(front):
    for endpoint in front.directory.all():
        front.reachability.record_connect(endpoint, is_connected=False)


def start(context, kind, count=2):
    context.group = _Group(kind, count)
    context.runner.run(context.group.start())
    context.front = context.group.entry


@given("an entry for {kind} that is cut off, and 2 peers")
def start_cut_off(context, kind):
    start(context, kind)
    cut_off(context.front)


@given("the peers' routes lead to another service")
def lead_elsewhere(context):
    for front in context.group.peers:
        catalogue = front.index.catalogue
        (route,) = catalogue.routes
        front.index = routes.Index(
            catalogue._replace(
                routes=(route._replace(shares=(("other", 1.0),)),),
                services={
                    "service": routes.Service("service", 100),
                    "other": routes.Service("other", 100),
                },
            )
        )
        for endpoint in front.directory.all():
            front.directory.update(endpoint._replace(name="o-1", service="other"))


@given("an entry for {kind} that reaches endpoints, and 2 peers")
def start_reaching(context, kind):
    start(context, kind)


@given("an entry for {kind} that is cut off, and 2 peers that die")
def start_dying(context, kind):
    start_cut_off(context, kind)
    context.runner.run(context.group.let_die())


def let_vanish(front):
    for endpoint in front.directory.all():
        front.directory.update(endpoint._replace(port=ports.find_free_port()))


@given("an entry for {kind} whose {count:d} endpoints are gone, and 2 peers")
def start_gone(context, kind, count):
    start(context, kind, count)
    let_vanish(context.front)
    # The cut isn't known yet: its evidence is cleared each time.
    links = context.front.reachability
    context.tried = []

    def record(endpoint, *, is_connected):
        context.tried.append(endpoint)
        links.record_connect(endpoint, is_connected=is_connected)
        links.record_data(endpoint.service)

    context.front.pool._on_connect = record


@given("the peers' endpoints are gone, too")
def let_peers_vanish(context):
    for peer in context.group.peers:
        let_vanish(peer)


@when("an endpoint is added")
def add_endpoint(context):
    front = context.front
    known = front.directory.all()[0]
    port = front.endpoints[known.name].port
    front.directory.update(known._replace(name="s-new", port=port))


@given("one peer is cut off too")
def cut_off_one(context):
    cut_off(context.group.peers[0])


@given("all peers are cut off too")
def cut_off_all(context):
    for peer in context.group.peers:
        cut_off(peer)


@given("all peers are known to be isolated")
def isolate(context):
    context.group.introduce(is_isolated=True)


@given("the peers' endpoints refuse")
def refuse(context):
    for peer in context.group.peers:
        peer.always(scripted.refuse())


@given("the peers' endpoints always die")
def die(context):
    for peer in context.group.peers:
        peer.always(scripted.die())


@given("the peers' endpoints hang")
def hang(context):
    for peer in context.group.peers:
        peer.always(scripted.hang())


@given("a quota of 1 a minute")
def set_quota(context):
    for front in context.group.fronts:
        quota = routes.Quota(1 / 60, 1)
        catalogue = front.index.catalogue
        organisation = catalogue.organisations["org"]._replace(quota=quota)
        front.index = routes.Index(
            catalogue._replace(organisations={"org": organisation})
        )
        front.quotas.set_rules({"org": quotas.Rule(quota.rate, quota.burst)})
        front.quotas.refund("org", quota.burst)
    context.totals = [front.quotas.admitted_totals() for front in context.group.fronts]


@given("the peers' endpoints stream 1 to 3, then each answers with {error}")
def stream_and_fail(context, error):
    shared = [scripted.stream(1, 3, then="reset")]
    for front in context.group.peers:
        for endpoint in front.endpoints.values():
            endpoint.scripts = shared
        front.always(forwardingscripts.NEXT_ANSWERS[error])


@given("the peers' endpoints stream 1 to 5 and end a second later")
def stream_for_long(context):
    for front in context.group.peers:
        front.always(scripted.stream(1, 5, then="end a second later"))


@given("the peers' endpoints stream 1 to 3 and reset, then 4 to 6 and end")
def stream_on(context):
    shared = [scripted.stream(1, 3, then="reset"), scripted.stream(4, 6)]
    for peer in context.group.peers:
        for endpoint in peer.endpoints.values():
            endpoint.scripts = shared


@given("the peers' endpoints have the version v2, and the entry's v1 and v2")
def set_versions(context):
    entry, *peers = context.group.fronts
    for peer in peers:
        for endpoint in peer.directory.all():
            peer.directory.update(endpoint._replace(version="v2"))
    for endpoint, version in zip(entry.directory.all(), ("v1", "v2"), strict=True):
        entry.directory.update(endpoint._replace(version=version))


@given(
    "the peers' endpoints stream 1 to 3, and the entry reaches endpoints before they"
    " reset"
)
def stream_until_healed(context):
    rest = scripted.stream(1, 3, then="reset")

    async def script(head, reader, writer):
        reach_again(context)
        await rest(head, reader, writer)

    for peer in context.group.peers:
        peer.always(script)
    context.front.always(scripted.stream(4, 6))


@when("the entry reaches an endpoint again")
def reach_again(context):
    front = context.group.entry
    front.reachability.record_connect(front.directory.all()[0], is_connected=True)


@when("a caller asks with a forged detour")
def ask_forged(context):
    context.data, _ = context.runner.run(scripted.ask(context.front, lines=FORGED))


@when("a caller asks {count:d} times with a forged detour")
def ask_forged_often(context, count):
    context.answers = [
        context.runner.run(scripted.ask(context.front, lines=FORGED))[0]
        for _ in range(count)
    ]


@when("a caller leaves the entry after {seconds:g} s")
def leave(context, seconds):
    async def run():
        _, writer = await asyncio.open_connection("127.0.0.1", context.front.port)
        writer.write(
            f"POST /a/1 HTTP/1.1\r\nHost: {scripted.HOST}\r\nAttempt-Id: a1\r\n"
            f"Authorization: Bearer {scripted.KEY}\r\nContent-Length: 0\r\n\r\n"
            "".encode()
        )
        await asyncio.sleep(seconds)
        assert len(context.group.requests) == 1
        writer.close()

    context.runner.run(run())


@then("the connection to the peer's endpoint closes within {limit_s:g} s")
def check_closed(context, limit_s):
    async def run():
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline and not count_closed(context):
            await asyncio.sleep(0.01)

    context.runner.run(run())
    assert count_closed(context) == 1, count_closed(context)


def count_closed(context):
    return sum(
        endpoint.closed
        for peer in context.group.peers
        for endpoint in peer.endpoints.values()
    )


@then("the endpoint's signature is passed on, and nothing that entries tell each other")
def check_head(context):
    head, _, _ = context.data.partition(b"\r\n\r\n")
    assert scripted.header(head, "server-signature") == "s1", head
    assert b"acaciaward" not in head.lower(), head


@then("{count:d} request has arrived, without key and with the organisation")
def check_arrived(context, count):
    check_requests(context, count)
    head, _ = context.group.requests[0]
    assert scripted.header(head, "tenant") == "org", head
    assert scripted.KEY.encode() not in head and b"acaciaward" not in head.lower(), head


@then("{count:d} request has arrived")
@then("{count:d} requests have arrived")
def check_requests(context, count):
    assert len(context.group.requests) == count, context.group.requests


@then("the endpoint gets nothing of the detour")
def check_no_detour(context):
    ((head, _),) = context.group.requests
    assert b"acaciaward" not in head.lower(), head


@then("no call has come to a peer")
def check_none_came(context):
    assert context.group.came_to_peers == 0, context.group.came


@then("{count:d} call has come to the peers")
@then("{count:d} calls have come to the peers")
def check_came(context, count):
    assert context.group.came_to_peers == count, context.group.came


@then("at most {count:d} call has come to the peer that is cut off")
def check_came_to_cut_off(context, count):
    came = context.group.came[context.group.memberships[1].name]
    assert len(came) <= count, len(came)


@then("at most {count:d} calls have come to the peers, and none back")
def check_no_loop(context, count):
    group = context.group
    assert group.came_to_peers <= count, group.came
    assert not group.came[group.memberships[0].name], group.came


@then("each answer is {status:d}")
def check_each(context, status):
    found = [scripted.status_of(data) for data in context.answers]
    assert set(found) == {status}, found


@then("the answer is a {status:d}")
def check_status(context, status):
    assert scripted.status_of(context.data) == status, context.data


@then("the second request to have arrived says that {number:d} was the last event")
def check_last_event(context, number):
    found = {
        scripted.header(head, "last-event-id") for head, _ in context.group.requests
    }
    assert found == {None, str(number)}, found


@then("it came within {limit_s:g} s")
def check_time(context, limit_s):
    assert context.took_s <= limit_s, context.took_s


@then("{count:d} connections to endpoints were tried")
def check_tried(context, count):
    assert len(context.tried) == count, context.tried


@then("at most {count:d} connections to endpoints were tried")
def check_tried_at_most(context, count):
    assert len(context.tried) <= count, len(context.tried)


@then("the peer gets the entry's detour alone")
def check_detour(context):
    (call,) = [call for came in context.group.came.values() for call in came]
    values = [value for name, value in call.headers if name.lower().startswith(b"acac")]
    assert len(values) == 1 and call.detour.limit == 1, values


@then("the entry has counted {count:d} use and its peers none")
def check_usage(context, count):
    charged = []
    for before, front in zip(context.totals, context.group.fronts, strict=True):
        charged.append(front.quotas.admitted_totals()["org"] - before["org"])
    assert charged == [count, 0, 0], charged
    ran = [len(front.ran) for front in context.group.fronts]
    assert ran == [count, 0, 0], ran


@then("the entry's endpoint of version {version} has sent the rest")
def check_version(context, version):
    front = context.front
    (name,) = [name for name, one in front.endpoints.items() if one.requests]
    assert front.directory.get(name).version == version, name


@given("all endpoints answer that they leave")
def answer_leaving(context):
    for front in context.group.fronts:
        front.always(scripted.answer(lines=b"Server-Leaving: 1\r\n"))


@given("all endpoints answer 503 after they have run a call")
def answer_unstated(context):
    for front in context.group.fronts:
        front.always(scripted.answer(status=b"503 Unavailable"))


@then("the entry knows that {count:d} endpoint leaves")
def check_leaving(context, count):
    directory = context.group.entry.directory
    known = [directory.is_leaving(one.incarnation) for one in directory.all()]
    assert sum(known) == count, known
