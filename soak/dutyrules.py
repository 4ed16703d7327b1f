"""
Checks the duties: who did them, by what the platform saw, and that they go on.

That a duty has one holder, and a window one report, isn't excused by any disturbance.
"""

import collections
import math
import time
import typing
from collections import abc

from soak import conditions, ledger
from standins import edgestore


class DutyChecker:
    """Checks the calls of the duties' holders and records violations."""

    def __init__(
        self,
        recorder: ledger.Recorder,
        store: edgestore.EdgeStore,
        disturbances: conditions.Disturbances,
        bounds: conditions.Bounds,
        entry_names: abc.Collection[str],
    ):
        self._recorder = recorder
        self._store = store
        self._disturbances = disturbances
        self._bounds = bounds
        self._entry_names = entry_names

    def check(self) -> None:
        """Record what was broken over the whole soak."""
        self._check_one()
        self._check_windows_go_on()

    def _check_one(self) -> None:
        counts: dict[int, typing.Any] = {}
        for call in self._store.reports:
            window = call.body["WindowId"]
            if counts.setdefault(window, call.body["Counts"]) != call.body["Counts"]:
                self._recorder.record_violation(
                    "ONE", f"window {window} reported twice", call.at
                )
        holders: dict[tuple[str, int], str] = {}
        for calls in (self._store.reports, self._store.orders):
            for call in calls:
                key = (_duty_subject(call), call.fence)
                if holders.setdefault(key, call.holder) != call.holder:
                    self._recorder.record_violation(
                        "ONE", f"fence {key} used by two", call.at
                    )
            self._check_fencing(calls)

    def _check_fencing(self, calls: abc.Sequence[edgestore.DutyCall]) -> None:
        by_subject: dict[str, list[edgestore.DutyCall]] = collections.defaultdict(list)
        for call in calls:
            by_subject[_duty_subject(call)].append(call)
        for subject, subject_calls in by_subject.items():
            # The first call of each tenure, which is a series of calls by one holder.
            tenures = [subject_calls[0]]
            for previous, call in zip(subject_calls, subject_calls[1:], strict=False):
                if call.fence < previous.fence:
                    detail = f"{subject}: fence {call.fence} after {previous.fence}"
                    self._recorder.record_violation("ONE", detail, call.at)
                if call.holder != tenures[-1].holder:
                    tenures.append(call)
            for first, _, third in zip(tenures, tenures[1:], tenures[2:], strict=False):
                is_early = third.at - first.at < self._bounds.lease_s
                if first.holder == third.holder and is_early:
                    self._recorder.record_violation(
                        "ONE", f"{subject}: back and forth", third.at
                    )

    def _check_windows_go_on(self) -> None:
        """
        Check that windows are reported in time again some time after a restore.

        Each window is checked from the contact time before its start until its report
        is due only if nothing disturbed the store or any entry meanwhile.
        """
        bounds = self._bounds
        began = max(self._store.restored_at, default=self._store.started_at)
        begin = began + bounds.usage_resumed_s
        now = time.monotonic()
        reported_at: dict[int, float] = {}
        for call in self._store.reports:
            reported_at.setdefault(call.body["WindowId"], call.at)
        epoch = time.time() - now
        window = int((epoch + begin) // bounds.usage_window_s)
        while True:
            ended_at = (window + 1) * bounds.usage_window_s - epoch
            due = ended_at + bounds.usage_late_s
            if due > now:
                return
            since = ended_at - bounds.usage_window_s - bounds.contact_s
            is_late = reported_at.get(window, math.inf) > due
            if is_late and self._is_all_undisturbed(since, due):
                self._recorder.record_violation(
                    "USAGE", f"window {window} not reported in time", due
                )
            window += 1

    def _is_all_undisturbed(self, begin: float, end: float) -> bool:
        return all(
            self._disturbances.is_undisturbed(name, begin, end)
            for name in ("store", *self._entry_names)
        )


def _duty_subject(call: edgestore.DutyCall) -> str:
    if "WindowId" in call.body:
        return "usage"
    return f"{call.body['Service']} {call.body['Zone']}"
