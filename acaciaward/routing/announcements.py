"""
Keeps one number that endpoints announce of themselves in answers, for all entries.

Relays carry what entries learn from answers, so that an entry needn't be told by the
endpoint itself. Of what is known of an endpoint, what was learned last counts. An
entry reports what it has learned from answers itself. What came by relays it reports
only once they no longer bring it, as the entry that learned it has ended, and with the
age of the answer: it would otherwise go round and look new for ever.

    announcements = Announcements()
    announcements.record(endpoint, 4.0, sent_at)
    announcements.find(endpoint)  # 4.0
    announcements.report()  # {"app-1/1700000000000": (4.0, 0.2)}
"""

import logging
import time
import typing
from collections import abc

from acaciaward import decoding, errors
from acaciaward.catalogue import endpoints, statements
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# For how long the end of an announcement is reported.
ENDED_LIFETIME_S = 30.0
# For how long an announcement holds that no relay has brought since.
RELAYED_LIFETIME_S = 60.0
# After how long without a relay that brings an announcement an entry reports it itself.
ECHO_AFTER_S = 1.0

# The number, None if it isn't announced any more, and the age of that in seconds.
Report = dict[str, tuple[float | None, float]]


class _Learned(typing.NamedTuple):
    """
    An announced number, None if there is none.

    ``at`` is when any entry learned it, ``received_at`` when this one did.
    """

    value: float | None
    at: float
    received_at: float


class Announcements:
    """One kind of announcement of all endpoints."""

    def __init__(
        self,
        *,
        clock: abc.Callable[[], float] = time.monotonic,
        unix_time: abc.Callable[[], float] = time.time,
    ):
        self._clock = clock
        self._observed: statements.Statements[_Learned]
        self._observed = statements.Statements(clock, unix_time)
        self._relayed: statements.Statements[_Learned]
        self._relayed = statements.Statements(clock, unix_time)
        # The starts of the endpoints that are listed.
        self._listed: dict[str, endpoints.Incarnation] = {}

    def record(
        self, endpoint: endpoints.Endpoint, value: float | None, sent_at: float
    ) -> bool:
        """
        Record what an answer announced, or None; return whether that is a change.

        ``sent_at`` is when the request was sent: an answer to a request from before the
        announcement was learned may have been made before it, too, and doesn't end it.
        """
        known = self._newest(endpoint)
        if value is None and (
            known is None or known.value is None or sent_at <= known.at
        ):
            return False
        now = self._clock()
        self._observed.record_answer(endpoint.incarnation, _Learned(value, now, now))
        return known is None or known.value != value

    def find(self, endpoint: endpoints.Endpoint) -> float | None:
        """Return what an endpoint announces, None if it's nothing."""
        learned = self._newest(endpoint)
        return None if learned is None else learned.value

    def is_recent(self, endpoint: endpoints.Endpoint, max_age_s: float) -> bool:
        """Return whether an endpoint announces a number, as learned lately."""
        learned = self._newest(endpoint)
        return (
            learned is not None
            and learned.value is not None
            and self._clock() - learned.at < max_age_s
        )

    def report(self) -> Report:
        """Return what other entries may not know of listed endpoints."""
        now = self._clock()
        report: Report = {}
        for name in {*self._observed.names, *self._relayed.names}:
            incarnation = self._listed.get(name)
            if incarnation is None:
                continue
            learned = self._newest_observed(incarnation) or self._unheard(incarnation)
            if learned is None:
                continue
            age_s = now - learned.at
            if learned.value is None and age_s > ENDED_LIFETIME_S:
                continue
            report[key_of(incarnation)] = (learned.value, age_s)
        return report

    def _unheard(self, incarnation: endpoints.Incarnation) -> _Learned | None:
        """Return what relays brought for a while, and bring no longer."""
        relayed = self._newest_relayed(incarnation)
        if relayed is None or relayed.value is None:
            return None
        now = self._clock()
        is_heard = now - relayed.received_at < ECHO_AFTER_S
        return None if is_heard or now - relayed.at > RELAYED_LIFETIME_S else relayed

    def receive(self, report: abc.Mapping[str, tuple[float | None, float]]) -> None:
        """Receive what all entries have learned, for each endpoint the newest."""
        now = self._clock()
        for key, (value, age_s) in report.items():
            name, _, born = key.rpartition("/")
            is_valid = decoding.is_in_range(age_s) and (
                value is None or decoding.is_in_range(value)
            )
            try:
                incarnation = (name, decoding.to_integer(born))
            except errors.DecodingError:
                is_valid = False
            if not is_valid:
                log.warning(
                    "relayed announcement is invalid", extra=logs.fields(key=key[:80])
                )
                continue
            learned = _Learned(value, now - age_s, now)
            self._relayed.record_of_start(incarnation, learned)

    def follow(
        self, before: endpoints.Endpoint | None, after: endpoints.Endpoint | None
    ) -> None:
        """Take note of which endpoints are listed."""
        if after is not None:
            self._listed[after.name] = after.incarnation
        elif before is not None:
            self._listed.pop(before.name, None)

    def _newest_observed(self, incarnation: endpoints.Incarnation) -> _Learned | None:
        """Return what was learned here, None if another entry knows better."""
        observed = _newest_of(self._observed.find(incarnation))
        relayed = self._newest_relayed(incarnation)
        # The same value is probably this entry's own, back by way of the reader.
        if (
            observed is not None
            and relayed is not None
            and observed.value != relayed.value
            and observed.at < relayed.at
        ):
            return None
        return observed

    def _newest_relayed(self, incarnation: endpoints.Incarnation) -> _Learned | None:
        oldest = self._clock() - RELAYED_LIFETIME_S
        return _newest_of(
            learned
            for learned in self._relayed.find(incarnation)
            if learned.received_at > oldest
        )

    def _newest(self, endpoint: endpoints.Endpoint) -> _Learned | None:
        if endpoint.name not in self._observed and endpoint.name not in self._relayed:
            return None
        incarnation = endpoint.incarnation
        relayed = self._newest_relayed(incarnation)
        observed = self._observed.find(incarnation)
        return _newest_of([*observed, *([relayed] if relayed else [])])


def key_of(incarnation: endpoints.Incarnation) -> str:
    """Return the key of an endpoint's start in reports."""
    name, born = incarnation
    return f"{name}/{born}"


def _newest_of(known: abc.Iterable[_Learned]) -> _Learned | None:
    return max(known, key=lambda learned: learned.at, default=None)


def merge(reports: abc.Iterable[abc.Mapping]) -> Report:
    """Merge reports of several entries; for each endpoint the newest counts."""
    merged: Report = {}
    for report in reports:
        for key, (value, age_s) in report.items():
            if key not in merged or age_s < merged[key][1]:
                merged[key] = (value, age_s)
    return merged
