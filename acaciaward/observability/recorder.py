"""
Counts how callers' requests ended, for the burn report and for ``/metrics``.

A request counts when it was answered, or was refused or aborted by the system.
Requests that fail through the caller's own error, or that the caller cancels,
don't count.

    recorder = Recorder("entry-1")
    recorder.apply_document(configuration.view.document)
    recorder.record_answer("urgent", "desk", seconds=0.012)
"""

import contextlib
import time
from collections import abc

import prometheus_client

from acaciaward import documents, errors
from acaciaward.observability import burn, slots

FIRST_FAILURE_STATUS = 500
RESULTS = ("good", "bad")
SERVICE_CLASSES = ("urgent", "short", "long")
DEFAULT_SERVICE_CLASS = "short"

ANSWER_DURATION = prometheus_client.Histogram(
    "acaciaward_answer_seconds",
    "Time from a request's dispatch to the end of its answer",
    ["service_class", "deployment"],
    buckets=slots.DEFAULT_BOUNDS_S,
)
OBJECTIVE_ANSWERS = prometheus_client.Counter(
    "acaciaward_objective_answers_total",
    "Answers judged by an objective, by whether they were good",
    ["objective", "result"],
)
OBJECTIVE_SHARE = prometheus_client.Gauge(
    "acaciaward_objective_share", "Share of good answers wanted", ["objective"]
)


class Recorder:
    """Counts the answers of this entry since it started."""

    def __init__(self, name: str, *, clock: abc.Callable[[], float] = time.time):
        self._name = name
        self._clock = clock
        self._since = clock()
        self._slot_table = slots.SlotTable()
        self._objectives: dict[str, documents.Objective] = {}
        self._deployments: frozenset[str] = frozenset()

    def apply_document(self, document: documents.Document) -> None:
        """
        Count by a document's objectives from now on.

        The metrics of objectives and deployments that it lacks are removed.
        """
        objectives = document.get("objectives", {})
        deployments = document.get("deployments", {})
        for removed in self._objectives.keys() - objectives.keys():
            _forget(OBJECTIVE_ANSWERS, ((removed, result) for result in RESULTS))
            _forget(OBJECTIVE_SHARE, [(removed,)])
        for removed in self._deployments - deployments.keys():
            _forget(ANSWER_DURATION, ((name, removed) for name in SERVICE_CLASSES))
        self._objectives = objectives
        self._deployments = frozenset(deployments)
        for name, objective in objectives.items():
            OBJECTIVE_SHARE.labels(name).set(objective["share"])
        deadlines = [objective["deadline_s"] for objective in objectives.values()]
        self._slot_table.set_bounds([*slots.DEFAULT_BOUNDS_S, *deadlines])

    def record_answer(
        self, service_class: str, deployment: str, *, seconds: float
    ) -> None:
        """Count a complete answer that took ``seconds``."""
        ANSWER_DURATION.labels(service_class, deployment).observe(seconds)
        self._add(service_class, deployment, seconds, is_failure=False)

    def record_error(
        self, service_class: str, deployment: str, error: errors.RequestError
    ) -> None:
        """Count a request that ended with an error, if the system caused it."""
        if is_failure(error):
            self._add(service_class, deployment, 0.0, is_failure=True)

    def record_early_refusal(
        self, requested_class: str, error: errors.RequestError
    ) -> None:
        """
        Count a request that was refused before its deployment was known.

        ``requested_class`` is the caller's text and may be no service class.
        """
        is_known = requested_class in SERVICE_CLASSES
        service_class = requested_class if is_known else DEFAULT_SERVICE_CLASS
        self.record_error(service_class, burn.NO_DEPLOYMENT, error)

    def _add(
        self, service_class: str, deployment: str, seconds: float, *, is_failure: bool
    ) -> None:
        self._slot_table.add(
            self._clock(),
            service_class,
            deployment,
            seconds=seconds,
            is_failure=is_failure,
        )
        for name, objective in self._objectives.items():
            if objective["service_class"] == service_class:
                is_good = not is_failure and seconds <= objective["deadline_s"]
                OBJECTIVE_ANSWERS.labels(name, "good" if is_good else "bad").inc()

    def snapshot(
        self, at: float | None = None, *, with_points: bool = False
    ) -> burn.EntryBurn:
        """
        Return the counts of every window of every objective, up to ``at``.

        ``at`` is Unix time in seconds, by default now. With ``with_points``, the
        result also has the counts of each slot, for plots.
        """
        end = self._clock() if at is None else at
        windows = {
            window_s
            for objective in self._objectives.values()
            for window_s in burn.windows_of(objective)
        }
        return {
            "name": self._name,
            "at": end,
            "since": self._since,
            "windows": [self._window(end, window_s) for window_s in sorted(windows)],
            "points": self._points(end) if with_points else [],
        }

    def _window(self, at: float, window_s: float) -> burn.WindowFields:
        counts = self._slot_table.sum(at=at, window_s=window_s)
        return {"window_s": window_s, "counts": burn.to_fields(counts)}

    def _points(self, at: float) -> list[burn.PointFields]:
        return [
            {"objective": name, "start": start, **tally._asdict()}
            for name, objective in sorted(self._objectives.items())
            for start, tally in self._tallies_by_start(at, objective)
        ]

    def _tallies_by_start(
        self, at: float, objective: documents.Objective
    ) -> abc.Iterator[tuple[int, burn.Tally]]:
        counts_by_start = self._slot_table.sum_by_slot(
            at=at, window_s=objective["window_s"]
        )
        for start, counts in counts_by_start.items():
            yield start, burn.tally(burn.to_fields(counts), objective)


def is_failure(error: errors.RequestError) -> bool:
    """Return whether an error was caused by the system and not by the caller."""
    is_outcome_unknown = isinstance(error, errors.OutcomeUnknownError)
    return error.status >= FIRST_FAILURE_STATUS or is_outcome_unknown


def _forget(
    metric: prometheus_client.metrics.MetricWrapperBase,
    label_values: abc.Iterable[tuple[str, ...]],
) -> None:
    for values in label_values:
        # Label values that were never counted have no child metric.
        with contextlib.suppress(KeyError):
            metric.remove(*values)
