"""
Routes requests by predicted finish time over a deterministic subset of endpoints.

Builds a snapshot of each usable endpoint from load reports, hints and the outcomes of
this entry's own attempts; ``choice`` picks one.
"""

import collections
import random
import time
import typing
from collections import abc

from acaciaward import documents, errors, requests
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.routing import choice, interfaces, loads, prefix, subset

RETRY_AFTER_S = 1.0
FAILURE_MEMORY_S = 3.0
SLOWNESS_SMOOTHING = 0.1
MAX_SLOWNESS = 20.0
# Assumed for plain services, which report no load.
SERVICE_STEP_S = 0.01


class _Health:
    """Failures and slowness of one endpoint, from this entry's own attempts."""

    def __init__(self):
        self.first_seen_at = time.monotonic()
        self.slowness = 1.0
        self.failures = 0
        self.failed_at = float("-inf")

    def record_failure(self) -> None:
        self.failures += 1
        self.failed_at = time.monotonic()

    def record_answer(self, ratio: float) -> None:
        """Record an answer that took ``ratio`` times as long as predicted."""
        self.failures = 0
        bounded = min(MAX_SLOWNESS, max(1.0, ratio))
        self.slowness += SLOWNESS_SMOOTHING * (bounded - self.slowness)

    @property
    def recent_failures(self) -> int:
        is_recent = time.monotonic() - self.failed_at < FAILURE_MEMORY_S
        return self.failures if is_recent else 0


class _Attempt(typing.NamedTuple):
    started_at: float
    expected_s: float


class BalancedRouter:
    """Implements ``interfaces.Router``."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        hints: membership_interfaces.Hints,
        load_tracker: loads.LoadTracker,
        *,
        entry: str,
        data_centre: str,
        subset_size: int,
        rng: random.Random | None = None,
    ):
        self._configuration = configuration
        self._hints = hints
        self._load_tracker = load_tracker
        self._entry = entry
        self._data_centre = data_centre
        self._subset_size = subset_size
        self._random = rng or random.Random()
        self._health: dict[str, _Health] = collections.defaultdict(_Health)
        self._attempts: dict[tuple[str, str], _Attempt] = {}
        self._subsets: dict[str, list[requests.Endpoint]] = {}
        configuration.subscribe(self._apply_view)

    def _apply_view(self, view: documents.View) -> None:
        self._subsets = {}
        model_endpoints = [
            endpoint
            for deployment in view.document.get("deployments", {})
            for endpoint in self._subset(deployment)
            if endpoint.kind is requests.DeploymentKind.MODEL
        ]
        self._load_tracker.follow(model_endpoints)
        known_names = {
            endpoint.name
            for deployment in view.document.get("deployments", {})
            for endpoint in self._configuration.endpoints(deployment)
        }
        for name in [name for name in self._health if name not in known_names]:
            del self._health[name]

    def _subset(self, deployment: str) -> list[requests.Endpoint]:
        if deployment not in self._subsets:
            self._subsets[deployment] = subset.choose_subset(
                self._entry,
                self._data_centre,
                self._configuration.endpoints(deployment),
                size=self._subset_size,
            )
        return self._subsets[deployment]

    def usable(self, deployment: str) -> list[requests.Endpoint]:
        """Return the endpoints of the subset that aren't leaving or dead."""
        unavailable = self._hinted_unavailable()
        return [
            endpoint
            for endpoint in self._subset(deployment)
            if not self._is_unavailable(endpoint, unavailable)
        ]

    def choose(
        self,
        request: requests.Request,
        *,
        excluded: abc.Set[str] = frozenset(),
        avoided_data_centres: abc.Set[str] = frozenset(),
        prefers_idle: bool = False,
    ) -> requests.Endpoint:
        """Return the endpoint for the next attempt."""
        usable = self._candidates(request.deployment, excluded)
        if not usable:
            raise errors.NoEndpointError(
                f"no live endpoint serves {request.deployment}",
                retry_after_s=RETRY_AFTER_S,
            )
        if prefers_idle:
            idle = [
                endpoint for endpoint in usable if not self._own_in_flight(endpoint)
            ]
            usable = idle or usable
        blocks = prefix.block_names(request.prompt, request.organisation)
        snapshots = [
            self._snapshot(endpoint, blocks, avoided_data_centres)
            for endpoint in usable
        ]
        chosen = choice.choose(snapshots, self._profile(request), self._random)
        if blocks:
            self._load_tracker.blocks(chosen.name).record_sent(blocks)
        return chosen

    def _candidates(
        self, deployment: str, excluded: abc.Set[str]
    ) -> list[requests.Endpoint]:
        unavailable = self._hinted_unavailable() | excluded
        for pool in (
            self._subset(deployment),
            self._configuration.endpoints(deployment),
        ):
            usable = [
                endpoint
                for endpoint in pool
                if not self._is_unavailable(endpoint, unavailable)
            ]
            if usable:
                return usable
        return []

    def _is_unavailable(
        self, endpoint: requests.Endpoint, unavailable: abc.Set[str]
    ) -> bool:
        report = self._load_tracker.report(endpoint.name)
        is_leaving = report is not None and report.load.leaving
        return is_leaving or endpoint.name in unavailable

    def _hinted_unavailable(self) -> set[str]:
        kinds = (
            membership_interfaces.HintKind.ENDPOINT_LEAVING,
            membership_interfaces.HintKind.ENDPOINT_DEAD,
        )
        return {hint.subject for kind in kinds for hint in self._hints.all(kind)}

    def _own_in_flight(self, endpoint: requests.Endpoint) -> int:
        return self._load_tracker.in_flight.get(endpoint.name, 0)

    def _snapshot(
        self,
        endpoint: requests.Endpoint,
        blocks: list[str],
        avoided_data_centres: abc.Set[str],
    ) -> choice.Snapshot:
        health = self._health[endpoint.name]
        cached_tokens = (
            self._load_tracker.blocks(endpoint.name).cached_tokens(blocks)
            if blocks
            else 0
        )
        snapshot = choice.Snapshot(
            endpoint,
            own_in_flight=self._own_in_flight(endpoint),
            cached_tokens=cached_tokens,
            slowness=health.slowness,
            failures=health.recent_failures,
            since_first_seen_s=time.monotonic() - health.first_seen_at,
            is_avoided=endpoint.data_centre in avoided_data_centres,
        )
        if endpoint.kind is requests.DeploymentKind.SERVICE:
            return snapshot._replace(slots=loads.SERVICE_SLOTS, step_s=SERVICE_STEP_S)
        report = self._load_tracker.report(endpoint.name)
        if report is None:
            return snapshot._replace(
                slots=loads.DEFAULT_SLOTS, step_s=loads.DEFAULT_STEP_S
            )
        load = report.load
        return snapshot._replace(
            others_in_flight=max(
                0.0, load.running + load.waiting - report.own_in_flight
            ),
            report_age_s=time.monotonic() - report.measured_at,
            slots=float(max(1, load.running + load.free_slots)),
            step_s=load.step_s,
        )

    def _profile(self, request: requests.Request) -> choice.RequestProfile:
        deployments = self._configuration.view.document.get("deployments", {})
        deployment = deployments.get(request.deployment, {})
        return choice.RequestProfile(
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.max_tokens,
            service_class=request.service_class,
            data_centre=self._data_centre,
            weights=deployment.get("weights", {}),
            prefill_s=loads.PREFILL_S,
        )

    def record_start(
        self, endpoint: requests.Endpoint, request: requests.Request
    ) -> None:
        """Count an attempt as in flight."""
        self._load_tracker.in_flight[endpoint.name] = self._own_in_flight(endpoint) + 1
        snapshot = self._snapshot(endpoint, [], frozenset())
        expected_s = choice.service_s(snapshot, self._profile(request))
        key = (endpoint.name, request.request_id)
        self._attempts[key] = _Attempt(time.monotonic(), expected_s)

    def record_end(
        self,
        endpoint: requests.Endpoint,
        request: requests.Request,
        end: interfaces.AttemptEnd,
        *,
        first_token_s: float | None = None,
    ) -> None:
        """Count an attempt as ended and update the endpoint's health."""
        own_in_flight = self._own_in_flight(endpoint) - 1
        if own_in_flight > 0:
            self._load_tracker.in_flight[endpoint.name] = own_in_flight
        else:
            self._load_tracker.in_flight.pop(endpoint.name, None)
        attempt = self._attempts.pop((endpoint.name, request.request_id), None)
        health = self._health[endpoint.name]
        if end in (interfaces.AttemptEnd.FAILED, interfaces.AttemptEnd.REFUSED):
            health.record_failure()
        elif end is interfaces.AttemptEnd.ANSWERED and attempt is not None:
            took_s = time.monotonic() - attempt.started_at
            health.record_answer(took_s / max(0.001, attempt.expected_s))
