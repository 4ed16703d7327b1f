"""
Size, start time and memory of the program as one file.

Builds the file, then starts it as an entry several times with a log beside it:
once with an empty folder to unpack to, then with what is there already. An
option of the environment, ``ACACIAWARD_BINARY``, names another file to measure
in the same way.
"""

import asyncio
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
import typing

from acaciaward import httpclient
from bench import options, processes
from standins import log, ports

STARTS = 5
QUICK_STARTS = 2
START_WAIT_S = 60.0
MEBIBYTE = 1024 * 1024


class Binary(typing.NamedTuple):
    """A file to measure: its size in bytes and the command that runs it."""

    bytes: int
    command: list[str]


class Start(typing.NamedTuple):
    """One start: seconds until ready, resident MiB then, and child processes."""

    seconds: float
    resident_mib: float
    children: int


async def run(chosen: options.Options) -> dict[str, typing.Any]:
    """Return what was measured."""
    starts = QUICK_STARTS if chosen.quick else STARTS
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        build_s, binary = _build(folder)
        standin = log.LogStandIn(processes.ADDRESS, ports.find_free_port())
        await standin.start()
        try:
            measured = [
                await _start(binary, folder, standin.port) for _ in range(starts + 1)
            ]
        finally:
            await standin.stop()
        unpacked = sum(
            path.stat().st_size
            for path in (folder / "unpacked").rglob("*")
            if path.is_file()
        )
    cold, *warm = measured
    return {
        "build_s": build_s,
        "file_mib": binary.bytes / MEBIBYTE,
        "unpacked_mib": unpacked / MEBIBYTE,
        "cold_start_s": cold.seconds,
        "warm_start_s": statistics.median(one.seconds for one in warm),
        "resident_mib": max(one.resident_mib for one in measured),
        "children": max(one.children for one in measured),
        "starts": len(measured),
    }


def _build(folder: pathlib.Path) -> tuple[float, Binary]:
    given = os.environ.get("ACACIAWARD_BINARY")
    if given:
        return 0.0, Binary(os.stat(given).st_size, [given])
    output = folder / "acaciaward"
    script = processes.ROOT / "script" / "build_binary.py"
    started = time.monotonic()
    subprocess.run(
        [sys.executable, str(script), "--output", str(output)],
        check=True,
        stdout=subprocess.DEVNULL,
        cwd=processes.ROOT,
    )
    command = [sys._base_executable, "-I", str(output)]
    return time.monotonic() - started, Binary(output.stat().st_size, command)


async def _start(binary: Binary, folder: pathlib.Path, log_port: int) -> Start:
    port = ports.find_free_port()
    path = folder / "entry.json"
    # A few hundred bytes, written before anything is timed.
    path.write_text(_settings(port, log_port))  # noqa: ASYNC240
    started = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        *binary.command,
        "entry",
        "--settings",
        str(path),
        env={
            "PATH": os.environ["PATH"],
            "SHIV_ROOT": str(folder / "unpacked"),
            "PEX_ROOT": str(folder / "unpacked"),
            "HOME": str(folder / "unpacked"),
            "TMPDIR": str(folder),
        },
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        await _wait_until_ready(process, port)
        seconds = time.monotonic() - started
        resident, children = _usage(process.pid)
    finally:
        if process.returncode is None:
            process.terminate()
        await process.wait()
    return Start(seconds, resident, children)


def _settings(port: int, log_port: int) -> str:
    return f"""{{
      "instance": {{"name": "entry-1", "data_centre": "dc-1", "region": "r"}},
      "callers": {{"port": {port}, "discovery_lifetime_s": 0.1}},
      "peers": {{"port": {ports.find_free_port()}}},
      "platform": {{"log": {{"address": "127.0.0.1", "port": {log_port}}}}}
    }}"""


async def _wait_until_ready(process: asyncio.subprocess.Process, port: int) -> None:
    client = httpclient.HttpClient()
    async with asyncio.timeout(START_WAIT_S):
        while process.returncode is None:
            try:
                async with client.send(
                    "GET", processes.ADDRESS, port, "/readyz"
                ) as answer:
                    await answer.read()
                if answer.status == 200:
                    break
            except httpclient.HttpError:
                pass
            await asyncio.sleep(processes.POLL_S)
    await client.close()
    if process.returncode is not None:
        raise RuntimeError(f"the entry ended with code {process.returncode}")


def _usage(number: int) -> tuple[float, int]:
    """Return resident MiB of a process and its children, and their number."""
    folder = pathlib.Path(f"/proc/{number}")
    named = " ".join(
        (task / "children").read_text() for task in (folder / "task").iterdir()
    )
    children = [int(child) for child in named.split()]
    resident = sum(_resident_mib(one) for one in [number, *children])
    return resident, len(children)


def _resident_mib(number: int) -> float:
    status = pathlib.Path(f"/proc/{number}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024
