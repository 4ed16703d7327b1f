"""Steps for the page of a first installation."""

import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile

from behave import given, then, when

from bench import processes
from standins import tokens

PAGE = processes.ROOT / "docs/operators/install.md"
BLOCK = re.compile(r"^```sh\n(.*?)^```$", re.MULTILINE | re.DOTALL)
TIMEOUT_S = 150
PAGE_NETWORK = "127.0.0."


class _Folder:
    """Ends what the page started, also after a failure."""

    def __init__(self, path):
        self.path = path
        self.shell = None

    async def stop(self):
        for file in self.path.glob("*.pid"):
            number = int(file.read_text() or 0)
            # Only processes of this folder: an id may have been used again.
            try:
                is_ours = os.readlink(f"/proc/{number}/cwd") == str(self.path)
            except OSError:
                continue
            if is_ours:
                os.kill(number, signal.SIGKILL)


@given("the commands of docs/operators/install.md")
def read_page(context):
    context.scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(context.scratch.cleanup)
    context.folder = pathlib.Path(context.scratch.name).resolve()
    context.cluster = _Folder(context.folder)
    # Other runs of this test on the machine need addresses of their own.
    number = os.getpid()
    network = f"127.{64 + number // 250 % 128}.{1 + number % 250}."
    blocks = BLOCK.findall(PAGE.read_text())
    assert len(blocks) == 13, len(blocks)
    context.script = "set -euo pipefail\n" + "\n".join(blocks)
    context.script = context.script.replace(PAGE_NETWORK, network)
    tools = context.folder / "bin"
    tools.mkdir()
    for name, words in (("python", ""), ("acaciaward", " -m acaciaward")):
        tool = tools / name
        tool.write_text(f'#!/bin/sh\nexec "{sys.executable}"{words} "$@"\n')
        tool.chmod(0o755)


@when("they are run in order by a shell")
def run_page(context):
    environment = dict(os.environ, PYTHONPATH=str(processes.ROOT))
    environment["PATH"] = f"{context.folder / 'bin'}:{environment['PATH']}"
    script = context.folder / "page.sh"
    script.write_text(context.script)
    # Files, since the processes that the page starts would keep a pipe open.
    with (
        open(context.folder / "page.out", "w") as output,
        open(context.folder / "page.err", "w") as mistakes,
    ):
        context.code = subprocess.run(
            ["bash", str(script)],
            cwd=context.folder,
            env=environment,
            stdout=output,
            stderr=mistakes,
            timeout=TIMEOUT_S,
        ).returncode


@then("every one of them succeeded")
def check_code(context):
    shown = (context.folder / "page.out").read_text()[-2000:]
    shown += (context.folder / "page.err").read_text()[-2000:]
    assert context.code == 0, shown


@then("the answers, the rotation and the burn report are as the page says")
def check_answers(context):
    output = (context.folder / "page.out").read_text()
    for prompt in ("a box of puzzles", "with the old key", "with the new key"):
        assert tokens.expected_text(prompt, 32) in output, prompt
    assert '"runs": 1' in output or '"runs":1' in output, output
    assert tokens.expected_text("during the upgrade", 32) in output
    report = json.loads((context.folder / "burn.json").read_text())
    assert sorted(report["answered"]) == ["entry-1", "entry-2", "entry-3"], report
    for row in report["objectives"]:
        assert all(one["total"] == one["good"] for one in row["windows"]), row
