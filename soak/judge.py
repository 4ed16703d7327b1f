"""
The promises over spans of time, judged over all that a ledger holds.

Bounds are those of the settings that the entries are given. Where the pages bind only
what is undisturbed, ``Disturbances`` says when an entry or the store was disturbed.
"""

import bisect
import collections
import typing
from collections import abc

from soak import ledger
from standins import edgestore

# What is measured at a server lies behind proxies and this process's own delays.
MEASURED_S = 0.25
# A whole stream of the resumable kind takes about this long, in seconds.
WHOLE_STREAM_S = 1.2


class Bounds(typing.NamedTuple):
    """The promises' figures, in seconds and requests."""

    contact_s: float = 3.0
    drain_s: float = 2.0
    configuration_s: float = 2.0
    revert_s: float = 0.25
    repeat_ratio: float = 0.02
    repeat_burst: float = 5.0
    repeat_window_s: float = 10.0
    quota_rate: float = 20.0
    quota_burst: float = 20.0
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 10.0
    lease_s: float = 3.0
    usage_window_s: float = 5.0
    stop_limit_s: float = 8.0
    recover_s: float = 12.0
    recovered_part: float = 0.25
    gone_s: float = 0.5
    gone_requests: int = 5
    gone_part: float = 0.25


class Disturbances:
    """When things were disturbed, by name: an entry, the store, a server."""

    def __init__(self):
        self._spans: dict[str, list[list[float]]] = collections.defaultdict(list)

    def begin(self, name: str, at: float) -> None:
        """Say that something is disturbed from now on."""
        self._spans[name].append([at, float("inf")])

    def end(self, name: str, at: float) -> None:
        """Say that the oldest open disturbance has ended."""
        for span in self._spans[name]:
            if span[1] == float("inf"):
                span[1] = at
                return

    def is_calm(
        self, name: str, begin: float, end: float, *, but: float | None = None
    ) -> bool:
        """Whether nothing disturbed a thing, but for what began at a moment."""
        return not any(
            one < end and begin < two for one, two in self._spans[name] if one != but
        )


class Change(typing.NamedTuple):
    """A configuration: its place in the order, when sent and acknowledged."""

    index: int
    acknowledged_at: float


class Judge:
    """Looks through a ledger for promises that were broken over time."""

    def __init__(
        self,
        book: ledger.Ledger,
        store: edgestore.EdgeStore,
        disturbances: Disturbances,
        changes: abc.Sequence[Change],
        bounds: Bounds,
        version_services: int,
    ):
        self._book = book
        self._store = store
        self._disturbances = disturbances
        self._changes = changes
        self._bounds = bounds
        self._version_services = version_services

    def judge(self) -> None:
        """Take down what was broken over the whole soak."""
        self._judge_drains()
        self._judge_versions()
        self._judge_repeats()
        self._judge_quota()
        self._judge_duties()
        self._judge_gone()

    def _in_touch(self, entry: str, begin: float, end: float) -> bool:
        begin -= self._bounds.contact_s
        calm = self._disturbances.is_calm
        return calm(entry, begin, end) and calm("store", begin, end)

    def _judge_drains(self) -> None:
        late_s = self._bounds.drain_s + MEASURED_S
        for attempt in self._book.attempts.values():
            for at, server in attempt.arrivals:
                left_at = server.left_at
                if left_at is None or at <= left_at + late_s:
                    continue
                is_server_calm = self._disturbances.is_calm(
                    server.name, left_at - self._bounds.contact_s, at
                )
                if is_server_calm and self._in_touch(attempt.entry, left_at, at):
                    seen = f"{attempt.attempt_id} {at - left_at:.2f} s late"
                    self._book.violate("DRAIN", f"{seen} at {server.name}", at)

    def _judge_versions(self) -> None:
        """Each route of versions leads to another service with each change."""
        seen: dict[tuple[str, int], list[tuple[float, int]]] = {}
        times = [change.acknowledged_at for change in self._changes]
        probes = [one for one in self._book.attempts.values() if one.kind == "version"]
        for attempt in sorted(probes, key=lambda one: one.sent_at):
            for at, server in attempt.runs:
                newest = bisect.bisect_right(times, at) - 1
                owed = bisect.bisect_right(
                    times, attempt.sent_at - self._bounds.configuration_s - MEASURED_S
                )
                index = self._index(server.service, newest)
                begin = attempt.sent_at - self._bounds.configuration_s
                if index < owed - 1 and self._in_touch(attempt.entry, begin, at):
                    text = f"{attempt.attempt_id}: change {index}, owed {owed - 1}"
                    self._book.violate("CONFIG", f"{text} at {attempt.entry}", at)
                self._check_revert(seen, attempt, index, at)

    def _index(self, service: str, newest: int) -> int:
        """Return the newest change under which a request goes to a service."""
        number = int(service.removeprefix("v"))
        return newest - (newest - number) % self._version_services

    def _check_revert(
        self,
        seen: dict[tuple[str, int], list[tuple[float, int]]],
        attempt: ledger.Attempt,
        index: int,
        at: float,
    ) -> None:
        known = seen.setdefault((attempt.entry, attempt.incarnation), [])
        limit = attempt.sent_at - self._bounds.revert_s - MEASURED_S
        before = [one for when, one in known if when < limit]
        if before and index < max(before):
            text = f"{attempt.attempt_id}: change {index} after {max(before)}"
            self._book.violate("CONFIG", f"{text} at {attempt.entry}", at)
        known.append((at, index))

    def _judge_repeats(self) -> None:
        window_s = self._bounds.repeat_window_s
        firsts: dict[str, list[float]] = collections.defaultdict(list)
        repeats: dict[str, list[float]] = collections.defaultdict(list)
        for attempt in self._book.attempts.values():
            for number, (at, server) in enumerate(attempt.arrivals):
                if number == 0:
                    firsts[server.service].append(attempt.sent_at)
                else:
                    repeats[server.service].append(at)
        for service, moments in repeats.items():
            moments.sort()
            sent = sorted(firsts[service])
            for place, start in enumerate(moments):
                found = bisect.bisect_left(moments, start + window_s) - place
                requests = max(
                    _count(sent, start - back, start - back + window_s)
                    for back in (0.0, window_s / 2, window_s)
                )
                allowed = self._bounds.repeat_ratio * requests
                if found > allowed + self._bounds.repeat_burst:
                    seen = f"{found} repeats to {service} with {requests} requests"
                    self._book.violate("BUDGET", seen, start)
                    break

    def _judge_quota(self) -> None:
        bounds = self._bounds
        window_s = bounds.quota_window_s
        runs = sorted(
            (attempt.sent_at, attempt.runs[0].at)
            for attempt in self._book.attempts.values()
            if attempt.organisation == "hot" and attempt.runs
        )
        allowed = bounds.quota_rate * window_s + bounds.quota_burst
        allowed = allowed * (1 + bounds.quota_overshoot) + bounds.quota_slack
        for start, _ in runs:
            end = start + window_s
            found = sum(start <= sent and at < end for sent, at in runs)
            if found > allowed:
                self._book.violate("QUOTA", f"{found} of {allowed:.0f}", start)
                return

    def _judge_duties(self) -> None:
        counts: dict[int, typing.Any] = {}
        for call in self._store.reports:
            window = call.body["WindowId"]
            if counts.setdefault(window, call.body["Counts"]) != call.body["Counts"]:
                self._book.violate("ONE", f"window {window} reported twice", call.at)
        holders: dict[tuple[str, int], str] = {}
        for duty in (self._store.reports, self._store.orders):
            for call in duty:
                key = (_subject(call), call.fence)
                if holders.setdefault(key, call.holder) != call.holder:
                    self._book.violate("ONE", f"fence {key} used by two", call.at)
            self._check_order(duty)

    def _check_order(self, calls: abc.Sequence[edgestore.DutyCall]) -> None:
        by_subject: dict[str, list[edgestore.DutyCall]] = collections.defaultdict(list)
        for call in calls:
            by_subject[_subject(call)].append(call)
        for subject, given in by_subject.items():
            terms = [given[0]]
            for before, call in zip(given, given[1:], strict=False):
                if call.fence < before.fence:
                    seen = f"{subject}: fence {call.fence} after {before.fence}"
                    self._book.violate("ONE", seen, call.at)
                if call.holder != terms[-1].holder:
                    terms.append(call)
            for one, _, three in zip(terms, terms[1:], terms[2:], strict=False):
                quick = three.at - one.at < self._bounds.lease_s
                if one.holder == three.holder and quick:
                    self._book.violate("ONE", f"{subject}: back and forth", three.at)

    def _judge_gone(self) -> None:
        late = []
        for attempt in self._book.attempts.values():
            if attempt.left_at is None:
                continue
            limit = attempt.left_at + self._bounds.gone_s + MEASURED_S
            late += [
                attempt.attempt_id
                for at, _ in attempt.arrivals
                if at > limit and self._in_touch(attempt.entry, attempt.left_at, at)
            ]
        if len(late) > self._bounds.gone_requests:
            self._book.violate("GONE", f"{len(late)} requests of callers that left")
        self._judge_work_for_nobody()

    def _judge_work_for_nobody(self) -> None:
        """Servers may not work on for callers that have left, but for a part."""
        worked_on = stopped = 0
        for attempt in self._book.attempts.values():
            left_at, ended_at = attempt.left_at, attempt.run_ended_at
            if left_at is None or ended_at is None or attempt.kind != "resumable":
                continue
            began_at = attempt.runs[-1].at
            limit = left_at + self._bounds.gone_s + MEASURED_S
            would_last = began_at + WHOLE_STREAM_S > limit
            in_touch = self._in_touch(attempt.entry, left_at, limit)
            if began_at < left_at and would_last and in_touch:
                worked_on += ended_at > limit
                stopped += ended_at <= limit
        if worked_on > max(
            self._bounds.gone_requests, self._bounds.gone_part * (worked_on + stopped)
        ):
            seen = f"{worked_on} of {worked_on + stopped} worked on for nobody"
            self._book.violate("GONE", seen)

    def judge_stop(self, entry: str, began: float, ended: float) -> None:
        """Judge an orderly stop of an entry around which nothing was disturbed."""
        begin = began - self._bounds.contact_s
        calm = self._disturbances.is_calm
        is_calm = calm(entry, begin, ended, but=began) and calm("store", begin, ended)
        if not is_calm:
            return
        for attempt in self._book.attempts.values():
            is_its = attempt.entry == entry and attempt.left_at is None
            if not is_its or not began - 1.0 < attempt.sent_at < began + 3.0:
                continue
            servers = [server.name for _, server in attempt.arrivals]
            if not servers or attempt.ended_at is None:
                continue
            if not all(calm(name, begin, ended) for name in servers):
                continue
            if attempt.status is None or not attempt.is_complete:
                self._book.violate("LOST", f"{attempt.attempt_id} at {entry}", began)

    def judge_recovery(self, healed_at: float, now: float) -> None:
        """Judge what was served once all was back for long enough."""
        begin = healed_at + self._bounds.recover_s
        sent = [
            one
            for one in self._book.attempts.values()
            if begin <= one.sent_at < now - 2.0 and one.organisation != "hot"
        ]
        served = sum(one.is_complete and one.status == 200 for one in sent)
        if not sent or served < self._bounds.recovered_part * len(sent):
            self._book.violate("RECOVER", f"{served} of {len(sent)} served")


def _subject(call: edgestore.DutyCall) -> str:
    if "WindowId" in call.body:
        return "usage"
    return f"{call.body['Service']} {call.body['Zone']}"


def _count(moments: abc.Sequence[float], begin: float, end: float) -> int:
    return bisect.bisect_left(moments, end) - bisect.bisect_left(moments, begin)
