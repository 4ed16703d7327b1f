"""Steps that run the commands of the installation page."""

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
SHELL_BLOCK = re.compile(r"^```sh\n(.*?)^```$", re.MULTILINE | re.DOTALL)
PAGE_TIMEOUT_S = 150
PAGE_NETWORK = "127.0.0."


class _PageProcesses:
    """Stops what the page started, also after a failure."""

    def __init__(self, folder):
        self.folder = folder
        self.shell = None

    async def stop(self):
        for pid_file in self.folder.glob("*.pid"):
            process_id = int(pid_file.read_text() or 0)
            # Only processes of this folder: a process id may have been reused.
            try:
                is_own_process = os.readlink(f"/proc/{process_id}/cwd") == str(
                    self.folder
                )
            except OSError:
                continue
            if is_own_process:
                os.kill(process_id, signal.SIGKILL)


@given("the commands of docs/operators/install.md")
def read_page(context):
    context.scratch = tempfile.TemporaryDirectory()
    context.add_cleanup(context.scratch.cleanup)
    context.folder = pathlib.Path(context.scratch.name).resolve()
    context.cluster = _PageProcesses(context.folder)
    # Concurrent runs of this test on the machine need distinct addresses.
    process_id = os.getpid()
    network = f"127.{64 + process_id // 250 % 128}.{1 + process_id % 250}."
    blocks = SHELL_BLOCK.findall(PAGE.read_text())
    assert len(blocks) == 13, len(blocks)
    context.script = "set -euo pipefail\n" + "\n".join(blocks)
    context.script = context.script.replace(PAGE_NETWORK, network)
    bin_folder = context.folder / "bin"
    bin_folder.mkdir()
    for name, arguments in (("python", ""), ("acaciaward", " -m acaciaward")):
        wrapper = bin_folder / name
        wrapper.write_text(f'#!/bin/sh\nexec "{sys.executable}"{arguments} "$@"\n')
        wrapper.chmod(0o755)


@when("they are run in order by a shell")
def run_page(context):
    environment = dict(os.environ, PYTHONPATH=str(processes.ROOT))
    environment["PATH"] = f"{context.folder / 'bin'}:{environment['PATH']}"
    script = context.folder / "page.sh"
    script.write_text(context.script)
    # Output goes to files: the processes that the page starts would keep a pipe open.
    with (
        open(context.folder / "page.out", "w") as output,
        open(context.folder / "page.err", "w") as error_output,
    ):
        context.exit_code = subprocess.run(
            ["bash", str(script)],
            cwd=context.folder,
            env=environment,
            stdout=output,
            stderr=error_output,
            timeout=PAGE_TIMEOUT_S,
        ).returncode


@then("every one of them succeeded")
def check_success(context):
    output_tail = (context.folder / "page.out").read_text()[-2000:]
    output_tail += (context.folder / "page.err").read_text()[-2000:]
    assert context.exit_code == 0, output_tail


@then("the answers, the key rotation and the burn report are as the page says")
def check_answers(context):
    output = (context.folder / "page.out").read_text()
    for prompt in ("a box of puzzles", "with the old key", "with the new key"):
        assert tokens.expected_text(prompt, 32) in output, prompt
    assert '"runs": 1' in output or '"runs":1' in output, output
    assert tokens.expected_text("during the upgrade", 32) in output
    report = json.loads((context.folder / "burn.json").read_text())
    assert sorted(report["answered"]) == ["entry-1", "entry-2", "entry-3"], report
    for objective in report["objectives"]:
        assert all(
            window["total"] == window["good"] for window in objective["windows"]
        ), objective
