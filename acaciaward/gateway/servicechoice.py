"""
Chooses the service that a call goes to.

A stream that its caller takes up goes to the service and the version of its software
that began it, a call that a peer sends through this entry to those that the peer names.
"""

import random

from acaciaward.catalogue import routes
from acaciaward.gateway import callprogress, calls, decisions, interfaces, refusals
from acaciaward.resumption import origins


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

        If its route leads there no more, it goes on as a new stream would.
        """
        route = progress.route
        detour = progress.call.detour
        if detour is not None:
            return self._use_named(index, progress, detour)
        is_stream = route.kind is routes.RequestKind.STREAM
        if progress.call.last_event_id is None or not is_stream:
            return self._choose_service(index, route)
        origin = await self._find_origin(index, progress)
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
        route = progress.route
        service = index.catalogue.services.get(origin.service)
        if service is None or origin.service not in [name for name, _ in route.shares]:
            return self._choose_service(index, route)
        progress.stream_version = origin.version
        if progress.call.attempt_id is not None:
            self._deps.origins.record_taken_up(
                progress.organisation_name, progress.call.attempt_id, origin
            )
        return service

    async def _find_origin(
        self, index: routes.Index, progress: callprogress.Progress
    ) -> origins.Origin:
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
        service = self._choose_service(index, progress.route)
        version = self._deps.directory.only_version(
            service.name, progress.route.timeout_s
        )
        if version is not None:
            origin = origins.Origin(service.name, version)
            self._record_take_up(progress, "only version", origin, search)
            return origin
        if len([name for name, weight in progress.route.shares if weight > 0]) <= 1:
            origin = await self._deps.origins.find_stored(
                progress.organisation_name, attempt_id, service.name
            )
            if origin is not None:
                self._record_take_up(progress, "store", origin, search)
                return origin
        self._record_take_up(progress, "nothing", None, search)
        raise callprogress.RefusedError(
            refusals.UNAVAILABLE,
            "the version that began its stream isn't known",
            retry_after_s=self._refusals.retry_delay_s(progress),
        )

    def _record_take_up(
        self,
        progress: callprogress.Progress,
        known_by: str,
        origin: origins.Origin | None,
        search: origins.Search,
    ) -> None:
        services = {name for name, _ in progress.route.shares}
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
