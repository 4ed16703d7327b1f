"""
Checks the promises that concern spans of time, over everything that was recorded.

Where the specification binds only what is undisturbed, ``Disturbances`` says when an
entry, a server or the store was disturbed. The duties have a module of their own.
"""

import bisect
import collections
import typing
from collections import abc

from soak import conditions, dutyrules, ledger, signals
from standins import edgestore

# Allowance for the delays of the proxies and of this process, which come on top of an
# entry's own in times that are measured at a server.
MEASUREMENT_ALLOWANCE_S = 0.25
# Time before its deadline from which on an entry may end a call.
DEADLINE_S = 0.25
# Part of the time to stop after which an entry may end what it still runs, if that was
# sent soon after the signal.
LAST_PART = 5 / 6
SENT_SOON_S = 3.0
OK = 200
# What makes a server or an entry break off what it runs.
BREAKING_OFF = frozenset({conditions.Kind.FAULT, conditions.Kind.END})
# Approximate duration of a complete stream of the resumable kind.
COMPLETE_STREAM_S = 1.2


class ConfigurationChange(typing.NamedTuple):
    """A configuration that was written: its index, and when it was acknowledged."""

    index: int
    acknowledged_at: float


class OrderlyStop(typing.NamedTuple):
    """An entry that was told to end, when it was, and when its process had ended."""

    entry: str
    began: float
    ended: float


class Checker:
    """Finds promises that were broken over spans of time, and records violations."""

    def __init__(
        self,
        recorder: ledger.Recorder,
        store: edgestore.EdgeStore,
        disturbances: conditions.Disturbances,
        configuration_changes: abc.Sequence[ConfigurationChange],
        bounds: conditions.Bounds,
        version_service_count: int,
        part_crashes: abc.Mapping[str, abc.Sequence[float]],
        entry_names: abc.Collection[str],
        signal_log: signals.Signals,
        orderly_stops: abc.Sequence[OrderlyStop],
    ):
        self._recorder = recorder
        self._store = store
        self._disturbances = disturbances
        self._configuration_changes = configuration_changes
        self._bounds = bounds
        self._version_service_count = version_service_count
        self._part_crashes = part_crashes
        self._signals = signal_log
        self._orderly_stops = orderly_stops
        self._lost: set[str] = set()
        self._duties = dutyrules.DutyChecker(
            recorder, store, disturbances, bounds, entry_names
        )

    def check(self) -> None:
        """Record what was broken over the whole soak."""
        self._check_drains()
        self._check_configurations()
        self._check_retry_budget()
        self._check_quota()
        self._duties.check()
        self._check_gone_callers()
        self._check_deadly_parts()
        self._check_cuts()
        self._signals.check(
            self._recorder, self._disturbances, self._bounds, MEASUREMENT_ALLOWANCE_S
        )

    def _is_in_contact(self, entry: str, begin: float, end: float) -> bool:
        """Whether an entry and the store were undisturbed for long enough."""
        begin -= self._bounds.contact_s
        is_undisturbed = self._disturbances.is_undisturbed
        return is_undisturbed(entry, begin, end) and is_undisturbed("store", begin, end)

    def _check_drains(self) -> None:
        limit_s = self._bounds.drain_s + MEASUREMENT_ALLOWANCE_S
        for attempt in self._recorder.attempts.values():
            for at, server in attempt.arrivals:
                left_at = server.left_at
                if left_at is None or at <= left_at + limit_s:
                    continue
                is_server_undisturbed = self._disturbances.is_undisturbed(
                    server.name, left_at - self._bounds.contact_s, at
                )
                if is_server_undisturbed and self._is_in_contact(
                    attempt.entry, left_at, at
                ):
                    detail = f"{attempt.attempt_id} {at - left_at:.2f} s late"
                    self._recorder.record_violation(
                        "DRAIN", f"{detail} at {server.name}", at
                    )

    def _check_configurations(self) -> None:
        """
        Check which configuration each request of the version route was sent under.

        Each change points that route to another service.
        """
        history: dict[tuple[str, int], list[tuple[float, int]]] = {}
        acknowledged_at = [
            change.acknowledged_at for change in self._configuration_changes
        ]
        attempts = [
            attempt
            for attempt in self._recorder.attempts.values()
            if attempt.kind == "version"
        ]
        for attempt in sorted(attempts, key=lambda attempt: attempt.sent_at):
            for at, server in attempt.runs:
                newest = bisect.bisect_right(acknowledged_at, at) - 1
                due_count = bisect.bisect_right(
                    acknowledged_at,
                    attempt.sent_at
                    - self._bounds.configuration_s
                    - MEASUREMENT_ALLOWANCE_S,
                )
                index = self._change_index(server.service, newest)
                begin = attempt.sent_at - self._bounds.configuration_s
                if index < due_count - 1 and self._is_in_contact(
                    attempt.entry, begin, at
                ):
                    text = f"{attempt.attempt_id}: change {index}, owed {due_count - 1}"
                    self._recorder.record_violation(
                        "CONFIG", f"{text} at {attempt.entry}", at
                    )
                self._check_revert(history, attempt, index, at)

    def _change_index(self, service: str, newest: int) -> int:
        """Return the newest change, up to ``newest``, that routes to a service."""
        service_number = int(service.removeprefix("v"))
        return newest - (newest - service_number) % self._version_service_count

    def _check_revert(
        self,
        history: dict[tuple[str, int], list[tuple[float, int]]],
        attempt: ledger.Attempt,
        index: int,
        at: float,
    ) -> None:
        used = history.setdefault((attempt.entry, attempt.incarnation), [])
        limit = attempt.sent_at - self._bounds.revert_s - MEASUREMENT_ALLOWANCE_S
        earlier = [used_index for used_at, used_index in used if used_at < limit]
        if earlier and index < max(earlier):
            text = f"{attempt.attempt_id}: change {index} after {max(earlier)}"
            self._recorder.record_violation("CONFIG", f"{text} at {attempt.entry}", at)
        used.append((at, index))

    def _check_retry_budget(self) -> None:
        window_s = self._bounds.repeat_window_s
        first_sends: dict[str, list[float]] = collections.defaultdict(list)
        repeats: dict[str, list[float]] = collections.defaultdict(list)
        for attempt in self._recorder.attempts.values():
            for number, (at, server) in enumerate(attempt.arrivals):
                if number == 0:
                    first_sends[server.service].append(attempt.sent_at)
                else:
                    repeats[server.service].append(at)
        for service, repeated_at in repeats.items():
            repeated_at.sort()
            sent_at = sorted(first_sends[service])
            for position, start in enumerate(repeated_at):
                repeat_count = (
                    bisect.bisect_left(repeated_at, start + window_s) - position
                )
                request_count = max(
                    _count_between(sent_at, start - back_s, start - back_s + window_s)
                    for back_s in (0.0, window_s / 2, window_s)
                )
                allowed = self._bounds.repeat_ratio * request_count
                if repeat_count > allowed + self._bounds.repeat_burst:
                    detail = (
                        f"{repeat_count} repeats to {service}"
                        f" with {request_count} requests"
                    )
                    self._recorder.record_violation("BUDGET", detail, start)
                    break

    def _check_quota(self) -> None:
        bounds = self._bounds
        window_s = bounds.quota_window_s
        runs = sorted(
            (attempt.sent_at, attempt.runs[0].at)
            for attempt in self._recorder.attempts.values()
            if attempt.organisation == "hot" and attempt.runs
        )
        allowed = bounds.quota_rate * window_s + bounds.quota_burst
        allowed = allowed * (1 + bounds.quota_overshoot) + bounds.quota_slack
        counts = [
            (
                sum(
                    start <= sent_at and ran_at < start + window_s
                    for sent_at, ran_at in runs
                ),
                start,
            )
            for start, _ in runs
        ]
        run_count, start = max(counts, default=(0, 0.0))
        if run_count > allowed:
            self._recorder.record_violation(
                "QUOTA", f"{run_count} of {allowed:.0f}", start
            )

    def _check_deadly_parts(self) -> None:
        """Check that requests with a part that crashed servers stop reaching them."""
        bounds = self._bounds
        for part, crashed_at in self._part_crashes.items():
            if len(crashed_at) < bounds.part_crashes:
                continue
            due = crashed_at[bounds.part_crashes - 1] + bounds.contact_s
            late = [
                attempt.attempt_id
                for attempt in self._recorder.attempts.values()
                for at, _ in attempt.arrivals
                if attempt.part == part
                and at > due + MEASUREMENT_ALLOWANCE_S
                and self._is_in_contact(attempt.entry, at, at)
            ]
            if len(late) > bounds.late_part_requests:
                detail = f"{part}: {len(late)} late after {len(crashed_at)} crashes"
                self._recorder.record_violation("BUDGET", detail, due)

    def _check_gone_callers(self) -> None:
        late = []
        for attempt in self._recorder.attempts.values():
            if attempt.caller_left_at is None:
                continue
            limit = (
                attempt.caller_left_at + self._bounds.gone_s + MEASUREMENT_ALLOWANCE_S
            )
            late += [
                attempt.attempt_id
                for at, _ in attempt.arrivals
                if at > limit
                and self._is_in_contact(attempt.entry, attempt.caller_left_at, at)
            ]
        if len(late) > self._bounds.gone_requests:
            self._recorder.record_violation(
                "GONE", f"{len(late)} requests of callers that left"
            )
        self._check_abandoned_runs()

    def _check_abandoned_runs(self) -> None:
        """Check that servers stop most runs whose callers have left."""
        continued = stopped = 0
        for attempt in self._recorder.attempts.values():
            caller_left_at, ended_at = attempt.caller_left_at, attempt.run_ended_at
            if (
                caller_left_at is None
                or ended_at is None
                or attempt.kind != "resumable"
            ):
                continue
            started_at = attempt.runs[-1].at
            limit = caller_left_at + self._bounds.gone_s + MEASUREMENT_ALLOWANCE_S
            is_unfinished_at_limit = started_at + COMPLETE_STREAM_S > limit
            is_in_contact = self._is_in_contact(attempt.entry, caller_left_at, limit)
            if started_at < caller_left_at and is_unfinished_at_limit and is_in_contact:
                continued += ended_at > limit
                stopped += ended_at <= limit
        if continued > max(
            self._bounds.gone_requests, self._bounds.gone_share * (continued + stopped)
        ):
            detail = f"{continued} of {continued + stopped} worked on for nobody"
            self._recorder.record_violation("GONE", detail)

    def _check_cuts(self) -> None:
        """
        Check that no stream that had begun was cut though its servers were sound.

        A server that stands still, refuses or leaves is sound. Nothing is checked of a
        stream if it was at its deadline, or if one of its servers broke off or one of
        its entries was disturbed, other than by an orderly stop.
        """
        for attempt in self._recorder.attempts.values():
            if not attempt.event_count or attempt.status != OK or attempt.is_complete:
                continue
            has_left = attempt.caller_left_at is not None
            if has_left or attempt.ended_at is None or self._is_at_limit(attempt):
                continue
            begin, end = attempt.sent_at - self._bounds.contact_s, attempt.ended_at
            is_undisturbed = self._disturbances.is_undisturbed
            are_entries_sound = all(
                is_undisturbed(name, begin, end, kinds=BREAKING_OFF)
                for name in {attempt.entry, *attempt.senders}
            )
            are_servers_sound = all(
                is_undisturbed(server.name, begin, end, kinds=BREAKING_OFF)
                for _, server in attempt.arrivals
            )
            if are_entries_sound and are_servers_sound:
                self._record_lost(attempt, end)

    def _is_at_limit(self, attempt: ledger.Attempt) -> bool:
        """Whether an entry may have ended an attempt because its time was up."""
        ended_at = attempt.ended_at
        if ended_at >= attempt.sent_at + attempt.timeout_s - DEADLINE_S:
            return True
        stop_limit_s = LAST_PART * self._bounds.stop_limit_s
        return any(
            stop.entry == attempt.entry
            and attempt.sent_at <= stop.began + SENT_SOON_S
            and stop.began + stop_limit_s <= ended_at
            and ended_at <= stop.ended + MEASUREMENT_ALLOWANCE_S
            for stop in self._orderly_stops
        )

    def _record_lost(self, attempt: ledger.Attempt, at: float) -> None:
        if attempt.attempt_id in self._lost:
            return
        self._lost.add(attempt.attempt_id)
        detail = f"{attempt.attempt_id} at {attempt.entry}"
        if attempt.events:
            after_s = attempt.ended_at - attempt.sent_at
            names = ", ".join(server.name for _, server in attempt.arrivals)
            detail += f", {attempt.events} events, {after_s:.2f} s; sent to {names}"
        self._recorder.record_violation("LOST", detail, at)

    def check_stop(self, entry: str, began: float, ended: float) -> None:
        """
        Check that an orderly stop of an entry lost no request.

        Nothing is checked if something else was disturbed meanwhile.
        """
        begin = began - self._bounds.contact_s
        is_undisturbed = self._disturbances.is_undisturbed
        is_stop_undisturbed = is_undisturbed(
            entry, begin, ended, except_begun_at=began
        ) and is_undisturbed("store", begin, ended)
        if not is_stop_undisturbed:
            return
        for attempt in self._recorder.attempts.values():
            is_relevant = attempt.entry == entry and attempt.caller_left_at is None
            if not is_relevant or not began - 1.0 < attempt.sent_at < began + 3.0:
                continue
            servers = [server.name for _, server in attempt.arrivals]
            if not servers or attempt.ended_at is None or self._is_at_limit(attempt):
                continue
            if not all(is_undisturbed(name, begin, ended) for name in servers):
                continue
            are_peers_sound = all(
                is_undisturbed(name, begin, ended, kinds=BREAKING_OFF)
                for name in attempt.senders - {entry}
            )
            if not are_peers_sound:
                continue
            if attempt.status is None or not attempt.is_complete:
                self._record_lost(attempt, began)

    def check_recovery(self, faults_ended_at: float, now: float) -> None:
        """Check that enough was served from ``recover_s`` after the last fault on."""
        begin = faults_ended_at + self._bounds.recover_s
        sent = [
            attempt
            for attempt in self._recorder.attempts.values()
            if begin <= attempt.sent_at < now - 2.0 and attempt.organisation != "hot"
        ]
        served = sum(attempt.is_complete and attempt.status == 200 for attempt in sent)
        if not sent or served < self._bounds.recovered_share * len(sent):
            self._recorder.record_violation(
                "RECOVER", f"{served} of {len(sent)} served"
            )


def _count_between(moments: abc.Sequence[float], begin: float, end: float) -> int:
    return bisect.bisect_left(moments, end) - bisect.bisect_left(moments, begin)
