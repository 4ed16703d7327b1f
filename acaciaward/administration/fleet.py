"""Route that shows what the fleet would do now, and why."""

import typing

import blacksheep

from acaciaward import errors
from acaciaward.administration import access, routes
from acaciaward.fleet import keeper, plan


class FleetRoutes:
    """The plan of the fleet, without carrying it out."""

    def __init__(self, allowed: access.Access, fleet: keeper.FleetKeeper | None):
        self._access = allowed
        self._fleet = fleet

    def routes(self) -> list[routes.Route]:
        """Return the routes of this duty."""
        return [routes.Route("GET", "/v1/admin/fleet/plan", self._get_plan)]

    async def _get_plan(self, request: blacksheep.Request):
        """Show the plan of every deployment with a fleet rule, and why."""
        self._access.require(request, access.Right.READ)
        if self._fleet is None:
            raise errors.NotFoundError(
                "this entry's settings name no cloud, instance list and weight store"
            )
        try:
            steps = await self._fleet.plans()
        except errors.PlatformError as error:
            raise errors.PlatformUnavailableError(
                f"the platform can't be read: {error}", retry_after_s=2.0
            ) from error
        return {"steps": [_fields(step) for step in steps]}


def _fields(step: plan.Step) -> dict[str, typing.Any]:
    return {
        "action": step.action.value,
        "deployment": step.deployment,
        "reason": step.reason,
        "offer": step.offer._asdict() if step.offer else None,
        "instance": step.instance,
    }
