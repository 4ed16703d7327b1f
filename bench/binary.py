"""
Measures size, start time and memory of the program packed as one file.

Builds the file, then starts it as an entry several times against a stand-in log.
The cold start unpacks into an empty folder; the warm starts reuse what it
unpacked. The environment variable ``ACACIAWARD_BINARY`` names an existing file
to measure instead.
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
from bench import options as bench_options, processes
from standins import log, ports

WARM_STARTS = 5
QUICK_WARM_STARTS = 2
START_WAIT_S = 60.0
MIB_BYTES = 1024 * 1024


class Binary(typing.NamedTuple):
    """A file to measure and the command that runs it."""

    size_bytes: int
    command: list[str]


class Start(typing.NamedTuple):
    """One start: time until ready, and memory and child processes at that moment."""

    ready_s: float
    resident_mib: float
    children: int


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Return build, size, start and memory figures."""
    warm_starts = QUICK_WARM_STARTS if options.quick else WARM_STARTS
    with tempfile.TemporaryDirectory() as scratch:
        folder = pathlib.Path(scratch)
        build_s, binary = _build(folder)
        log_standin = log.LogStandIn(processes.ADDRESS, ports.find_free_port())
        await log_standin.start()
        try:
            measured = [
                await _measure_start(binary, folder, log_standin.port)
                for _ in range(warm_starts + 1)
            ]
        finally:
            await log_standin.stop()
        unpacked = sum(
            path.stat().st_size
            for path in (folder / "unpacked").rglob("*")
            if path.is_file()
        )
    cold, *warm = measured
    return {
        "build_s": build_s,
        "file_mib": binary.size_bytes / MIB_BYTES,
        "unpacked_mib": unpacked / MIB_BYTES,
        "cold_start_s": cold.ready_s,
        "warm_start_s": statistics.median(start.ready_s for start in warm),
        "resident_mib": max(start.resident_mib for start in measured),
        "children": max(start.children for start in measured),
        "starts": len(measured),
    }


def _build(folder: pathlib.Path) -> tuple[float, Binary]:
    existing_path = os.environ.get("ACACIAWARD_BINARY")
    if existing_path:
        return 0.0, Binary(os.stat(existing_path).st_size, [existing_path])
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


async def _measure_start(binary: Binary, folder: pathlib.Path, log_port: int) -> Start:
    port = ports.find_free_port()
    path = folder / "entry.json"
    # A few hundred bytes, written before the timer starts: blocking is harmless.
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
        ready_s = time.monotonic() - started
        resident_mib, children = _measure_memory(process.pid)
    finally:
        if process.returncode is None:
            process.terminate()
        await process.wait()
    return Start(ready_s, resident_mib, children)


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
        raise RuntimeError(f"entry exited with code {process.returncode}")


def _measure_memory(process_id: int) -> tuple[float, int]:
    """Return resident MiB of a process with its children, and the child count."""
    folder = pathlib.Path(f"/proc/{process_id}")
    named = " ".join(
        (task / "children").read_text() for task in (folder / "task").iterdir()
    )
    children = [int(child) for child in named.split()]
    resident_mib = sum(_resident_mib(member) for member in [process_id, *children])
    return resident_mib, len(children)


def _resident_mib(process_id: int) -> float:
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024
