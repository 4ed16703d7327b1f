"""
Packs the program and its libraries into one file with shiv.

The libraries are copied from the environment that runs this script, each with
what it requires, so that the file holds just what was tested.
"""

import argparse
import importlib.metadata
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

from packaging import requirements

ROOT = pathlib.Path(__file__).resolve().parent.parent
OWN_PACKAGES = ("acaciaward", "standins", "examples")
ENTRY_POINT = "acaciaward.__main__:main"
# 2026-01-01 UTC: with a fixed time, the same sources give an identical file.
SOURCE_DATE_EPOCH = "1767225600"
IGNORE_PATTERNS = shutil.ignore_patterns("__pycache__", "features", "*.pyc", "tests")


def find_distributions(specifiers: list[str]) -> list[importlib.metadata.Distribution]:
    """Return the distributions that the specifiers name and all that these require."""
    found: dict[str, importlib.metadata.Distribution] = {}
    pending = list(specifiers)
    while pending:
        requirement = requirements.Requirement(pending.pop())
        marker = requirement.marker
        name = requirement.name.lower().replace("_", "-")
        if name in found or (marker and not marker.evaluate({"extra": ""})):
            continue
        found[name] = importlib.metadata.distribution(requirement.name)
        pending += found[name].requires or []
    return list(found.values())


def copy_distribution(
    distribution: importlib.metadata.Distribution, target: pathlib.Path
) -> None:
    """Copy a distribution's files, without its console scripts, tests and caches."""
    for file in distribution.files or []:
        parts = set(file.parts)
        # A path with '..' leads out of site-packages, as to console scripts.
        if parts & {"..", "__pycache__", "tests"} or file.suffix == ".pyc":
            continue
        copy = target / file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), copy)


def read_requirements() -> list[str]:
    """Return the runtime dependencies that pyproject.toml lists."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    return project["dependencies"]


def build(output: pathlib.Path) -> None:
    """Write the program and its dependencies to one executable file."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as scratch:
        staged = pathlib.Path(scratch) / "site-packages"
        staged.mkdir()
        for distribution in find_distributions(read_requirements()):
            copy_distribution(distribution, staged)
        for package in OWN_PACKAGES:
            shutil.copytree(ROOT / package, staged / package, ignore=IGNORE_PATTERNS)
        command = [sys.executable, "-m", "shiv", "--site-packages", str(staged)]
        command += ["--entry-point", ENTRY_POINT, "--output-file", str(output)]
        command += ["--python", "/usr/bin/env python3", "--reproducible"]
        environment = dict(os.environ, SOURCE_DATE_EPOCH=SOURCE_DATE_EPOCH)
        subprocess.run(command, check=True, env=environment)


def main() -> None:
    """Build the file at the path that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", default=str(ROOT / "dist" / "acaciaward"))
    output = pathlib.Path(parser.parse_args().output).resolve()
    build(output)
    print(f"{output}: {output.stat().st_size} bytes")


if __name__ == "__main__":
    main()
