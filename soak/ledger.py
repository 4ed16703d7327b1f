"""
What callers and servers see during a soak, and the promises that each sight can break.

A violation names the promise by the page's short name and says what was seen. Promises
over spans of time are judged in ``judge``.
"""

import dataclasses
import time
import typing

from standins import edgeserver, edgewire

REFUSALS = frozenset({408, 421, 429, 503})
# What a system's entry adds or takes away may not show at a server.
PRIVATE_HEADERS = ("authorization", "hold", "kv-from", "kv-backup", "pin-ms")


class Violation(typing.NamedTuple):
    """A promise that was broken, when, and what was seen."""

    promise: str
    at: float
    seen: str


class Sight(typing.NamedTuple):
    """A request at a server: when, and which incarnation of the server."""

    at: float
    server: edgeserver.EdgeServer


@dataclasses.dataclass
class Attempt:
    """One request of a caller, and what became of it."""

    attempt_id: str
    kind: str
    path: str
    organisation: str
    body: bytes
    entry: str
    incarnation: int
    sent_at: float
    events: int = 0
    first_event: int = 1
    ended_at: float | None = None
    left_at: float | None = None
    status: int | None = None
    is_complete: bool = False
    arrivals: list[Sight] = dataclasses.field(default_factory=list)
    runs: list[Sight] = dataclasses.field(default_factory=list)
    run_ended_at: float | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether it may run more than once."""
        return self.kind in ("idempotent", "resumable")


class Answer(typing.NamedTuple):
    """What came back on a caller's connection, as far as it came."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class Ledger:
    """Implements ``edgeserver.Watch``, and takes what callers tell."""

    def __init__(self):
        self.attempts: dict[str, Attempt] = {}
        self.violations: list[Violation] = []

    def violate(self, promise: str, seen: str, at: float | None = None) -> None:
        """Take down a broken promise."""
        self.violations.append(Violation(promise, at or time.monotonic(), seen))

    def arrived(self, server: edgeserver.EdgeServer, request: edgewire.Request) -> None:
        """Check a request at a server against what its caller sent."""
        attempt = self.attempts.get(request.headers.get("attempt-id", ""))
        if attempt is None:
            self.violate("UNASKED", f"unknown request {request.target}")
            return
        attempt.arrivals.append(Sight(time.monotonic(), server))
        seen = (request.target, request.body, request.headers.get("tenant"))
        if seen != (attempt.path, attempt.body, attempt.organisation):
            self.violate("UNASKED", f"{attempt.attempt_id}: {seen}")
        shown = [name for name in PRIVATE_HEADERS if name in request.headers]
        if shown:
            self.violate("UNASKED", f"{attempt.attempt_id}: {shown} passed on")

    def ran(self, server: edgeserver.EdgeServer, request: edgewire.Request) -> None:
        """Check that a request may run, or run once more."""
        attempt = self.attempts.get(request.headers.get("attempt-id", ""))
        if attempt is None:
            return
        attempt.runs.append(Sight(time.monotonic(), server))
        if len(attempt.runs) > 1 and not attempt.may_repeat:
            self.violate("TWICE", f"{attempt.kind} {attempt.attempt_id}")
        self._check_refusal(attempt)

    def ended(self, server: edgeserver.EdgeServer, request: edgewire.Request) -> None:
        """Take down when the last run of a request was over."""
        attempt = self.attempts.get(request.headers.get("attempt-id", ""))
        if attempt is not None:
            attempt.run_ended_at = time.monotonic()

    def _check_refusal(self, attempt: Attempt) -> None:
        is_refused = attempt.status in REFUSALS
        if is_refused and attempt.runs and not attempt.may_repeat:
            self.violate("REFUSED", f"{attempt.status} for {attempt.attempt_id}")

    def answered(self, attempt: Attempt, answer: Answer) -> None:
        """Check an answer, complete or not."""
        attempt.ended_at = time.monotonic()
        attempt.status = answer.status
        attempt.is_complete = answer.is_complete
        self._check_refusal(attempt)
        signature = answer.headers.get("server-signature")
        own_id = answer.headers.get("attempt-id", attempt.attempt_id)
        if own_id != attempt.attempt_id:
            self.violate("MIXED", f"{attempt.attempt_id} got the answer of {own_id}")
        if answer.status < 300:
            self._check_success(attempt, answer, signature)
        elif signature is not None and answer.body not in (b"failed", b""):
            self.violate("MIXED", f"{attempt.attempt_id}: {answer.body!r}")

    def _check_success(
        self, attempt: Attempt, answer: Answer, signature: str | None
    ) -> None:
        if signature is None or not attempt.runs:
            self.violate("MIXED", f"{attempt.attempt_id}: success of nobody")
        if attempt.events:
            wanted = b"".join(
                edgeserver.event(attempt.attempt_id, number)
                for number in range(attempt.first_event, attempt.events + 1)
            )
        else:
            wanted = edgeserver.body_of(attempt.attempt_id, attempt.path)
        promise = "ORDER" if attempt.events else "MIXED"
        if answer.is_complete and answer.body != wanted:
            self.violate(promise, f"{attempt.attempt_id}: {answer.body[-80:]!r}")
        if not answer.is_complete and not wanted.startswith(answer.body):
            self.violate(promise, f"{attempt.attempt_id} cut: {answer.body[-80:]!r}")

    def broken_off(self, attempt: Attempt) -> None:
        """Take down that a connection ended without any answer."""
        attempt.ended_at = time.monotonic()

    def left(self, attempt: Attempt) -> None:
        """Take down that the caller closed its connection."""
        attempt.ended_at = attempt.left_at = time.monotonic()
