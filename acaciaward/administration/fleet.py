"""Route that shows the steps that the fleet plans now, and the reasons."""

import typing

import blacksheep

from acaciaward import errors
from acaciaward.administration import access, routes
from acaciaward.fleet import fleetmanager, plan


class FleetRoutes:
    """Route that plans the fleet's next steps without carrying them out."""

    def __init__(
        self,
        access_control: access.AccessControl,
        fleet: fleetmanager.FleetManager | None,
    ):
        self._access = access_control
        self._fleet = fleet

    def routes(self) -> list[routes.Route]:
        """Return the routes of this group."""
        return [routes.Route("GET", "/v1/admin/fleet/plan", self._get_plan)]

    async def _get_plan(self, request: blacksheep.Request):
        """Show the planned steps of every deployment with a fleet rule, and why."""
        self._access.require(request, access.Right.READ)
        if self._fleet is None:
            raise errors.NotFoundError(
                "this entry's settings name no cloud, instance list and weight store"
            )
        try:
            steps = await self._fleet.planned_steps()
        except errors.PlatformError as error:
            raise errors.PlatformUnavailableError(
                f"the platform can't be read: {error}", retry_after_s=2.0
            ) from error
        return {"steps": [_step_fields(step) for step in steps]}


def _step_fields(step: plan.Step) -> dict[str, typing.Any]:
    return {
        "action": step.action.value,
        "deployment": step.deployment,
        "reason": step.reason,
        "offer": step.offer._asdict() if step.offer else None,
        "instance": step.instance,
    }
