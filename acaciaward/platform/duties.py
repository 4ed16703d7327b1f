"""Client of the platform's interface for duties that one entry holds at a time."""

import msgspec

from acaciaward.fleet import endpointscaling
from acaciaward.platform import calls

USAGE_DUTY = "usage_report"
SCALING_DUTY = "autoscale"
NONE_AVAILABLE_STATUS = 409


class Duties:
    """Sends usage reports and scaling orders with the lease holder's name and fence."""

    def __init__(self, service: calls.PlatformService, holder: str):
        self._service = service
        self._holder = holder

    async def report_usage(
        self, window: int, counts: dict[str, int], fence: int
    ) -> None:
        """Report how many requests of each organisation began in a window."""
        await self._call("/usage", {"WindowId": window, "Counts": counts}, fence)

    async def scale(self, order: endpointscaling.ScaleOrder, fence: int) -> None:
        """
        Set how many endpoints of a kind a service has in a data centre.

        Raises ``NoneAvailableError`` when the platform has none to rent.
        """
        body = {
            "Service": order.service,
            "Zone": order.kind.data_centre,
            "DesiredCount": order.count,
        }
        if order.kind.is_reclaimable:
            body["Spot"] = True
        reply = await self._call("/scale", body, fence, {NONE_AVAILABLE_STATUS})
        if reply.status == NONE_AVAILABLE_STATUS:
            raise endpointscaling.NoneAvailableError("none available")

    async def _call(
        self,
        path: str,
        body: dict,
        fence: int,
        accepted: set[int] | frozenset[int] = frozenset(),
    ) -> calls.PlatformReply:
        # Fences are store offsets, from 0; the platform's fencing tokens begin at 1.
        headers = {"duty-holder": self._holder, "fencing-token": str(fence + 1)}
        return await self._service.exchange(
            "POST",
            path,
            msgspec.json.encode(body),
            accepted=frozenset(accepted),
            headers=headers,
        )
