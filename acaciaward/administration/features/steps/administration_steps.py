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
    context.world = context.feature.world = world.DemonstrationSystem("puzzle-agency")
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
            added = changes["organisations"].setdefault(organisation, {"keys": {}})
            added["keys"][role] = entry
    body = {"base": 1, "changes": changes}
    answer = _send_request(
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


def _send_request(context, method, path, key="", body=None, entry=0):
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


def run_command(context, arguments, *, entry=None, key=None):
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
    result = run_command(context, line.split())
    assert result.exit_code == 0, result.output
    context.old_key = getattr(context, "key", None)
    context.key = result.stdout.splitlines()[-1]
    assert context.key.startswith("aw-org."), result.output


@when('the command "{line}" succeeds')
def run_successfully(context, line):
    result = run_command(context, line.split())
    assert result.exit_code == 0, result.output


def completion_result(context, key, entry):
    body = {"model": MODEL, "prompt": "short", "max_tokens": 2}
    status, answer = _send_request(context, "POST", "/v1/completions", key, body, entry)
    return answer["error"]["code"] if status != 200 else "served"


def _wait_for_answer(context, key, expected):
    deadline = time.monotonic() + WAIT_S
    entries = range(len(context.world.entries))
    while True:
        found = {completion_result(context, key, entry) for entry in entries}
        if found == {expected}:
            return
        assert time.monotonic() < deadline, (found, expected)


@then("that key is served at every entry within seconds")
def check_served(context):
    _wait_for_answer(context, context.key, "served")


@then("both keys are served")
def check_both(context):
    _wait_for_answer(context, context.key, "served")
    assert completion_result(context, context.old_key, 0) == "served"


@then("only the new key is served once the overlap has passed")
def check_expired(context):
    _wait_for_answer(context, context.old_key, "invalid_api_key")
    _wait_for_answer(context, context.key, "served")


@then("the new key is refused as {code} at every entry within seconds")
def check_refused(context, code):
    _wait_for_answer(context, context.key, code)


@then("the history names the operator as author of the last {count:d} patches")
def check_authors(context, count):
    _, answer = _send_request(
        context, "GET", "/v1/admin/config/history", context.keys["viewer"]
    )
    authors = [item["author"] for item in answer["history"][-count:]]
    assert authors == ["ana"] * count, authors


OWN_PATH = "/v1/admin/organisations/scoala-alba"
OTHER_PATH = "/v1/admin/organisations/biblioteca-brasov"
# Statuses for operator, viewer, administrator, caller and no key. A 422 or 400 shows
# that the right was granted and that the empty body was refused.
EXPECTED_STATUSES = (
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
    ("GET", OWN_PATH, (200, 200, 200, 403, 401)),
    ("GET", OTHER_PATH, (200, 200, 404, 403, 401)),
    ("PATCH", "/v1/admin/organisations/none", (404, 403, 403, 403, 401)),
    ("POST", f"{OWN_PATH}/keys", (422, 403, 422, 403, 401)),
    ("POST", f"{OTHER_PATH}/keys", (422, 403, 404, 403, 401)),
    ("POST", f"{OWN_PATH}/keys/none/rotate", (404, 403, 404, 403, 401)),
    ("DELETE", f"{OWN_PATH}/keys/none", (404, 403, 404, 403, 401)),
    ("GET", f"{OWN_PATH}/outcomes/none", (400, 400, 400, 403, 401)),
    ("GET", "/v1/admin/deployments", (200, 200, 403, 403, 401)),
    ("GET", f"/v1/admin/deployments/{MODEL}", (200, 200, 403, 403, 401)),
    ("PATCH", f"/v1/admin/deployments/{MODEL}", (400, 403, 403, 403, 401)),
    ("GET", "/v1/admin/endpoints", (200, 200, 403, 403, 401)),
    ("GET", "/v1/admin/quarantine", (200, 200, 403, 403, 401)),
    ("POST", "/v1/admin/quarantine/x/lift", (400, 403, 403, 403, 401)),
    ("POST", "/v1/admin/entries/none/drain", (404, 403, 403, 403, 401)),
)


@then("every role gets the expected status from every route")
def check_rights(context):
    keys = [
        context.keys["operator"],
        context.keys["viewer"],
        context.keys["scoala-alba administrator"],
        context.keys["scoala-alba caller"],
        "",
    ]
    for method, path, expected in EXPECTED_STATUSES:
        found = tuple(_send_request(context, method, path, key)[0] for key in keys)
        assert found == expected, (method, path, found, expected)
    tested = {(method, _path_template(path)) for method, path, _ in EXPECTED_STATUSES}
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


PATH_PARAMETERS = (
    (r"/organisations/[^/]+", "/organisations/*"),
    (r"/keys/[^/]+", "/keys/*"),
    (r"/outcomes/[^/]+", "/outcomes/*"),
    (r"/deployments/[^/]+", "/deployments/*"),
    (r"/quarantine/[^/]+", "/quarantine/*"),
    (r"/entries/[^/]+", "/entries/*"),
    (r"/patches/[^/]+", "/patches/*"),
)


def _path_template(path):
    for pattern, replacement in PATH_PARAMETERS:
        path = re.sub(pattern, replacement, path)
    return path


@given("a confirmation that biblioteca-brasov sent under an idempotency key")
def send_confirmation(context):
    context.idempotency_key = caller.new_key()

    async def send():
        client = caller.Caller(
            context.world.addresses[:1],
            key=context.keys["biblioteca-brasov caller"],
        )
        client.pin(context.world.addresses[:1])
        reply = await client.call(
            SERVICE,
            "confirm",
            b'{"box": 7}',
            idempotent=False,
            key=context.idempotency_key,
        )
        await client.close()
        return reply

    assert context.runner.run(send()).status == 200


@then(
    "biblioteca-brasov sees its outcome and scoala-alba gets 404 as for an unknown key"
)
def check_outcomes(context):
    path = f"/v1/outcomes/{context.idempotency_key}"
    status, answer = _send_request(
        context, "GET", path, context.keys["biblioteca-brasov caller"]
    )
    assert (status, answer["verdict"]) == (200, "ran"), answer
    key = context.keys["scoala-alba caller"]
    found = _send_request(context, "GET", path, key)
    unknown = _send_request(context, "GET", f"/v1/outcomes/{caller.new_key()}", key)
    assert found[0] == unknown[0] == 404
    assert found[1]["error"]["message"] == unknown[1]["error"]["message"]


@then(
    "the administrator of scoala-alba gets the same answer for biblioteca-brasov "
    "as for no organisation at all"
)
def check_same_answer(context):
    key = context.keys["scoala-alba administrator"]
    for tail in ("", f"/outcomes/{context.idempotency_key}"):
        messages = []
        for name in ("biblioteca-brasov", "no-such-one"):
            path = f"/v1/admin/organisations/{name}{tail}"
            status, answer = _send_request(context, "GET", path, key)
            assert status == 404
            messages.append(answer["error"]["message"].replace(name, ""))
        assert messages[0] == messages[1]


@then("no answer that scoala-alba may read names another organisation")
def check_no_names(context):
    others = set(context.world.document["organisations"]) - {"scoala-alba"}
    readable = (
        ("/v1/models", "scoala-alba caller"),
        ("/v1/entries", "scoala-alba caller"),
        (OWN_PATH, "scoala-alba administrator"),
    )
    for path, owner in readable:
        status, answer = _send_request(context, "GET", path, context.keys[owner])
        assert status == 200
        text = json.dumps(answer)
        assert not [name for name in others if name in text], text


@when("an operator rotates the keys that sign resume tokens")
def rotate_signing_keys(context):
    context.signing_keys = [*context.world.document["resume_keys"], "n" * 43]
    key = context.keys["operator"]
    _, view = _send_request(context, "GET", "/v1/admin/config", key)
    body = {"base": view["version"], "changes": {"resume_keys": context.signing_keys}}
    status, _ = _send_request(context, "POST", "/v1/admin/config/patches", key, body)
    assert status == 200
    status, context.stale_answer = _send_request(
        context, "POST", "/v1/admin/config/patches", key, body
    )
    assert status == 409


@then("the configuration and its history hold no signing key")
def check_redacted(context):
    shown = [context.stale_answer]
    for path in ("", "/history", "/diff"):
        _, answer = _send_request(
            context, "GET", f"/v1/admin/config{path}", context.keys["operator"]
        )
        shown.append(answer)
    text = json.dumps(shown)
    assert not [secret for secret in context.signing_keys if secret in text]


@then("submitting the redacted document as a patch is refused")
def check_round_trip(context):
    key = context.keys["operator"]
    _, shown = _send_request(context, "GET", "/v1/admin/config", key)
    body = {"base": shown["version"], "changes": shown["document"]}
    status, answer = _send_request(
        context, "POST", "/v1/admin/config/patches", key, body
    )
    assert (status, answer["status"]) == (422, "invalid"), answer
    assert "resume_keys" in answer["reason"]


INVALID_COMMANDS = (
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


@then("every invalid command prints its message and ends with its exit code")
def check_invalid_commands(context):
    for line, code, text in INVALID_COMMANDS:
        result = run_command(context, line.split())
        assert result.exit_code == code, (line, result.exit_code, result.output)
        assert text in result.output, (line, result.output)
        assert "Traceback" not in result.output, (line, result.output)
    for key, code in (("aw-op.ana.wrong", 3), ("", 1), ("a\nb", 1)):
        refused = run_command(context, ["status"], key=key)
        assert refused.exit_code == code, refused.output
        assert "key" in refused.output, refused.output


READING_COMMANDS = (
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
    for line in READING_COMMANDS:
        table = run_command(context, line.split())
        assert table.exit_code == 0, (line, table.output)
        assert len(table.output.splitlines()) >= 1, line
        as_json = run_command(context, [*line.split(), "--json"])
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


@when('an operator lifts the quarantine that "quarantine list" shows for scoala-alba')
def lift_quarantine(context):
    context.since = time.time()
    table = run_command(context, ["quarantine", "list"])
    row = next(line for line in table.stdout.splitlines() if "scoala-alba" in line)
    result = run_command(context, ["quarantine", "lift", row.split()[1]])
    assert result.exit_code == 0, result.output


@then("the document in force names the digest as lifted since the quarantine")
def check_lifted(context):
    document = context.world.entries[0].configuration.view.document
    assert document["lifted"][context.digest] >= context.since


@then("{name} is asked to stop and no other")
def check_drained(context, name):
    draining = [
        entry.name for entry in context.world.entries if entry.stop_requested.is_set()
    ]
    assert draining == [name], draining


@then("every route of the application is in the OpenAPI document")
def check_description(context):
    status, description = _send_request(context, "GET", "/openapi.json")
    assert status == 200
    described = {
        (method.upper(), re.sub(r"\{[^}]*\}", "*", path))
        for path, methods in description["paths"].items()
        for method in methods
    }
    routes = {route for route in _routes(context) if "openapi" not in route[1]}
    routes = {route for route in routes if route[0] != "HEAD"}
    assert routes == described, routes ^ described
