"""
Records what requests do that crash each server some time into their answer.

BUDGET binds from the third crash on: a request that crashes servers soon reaches none,
through whatever entry it comes, and no request that crashed nothing is refused for it.
"""

import pathlib
import re
import time
import typing
from collections import abc

from soak import conditions, ledger
from standins import edgeserver, edgewire

# Logged by an entry as it refuses a request for crashes.
REFUSED = re.compile(
    r"event=refused request=(?P<attempt>\w+) .*reason=\"endpoints broke off under it\""
)


class Crash(typing.NamedTuple):
    """A crash of a server at a time, under an attempt that it was answering."""

    at: float
    server: str
    attempt: ledger.Attempt


class Poison:
    """The requests that crash servers, by their paths, and what came of them."""

    def __init__(self, recorder: ledger.Recorder):
        self._recorder = recorder
        # How long after the begin of its answer each crashes a server, in seconds.
        self._delays_s: dict[str, float] = {}
        self._crashes: dict[str, list[Crash]] = {}

    def add(self, path: str, delay_s: float) -> None:
        """Let a request crash each server, so long after its answer has begun."""
        self._delays_s[path] = delay_s
        self._crashes[path] = []

    def remove(self, path: str) -> None:
        """Let a request crash no more servers."""
        del self._delays_s[path]

    def crash_after(
        self, server: edgeserver.EdgeServer, request: edgewire.Request
    ) -> float | None:
        """Return how long into its answer a request crashes a server, None if never."""
        return self._delays_s.get(request.path)

    def record_crash(
        self, server: edgeserver.EdgeServer, request: edgewire.Request
    ) -> None:
        """Record the crash of a server if it was still answering the request."""
        attempt = self._recorder.attempts.get(request.headers.get("attempt-id", ""))
        if request.path not in self._crashes or attempt is None or not attempt.runs:
            return
        began_at, running_at = attempt.runs[-1]
        ended_at = attempt.run_ended_at
        if running_at is server and (ended_at is None or ended_at < began_at):
            crash = Crash(time.monotonic(), server.name, attempt)
            self._crashes[request.path].append(crash)

    def check(
        self,
        disturbances: conditions.Disturbances,
        bounds: conditions.Bounds,
        allowance_s: float,
        logs: abc.Iterable[pathlib.Path],
    ) -> None:
        """Record requests that still reached servers, and that were refused wrongly."""
        for path, crashes in self._crashes.items():
            known = [
                crash.at
                for crash in crashes
                if _is_known(crash, disturbances, bounds.contact_s)
            ]
            if len(known) >= bounds.request_crashes:
                due = known[bounds.request_crashes - 1] + bounds.contact_s
                self._check_arrivals(path, due + allowance_s, disturbances, bounds)
        self._check_refusals(logs, bounds)

    def _check_arrivals(
        self,
        path: str,
        due: float,
        disturbances: conditions.Disturbances,
        bounds: conditions.Bounds,
    ) -> None:
        late = [
            at
            for attempt in self._recorder.attempts.values()
            for at, _ in attempt.arrivals
            if attempt.path == path
            and at > due
            and all(
                disturbances.is_undisturbed(name, at - bounds.contact_s, at)
                for name in ("store", attempt.entry, *attempt.senders)
            )
        ]
        if len(late) > bounds.late_crashing_requests:
            detail = f"{path}: {len(late)} late after {len(self._crashes[path])}"
            self._recorder.record_violation("BUDGET", f"{detail} crashes", due)

    def _check_refusals(
        self, logs: abc.Iterable[pathlib.Path], bounds: conditions.Bounds
    ) -> None:
        """Check that others that were refused had been sent to as many servers."""
        refused = {
            found["attempt"]
            for log in logs
            for found in REFUSED.finditer(log.read_text(errors="replace"))
        }
        servers: dict[tuple[str, str, bytes], set[int]] = {}
        for attempt in self._recorder.attempts.values():
            servers.setdefault(_identity(attempt), set()).update(
                id(server) for _, server in attempt.arrivals
            )
        identities = {
            _identity(self._recorder.attempts[attempt_id])
            for attempt_id in refused & self._recorder.attempts.keys()
        }
        for identity in sorted(identities):
            path, _, _ = identity
            count = len(servers[identity])
            if path not in self._crashes and count < bounds.request_crashes:
                detail = f"{path} refused for crashes, sent to {count} servers"
                self._recorder.record_violation("BUDGET", detail)


def _identity(attempt: ledger.Attempt) -> tuple[str, str, bytes]:
    """Return what all attempts of a request have in common."""
    return attempt.path, attempt.organisation, attempt.body


def _is_known(
    crash: Crash, disturbances: conditions.Disturbances, contact_s: float
) -> bool:
    """Whether an entry that was answered saw a crash, and could tell the others."""
    is_undisturbed = disturbances.is_undisturbed
    caller_left_at = crash.attempt.caller_left_at
    return (
        (caller_left_at is None or caller_left_at > crash.at)
        and is_undisturbed(crash.server, crash.at - contact_s, crash.at)
        and all(
            is_undisturbed(name, crash.at - contact_s, crash.at + contact_s)
            for name in (crash.attempt.entry, *crash.attempt.senders)
        )
    )
