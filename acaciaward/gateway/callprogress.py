"""The state of one call, and the exception that ends it without an answer."""

import enum
import functools
import time
import typing

from acaciaward import verdicts
from acaciaward.catalogue import routes
from acaciaward.gateway import calls, eventnumbers, events, metrics
from acaciaward.quarantine import suspects
from acaciaward.routing import versionchoice


class Cause(enum.Enum):
    """Why the gateway itself ends a call; the values are those of a metric's label."""

    REQUEST = "request"
    QUARANTINE = "quarantine"
    ATTEMPTS = "attempts"
    BUDGET = "budget"
    BROKEN_OFF = "broken off"
    PEER = "peer"
    CUT_OFF = "cut off"
    NO_ENDPOINT = "no endpoint"
    DEADLINE = "deadline"
    STOP = "stop"


class FailedAttempt(typing.NamedTuple):
    """How an attempt at an endpoint or through a peer failed."""

    endpoint: str
    kind: str


class RefusedError(Exception):
    """The call ends with an answer from the gateway itself."""

    def __init__(
        self,
        status: int,
        reason: str,
        *,
        verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
        retry_after_s: float | None = None,
        is_cut_off: bool = False,
        cause: Cause = Cause.REQUEST,
    ):
        super().__init__(reason)
        self.cause = cause
        self.is_cut_off = is_cut_off
        self.status = status
        self.reason = reason
        self.verdict = verdict
        self.retry_after_s = retry_after_s


class Progress:
    """
    The state of one call.

    ``tried`` holds the incarnations of the endpoints chosen so far and ``sends``
    counts requests written. ``has_run`` is set by the first byte of an answer.
    ``charged`` is the amount taken from the organisation's quota. ``stream_version`` is
    the version of the endpoint's software that began its stream, to which the stream is
    bound from its first event on; before that, ``version_choice`` applies.
    ``failed_connects`` counts endpoints that couldn't be connected to, ``tried_peers``
    names the peers that the call was to go through. With ``has_no_detour`` peers don't
    reach the endpoints either. ``failed_attempts`` are the attempts that have failed.
    """

    def __init__(self, call: calls.Call, route: routes.Route, deadline: float):
        self.call = call
        self.route = route
        self.deadline = deadline
        self.organisation: routes.Organisation | None = None
        self.tried: set[tuple[str, int]] = set()
        self.sends = self.sends_before = call.detour.sends if call.detour else 0
        # The number of sends after which the retry budget allowed one more.
        self.allowed_after_sends = -1
        self.failed_connects = 0
        self.tried_peers: set[str] = set()
        self.has_no_detour = False
        # The name of the service that was chosen.
        self.service: str | None = None
        self.failed_attempts: list[FailedAttempt] = []
        self._unrefused_sends = 0
        self.has_run = False
        self.charged = 0.0
        self.outcome = "cut"
        self.version = -1
        self.stream_version: str | None = None
        self.version_choice: versionchoice.Choice = None
        self.first_byte_s: float | None = None
        self.last_event_at: float | None = None
        self.longest_gap_s = 0.0
        self._event_numbers = eventnumbers.EventNumbers(call.last_event_id)

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the call, or still may."""
        return self._unrefused_sends > 0

    def record_written(self) -> None:
        """Record that the call was written to a connection."""
        self._unrefused_sends += 1

    def record_refused(self) -> None:
        """Record that where the call was written to it won't run."""
        self._unrefused_sends -= 1

    @property
    def endpoint_version(self) -> versionchoice.Choice:
        """Which versions may get the call: its stream's, or those of a roll-out."""
        if self.stream_version is not None:
            return self.stream_version
        return self.version_choice

    @property
    def left_s(self) -> float:
        """Seconds until the call must be answered."""
        return self.deadline - time.monotonic()

    @property
    def has_used_attempts(self) -> bool:
        """Whether a peer's call was written as often as the peer allowed."""
        detour = self.call.detour
        return detour is not None and self.sends - detour.sends >= detour.limit

    @property
    def organisation_name(self) -> str:
        """The organisation's name, empty without one."""
        return self.organisation.name if self.organisation else ""

    @functools.cached_property
    def digest(self) -> str:
        """A hash that is the same each time the caller sends this request."""
        organisation = self.organisation_name.encode()
        return suspects.digest(self.call.target, organisation, self.call.body)

    @property
    def rank(self) -> int:
        """The priority, 0 first: the organisation's if it has one, else the route's."""
        organisation = self.organisation
        if organisation is not None and organisation.rank is not None:
            return organisation.rank
        return self.route.rank

    @property
    def last_delivered_id(self) -> int | None:
        """The number of the last event that was forwarded, or that the caller has."""
        return self._event_numbers.last

    def begin_run(self) -> None:
        """Begin with the events of another answer of the stream."""
        self._event_numbers.begin_run()

    def is_new(self, event: events.Event) -> bool:
        """Whether an event has not been forwarded."""
        return event.number is None or self._event_numbers.is_new(event.number)

    def check_order(self, event: events.Event, *, begins_run: bool = False) -> None:
        """
        Raise ``errors.BrokenOffError`` if events are missing before a new one.

        ``begins_run`` means that it would be the first of another answer.
        """
        if event.number is not None:
            self._event_numbers.check(event.number, begins_run=begins_run)

    def record_event(self, event: events.Event) -> None:
        """Record that a new event is forwarded."""
        if event.number is None:
            return
        self._event_numbers.record(event.number)
        now = time.monotonic()
        if self.last_event_at is not None:
            gap_s = now - self.last_event_at
            metrics.EVENT_GAP_SECONDS.observe(gap_s)
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_at = now
