"""HTTP clients of the cloud API, the instance list and the weight store."""

import typing

from acaciaward.platform import calls
from acaciaward.provider import interfaces


def _decode_instance(fields: dict[str, typing.Any]) -> interfaces.CloudInstance:
    values = {name: fields[name] for name in interfaces.CloudInstance._fields}
    return interfaces.CloudInstance(**values)


class HttpCloud:
    """Implements ``interfaces.Cloud`` over HTTP."""

    def __init__(self, service: calls.PlatformService):
        self._service = service

    async def offers(self) -> list[interfaces.Offer]:
        """Return what can be rented now."""
        reply = await self._service.call("GET", "/offers")
        return [
            interfaces.Offer(**{name: offer[name] for name in interfaces.Offer._fields})
            for offer in reply.body
        ]

    async def start_instance(
        self,
        *,
        client_token: str,
        deployment: str,
        data_centre: str,
        machine_class: str,
        market: str,
    ) -> interfaces.CloudInstance:
        """Rent an instance; a client token that is sent again rents no second one."""
        order = {
            "client_token": client_token,
            "deployment": deployment,
            "data_centre": data_centre,
            "machine_class": machine_class,
            "market": market,
        }
        reply = await self._service.call("POST", "/instances", order)
        return _decode_instance(reply.body)

    async def stop_instance(self, name: str) -> None:
        """Release an instance; releasing it again is no error."""
        await self._service.call("DELETE", f"/instances/{name}")

    async def notices(
        self, from_offset: int, *, wait_s: float = 0
    ) -> list[interfaces.ReclaimNotice]:
        """Return the reclaim notices from an offset on."""
        path = f"/notices?from={from_offset}&wait_s={wait_s}"
        reply = await self._service.call("GET", path, wait_s=wait_s)
        return [
            interfaces.ReclaimNotice(
                notice["offset"], notice["instance"], notice["deadline"]
            )
            for notice in reply.body
        ]


class HttpInstanceList:
    """Implements ``interfaces.InstanceList`` over HTTP."""

    def __init__(self, service: calls.PlatformService):
        self._service = service

    async def instances(self) -> list[interfaces.CloudInstance]:
        """Return the list, which lags some seconds behind the cloud."""
        reply = await self._service.call("GET", "/instances")
        return [_decode_instance(fields) for fields in reply.body]


class HttpWeightStore:
    """Implements ``interfaces.WeightStore`` over HTTP."""

    def __init__(self, service: calls.PlatformService):
        self._service = service

    async def reserve(self, model: str, version: str) -> float:
        """Return the seconds to wait before an engine may load these weights."""
        weights = {"model": model, "version": version}
        reply = await self._service.call("POST", "/reservations", weights)
        return float(reply.body["wait_s"])
