"""
Runs behave once for each features folder and sums the scenarios.

Every folder runs in a process of its own, a few at a time, since behave
keeps its steps in one global registry. A scenario listed in KNOWN-RED.txt
may fail without failing the run; it is printed and counted apart.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FOLDER_TIMEOUT_S = 420
PARALLEL_FOLDERS = 4
PASSING_STATES = frozenset({"passed"})


class FolderResult(typing.NamedTuple):
    """Outcome of one features folder: scenario names by outcome."""

    folder: str
    passed: list[str]
    failed: list[str]
    output: str


def find_folders() -> list[pathlib.Path]:
    """Return every folder named features that holds a feature file."""
    folders = {path.parent for path in ROOT.glob("acaciaward/*/features/*.feature")}
    folders |= {path.parent for path in ROOT.glob("*/features/*.feature")}
    folders |= {path.parent for path in ROOT.glob("features/*.feature")}
    return sorted(folders)


def read_known_red() -> frozenset[str]:
    """
    Return the scenarios that may fail.

    Each entry line of the file has five fields parted by ``|``: test,
    command, seed, what was seen, issue. The test is ``FOLDER: SCENARIO``.
    """
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if "|" in line and not line.startswith("#")]
    return frozenset(entry.split("|")[0].strip() for entry in entries)


def collect_scenarios(report: list[dict], folder: str) -> tuple[list[str], list[str]]:
    """Split the scenarios of a behave JSON report into passed and failed."""
    passed = []
    failed = []
    for feature in report:
        for element in feature.get("elements", []):
            if element.get("type") == "background":
                continue
            name = f"{folder}: {element['name']}"
            is_passed = element.get("status") in PASSING_STATES
            (passed if is_passed else failed).append(name)
    return passed, failed


def run_folder(path: pathlib.Path) -> FolderResult:
    """Run behave on one folder and return its scenarios and its output."""
    folder = str(path.relative_to(ROOT))
    environment = dict(os.environ, PYTHONPATH=str(ROOT), PYTHONHASHSEED="0")
    with tempfile.TemporaryDirectory() as scratch:
        report = pathlib.Path(scratch) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--no-skipped"]
        command += ["--format", "json", "--outfile", str(report)]
        command += ["--format", "progress2", "--outfile", "/dev/stdout", str(path)]
        try:
            finished = subprocess.run(
                command,
                cwd=ROOT,
                env=environment,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=FOLDER_TIMEOUT_S,
            )
            output = finished.stdout
        except subprocess.TimeoutExpired as error:
            output = f"{error.stdout}\ntimed out after {FOLDER_TIMEOUT_S} s"
            return FolderResult(folder, [], [f"{folder}: timed out"], output)
        try:
            features = json.loads(report.read_text())
        except (OSError, ValueError):
            return FolderResult(folder, [], [f"{folder}: no report"], output)
    passed, failed = collect_scenarios(features, folder)
    if finished.returncode != 0 and not failed:
        failed.append(f"{folder}: behave exited {finished.returncode}")
    return FolderResult(folder, passed, failed, output)


def main() -> int:
    """Run the folders named on the command line, or all; return an exit code."""
    named = [pathlib.Path(argument).resolve() for argument in sys.argv[1:]]
    folders = named or find_folders()
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FOLDERS) as pool:
        results = list(pool.map(run_folder, folders))
    known_red = read_known_red()
    unexpected = []
    for result in results:
        print(f"{result.folder}: {len(result.passed)} passed", end="")
        print(f", {len(result.failed)} failed")
        if result.failed:
            print(result.output)
        for name in result.failed:
            label = "known red" if name in known_red else "FAILED"
            print(f"{label}: {name}")
        unexpected += [name for name in result.failed if name not in known_red]
    passed = sum(len(result.passed) for result in results)
    failed = sum(len(result.failed) for result in results)
    print(f"{passed} passed, {failed} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
