"""
Records what callers and servers observe, and checks each observation by itself.

Promises are what the specification guarantees of the system. A violation names the
broken promise by its short name:

=======  ==========================================================================
UNASKED  Servers receive only what callers sent, unchanged and without private headers.
TWICE    A request that may not repeat runs once at most.
REFUSED  A request that was refused has not run, unless it may repeat.
MIXED    An answer belongs to the request that it is given for.
ORDER    The events of a stream arrive in order, without gaps and from one version.
END      An entry ends when it is told to, and only then.
DRAIN    A server that leaves receives no requests once its drain time is over; one
         that has said so in an answer, none from the entry that it has told.
CONFIG   A configuration is in force in time, and no older one follows it.
BUDGET   Repeats stay within the retry budget, and an entry backs off from a server
         for as long as that asks for. A request that crashes servers soon reaches
         none, and no other is refused for it.
QUOTA    An organisation gets no more than its quota.
ONE      One entry at a time carries out a duty.
USAGE    Windows of usage are reported in time again after the store was restored.
GONE     Requests of callers that left are neither sent to servers nor kept running.
LOST     An orderly stop of an entry loses no requests, and no stream that has begun
         is cut while its servers are sound, though they may be silent for a while.
LIMIT    Brittle servers aren't made to turn away more than they bear.
RECOVER  Requests are served again once faults are over.
=======  ==========================================================================

Those from DRAIN on concern spans of time and are checked in ``judge``, ``signals``,
``brittleservers`` and ``dutyrules``; END is checked where entries are started and
stopped, in ``world`` and ``faults``.
"""

import collections
import dataclasses
import time
import typing

from standins import edgeserver, edgewire

REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
# Headers that entries drop from callers' requests; servers must not receive them.
PRIVATE_HEADERS = ("authorization", "hold", "kv-from", "kv-backup", "pin-ms")


class Violation(typing.NamedTuple):
    """A promise that was broken, when, and what was observed."""

    promise: str
    at: float
    detail: str


class Observation(typing.NamedTuple):
    """A request at a server: the time, and the incarnation of the server."""

    at: float
    server: edgeserver.EdgeServer


@dataclasses.dataclass
class Attempt:
    """
    One request of a caller and its outcome.

    ``arrivals`` lists when servers received it, ``runs`` when they began to run it, and
    ``senders`` are the entries that sent it to them. Times are those of
    ``time.monotonic``; its caller waits for ``timeout_s``. An attempt that takes a
    stream up has the one that brought its first event as ``origin``; ``version`` is
    that of the software of the servers whose events it got.
    """

    attempt_id: str
    kind: str
    path: str
    organisation: str
    body: bytes
    entry: str
    incarnation: int
    sent_at: float
    timeout_s: float
    event_count: int = 0
    first_event: int = 1
    origin: "Attempt | None" = None
    part: str | None = None
    version: str | None = None
    events: int = 0
    ended_at: float | None = None
    caller_left_at: float | None = None
    status: int | None = None
    is_complete: bool = False
    arrivals: list[Observation] = dataclasses.field(default_factory=list)
    runs: list[Observation] = dataclasses.field(default_factory=list)
    senders: set[str] = dataclasses.field(default_factory=set)
    run_ended_at: float | None = None

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind in ("idempotent", "resumable")


class Answer(typing.NamedTuple):
    """
    What a caller received for a request, possibly truncated.

    ``is_cut`` means that the caller itself stopped reading.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    is_cut: bool = False


class Recorder:
    """Records what servers report, as an ``edgeserver.Watch``, and what callers do."""

    def __init__(self):
        self.attempts: dict[str, Attempt] = {}
        self.violations: list[Violation] = []
        # Is called with each arrival, its server and the port of its sender.
        self.on_arrival: (
            typing.Callable[[Attempt, edgeserver.EdgeServer, int], None] | None
        )
        self.on_arrival = None

    def record_violation(
        self, promise: str, detail: str, at: float | None = None
    ) -> None:
        """Record a broken promise; ``at`` is now unless given."""
        self.violations.append(Violation(promise, at or time.monotonic(), detail))

    def arrived(self, server: edgeserver.EdgeServer, request: edgewire.Request) -> None:
        """Record a request at a server, and compare it with what its caller sent."""
        attempt = self.attempts.get(request.headers.get("attempt-id", ""))
        if attempt is None:
            self.record_violation("UNASKED", f"unknown request {request.target}")
            return
        attempt.arrivals.append(Observation(time.monotonic(), server))
        if self.on_arrival is not None:
            self.on_arrival(attempt, server, request.peer_port)
        received = (request.target, request.body, request.headers.get("tenant"))
        if received != (attempt.path, attempt.body, attempt.organisation):
            self.record_violation("UNASKED", f"{attempt.attempt_id}: {received}")
        leaked = [name for name in PRIVATE_HEADERS if name in request.headers]
        if leaked:
            self.record_violation(
                "UNASKED", f"{attempt.attempt_id}: {leaked} passed on"
            )

    def ran(self, server: edgeserver.EdgeServer, request: edgewire.Request) -> None:
        """Record the beginning of a run, and check that the request may run (again)."""
        attempt = self.attempts.get(request.headers.get("attempt-id", ""))
        if attempt is None:
            return
        attempt.runs.append(Observation(time.monotonic(), server))
        if len(attempt.runs) > 1 and not attempt.may_repeat:
            self.record_violation("TWICE", f"{attempt.kind} {attempt.attempt_id}")
        self._check_refusal(attempt)

    def ended(self, server: edgeserver.EdgeServer, request: edgewire.Request) -> None:
        """Record when the latest run of a request ended."""
        attempt = self.attempts.get(request.headers.get("attempt-id", ""))
        if attempt is not None:
            attempt.run_ended_at = time.monotonic()

    def count_runs(self) -> collections.Counter[str]:
        """Return how many requests each server, by its name, works on."""
        return collections.Counter(
            attempt.runs[-1].server.name
            for attempt in self.attempts.values()
            if attempt.runs and attempt.run_ended_at is None
        )

    def count_arrivals(self, since: float) -> collections.Counter[str]:
        """Return how many requests each server, by its name, got since a time."""
        return collections.Counter(
            arrival.server.name
            for attempt in self.attempts.values()
            for arrival in attempt.arrivals
            if arrival.at >= since
        )

    def _check_refusal(self, attempt: Attempt) -> None:
        is_refused = attempt.status in REFUSAL_STATUSES
        if is_refused and attempt.runs and not attempt.may_repeat:
            self.record_violation(
                "REFUSED", f"{attempt.status} for {attempt.attempt_id}"
            )

    def record_answer(self, attempt: Attempt, answer: Answer) -> None:
        """Record an answer, complete or truncated, and check it."""
        attempt.ended_at = time.monotonic()
        attempt.status = answer.status
        attempt.is_complete = answer.is_complete
        if answer.is_cut:
            attempt.caller_left_at = attempt.ended_at
        self._check_refusal(attempt)
        signature = answer.headers.get("server-signature")
        answered_id = answer.headers.get("attempt-id", attempt.attempt_id)
        if answered_id != attempt.attempt_id:
            self.record_violation(
                "MIXED", f"{attempt.attempt_id} got the answer of {answered_id}"
            )
        if answer.status < 300:
            self._check_success(attempt, answer, signature)
        elif signature is not None and answer.body not in (b"failed", b""):
            self.record_violation("MIXED", f"{attempt.attempt_id}: {answer.body!r}")

    def _check_success(
        self, attempt: Attempt, answer: Answer, signature: str | None
    ) -> None:
        if signature is None or not attempt.runs:
            self.record_violation("MIXED", f"{attempt.attempt_id}: success of nobody")
        if attempt.event_count:
            self._check_version(attempt, answer)
            expected = b"".join(
                edgeserver.event(
                    attempt.attempt_id,
                    number,
                    attempt.version or edgeserver.FIRST_VERSION,
                )
                for number in range(attempt.first_event, attempt.event_count + 1)
            )
        else:
            expected = edgeserver.body_of(attempt.attempt_id, attempt.path)
        promise = "ORDER" if attempt.event_count else "MIXED"
        if answer.is_complete and answer.body != expected:
            self.record_violation(
                promise, f"{attempt.attempt_id}: {answer.body[-80:]!r}"
            )
        if not answer.is_complete and not expected.startswith(answer.body):
            self.record_violation(
                promise, f"{attempt.attempt_id} cut: {answer.body[-80:]!r}"
            )

    def _check_version(self, attempt: Attempt, answer: Answer) -> None:
        """Check that a stream goes on at the version that began it."""
        attempt.events = answer.body.count(b"\n\n")
        if not attempt.events:
            return
        attempt.version = edgeserver.version_of(answer.body)
        if attempt.origin is not None and attempt.origin.version != attempt.version:
            began, went_on = attempt.origin.version, attempt.version
            self.record_violation(
                "ORDER", f"{attempt.attempt_id}: began at {began}, went on at {went_on}"
            )

    def record_connection_lost(self, attempt: Attempt) -> None:
        """Record that a connection was lost before the head of an answer."""
        attempt.ended_at = time.monotonic()

    def record_caller_left(self, attempt: Attempt) -> None:
        """Record that the caller closed its connection."""
        attempt.ended_at = attempt.caller_left_at = time.monotonic()
