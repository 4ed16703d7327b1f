"""
Orders endpoints as ``datacentreplan`` plans while this entry holds the duties' lease.

An order sets a count, so it is idempotent and is resent if the response is lost.
Each is logged with the counts that it is based on.
"""

import asyncio
import logging
import time
import typing
from collections import abc

from acaciaward import errors
from acaciaward.catalogue import endpoints, routes
from acaciaward.fleet import datacentreplan
from acaciaward.leases import conditionallease
from acaciaward.observability import logs

log = logging.getLogger(__name__)

POLL_S = 0.3
# Retry delay for a data centre that had no reclaimable endpoints available.
NONE_AVAILABLE_RETRY_S = 4.0
# An order that has had no effect this long after the boot time is resent.
ORDER_GRACE_S = 3.0
# Fewer endpoints are ordered only after fewer were needed for this long.
SHRINK_HOLD_S = 8.0
# An order is sent only if the lease lasts at least this much longer.
SEND_MARGIN_S = 0.8
# Endpoints that existed at the start have not all been discovered sooner than this
# after the first one, since they write their records about once a second.
INITIAL_DISCOVERY_S = 2.5
# Nor have they while further ones appeared within this time. The records of 45
# endpoints took 4 s to appear.
INITIAL_SETTLE_S = 1.5
# Slots of an endpoint whose service doesn't configure them.
DEFAULT_SLOTS = 16


class ScaleOrder(typing.NamedTuple):
    """Sets how many endpoints of a kind a service has."""

    service: str
    kind: datacentreplan.Kind
    count: int


class _SentOrder(typing.NamedTuple):
    """
    The last order sent for a kind of endpoint.

    ``ready_before`` is how many endpoints were ready when it was sent.
    """

    count: int
    sent_at: float
    ready_before: int
    is_accepted: bool = True

    def booting(self, ready: int, now: float, boot_s: float) -> int:
        """Return how many of the ordered endpoints are still booting."""
        if not self.is_accepted or now - self.sent_at > boot_s + ORDER_GRACE_S:
            return 0
        return max(0, self.count - max(ready, self.ready_before))


class NoneAvailableError(errors.PlatformRefusedError):
    """No endpoints of the ordered kind are available at the moment."""


SendOrder = abc.Callable[[ScaleOrder, int], abc.Awaitable[None]]


class Load(typing.NamedTuple):
    """
    What a service's endpoints have to serve and how they do it.

    ``prefill_tokens_per_s`` is the rate at which an engine prefills beside its streams,
    ``max_gap_s`` the shortest pause between events that callers allow, None if any.
    """

    tokens_per_s: float = 0.0
    at_once: float = 0.0
    prefill_tokens_per_s: float = 0.0
    max_gap_s: float | None = None

    @property
    def has_demand(self) -> bool:
        """Whether callers request anything of the service."""
        return self.tokens_per_s > 0 or self.at_once > 0


class EndpointScaler:
    """Orders the endpoints that the demand of each service needs."""

    def __init__(
        self,
        lease: conditionallease.ConditionalLease,
        directory: endpoints.Directory,
        services: abc.Callable[[], abc.Sequence[routes.Service]],
        load: abc.Callable[[str], Load],
        send: SendOrder,
        *,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._lease = lease
        self._directory = directory
        self._services = services
        self._load = load
        self._send = send
        self._clock = clock
        self._sent_orders: dict[tuple[str, datacentreplan.Kind], _SentOrder] = {}
        self._reclaimable_retry_at: dict[tuple[str, str], float] = {}
        self._smoothed_needs: dict[str, tuple[int, float]] = {}
        # How many endpoints existed at the start, as far as discovered, and since when.
        self._initial_endpoints: dict[str, tuple[int, float]] = {}
        self._first_seen: dict[str, float] = {}
        self._fence: int | None = None

    async def run(self) -> None:
        """Reconcile every service periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            for service in self._services():
                try:
                    await self.reconcile(service)
                except errors.PlatformError as error:
                    log.info(
                        "endpoint order failed, will retry",
                        extra=logs.fields(service=service.name, reason=error),
                    )

    async def reconcile(self, service: routes.Service) -> None:
        """Order what the plan of one service changes."""
        tenure = self._lease.held(for_s=SEND_MARGIN_S)
        if tenure is None:
            return
        if tenure.fence != self._fence:
            # Another holder may have ordered since, so the whole plan is sent again.
            self._fence = tenure.fence
            self._sent_orders.clear()
            self._smoothed_needs.clear()
        is_initialised = self._is_initialised(service)
        # Reclaimable endpoints are ordered first, because the number of safe ones
        # depends on which reclaimable ones are available.
        for is_reclaimable in (True, False):
            if not is_reclaimable and not is_initialised:
                continue
            snapshot = self._snapshot(service, is_initialised=is_initialised)
            for kind, count in datacentreplan.make_plan(snapshot).items():
                if kind.is_reclaimable is not is_reclaimable:
                    continue
                if not self._is_due(service.name, kind, count, snapshot):
                    continue
                tenure = self._lease.held(for_s=SEND_MARGIN_S)
                if tenure is None:
                    return
                await self._order(service, kind, count, snapshot, tenure.fence)

    def _is_initialised(self, service: routes.Service) -> bool:
        """
        Return whether demand is known or the initial endpoints are discovered.

        Until then reclaimable endpoints are already ordered as their replacement,
        but orders for safe endpoints, which could release some, are withheld.
        """
        if self._load(service.name).has_demand:
            return True
        if not self._directory.ready(service.name):
            return False
        now = self._clock()
        first_seen_at = self._first_seen.setdefault(service.name, now)
        _, discovered_at = self._find_initial(service)
        return (
            now - first_seen_at >= INITIAL_DISCOVERY_S
            and now - discovered_at >= INITIAL_SETTLE_S
        )

    async def _order(
        self,
        service: routes.Service,
        kind: datacentreplan.Kind,
        count: int,
        snapshot: datacentreplan.Snapshot,
        fence: int,
    ) -> None:
        outcome = "taken"
        ready = snapshot.ready.get(kind, 0)
        try:
            await self._send(ScaleOrder(service.name, kind, count), fence)
            self._sent_orders[(service.name, kind)] = _SentOrder(
                count, self._clock(), ready
            )
        except NoneAvailableError:
            outcome = "none to be had"
            self._reclaimable_retry_at[(service.name, kind.data_centre)] = (
                self._clock() + NONE_AVAILABLE_RETRY_S
            )
            self._sent_orders[(service.name, kind)] = _SentOrder(
                ready, self._clock(), ready, is_accepted=False
            )
        log.info(
            "endpoints ordered",
            extra=logs.fields(
                service=service.name,
                data_centre=kind.data_centre,
                reclaimable=kind.is_reclaimable,
                count=count,
                ready=ready,
                needed=snapshot.needed,
                fence=fence,
                outcome=outcome,
            ),
        )

    def _is_due(
        self,
        service: str,
        kind: datacentreplan.Kind,
        count: int,
        snapshot: datacentreplan.Snapshot,
    ) -> bool:
        sent = self._sent_orders.get((service, kind))
        if sent is None or sent.count != count:
            return True
        is_reached = snapshot.ready.get(kind, 0) == count
        boot_s = snapshot.scaling.boot_s
        return not is_reached and self._clock() - sent.sent_at > boot_s + ORDER_GRACE_S

    def _snapshot(
        self, service: routes.Service, *, is_initialised: bool
    ) -> datacentreplan.Snapshot:
        now = self._clock()
        ready: dict[datacentreplan.Kind, int] = {}
        for endpoint in self._directory.ready(service.name):
            kind = datacentreplan.Kind(endpoint.data_centre, endpoint.is_reclaimable)
            ready[kind] = ready.get(kind, 0) + 1
        booting = {
            kind: sent.booting(ready.get(kind, 0), now, service.scaling.boot_s)
            for (name, kind), sent in self._sent_orders.items()
            if name == service.name
        }
        if any(
            endpoint.is_reclaimable
            and endpoint.state is endpoints.EndpointState.LEAVING
            for endpoint in self._directory.of_service(service.name)
        ):
            # During a reclaim, reclaimable endpoints that were ordered seldom arrive.
            booting = {
                kind: count
                for kind, count in booting.items()
                if not kind.is_reclaimable
            }
        without_reclaimable = {
            data_centre
            for (name, data_centre), retry_at in self._reclaimable_retry_at.items()
            if name == service.name and retry_at > now
        }
        load = self._load(service.name)
        losses = datacentreplan.covered_losses(service.scaling, load.max_gap_s)
        need = self._find_need(service, load, is_initialised=is_initialised)
        covered = datacentreplan.covered_need(ready, losses) if load.has_demand else 0
        return datacentreplan.Snapshot(
            service.scaling,
            ready,
            booting,
            without_reclaimable,
            self._smooth_need(service.name, need, covered),
            losses,
        )

    def _find_initial(self, service: routes.Service) -> tuple[int, float]:
        """
        Return how many endpoints existed at the start, and when the last one appeared.

        Their records appear over some seconds, so the most that were ready at once
        count. Those that this entry ordered in their place don't.
        """
        ready = sum(
            not endpoint.is_reclaimable
            for endpoint in self._directory.ready(service.name)
        )
        known = self._initial_endpoints.get(service.name)
        if known is None or ready > known[0]:
            known = self._initial_endpoints[service.name] = (ready, self._clock())
        return known

    def _find_need(
        self, service: routes.Service, load: Load, *, is_initialised: bool
    ) -> int:
        """Return how many engines are needed now."""
        needed = datacentreplan.engines_needed(
            load.tokens_per_s,
            load.at_once,
            service.engine.slots if service.engine else DEFAULT_SLOTS,
            datacentreplan.engine_tokens_per_s(
                load.prefill_tokens_per_s, load.max_gap_s
            ),
        )
        if load.has_demand or not is_initialised:
            return needed
        # Without requests yet, the initial endpoints indicate the expected demand.
        initial_count, _ = self._find_initial(service)
        return max(needed, datacentreplan.initial_need(initial_count, load.max_gap_s))

    def _smooth_need(self, service: str, needed: int, covered: int) -> int:
        """
        Return how many engines are needed; the number falls only after a hold.

        A new holder doesn't know what was needed before. ``covered``, the need that the
        present endpoints cover, stands in for it.
        """
        now = self._clock()
        smoothed, since = self._smoothed_needs.get(service, (max(needed, covered), now))
        if needed >= smoothed:
            smoothed, since = needed, now
        elif now - since > SHRINK_HOLD_S:
            # A large fleet shrinks in larger steps than a small one.
            smoothed, since = smoothed - max(1, (smoothed - needed) // 4), now
        self._smoothed_needs[service] = (smoothed, since)
        return smoothed
