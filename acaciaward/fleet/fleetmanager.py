"""
Rents and releases instances to match each deployment's plan, while holding its lease.

Each round reads offers and the instance list, plans, and executes the steps.
A start carries a client token, an idempotency key that is kept until the list shows
the instance: if the response is lost, the start is retried with the same token and
rents nothing twice. Every instance that the list shows for a deployment belongs to
it, whoever rented it. The lease holder patches the configuration: live instances are
added as endpoints, and instances that are gone are removed. Without a lease, or with
a configuration that isn't current, the fleet isn't changed.
"""

import asyncio
import logging
import time
import typing
import uuid
from collections import abc

from acaciaward import documents, errors, requests
from acaciaward.configuration import logconfiguration
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.fleet import demand, plan, refusals
from acaciaward.leases import interfaces as leases_interfaces
from acaciaward.observability import logs
from acaciaward.provider import interfaces as provider_interfaces

log = logging.getLogger(__name__)

DUTY_PREFIX = "fleet-"
LIVE_STATE = "live"
# Maximum time until the instance list, which lags, shows a rented instance.
LIST_LAG_S = 15.0
MAX_CONCURRENT_LOADS = 4
URGENT = requests.ServiceClass.URGENT.value


class PendingStart(typing.NamedTuple):
    """A start whose instance the instance list doesn't show yet."""

    token: str
    place: plan.Place
    requested_at: float
    instance: provider_interfaces.CloudInstance | None


class FleetPlatform(typing.NamedTuple):
    """The platform services that the fleet uses."""

    cloud: provider_interfaces.Cloud
    instances: provider_interfaces.InstanceList
    weights: provider_interfaces.WeightStore


class FleetManager:
    """Plans the fleet of every deployment with a fleet rule, and executes the plans."""

    def __init__(
        self,
        configuration: logconfiguration.LogConfiguration,
        leases: leases_interfaces.Leases,
        platform: FleetPlatform,
        engine: endpoints_interfaces.ModelEngine,
        count_streams: abc.Callable[[str], float],
        *,
        name: str,
        interval_s: float,
        hold_s: float,
        drain_s: float,
    ):
        self._configuration = configuration
        self._leases = leases
        self._platform = platform
        self._engine = engine
        self._count_streams = count_streams
        self._author = f"fleet:{name}"
        self._interval_s = interval_s
        self._drain_s = drain_s
        self._demand = demand.PeakDemand(hold_s=hold_s)
        self._refusals = refusals.Refusals()
        self._pending: dict[str, list[PendingStart]] = {}
        self._rented_names: dict[str, set[str]] = {}
        self._drain_ends_at: dict[str, float] = {}
        self._load_due_at: dict[str, float] = {}

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            try:
                await self._run_round()
            except errors.PlatformError as error:
                log.warning("fleet round failed", extra=logs.fields(reason=error))
            await asyncio.sleep(self._interval_s)

    async def planned_steps(self) -> list[plan.Step]:
        """Return the steps of every deployment's plan without executing them."""
        offers, listing = await self._read_platform()
        return [
            step
            for name, deployment_entry in self._managed_deployments()
            for step in plan.make_plan(
                self._snapshot(name, deployment_entry, offers, listing)
            )
        ]

    def _managed_deployments(self) -> list[tuple[str, documents.DeploymentEntry]]:
        """Return deployments with a fleet rule, shortest urgent deadline first."""
        deployments = self._configuration.view.document.get("deployments", {})
        managed = [
            (name, deployment_entry)
            for name, deployment_entry in deployments.items()
            if plan.rule_of(deployment_entry) is not None
        ]
        return sorted(
            managed,
            key=lambda item: (
                item[1].get("deadlines_s", {}).get(URGENT, float("inf")),
                item[0],
            ),
        )

    async def _read_platform(
        self,
    ) -> tuple[
        list[provider_interfaces.Offer], list[provider_interfaces.CloudInstance]
    ]:
        return await asyncio.gather(
            self._platform.cloud.offers(), self._platform.instances.instances()
        )

    async def _run_round(self) -> None:
        if not self._configuration.is_current:
            log.warning(
                "fleet round skipped: configuration not current",
                extra=logs.fields(reason="log unread"),
            )
            return
        offers, listing = await self._read_platform()
        for name, deployment_entry in self._managed_deployments():
            self._leases.request(DUTY_PREFIX + name)
            if self._holds(name):
                await self._reconcile_deployment(
                    name, deployment_entry, offers, listing
                )

    def _holds(self, deployment: str) -> bool:
        return self._leases.held(DUTY_PREFIX + deployment) is not None

    async def _reconcile_deployment(
        self,
        name: str,
        deployment_entry: documents.DeploymentEntry,
        offers: abc.Sequence[provider_interfaces.Offer],
        listing: abc.Sequence[provider_interfaces.CloudInstance],
    ) -> None:
        self._drop_listed_starts(name, listing)
        snapshot = self._snapshot(name, deployment_entry, offers, listing)
        for step in plan.make_plan(snapshot):
            # The lease is checked again before each order, since this process may
            # have been paused in between.
            if self._holds(name):
                await self._execute(step)
        await self._retry_unanswered_starts(name)
        await self._patch_endpoints(name, deployment_entry, snapshot.instances)
        await self._stop_drained_instances()

    def _drop_listed_starts(
        self,
        name: str,
        listing: abc.Sequence[provider_interfaces.CloudInstance],
    ) -> None:
        listed = {instance.client_token for instance in listing}
        oldest = time.monotonic() - LIST_LAG_S
        self._pending[name] = [
            pending_start
            for pending_start in self._pending.get(name, ())
            if pending_start.token not in listed
            and (pending_start.instance is None or pending_start.requested_at > oldest)
        ]

    def _snapshot(
        self,
        name: str,
        deployment_entry: documents.DeploymentEntry,
        offers: abc.Sequence[provider_interfaces.Offer],
        listing: abc.Sequence[provider_interfaces.CloudInstance],
    ) -> plan.Snapshot:
        listed = [instance for instance in listing if instance.deployment == name]
        names = {instance.name for instance in listed}
        unlisted = [
            pending_start.instance or _placeholder_instance(name, pending_start)
            for pending_start in self._pending.get(name, ())
            if pending_start.instance is None
            or pending_start.instance.name not in names
        ]
        instances = [
            instance
            for instance in [*listed, *unlisted]
            if instance.name not in self._drain_ends_at
        ]
        return plan.Snapshot(
            name,
            plan.rule_of(deployment_entry),
            deployment_entry.get("weights", {}),
            self._demand.record(name, self._count_streams(name)),
            instances,
            offers,
            self._refusals.refused_places(),
            self._demand.has_full_window(name),
        )

    async def _execute(self, step: plan.Step) -> None:
        if step.action is plan.Action.START:
            place = plan.place_of(step.offer)
            token = f"{step.deployment}-{uuid.uuid4().hex}"
            pending_start = PendingStart(token, place, time.monotonic(), None)
            self._pending.setdefault(step.deployment, []).append(pending_start)
            _log_step(step)
            await self._start(step.deployment, pending_start)
        elif step.action is plan.Action.STOP:
            self._drain_ends_at[step.instance] = time.monotonic() + self._drain_s
            _log_step(step)

    async def _start(self, deployment: str, pending_start: PendingStart) -> None:
        pending = self._pending[deployment]
        data_centre, machine_class, market = pending_start.place
        try:
            instance = await self._platform.cloud.start_instance(
                client_token=pending_start.token,
                deployment=deployment,
                data_centre=data_centre,
                machine_class=machine_class,
                market=market,
            )
        except errors.PlatformRefusedError as error:
            pending.remove(pending_start)
            self._refusals.record_refusal(pending_start.place, error.retry_after_s)
            log.warning(
                "start refused",
                extra=logs.fields(
                    deployment=deployment,
                    place="/".join(pending_start.place),
                    reason=error,
                ),
            )
        except errors.PlatformUnknownError as error:
            # The outcome is unknown, so the start stays pending and is retried with
            # the same token until the cloud answers.
            log.warning(
                "start outcome unknown, will retry",
                extra=logs.fields(
                    deployment=deployment, token=pending_start.token, reason=error
                ),
            )
        else:
            pending[pending.index(pending_start)] = pending_start._replace(
                instance=instance
            )
            self._refusals.record_start(pending_start.place)

    async def _retry_unanswered_starts(self, deployment: str) -> None:
        for pending_start in list(self._pending.get(deployment, ())):
            is_due = (
                time.monotonic() - pending_start.requested_at > self._interval_s / 2
            )
            if pending_start.instance is None and is_due and self._holds(deployment):
                await self._start(deployment, pending_start)

    async def _patch_endpoints(
        self,
        name: str,
        deployment_entry: documents.DeploymentEntry,
        instances: abc.Sequence[provider_interfaces.CloudInstance],
    ) -> None:
        known = set(deployment_entry.get("endpoints", {}))
        live = {
            instance.name: instance
            for instance in instances
            if instance.state == LIVE_STATE
        }
        present = {instance.name for instance in instances}
        changes: dict[str, typing.Any] = {}
        for instance_name in sorted(set(live) - known):
            if await self._ensure_loaded(name, deployment_entry, live[instance_name]):
                changes[instance_name] = _endpoint_entry(live[instance_name])
        # Only endpoints that were seen as rented instances are removed; the others
        # aren't managed by the fleet.
        rented_names = self._rented_names.setdefault(name, set())
        for instance_name in sorted((known & rented_names) - present):
            changes[instance_name] = None
        rented_names |= present
        if changes and self._holds(name):
            await self._submit(name, changes)

    async def _submit(self, name: str, changes: dict[str, typing.Any]) -> None:
        outcome = await self._configuration.submit(
            base=self._configuration.view.version,
            author=self._author,
            changes={"deployments": {name: {"endpoints": changes}}},
        )
        log.info(
            "endpoints patched",
            extra=logs.fields(
                deployment=name,
                added=",".join(
                    instance_name for instance_name, value in changes.items() if value
                ),
                removed=",".join(
                    instance_name
                    for instance_name, value in changes.items()
                    if not value
                ),
                status=outcome.status.value,
                version=outcome.version,
            ),
        )

    async def _ensure_loaded(
        self,
        name: str,
        deployment_entry: documents.DeploymentEntry,
        instance: provider_interfaces.CloudInstance,
    ) -> bool:
        """
        Load the model weights if needed, and return whether the instance has them.

        The weight store's budget decides when a load may start.
        """
        if deployment_entry["kind"] == requests.DeploymentKind.SERVICE.value:
            return True
        now = time.monotonic()
        if instance.name not in self._load_due_at:
            loading = sum(due_at > now for due_at in self._load_due_at.values())
            if loading >= MAX_CONCURRENT_LOADS:
                return False
            wait_s = await self._platform.weights.reserve(
                deployment_entry.get("model", name), deployment_entry.get("version", "")
            )
            self._load_due_at[instance.name] = now + wait_s
        if self._load_due_at[instance.name] > now:
            return False
        return await self._order_load(name, deployment_entry, instance)

    async def _order_load(
        self,
        name: str,
        deployment_entry: documents.DeploymentEntry,
        instance: provider_interfaces.CloudInstance,
    ) -> bool:
        lease = self._leases.held(DUTY_PREFIX + name)
        if lease is None:
            return False
        endpoint = requests.Endpoint(
            instance.name,
            instance.address,
            instance.port,
            instance.data_centre,
            name,
            requests.DeploymentKind.MODEL,
        )
        order = endpoints_interfaces.EngineOrder(
            "load",
            deployment_entry.get("model", name),
            deployment_entry.get("version", ""),
            lease.fence,
        )
        try:
            await self._engine.order(endpoint, order)
        except errors.EndpointError as error:
            log.warning(
                "load order failed",
                extra=logs.fields(instance=instance.name, reason=error),
            )
            return False
        return True

    async def _stop_drained_instances(self) -> None:
        now = time.monotonic()
        for name in [
            name for name, ends_at in self._drain_ends_at.items() if ends_at <= now
        ]:
            await self._platform.cloud.stop_instance(name)
            log.info("instance released", extra=logs.fields(instance=name))
            # The lagging list still shows it for a while; it must not count again.
            self._drain_ends_at[name] = float("inf")


def _placeholder_instance(
    deployment: str, pending_start: PendingStart
) -> provider_interfaces.CloudInstance:
    return provider_interfaces.CloudInstance(
        pending_start.token,
        "",
        0,
        *pending_start.place,
        deployment,
        pending_start.token,
        "asked",
    )


def _endpoint_entry(
    instance: provider_interfaces.CloudInstance,
) -> documents.EndpointEntry:
    return {
        "address": instance.address,
        "port": instance.port,
        "data_centre": instance.data_centre,
        "reclaimable": instance.market == plan.RECLAIMABLE,
    }


def _log_step(step: plan.Step) -> None:
    place = "/".join(plan.place_of(step.offer)) if step.offer else ""
    log.info(
        "fleet step",
        extra=logs.fields(
            action=step.action.value,
            deployment=step.deployment,
            place=place,
            price=step.offer.price_per_hour if step.offer else "",
            instance=step.instance or "",
            reason=step.reason,
        ),
    )
