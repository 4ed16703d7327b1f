"""Steps for the program that script/build packs into one file."""

import asyncio
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

from behave import given, then, when

from acaciaward import httpclient
from acaciaward.client import caller
from acaciaward.identity import apikeys
from bench import processes
from standins import log, ports, service

BOOTSTRAP_KEY = "first-operator"
START_WAIT_S = 60.0
ADDRESS = processes.ADDRESS


@given("the file that script/build makes")
def build_file(context):
    context.scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(context.scratch.cleanup)
    context.folder = pathlib.Path(context.scratch.name)
    context.binary = context.folder / "acaciaward"
    script = processes.ROOT / "script" / "build_binary.py"
    subprocess.run(
        [sys.executable, str(script), "--output", str(context.binary)],
        check=True,
        stdout=subprocess.DEVNULL,
        cwd=processes.ROOT,
    )


def _settings(log_port):
    return {
        "instance": {"name": "entry-1", "data_centre": "dc-1", "region": "r"},
        "callers": {
            "port": ports.find_free_port(),
            "discovery_lifetime_s": 0.2,
        },
        "peers": {"port": ports.find_free_port()},
        "platform": {"log": {"address": ADDRESS, "port": log_port}},
        "administration": {
            "bootstrap_key_digest": hashlib.sha256(BOOTSTRAP_KEY.encode()).hexdigest()
        },
    }


@when("it is started as an entry without this tree's packages")
def start_file(context):
    context.runner.run(_start(context))


class _StartedProcesses:
    """Stops what a scenario started, with the interface of a cluster."""

    def __init__(self, context):
        self._context = context

    async def stop(self):
        process = getattr(self._context, "process", None)
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()
        await self._context.service.stop()
        await self._context.log.stop()


async def _start(context):
    context.log = log.LogStandIn(ADDRESS, ports.find_free_port())
    context.service = service.ServiceStandIn(ADDRESS, ports.find_free_port())
    await context.log.start()
    await context.service.start()
    context.cluster = _StartedProcesses(context)
    settings = _settings(context.log.port)
    context.port = settings["callers"]["port"]
    path = context.folder / "entry.json"
    path.write_text(json.dumps(settings))
    context.unpacked = context.folder / "unpacked"
    # The base interpreter has none of the environment's libraries, and -I makes it
    # ignore PYTHONPATH.
    context.process = await asyncio.create_subprocess_exec(
        sys._base_executable,
        "-I",
        str(context.binary),
        "entry",
        "--settings",
        str(path),
        cwd=context.folder,
        env={"SHIV_ROOT": str(context.unpacked), "HOME": "/nonexistent"},
        stderr=asyncio.subprocess.DEVNULL,
    )
    await _wait_until_ready(context)


async def _wait_until_ready(context):
    client = httpclient.HttpClient()
    async with asyncio.timeout(START_WAIT_S):
        while True:
            assert context.process.returncode is None, "the entry has ended"
            try:
                async with client.send(
                    "GET", ADDRESS, context.port, "/readyz"
                ) as response:
                    await response.read()
                if response.status == 200:
                    break
            except httpclient.HttpError:
                pass
            await asyncio.sleep(processes.POLL_S)
    await client.close()


@then("a plain service's call through it is answered")
def check_answer(context):
    reply = context.runner.run(_call(context))
    assert reply.status == 200, reply
    assert json.loads(reply.body)["echo"] == {"box": 1}, reply


async def _call(context):
    key, key_entry = apikeys.make_organisation_key("library", "key-1")
    endpoint = {"address": ADDRESS, "port": context.service.port, "data_centre": "dc-1"}
    deployment = {
        "kind": "service",
        "organisations": ["library"],
        "endpoints": {"desk-1": endpoint},
    }
    changes = {
        "organisations": {"library": {"keys": {"key-1": key_entry}}},
        "deployments": {"desk": deployment},
    }
    client = httpclient.HttpClient()
    async with client.send(
        "POST",
        ADDRESS,
        context.port,
        "/v1/admin/config/patches",
        headers={"authorization": f"Bearer {BOOTSTRAP_KEY}"},
        body=json.dumps({"base": 0, "changes": changes}).encode(),
    ) as response:
        assert response.status == 200, await response.read()
        await response.read()
    await client.close()
    library_caller = caller.Caller([(ADDRESS, context.port)], key=key)
    reply = await library_caller.call("desk", "confirm", b'{"box": 1}')
    await library_caller.close()
    return reply


@then("it has started no other process and unpacked its files only below SHIV_ROOT")
def check_isolation(context):
    process_id = context.process.pid
    tasks = pathlib.Path(f"/proc/{process_id}/task")
    children = [(task / "children").read_text() for task in tasks.iterdir()]
    assert not "".join(children).strip(), children
    assert os.listdir(context.unpacked)
    assert sorted(os.listdir(context.folder)) == [
        "acaciaward",
        "entry.json",
        "unpacked",
    ]


@then("on SIGTERM it ends with code 0")
def check_exit_code(context):
    context.process.send_signal(signal.SIGTERM)
    exit_code = context.runner.run(
        asyncio.wait_for(context.process.wait(), START_WAIT_S)
    )
    assert exit_code == 0, exit_code
