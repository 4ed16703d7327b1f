"""The configurations that the operator writes in a soak."""

from collections import abc

from soak import conditions
from standins import edgeserver


def body(
    version: int,
    version_service: str,
    service_names: abc.Iterable[str],
    data_centres: abc.Iterable[str],
    api_keys: abc.Mapping[str, str],
    bounds: conditions.Bounds,
) -> dict:
    """Return a configuration; its version route leads to ``version_service``."""
    routes = [
        _route("p", "idempotent", "app", 3, timeout_ms=1500),
        _route("u", "non_idempotent", "app", 2, timeout_ms=1500),
        _route("s", "streaming", "llm", 3, timeout_ms=5000, Resumable=True),
        _route("o", "streaming", "llm", 1, timeout_ms=3000),
        _route("v", "idempotent", version_service, 2),
    ]
    services = [{"Name": name, "MaxConnections": 100} for name in service_names]
    prices = dict.fromkeys(data_centres, 1.0)
    for service in services:
        if service["Name"] == "llm":
            service["Engine"] = {"Slots": edgeserver.SLOTS, "KvCapacity": 10**6}
            service["Scaling"] = {
                "Min": 1,
                "Max": 4,
                "BootTimeS": 4.0,
                "SpotPrice": 0.2,
                "ZonePrices": prices,
            }
    organisations = [{"Name": "calm", "ApiKeys": [api_keys["calm"]]}]
    organisations.append(
        {
            "Name": "hot",
            "ApiKeys": [api_keys["hot"]],
            "RatePerS": bounds.quota_rate,
            "Burst": bounds.quota_burst,
        }
    )
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Tenants": organisations,
    }


def _route(
    name: str,
    route_type: str,
    service: str,
    max_attempts: int,
    *,
    timeout_ms=1000,
    **more_fields,
) -> dict:
    return {
        "Name": f"r-{name}",
        "Host": "soak.example",
        "PathPrefix": f"/{name}/",
        "RouteType": route_type,
        "Service": service,
        "MaxAttempts": max_attempts,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 300,
        "Priority": 1,
        **more_fields,
    }
