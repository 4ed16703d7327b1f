"""Steps for the operators' API and commands."""

import asyncio
import json
import re
import time

import click.testing
from behave import given, then, when

from acaciaward import httpclient
from acaciaward.cli import main
from acaciaward.client import caller
from acaciaward.demonstration import world
from acaciaward.identity import apikeys
from acaciaward.membership import interfaces

MODEL = "dossiers-and-replies"
SERVICE = "counter-desk"
WAIT_S = 10.0


@given("three entries in one process and an operator's key")
def start_world(context):
    if hasattr(context.feature, "world"):
        context.world = context.feature.world
        context.keys = context.feature.keys
        return
    context.world = context.feature.world = world.World("puzzle-agency")
    context.runner.run(context.world.start())
    context.keys = context.feature.keys = _make_keys(context)


def _make_keys(context):
    keys = {}
    changes = {"operators": {}, "organisations": {}}
    for name, role in (("ana", "operator"), ("vio", "viewer")):
        keys[role], entry = apikeys.make_operator_key(name, role)
        changes["operators"][name] = entry
    for organisation in ("biblioteca-brasov", "scoala-alba"):
        for role in ("caller", "administrator"):
            key, entry = apikeys.make_organisation_key(organisation, role, role)
            keys[f"{organisation} {role}"] = key
            known = changes["organisations"].setdefault(organisation, {"keys": {}})
            known["keys"][role] = entry
    body = {"base": 1, "changes": changes}
    answer = _http(
        context, "POST", "/v1/admin/config/patches", context.world.operator_key, body
    )
    assert answer[0] == 200, answer
    _wait_for_version(context, answer[1]["version"])
    return keys


def _wait_for_version(context, version):
    async def wait():
        async with asyncio.timeout(WAIT_S):
            for entry in context.world.entries:
                while entry.configuration.view.version < version:
                    await asyncio.sleep(0.01)

    context.runner.run(wait())


def _http(context, method, path, key="", body=None, entry=0):
    async def send():
        client = httpclient.HttpClient()
        payload = b"" if body is None else json.dumps(body).encode()
        headers = {"authorization": f"Bearer {key}"} if key else {}
        address = context.world.addresses[entry]
        try:
            async with client.send(
                method, *address, path, headers=headers, body=payload
            ) as response:
                data = await response.read()
                is_json = response.headers["content-type"] == "application/json"
                return response.status, json.loads(data) if is_json else data
        finally:
            await client.close()

    return context.runner.run(send())


def run_line(context, arguments, *, entry=None, key=None):
    address, port = context.world.addresses[0]
    environment = {
        "ACACIAWARD_ENTRY": entry or f"{address}:{port}",
        "ACACIAWARD_KEY": context.keys["operator"] if key is None else key,
    }
    runner = click.testing.CliRunner(env=environment)

    def invoke():
        return runner.invoke(main.cli, arguments, prog_name="acaciaward")

    return context.runner.run(asyncio.to_thread(invoke))


@when('the command "{line}" prints a key')
def run_for_key(context, line):
    result = run_line(context, line.split())
    assert result.exit_code == 0, result.output
    context.old_key = getattr(context, "key", None)
    context.key = result.stdout.splitlines()[-1]
    assert context.key.startswith("aw-org."), result.output


@when('the command "{line}" succeeds')
def runrun_line(context, line):
    result = run_line(context, line.split())
    assert result.exit_code == 0, result.output


def ask(context, key, entry):
    body = {"model": MODEL, "prompt": "short", "max_tokens": 2}
    status, answer = _http(context, "POST", "/v1/completions", key, body, entry)
    return answer["error"]["code"] if status != 200 else "served"


def _wait_for_answer(context, key, wanted):
    deadline = time.monotonic() + WAIT_S
    entries = range(len(context.world.entries))
    while True:
        found = {ask(context, key, entry) for entry in entries}
        if found == {wanted}:
            return
        assert time.monotonic() < deadline, (found, wanted)


@then("that key is served at every entry within seconds")
def check_served(context):
    _wait_for_answer(context, context.key, "served")


@then("both keys are served")
def check_both(context):
    _wait_for_answer(context, context.key, "served")
    assert ask(context, context.old_key, 0) == "served"


@then("only the new key is served once the overlap has passed")
def check_expired(context):
    _wait_for_answer(context, context.old_key, "invalid_api_key")
    _wait_for_answer(context, context.key, "served")


@then("the new key is refused as {code} at every entry within seconds")
def check_refused(context, code):
    _wait_for_answer(context, context.key, code)


@then("the history names the operator as author of the last {count:d} patches")
def check_authors(context, count):
    _, answer = _http(
        context, "GET", "/v1/admin/config/history", context.keys["viewer"]
    )
    authors = [item["author"] for item in answer["history"][-count:]]
    assert authors == ["ana"] * count, authors


OWN = "/v1/admin/organisations/scoala-alba"
OTHER = "/v1/admin/organisations/biblioteca-brasov"
# Statuses for operator, viewer, administrator, caller and no key at all. A 422
# or 400 shows that the right was given and that the empty body was refused.
RIGHTS = (
    ("GET", "/metrics", (200, 200, 403, 403, 401)),
    ("GET", "/v1/admin/status", (200, 200, 403, 403, 401)),
    ("GET", "/v1/admin/config", (200, 200, 403, 403, 401)),
    ("GET", "/v1/admin/config/history", (200, 200, 403, 403, 401)),
    ("GET", "/v1/admin/config/diff", (200, 200, 403, 403, 401)),
    ("GET", "/v1/admin/config/patches/none", (404, 404, 403, 403, 401)),
    ("POST", "/v1/admin/config/patches", (400, 403, 403, 403, 401)),
    ("GET", "/v1/admin/burn", (200, 200, 403, 403, 401)),
    ("GET", "/v1/admin/fleet/plan", (200, 200, 403, 403, 401)),
    ("GET", "/v1/admin/organisations", (200, 200, 403, 403, 401)),
    ("POST", "/v1/admin/organisations", (422, 403, 403, 403, 401)),
    ("GET", OWN, (200, 200, 200, 403, 401)),
    ("GET", OTHER, (200, 200, 404, 403, 401)),
    ("PATCH", "/v1/admin/organisations/none", (404, 403, 403, 403, 401)),
    ("POST", f"{OWN}/keys", (422, 403, 422, 403, 401)),
    ("POST", f"{OTHER}/keys", (422, 403, 404, 403, 401)),
    ("POST", f"{OWN}/keys/none/rotate", (404, 403, 404, 403, 401)),
    ("DELETE", f"{OWN}/keys/none", (404, 403, 404, 403, 401)),
    ("GET", f"{OWN}/outcomes/none", (400, 400, 400, 403, 401)),
    ("GET", "/v1/admin/deployments", (200, 200, 403, 403, 401)),
    ("GET", f"/v1/admin/deployments/{MODEL}", (200, 200, 403, 403, 401)),
    ("PATCH", f"/v1/admin/deployments/{MODEL}", (400, 403, 403, 403, 401)),
    ("GET", "/v1/admin/endpoints", (200, 200, 403, 403, 401)),
    ("GET", "/v1/admin/quarantine", (200, 200, 403, 403, 401)),
    ("POST", "/v1/admin/quarantine/x/lift", (400, 403, 403, 403, 401)),
    ("POST", "/v1/admin/entries/none/drain", (404, 403, 403, 403, 401)),
)


@then("every role gets the status that the table of rights says")
def check_rights(context):
    keys = [
        context.keys["operator"],
        context.keys["viewer"],
        context.keys["scoala-alba administrator"],
        context.keys["scoala-alba caller"],
        "",
    ]
    for method, path, wanted in RIGHTS:
        found = tuple(_http(context, method, path, key)[0] for key in keys)
        assert found == wanted, (method, path, found, wanted)
    tested = {(method, _shape(path)) for method, path, _ in RIGHTS}
    routes = _routes(context)
    missing = {
        route
        for route in routes
        if route[1].startswith("/v1/admin") and route not in tested
    }
    assert not missing, missing


def _routes(context):
    application = context.world.entries[0].application
    return {
        (method.decode(), re.sub(r"\{[^}]*\}", "*", route.pattern.decode()))
        for method, routes in application.router.routes.items()
        for route in routes
    }


PARTS = (
    (r"/organisations/[^/]+", "/organisations/*"),
    (r"/keys/[^/]+", "/keys/*"),
    (r"/outcomes/[^/]+", "/outcomes/*"),
    (r"/deployments/[^/]+", "/deployments/*"),
    (r"/quarantine/[^/]+", "/quarantine/*"),
    (r"/entries/[^/]+", "/entries/*"),
    (r"/patches/[^/]+", "/patches/*"),
)


def _shape(path):
    for pattern, replacement in PARTS:
        path = re.sub(pattern, replacement, path)
    return path


@given("a confirmation that biblioteca-brasov sent under a key")
def send_confirmation(context):
    context.request_key = caller.new_key()

    async def send():
        one = caller.Caller(
            context.world.addresses[:1],
            key=context.keys["biblioteca-brasov caller"],
        )
        one.pin(context.world.addresses[:1])
        reply = await one.call(
            SERVICE, "confirm", b'{"box": 7}', idempotent=False, key=context.request_key
        )
        await one.close()
        return reply

    assert context.runner.run(send()).status == 200


@then(
    "biblioteca-brasov sees its outcome and scoala-alba gets 404 as for an unknown key"
)
def check_outcomes(context):
    path = f"/v1/outcomes/{context.request_key}"
    status, answer = _http(
        context, "GET", path, context.keys["biblioteca-brasov caller"]
    )
    assert (status, answer["verdict"]) == (200, "ran"), answer
    key = context.keys["scoala-alba caller"]
    found = _http(context, "GET", path, key)
    unknown = _http(context, "GET", f"/v1/outcomes/{caller.new_key()}", key)
    assert found[0] == unknown[0] == 404
    assert found[1]["error"]["message"] == unknown[1]["error"]["message"]


@then(
    "the administrator of scoala-alba gets the same answer for biblioteca-brasov "
    "as for no organisation at all"
)
def check_same_answer(context):
    key = context.keys["scoala-alba administrator"]
    for tail in ("", f"/outcomes/{context.request_key}"):
        messages = []
        for name in ("biblioteca-brasov", "no-such-one"):
            path = f"/v1/admin/organisations/{name}{tail}"
            status, answer = _http(context, "GET", path, key)
            assert status == 404
            messages.append(answer["error"]["message"].replace(name, ""))
        assert messages[0] == messages[1]


@then("what scoala-alba may read names no other organisation")
def check_no_names(context):
    others = set(context.world.document["organisations"]) - {"scoala-alba"}
    read = (
        ("/v1/models", "scoala-alba caller"),
        ("/v1/entries", "scoala-alba caller"),
        (OWN, "scoala-alba administrator"),
    )
    for path, owner in read:
        status, answer = _http(context, "GET", path, context.keys[owner])
        assert status == 200
        text = json.dumps(answer)
        assert not [name for name in others if name in text], text


@when("an operator rotates the keys that sign resume tokens")
def rotate_signing_keys(context):
    context.signing = [*context.world.document["resume_keys"], "n" * 43]
    key = context.keys["operator"]
    _, view = _http(context, "GET", "/v1/admin/config", key)
    body = {"base": view["version"], "changes": {"resume_keys": context.signing}}
    status, _ = _http(context, "POST", "/v1/admin/config/patches", key, body)
    assert status == 200
    status, context.stale = _http(
        context, "POST", "/v1/admin/config/patches", key, body
    )
    assert status == 409


@then("the configuration and its history hold no signing key")
def check_redacted(context):
    shown = [context.stale]
    for path in ("", "/history", "/diff"):
        _, answer = _http(
            context, "GET", f"/v1/admin/config{path}", context.keys["operator"]
        )
        shown.append(answer)
    text = json.dumps(shown)
    assert not [secret for secret in context.signing if secret in text]


@then("sending the shown document back is refused")
def check_round_trip(context):
    key = context.keys["operator"]
    _, shown = _http(context, "GET", "/v1/admin/config", key)
    body = {"base": shown["version"], "changes": shown["document"]}
    status, answer = _http(context, "POST", "/v1/admin/config/patches", key, body)
    assert (status, answer["status"]) == (422, "invalid"), answer
    assert "resume_keys" in answer["reason"]


WRONG = (
    ("organisation create", 2, "Missing argument"),
    ("organisation create Not_A_Name", 3, "Not_A_Name"),
    ("organisation create scoala-alba", 3, "already"),
    ("organisation create x --deployment nothing", 3, "no deployment"),
    ("organisation set scoala-alba", 2, "nothing to change"),
    ("organisation set scoala-alba --share 0", 3, "share"),
    ("organisation show nobody", 3, "no organisation"),
    ("organisation outcome scoala-alba 5", 3, "UUID"),
    ("organisation key rotate scoala-alba none", 3, "no key"),
    ("organisation key add scoala-alba caller", 3, "already"),
    ("deployment show nothing", 3, "no deployment"),
    ("deployment apply x no-such-file.json", 1, "No such file"),
    ("quarantine lift 12", 3, "64"),
    ("drain nobody", 3, "no entry"),
    ("config diff 9 4", 3, "in this order"),
    ("config diff 0 99999", 3, "versions that exist"),
    ("config outcome none", 3, "no patch"),
    ("config patch no-such-file.json", 1, "No such file"),
    ("status --entry nonsense", 1, "ADDRESS:PORT"),
    ("status --entry 127.0.0.1:1", 4, "no answer"),
    ("status --key-file no-such-file", 1, "No such file"),
    ("status --ca-file no-such-file", 1, "No such file"),
    ("completion tcsh", 2, "Invalid value"),
)


@then("every wrong command ends with its line and code")
def check_wrong(context):
    for line, code, text in WRONG:
        result = run_line(context, line.split())
        assert result.exit_code == code, (line, result.exit_code, result.output)
        assert text in result.output, (line, result.output)
        assert "Traceback" not in result.output, (line, result.output)
    for key, code in (("aw-op.ana.wrong", 3), ("", 1), ("a\nb", 1)):
        refused = run_line(context, ["status"], key=key)
        assert refused.exit_code == code, refused.output
        assert "key" in refused.output, refused.output


READING = (
    "status",
    "endpoints",
    "organisation list",
    "deployment list",
    "quarantine list",
    "config history",
    "config diff 1 2",
    "report burn",
    "fleet plan",
)


@then("every reading command prints a table, and JSON with --json")
def check_lists(context):
    for line in READING:
        table = run_line(context, line.split())
        assert table.exit_code == 0, (line, table.output)
        assert len(table.output.splitlines()) >= 1, line
        as_json = run_line(context, [*line.split(), "--json"])
        assert as_json.exit_code == 0, (line, as_json.output)
        json.loads(as_json.stdout)


@given("a request of scoala-alba is quarantined")
def quarantine_request(context):
    context.digest = "5d" * 32
    context.world.entries[0]._hints.publish(
        interfaces.HintKind.QUARANTINED_REQUEST,
        f"scoala-alba/{context.digest}",
        {"endpoints": ["model-1", "model-2"]},
        lifetime_s=60.0,
    )


@when('an operator lifts the digest that "quarantine list" shows for scoala-alba')
def lift_quarantine(context):
    context.since = time.time()
    table = run_line(context, ["quarantine", "list"])
    row = next(line for line in table.stdout.splitlines() if "scoala-alba" in line)
    result = run_line(context, ["quarantine", "lift", row.split()[1]])
    assert result.exit_code == 0, result.output


@then("the document in force names the digest as lifted since the quarantine")
def check_lifted(context):
    document = context.world.entries[0].configuration.view.document
    assert document["lifted"][context.digest] >= context.since


@then("{name} is asked to stop and no other")
def check_drained(context, name):
    asked = [one.name for one in context.world.entries if one.stop_requested.is_set()]
    assert asked == [name], asked


@then("every route of the application stands in the OpenAPI document")
def check_description(context):
    status, description = _http(context, "GET", "/openapi.json")
    assert status == 200
    described = {
        (method.upper(), re.sub(r"\{[^}]*\}", "*", path))
        for path, methods in description["paths"].items()
        for method in methods
    }
    routes = {route for route in _routes(context) if "openapi" not in route[1]}
    routes = {route for route in routes if route[0] != "HEAD"}
    assert routes == described, routes ^ described
