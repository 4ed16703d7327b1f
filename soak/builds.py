"""
Checks builds of the program out of the repository's history.

    builds.check_out("2bcb340")  # Build(name='2bcb340', folder=..., python=...)

A build runs with the libraries of its own lock file. Both are kept outside the tree and
used again.
"""

import pathlib
import subprocess
import sys
import tempfile
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(tempfile.gettempdir()) / "acaciaward-builds"
LOCK_FILE = "requirements.lock"


class Build(typing.NamedTuple):
    """A source tree and the interpreter that has its libraries."""

    name: str
    folder: pathlib.Path
    python: str


WORK_TREE = Build("work tree", ROOT, sys.executable)


def check_out(commit: str) -> Build:
    """Return the build of a commit; raise ``CalledProcessError`` if there is none."""
    found = subprocess.run(
        ["git", "rev-parse", "--verify", f"{commit}^{{commit}}"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    folder = CACHE / found
    if not folder.is_dir():
        _extract(found, folder)
    return Build(found[:7], folder, _find_python(folder))


def _extract(commit: str, folder: pathlib.Path) -> None:
    CACHE.mkdir(parents=True, exist_ok=True)
    archive = subprocess.run(
        ["git", "archive", commit], cwd=ROOT, check=True, capture_output=True
    ).stdout
    # Renamed once it's whole, as another soak may look for it meanwhile.
    with tempfile.TemporaryDirectory(dir=CACHE) as scratch:
        subprocess.run(["tar", "-x", "-C", scratch], input=archive, check=True)
        try:
            pathlib.Path(scratch).rename(folder)
        except OSError:
            if not folder.is_dir():
                raise
        pathlib.Path(scratch).mkdir(exist_ok=True)


def _find_python(folder: pathlib.Path) -> str:
    if (folder / LOCK_FILE).read_bytes() == (ROOT / LOCK_FILE).read_bytes():
        return sys.executable
    venv = subprocess.run(
        ["script/env"], cwd=folder, check=True, capture_output=True, text=True
    ).stdout.strip()
    return f"{venv}/bin/python"
