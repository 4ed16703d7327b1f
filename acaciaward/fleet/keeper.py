"""
Keeps each deployment's instances as the plan wants them, while its lease is held.

One round reads offers and the instance list, plans, and carries the steps out.
A start carries a client token that is kept until the list shows the instance: a
lost answer is asked again under the same token and rents nothing twice. What the
list shows for a deployment belongs to it, whoever rented it; live instances
become endpoints, and gone ones stop being endpoints, by a patch of the lease
holder. Without a lease, or with a configuration that isn't current, the fleet
stays as it is.
"""

import asyncio
import logging
import time
import typing
import uuid
from collections import abc

from acaciaward import documents, errors, requests
from acaciaward.configuration import follower
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.fleet import demand, plan, refusals
from acaciaward.leases import interfaces as leases_interfaces
from acaciaward.observability import logs
from acaciaward.provider import interfaces as provider_interfaces

log = logging.getLogger(__name__)

DUTY_PREFIX = "fleet-"
LIVE = "live"
# How long a rented instance may be missing from the lagging list.
LIST_LAG_S = 15.0
MAX_LOADS_AT_ONCE = 4
URGENT = requests.ServiceClass.URGENT.value


class Pending(typing.NamedTuple):
    """A start that the instance list doesn't show yet."""

    token: str
    place: plan.Place
    asked: float
    instance: provider_interfaces.CloudInstance | None


class Platform(typing.NamedTuple):
    """The services of the platform that the fleet needs."""

    cloud: provider_interfaces.Cloud
    instances: provider_interfaces.InstanceList
    weights: provider_interfaces.WeightStore


class FleetKeeper:
    """Plans and carries out, for every deployment with a fleet rule."""

    def __init__(
        self,
        configuration: follower.LogConfiguration,
        leases: leases_interfaces.Leases,
        platform: Platform,
        engine: endpoints_interfaces.ModelEngine,
        streams: abc.Callable[[str], float],
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
        self._streams = streams
        self._author = f"fleet:{name}"
        self._interval_s = interval_s
        self._drain_s = drain_s
        self._demand = demand.HeldDemand(hold_s=hold_s)
        self._refusals = refusals.Refusals()
        self._pending: dict[str, list[Pending]] = {}
        self._seen: dict[str, set[str]] = {}
        self._draining: dict[str, float] = {}
        self._loaded: dict[str, float] = {}

    async def run(self) -> None:
        """Keep the fleet until cancelled."""
        while True:
            try:
                await self._round()
            except errors.PlatformError as error:
                log.warning("fleet round failed", extra=logs.fields(reason=error))
            await asyncio.sleep(self._interval_s)

    async def plans(self) -> list[plan.Step]:
        """Return the plan of every deployment without carrying it out."""
        offers, listing = await self._read_platform()
        return [
            step
            for name, entry in self._managed()
            for step in plan.make_plan(self._snapshot(name, entry, offers, listing))
        ]

    def _managed(self) -> list[tuple[str, documents.DeploymentEntry]]:
        """Return deployments with a rule, those with urgent deadlines first."""
        deployments = self._configuration.view.document.get("deployments", {})
        managed = [
            (name, entry)
            for name, entry in deployments.items()
            if plan.rule_of(entry) is not None
        ]
        return sorted(
            managed,
            key=lambda one: (
                one[1].get("deadlines_s", {}).get(URGENT, float("inf")),
                one[0],
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

    async def _round(self) -> None:
        if not self._configuration.is_current:
            log.warning("fleet frozen", extra=logs.fields(reason="log unread"))
            return
        offers, listing = await self._read_platform()
        for name, entry in self._managed():
            self._leases.want(DUTY_PREFIX + name)
            if self._holds(name):
                await self._keep(name, entry, offers, listing)

    def _holds(self, deployment: str) -> bool:
        return self._leases.held(DUTY_PREFIX + deployment) is not None

    async def _keep(
        self,
        name: str,
        entry: documents.DeploymentEntry,
        offers: abc.Sequence[provider_interfaces.Offer],
        listing: abc.Sequence[provider_interfaces.CloudInstance],
    ) -> None:
        self._reconcile(name, listing)
        snapshot = self._snapshot(name, entry, offers, listing)
        for step in plan.make_plan(snapshot):
            # The lease is asked again before each order, since the entry may
            # have been paused in between.
            if self._holds(name):
                await self._carry_out(step)
        await self._ask_again(name)
        await self._patch_endpoints(name, entry, snapshot.instances)
        await self._stop_drained()

    def _reconcile(
        self,
        name: str,
        listing: abc.Sequence[provider_interfaces.CloudInstance],
    ) -> None:
        listed = {one.client_token for one in listing}
        oldest = time.monotonic() - LIST_LAG_S
        self._pending[name] = [
            one
            for one in self._pending.get(name, ())
            if one.token not in listed and (one.instance is None or one.asked > oldest)
        ]

    def _snapshot(
        self,
        name: str,
        entry: documents.DeploymentEntry,
        offers: abc.Sequence[provider_interfaces.Offer],
        listing: abc.Sequence[provider_interfaces.CloudInstance],
    ) -> plan.Snapshot:
        listed = [one for one in listing if one.deployment == name]
        names = {one.name for one in listed}
        unlisted = [
            one.instance or _asked_instance(name, one)
            for one in self._pending.get(name, ())
            if one.instance is None or one.instance.name not in names
        ]
        instances = [
            one for one in [*listed, *unlisted] if one.name not in self._draining
        ]
        return plan.Snapshot(
            name,
            plan.rule_of(entry),
            entry.get("weights", {}),
            self._demand.note(name, self._streams(name)),
            instances,
            offers,
            self._refusals.places(),
            self._demand.is_settled(name),
        )

    async def _carry_out(self, step: plan.Step) -> None:
        if step.action is plan.Action.START:
            place = plan.place_of(step.offer)
            token = f"{step.deployment}-{uuid.uuid4().hex}"
            asked = Pending(token, place, time.monotonic(), None)
            self._pending.setdefault(step.deployment, []).append(asked)
            _log_step(step)
            await self._start(step.deployment, asked)
        elif step.action is plan.Action.STOP:
            self._draining[step.instance] = time.monotonic() + self._drain_s
            _log_step(step)

    async def _start(self, deployment: str, asked: Pending) -> None:
        pending = self._pending[deployment]
        data_centre, machine_class, market = asked.place
        try:
            instance = await self._platform.cloud.start_instance(
                client_token=asked.token,
                deployment=deployment,
                data_centre=data_centre,
                machine_class=machine_class,
                market=market,
            )
        except errors.PlatformRefusedError as error:
            pending.remove(asked)
            self._refusals.note_refused(asked.place, error.retry_after_s)
            log.warning(
                "start refused",
                extra=logs.fields(
                    deployment=deployment, place="/".join(asked.place), reason=error
                ),
            )
        except errors.PlatformUnknownError as error:
            # The token stays: it is asked again until the cloud says what it did.
            log.warning(
                "start unanswered",
                extra=logs.fields(
                    deployment=deployment, token=asked.token, reason=error
                ),
            )
        else:
            pending[pending.index(asked)] = asked._replace(instance=instance)
            self._refusals.note_started(asked.place)

    async def _ask_again(self, deployment: str) -> None:
        for asked in list(self._pending.get(deployment, ())):
            is_due = time.monotonic() - asked.asked > self._interval_s / 2
            if asked.instance is None and is_due and self._holds(deployment):
                await self._start(deployment, asked)

    async def _patch_endpoints(
        self,
        name: str,
        entry: documents.DeploymentEntry,
        instances: abc.Sequence[provider_interfaces.CloudInstance],
    ) -> None:
        known = set(entry.get("endpoints", {}))
        live = {one.name: one for one in instances if one.state == LIVE}
        present = {one.name for one in instances}
        changes: dict[str, typing.Any] = {}
        for instance_name in sorted(set(live) - known):
            if await self._is_loaded(name, entry, live[instance_name]):
                changes[instance_name] = _endpoint_entry(live[instance_name])
        # Only what was seen as rented is removed; other endpoints are not the
        # fleet's matter.
        seen = self._seen.setdefault(name, set())
        for instance_name in sorted((known & seen) - present):
            changes[instance_name] = None
        seen |= present
        if changes and self._holds(name):
            await self._submit(name, changes)

    async def _submit(self, name: str, changes: dict[str, typing.Any]) -> None:
        outcome = await self._configuration.submit(
            base=self._configuration.view.version,
            author=self._author,
            changes={"deployments": {name: {"endpoints": changes}}},
        )
        log.info(
            "fleet patched endpoints",
            extra=logs.fields(
                deployment=name,
                added=",".join(one for one, value in changes.items() if value),
                removed=",".join(one for one, value in changes.items() if not value),
                status=outcome.status.value,
                version=outcome.version,
            ),
        )

    async def _is_loaded(
        self,
        name: str,
        entry: documents.DeploymentEntry,
        instance: provider_interfaces.CloudInstance,
    ) -> bool:
        """Order the weights within the store's budget; True once it has them."""
        if entry["kind"] == requests.DeploymentKind.SERVICE.value:
            return True
        now = time.monotonic()
        if instance.name not in self._loaded:
            loading = sum(moment > now for moment in self._loaded.values())
            if loading >= MAX_LOADS_AT_ONCE:
                return False
            wait_s = await self._platform.weights.reserve(
                entry.get("model", name), entry.get("version", "")
            )
            self._loaded[instance.name] = now + wait_s
        if self._loaded[instance.name] > now:
            return False
        return await self._order_load(name, entry, instance)

    async def _order_load(
        self,
        name: str,
        entry: documents.DeploymentEntry,
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
            "load", entry.get("model", name), entry.get("version", ""), lease.fence
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

    async def _stop_drained(self) -> None:
        now = time.monotonic()
        for name in [name for name, until in self._draining.items() if until <= now]:
            await self._platform.cloud.stop_instance(name)
            log.info("instance given back", extra=logs.fields(instance=name))
            # The list shows it for a while yet, and it must not come back.
            self._draining[name] = float("inf")


def _asked_instance(
    deployment: str, asked: Pending
) -> provider_interfaces.CloudInstance:
    return provider_interfaces.CloudInstance(
        asked.token, "", 0, *asked.place, deployment, asked.token, "asked"
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
