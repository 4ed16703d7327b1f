"""
Starts, stops, freezes and kills the processes of an experiment.

Every process logs to a file in a scratch folder. Signals go to process ids, never
to processes found by name.
"""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADDRESS = "127.0.0.1"
READY_TIMEOUT_S = 20.0
POLL_S = 0.02
STOP_TIMEOUT_S = 40.0


class Processes:
    """
    The processes of one experiment, by name.

        processes = Processes()
        await processes.start("log", ["-m", "standins", "log", ...], port)
        await processes.stop_all()
    """

    def __init__(self):
        self._scratch = tempfile.TemporaryDirectory(prefix="acaciaward-")
        self._running: dict[str, asyncio.subprocess.Process] = {}

    @property
    def folder(self) -> pathlib.Path:
        """The scratch folder that holds logs and settings."""
        return pathlib.Path(self._scratch.name)

    def log_text(self, name: str) -> str:
        """Return what a process has logged."""
        path = self.folder / f"{name}.log"
        return path.read_text() if path.exists() else ""

    def process_id(self, name: str) -> int:
        """Return the process id."""
        return self._running[name].pid

    async def start(self, name: str, arguments: list[str], port: int) -> None:
        """Start ``python ARGUMENTS`` and wait until its port accepts."""
        # The file is local and opened once for each process.
        with open(self.folder / f"{name}.log", "ab") as output:  # noqa: ASYNC230
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                cwd=ROOT,
                env=dict(os.environ, PYTHONPATH=str(ROOT)),
                stdout=output,
                stderr=output,
            )
        self._running[name] = process
        await self._wait_for_port(name, port)

    async def _wait_for_port(self, name: str, port: int) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if self._running[name].returncode is not None:
                break
            try:
                _, writer = await asyncio.open_connection(ADDRESS, port)
            except OSError:
                await asyncio.sleep(POLL_S)
                continue
            writer.close()
            return
        raise RuntimeError(f"{name} did not start: {self.log_text(name)[-2000:]}")

    def is_running(self, name: str) -> bool:
        """Return whether the process still runs."""
        return name in self._running and self._running[name].returncode is None

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process that still runs."""
        if self.is_running(name):
            self._running[name].send_signal(signal_number)

    def freeze(self, name: str) -> None:
        """Pause a process."""
        self.send_signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a paused process."""
        self.send_signal(name, signal.SIGCONT)

    async def kill(self, name: str) -> None:
        """Kill a process without notice and wait until it has ended."""
        self.send_signal(name, signal.SIGKILL)
        await self._running[name].wait()

    async def terminate(self, name: str) -> int:
        """Ask a process to stop and return its exit code."""
        self.send_signal(name, signal.SIGTERM)
        return await self.wait(name)

    async def wait(self, name: str) -> int:
        """Wait for a process to end and return its exit code."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._running[name].wait()

    async def stop_all(self) -> None:
        """Kill every running process and remove the scratch folder."""
        for name in list(self._running):
            self.thaw(name)
            await self.kill(name)
        self._scratch.cleanup()
