"""Steps for quarantine: replayed records and probed endpoints."""

import asyncio

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward import documents, requests
from acaciaward.membership import hints, interfaces as membership_interfaces
from acaciaward.provider import interfaces as provider_interfaces
from acaciaward.quarantine import deaths, replay
from standins import ports

ADDRESS = "127.0.0.1"
BETWEEN_DEATHS_S = 5.0


class Stream:
    """A replay and the log stream that it reads."""

    def __init__(self):
        self.replay = replay.QuarantineReplay(suspect_s=300.0, duration_s=1800.0)
        self.time = 1000.0
        self.count = 0

    def put(self, **data):
        data = {"nonce": f"n{self.count}"} | data
        record = provider_interfaces.LogRecord(self.count, self.time, data)
        self.count += 1
        page = provider_interfaces.LogPage([record], 0, self.count, self.time)
        self.replay.apply_page(page)

    def put_death(self, endpoint, names, *, alone=(), counts=True):
        self.put(
            kind="death",
            endpoint=endpoint,
            suspects=list(names),
            alone=list(alone),
            counts=counts,
        )


def split(names):
    return [name.strip() for name in names.split(",")]


@given("a quarantine replay")
def make_stream(context):
    context.stream = Stream()


@when('"{endpoint}" dies while running "{names}"')
def die(context, endpoint, names):
    context.stream.put_death(endpoint, split(names))


@when('"{endpoint}" dies while running "{name}" alone')
def die_alone(context, endpoint, name):
    context.stream.time += BETWEEN_DEATHS_S
    context.stream.put_death(endpoint, [name], alone=[name])


@when(
    '"{endpoint}" dies while running "{name}" alone, with "{other}" from another entry'
)
def die_shared(context, endpoint, name, other):
    die_alone(context, endpoint, name)
    context.stream.put_death(endpoint, [other])


@when('"{endpoint}" is lost with its data centre while running "{name}" alone')
def lose(context, endpoint, name):
    context.stream.time += BETWEEN_DEATHS_S
    context.stream.put_death(endpoint, [name], alone=[name], counts=False)


@when('"{name}" completes alone')
def complete(context, name):
    context.stream.put(kind="clear", subject=name)


@when("{seconds:d} seconds pass")
def wait(context, seconds):
    context.stream.time += seconds
    context.stream.put(kind="noise")


@then('"{names}" are suspects and no request is quarantined')
def check_suspects(context, names):
    quarantine_replay = context.stream.replay
    assert all(
        quarantine_replay.suspected_at(name) is not None for name in split(names)
    )
    assert not quarantine_replay.quarantined


@then('only "{name}" is quarantined')
def check_only(context, name):
    assert set(context.stream.replay.quarantined) == {name}
    quarantine = context.stream.replay.quarantined[name]
    assert quarantine.until - quarantine.since == 1800.0
    assert quarantine.endpoints == ("e1", "e2")


@then("no request is quarantined")
def check_none(context):
    assert not context.stream.replay.quarantined


@then("no request is quarantined or suspected")
def check_over(context):
    check_none(context)
    assert context.stream.replay.suspected_at("poison") is None


@then('"{name}" is the sole suspect of two deaths, and "{others}" are not')
def check_sole(context, name, others):
    quarantine_replay = context.stream.replay
    assert quarantine_replay.is_sole_common_suspect(name)
    assert not any(
        quarantine_replay.is_sole_common_suspect(other) for other in split(others)
    )


@then("on any log at most one turn is granted for each endpoint and each subject")
def check_turns(context):
    names = strategies.sampled_from(["x", "y", "z"])
    records = strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["turn", "turn", "turn_end"]),
            strategies.integers(0, 7),
            names,
            names,
            strategies.sampled_from([0.0, 1.0, 20.0]),
        ),
        max_size=20,
    )

    @hypothesis.settings(database=None, derandomize=True, max_examples=300)
    @hypothesis.given(records)
    def check(drawn):
        stream = Stream()
        made = {}
        for kind, number, endpoint, subject, pause_s in drawn:
            stream.time += pause_s
            nonce = f"n{number}"
            stream.put(kind=kind, nonce=nonce, endpoint=endpoint, subject=subject)
            if kind == "turn":
                made.setdefault(nonce, (endpoint, subject))
            holders = [
                candidate for candidate in made if stream.replay.has_turn(candidate)
            ]
            # A nonce that is used again after its end no longer stands for its first
            # turn, so endpoints are read from the replay itself.
            turns = [stream.replay._turns[candidate] for candidate in holders]
            assert len({turn.endpoint for turn in turns}) == len(turns)
            assert len({turn.subject for turn in turns}) == len(turns)

    check()


class FakeConfiguration:
    """A configuration whose endpoints are all in one deployment."""

    def __init__(self, names_and_centres):
        self._endpoints = [
            requests.Endpoint(
                name,
                ADDRESS,
                ports.find_free_port(),
                data_centre,
                "text",
                requests.DeploymentKind.MODEL,
            )
            for name, data_centre in names_and_centres
        ]
        self.view = documents.View(1, {"deployments": {"text": {}}})

    def endpoints(self, deployment):
        return self._endpoints

    def get(self, name):
        return next(endpoint for endpoint in self._endpoints if endpoint.name == name)


@given('endpoints "{first}" in "{first_centre}" and "{second}" in "{second_centre}"')
def start_endpoints(context, first, first_centre, second, second_centre):
    names_and_centres = [(name, first_centre) for name in split(first)]
    names_and_centres += [(name, second_centre) for name in split(second)]
    context.configuration = FakeConfiguration(names_and_centres)
    context.hints = hints.HintTable("entry-1")
    context.classifier = deaths.DeathClassifier(context.configuration, context.hints)
    context.servers = {}

    async def serve(reader, writer):
        writer.close()

    async def start():
        for name, _ in names_and_centres:
            endpoint = context.configuration.get(name)
            server = await asyncio.start_server(serve, endpoint.address, endpoint.port)
            context.servers[name] = server

    context.runner.run(start())


@when('"{name}" stops listening')
def stop(context, name):
    async def close():
        context.servers[name].close()

    context.runner.run(close())


@when('"{name}" is announced as leaving')
def announce(context, name):
    kind = membership_interfaces.HintKind.ENDPOINT_LEAVING
    context.hints.publish(kind, name, {}, lifetime_s=60)


def cause_of(context, name, known_dead):
    work = context.classifier.classify(context.configuration.get(name), known_dead)
    return context.runner.run(work)


@then('the cause for "{name}" is "{cause}"')
def check_cause(context, name, cause):
    found = cause_of(context, name, set())
    assert found is deaths.DeathCause(cause), found


@then('the cause for "{name}" is "{cause}" if "{other}" had died before')
def check_known_dead(context, name, cause, other):
    found = cause_of(context, name, {other})
    assert found is deaths.DeathCause(cause), found
