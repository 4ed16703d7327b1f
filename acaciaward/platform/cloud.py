"""HTTP clients of the cloud API, the instance list and the weight store."""

import typing

from acaciaward.platform import calls
from acaciaward.provider import interfaces


def _cloud_instance(fields: dict[str, typing.Any]) -> interfaces.CloudInstance:
    known = {name: fields[name] for name in interfaces.CloudInstance._fields}
    return interfaces.CloudInstance(**known)


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
        """Rent an instance; the same client token never rents twice."""
        wanted = {
            "client_token": client_token,
            "deployment": deployment,
            "data_centre": data_centre,
            "machine_class": machine_class,
            "market": market,
        }
        reply = await self._service.call("POST", "/instances", wanted)
        return _cloud_instance(reply.body)

    async def stop_instance(self, name: str) -> None:
        """Give an instance back; giving it back twice is no error."""
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
        """Return the list as it was some seconds ago."""
        reply = await self._service.call("GET", "/instances")
        return [_cloud_instance(fields) for fields in reply.body]


class HttpWeightStore:
    """Implements ``interfaces.WeightStore`` over HTTP."""

    def __init__(self, service: calls.PlatformService):
        self._service = service

    async def reserve(self, model: str, version: str) -> float:
        """Return the seconds to wait before an engine may load these weights."""
        wanted = {"model": model, "version": version}
        reply = await self._service.call("POST", "/reservations", wanted)
        return float(reply.body["wait_s"])
