"""Steps for the installed program."""

import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from behave import then, when

ROOT = pathlib.Path(__file__).resolve().parents[4]
SOURCES = ("acaciaward", "standins", "examples", "pyproject.toml", "README.md")


@when("the program is installed into an empty folder")
def install(context):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    base = pathlib.Path(context.folder.name)
    # The build leaves files beside the sources, so it gets a copy of them.
    for name in SOURCES:
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, base / "copy" / name, ignore=ignored)
        else:
            shutil.copy(source, base / "copy" / name)
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-deps"]
    command += ["--no-build-isolation", "--disable-pip-version-check"]
    command += ["--target", str(base / "installed"), str(base / "copy")]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr


@then("the demonstration answers {count:d} requests from there, away from the checkout")
def check_demo(context, count):
    base = pathlib.Path(context.folder.name)
    environment = dict(os.environ, PYTHONPATH=str(base / "installed"))
    command = [sys.executable, "-P", "-m", "acaciaward", "demo", "--json"]
    command += ["--requests", str(count), "--seed", "3"]
    done = subprocess.run(
        command, cwd=base, env=environment, capture_output=True, text=True
    )
    assert done.returncode == 0, done.stderr[-2000:]
    summary = json.loads(done.stdout.strip().splitlines()[-1])
    assert summary["answered"] == count, summary
