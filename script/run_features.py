"""
Runs behave on every feature file and counts the scenarios that passed and failed.

Every file runs in its own process, since behave keeps all steps in one global
registry, and a few files run in parallel, since the files of one folder would
take long one after another. A scenario listed in KNOWN-RED.txt may fail without
failing the run: it counts as failed and is printed as "known red".
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
FILE_TIMEOUT_S = 420
PARALLEL_FILES = 5
# Files that take more than 100 s. They start first, since one that starts last keeps
# the run going while the other places are idle.
LONG_FILES = frozenset(
    {
        "acaciaward/catalogue/features/calls.feature",
        "acaciaward/gateway/features/brittle.feature",
        "acaciaward/gateway/features/crashing.feature",
        "acaciaward/gateway/features/joining.feature",
        "acaciaward/gateway/features/outofstep.feature",
        "acaciaward/gateway/features/rollouts.feature",
        "acaciaward/gateway/features/silences.feature",
        "acaciaward/routing/features/signalrecords.feature",
        "features/experimentload.feature",
        "features/experimentruns.feature",
        "features/soak.feature",
        "features/soakmachines.feature",
        "features/soaksignals.feature",
    }
)
PASSED = "passed"


class FileResult(typing.NamedTuple):
    """Result of one feature file: its scenarios by outcome, output and run time."""

    feature: str
    passed: list[str]
    failed: list[str]
    output: str
    seconds: float


def find_files(arguments: list[str]) -> list[pathlib.Path]:
    """
    Return the named feature files and those in named folders, or all of the project.

    Long ones come first, then those in the project's top features folder.
    """
    roots = [pathlib.Path(name).resolve() for name in arguments]
    roots = roots or [ROOT / "features", ROOT / "acaciaward"]
    files = {path for root in roots for path in root.rglob("*.feature")}
    files |= {root for root in roots if root.is_file()}
    return sorted(
        files,
        key=lambda path: (
            str(path.relative_to(ROOT)) not in LONG_FILES,
            path.parent != ROOT / "features",
            path,
        ),
    )


def read_known_red() -> frozenset[str]:
    """
    Return the scenarios that may fail.

    Each entry of the file is a line of five fields separated by ``|``: test,
    command, seed, what was seen, issue. The test is ``FILE: SCENARIO``.
    """
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if "|" in line and not line.startswith("#")]
    return frozenset(entry.split("|")[0].strip() for entry in entries)


def collect_scenarios(report: list[dict], feature: str) -> tuple[list[str], list[str]]:
    """Split the scenarios of a behave JSON report into passed and failed."""
    passed = []
    failed = []
    for file_report in report:
        for element in file_report.get("elements", []):
            if element.get("type") == "background":
                continue
            # behave ends the name of an unnamed table's example with a space.
            name = f"{feature}: {element['name'].strip()}"
            (passed if element.get("status") == PASSED else failed).append(name)
    return passed, failed


def run_file(path: pathlib.Path) -> FileResult:
    """Run behave on one file and return its scenarios and its output."""
    feature = str(path.relative_to(ROOT))
    start_s = time.monotonic()
    with tempfile.TemporaryDirectory() as scratch:
        report_path = pathlib.Path(scratch) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "--no-skipped"]
        command += ["--format", "json", "--outfile", str(report_path)]
        command += ["--format", "progress2", "--outfile", "/dev/stdout", str(path)]
        code, output = _run(command)
        try:
            report = json.loads(report_path.read_text())
        except (OSError, ValueError):
            report = []
    passed, failed = collect_scenarios(report, feature)
    if not failed and (code != 0 or not passed):
        failed.append(f"{feature}: behave exited with {code}")
    return FileResult(feature, passed, failed, output, time.monotonic() - start_s)


def _run(command: list[str]) -> tuple[int | None, str]:
    """Return the command's exit code, None after a timeout, and its output."""
    environment = dict(os.environ, PYTHONPATH=str(ROOT), PYTHONHASHSEED="0")
    try:
        completed = subprocess.run(
            command,
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=FILE_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired as error:
        return None, f"{error.stdout}\ntimed out after {FILE_TIMEOUT_S} s"
    return completed.returncode, completed.stdout


def print_result(result: FileResult, known_red: frozenset[str]) -> None:
    """Print one file's counts, and its output if anything failed."""
    counts = f"{len(result.passed)} passed, {len(result.failed)} failed"
    print(f"{result.feature}: {counts} ({result.seconds:.0f} s)")
    if result.failed:
        print(result.output)
    for name in result.failed:
        label = "known red" if name in known_red else "FAILED"
        print(f"{label}: {name}")


def main() -> int:
    """Run the files or folders named on the command line, or all of them."""
    known_red = read_known_red()
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FILES) as pool:
        results = list(pool.map(run_file, find_files(sys.argv[1:])))
    for result in results:
        print_result(result, known_red)
    failures = [name for result in results for name in result.failed]
    unexpected = [name for name in failures if name not in known_red]
    passed = sum(len(result.passed) for result in results)
    print(f"{passed} passed, {len(failures)} failed")
    return 1 if unexpected or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
