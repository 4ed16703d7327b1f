"""
Chooses the service that a call goes to.

A stream that its caller takes up goes to the service and the version of its software
that began it, a call that a peer sends through this entry to those that the peer names.
"""

import asyncio
import logging
import random
from collections import abc

from acaciaward import errors
from acaciaward.catalogue import routes
from acaciaward.gateway import callprogress, calls, decisions, interfaces, refusals
from acaciaward.observability import logs
from acaciaward.resumption import origins

log = logging.getLogger(__name__)

# How long the store may take to tell where a stream began.
STORE_LIMIT_S = 0.5


class ServiceChoice:
    """Chooses the services of all calls."""

    def __init__(
        self,
        dependencies: interfaces.Dependencies,
        refuser: refusals.Refusals,
        rng: random.Random,
    ):
        self._deps = dependencies
        self._refusals = refuser
        self._random = rng

    async def find(
        self, index: routes.Index, progress: callprogress.Progress
    ) -> routes.Service:
        """
        Return the service for a call: for a stream that is taken up, where it began.

        If its route leads there no more, the call is refused: the configuration forbids
        the old service, and the stream doesn't fit at the new one.
        """
        route = progress.route
        detour = progress.call.detour
        if detour is not None:
            return self._use_named(index, progress, detour)
        is_stream = route.kind is routes.RequestKind.STREAM
        if progress.call.last_event_id is None or not is_stream:
            return self._choose_service(index, route)
        origin = await self._find_origin(progress)
        return self._use_service(index, progress, origin)

    @staticmethod
    def _use_named(
        index: routes.Index, progress: callprogress.Progress, detour: calls.Detour
    ) -> routes.Service:
        """Return the service that a peer names; raise if its route leads elsewhere."""
        service = index.catalogue.services.get(detour.service)
        is_on_route = detour.service in [name for name, _ in progress.route.shares]
        if service is None or not is_on_route:
            # A stream that has begun would go on at another service.
            raise callprogress.RefusedError(
                refusals.UNAVAILABLE,
                f"the route doesn't lead to {detour.service} here",
                is_cut_off=True,
            )
        progress.stream_version = detour.version
        return service

    def _use_service(
        self,
        index: routes.Index,
        progress: callprogress.Progress,
        origin: origins.Origin,
    ) -> routes.Service:
        service = index.catalogue.services.get(origin.service)
        is_on_route = origin.service in [name for name, _ in progress.route.shares]
        if service is None or not is_on_route:
            raise callprogress.RefusedError(
                refusals.UNAVAILABLE,
                f"the route doesn't lead to {origin.service} any more",
                retry_after_s=self._refusals.retry_delay_s(progress),
            )
        progress.stream_version = origin.version
        if progress.call.attempt_id is not None:
            self._deps.origins.record_taken_up(
                progress.organisation_name, progress.call.attempt_id, origin
            )
        return service

    async def _find_origin(self, progress: callprogress.Progress) -> origins.Origin:
        """Return where a stream began that is taken up; raise if that isn't known."""
        attempt_id = progress.call.resumed_attempt_id
        search = origins.Search(None)
        if attempt_id is not None:
            search = await self._deps.origins.search(
                progress.organisation_name, attempt_id
            )
            if search.origin is not None:
                self._record_take_up(progress, search.known_by, search.origin, search)
                return search.origin
        services = self._deps.route_history.services_within(
            progress.call.host, progress.call.path, progress.route.timeout_s
        )
        known_by, origin = await self._ask_store(progress, services)
        self._record_take_up(progress, known_by, origin, search)
        if origin is not None:
            return origin
        raise callprogress.RefusedError(
            refusals.UNAVAILABLE,
            "the version that began its stream isn't known",
            retry_after_s=self._refusals.retry_delay_s(progress),
        )

    async def _ask_store(
        self, progress: callprogress.Progress, services: abc.Set[str]
    ) -> tuple[str, origins.Origin | None]:
        """
        Return where a stream began, None if that isn't known, and how it's known.

        It began at one of ``services``. Nothing counts that was read before the caller
        asked: at another entry, a version may have joined and have begun the stream
        since.
        """
        attempt_id = progress.call.resumed_attempt_id
        organisation = progress.organisation_name
        try:
            async with asyncio.timeout(STORE_LIMIT_S):
                if len(services) == 1:
                    (service,) = services
                    return await self._find_version(progress, service)
                if attempt_id is not None:
                    origin = await self._deps.origins.find_recorded(
                        organisation, attempt_id
                    )
                    if origin is not None:
                        return "store", origin
        except (errors.PlatformError, TimeoutError) as error:
            log.info(
                "could not ask the store which versions serve",
                extra=logs.fields(request=progress.call.attempt_id, reason=repr(error)),
            )
        return "nothing", None

    async def _find_version(
        self, progress: callprogress.Progress, service: str
    ) -> tuple[str, origins.Origin | None]:
        """Find out which version of a service began a stream; raise if that fails."""
        if self._deps.directory.reports_no_version(service):
            return await self._check_no_version(service)
        stored = await self._deps.origins.look_up(
            progress.organisation_name, progress.call.resumed_attempt_id, service
        )
        if stored.origin is not None:
            return "store", stored.origin
        if stored.is_shared:
            return "nothing", None
        listed = await self._deps.list_versions()
        version = self._deps.directory.only_version(
            service,
            progress.route.timeout_s,
            listed=listed.versions.get(service, frozenset()),
            read_at=listed.read_at,
        )
        if version is None:
            return "nothing", None
        return "only version", origins.Origin(service, version)

    async def _check_no_version(
        self, service: str
    ) -> tuple[str, origins.Origin | None]:
        """Find out if a service still has no version; raise if that fails."""
        listed = await self._deps.list_versions()
        if listed.versions.get(service, frozenset()) - {""}:
            return "nothing", None
        return "no version", origins.Origin(service, "")

    def _record_take_up(
        self,
        progress: callprogress.Progress,
        known_by: str,
        origin: origins.Origin | None,
        search: origins.Search,
    ) -> None:
        services = self._deps.route_history.services_within(
            progress.call.host, progress.call.path, progress.route.timeout_s
        )
        listed = {
            endpoint.version
            for service in services
            for endpoint in self._deps.directory.of_service(service)
        }
        decisions.record_take_up(
            progress,
            decisions.TakeUp(
                known_by, origin, search, services, listed, self._deps.read_at()
            ),
        )

    def _choose_service(
        self, index: routes.Index, route: routes.Route
    ) -> routes.Service:
        names = [name for name, _ in route.shares]
        weights = [weight for _, weight in route.shares]
        if sum(weights) <= 0:
            weights = [1.0] * len(names)
        (name,) = self._random.choices(names, weights)
        service = index.catalogue.services.get(name)
        if service is None:
            raise callprogress.RefusedError(
                refusals.UNAVAILABLE, f"unknown service {name}"
            )
        return service
