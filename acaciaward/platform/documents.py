"""
Decodes what the operator and the endpoints write into the platform's store.

The names of the fields are the platform's. Whoever writes there may leave fields
out or give them another type; such an entry raises ``UnreadableError`` with the
reason and names nothing to use.
"""

import math
import typing
from collections import abc

import msgspec

from acaciaward.catalogue import endpoints, knowledge, routes

KINDS = {
    "idempotent": routes.RequestKind.IDEMPOTENT,
    "non_idempotent": routes.RequestKind.NON_IDEMPOTENT,
    "streaming": routes.RequestKind.STREAM,
}
STATES = {
    "ready": endpoints.EndpointState.READY,
    "draining": endpoints.EndpointState.LEAVING,
}
# A route without these fields gets what the platform's pages call usual.
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_CONNECTIONS = 100
DEFAULT_SLOTS = 1


CONFIGURATION_KEY = "config"
Fields = abc.Mapping[str, typing.Any]
_Meaning = typing.TypeVar("_Meaning")


def _decode(data: bytes) -> Fields:
    try:
        fields = msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise knowledge.UnreadableError(f"not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise knowledge.UnreadableError("not an object")
    return fields


def _text(fields: Fields, name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise knowledge.UnreadableError(f"{name}: expected a text, got {value!r}")
    return value


def _word(fields: Fields, name: str, words: abc.Mapping[str, _Meaning]) -> _Meaning:
    word = fields.get(name)
    if not isinstance(word, str) or word not in words:
        raise knowledge.UnreadableError(f"{name}: {word!r}")
    return words[word]


def _number(fields: Fields, name: str, default: float | None = None) -> float:
    value = fields.get(name, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise knowledge.UnreadableError(f"{name}: expected a number, got {value!r}")
    return value


def _table(fields: Fields, name: str) -> Fields:
    value = fields.get(name) or {}
    if not isinstance(value, dict):
        raise knowledge.UnreadableError(f"{name}: expected an object, got {value!r}")
    return value


def _rows(fields: Fields, name: str) -> list[Fields]:
    value = fields.get(name) or []
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        raise knowledge.UnreadableError(f"{name}: expected a list of objects")
    return value


def split_address(text: str) -> tuple[str, int]:
    """Return IP number and port of ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise knowledge.UnreadableError(f"not an address: {text!r}")
    return host, int(port)


def decode_catalogue(data: bytes) -> routes.Catalogue:
    """Decode the operator's configuration, which is always whole."""
    fields = _decode(data)
    limits = _table(fields, "Limits")
    usual = routes.Limits()
    services = [_decode_service(row) for row in _rows(fields, "Services")]
    organisations = [_decode_organisation(row) for row in _rows(fields, "Tenants")]
    return routes.Catalogue(
        version=int(_number(fields, "Version")),
        routes=tuple(_decode_route(row) for row in _rows(fields, "Routes")),
        services={service.name: service for service in services},
        organisations={one.name: one for one in organisations},
        limits=routes.Limits(
            int(_number(limits, "MaxHeaderBytes", usual.header_bytes)),
            int(_number(limits, "MaxBodyBytes", usual.body_bytes)),
            _number(limits, "HeaderTimeoutMs", usual.header_s * 1000) / 1000,
            _number(limits, "IdleTimeoutMs", usual.idle_s * 1000) / 1000,
        ),
    )


def _decode_route(row: Fields) -> routes.Route:
    kind = _word(row, "RouteType", KINDS)
    # A route names one service, or several with weights.
    backends = _rows(row, "Backends")
    if backends:
        shares = tuple(
            (_text(one, "Service"), _number(one, "Weight", 1.0)) for one in backends
        )
    else:
        shares = ((_text(row, "Service"), 1.0),)
    gap = row.get("GapTargetMs")
    return routes.Route(
        name=_text(row, "Name"),
        host=_text(row, "Host"),
        prefix=_text(row, "PathPrefix"),
        kind=kind,
        timeout_s=_number(row, "TimeoutMs", DEFAULT_TIMEOUT_MS) / 1000,
        target_s=_number(row, "TargetLatencyMs", DEFAULT_TIMEOUT_MS) / 1000,
        # The platform's Priority is a rank: 0 goes first.
        rank=int(_number(row, "Priority", 5)),
        shares=shares,
        max_attempts=max(1, int(_number(row, "MaxAttempts", 1))),
        is_anonymous=row.get("Anonymous") is True,
        is_resumable=row.get("Resumable") is True,
        # Sticky marks the routes whose requests carry a prompt.
        has_prompt=row.get("Sticky") is True,
        max_gap_s=None if gap is None else _number(row, "GapTargetMs") / 1000,
    )


def _decode_service(row: Fields) -> routes.Service:
    engine = _table(row, "Engine")
    scaling = _table(row, "Scaling")
    return routes.Service(
        name=_text(row, "Name"),
        max_connections=int(_number(row, "MaxConnections", DEFAULT_CONNECTIONS)),
        engine=_decode_engine(engine) if engine else None,
        scaling=_decode_scaling(scaling) if scaling else None,
    )


def _decode_engine(fields: Fields) -> routes.Engine:
    return routes.Engine(
        int(_number(fields, "Slots", DEFAULT_SLOTS)),
        int(_number(fields, "KvCapacity", 0)),
    )


def _decode_scaling(fields: Fields) -> routes.Scaling:
    prices = _table(fields, "ZonePrices")
    part = fields.get("SpotPrice")
    return routes.Scaling(
        minimum=int(_number(fields, "Min", 0)),
        maximum=int(_number(fields, "Max", 0)),
        boot_s=_number(fields, "BootTimeS", 0.0),
        reclaimable_price=None if part is None else _number(fields, "SpotPrice"),
        prices={name: _number(prices, name) for name in prices},
    )


def _decode_organisation(row: Fields) -> routes.Organisation:
    keys = row.get("ApiKeys") or []
    if not isinstance(keys, list):
        raise knowledge.UnreadableError("ApiKeys: expected a list")
    rate = _number(row, "RatePerS", 0)
    quota = routes.Quota(
        rate,
        _number(row, "Burst", 0),
        row.get("Unit") == "tokens",
        _number(row, "UncachedTokens", 1),
    )
    rank = row.get("Priority")
    return routes.Organisation(
        name=_text(row, "Name"),
        keys=frozenset(key for key in keys if isinstance(key, str)),
        rank=None if rank is None else int(_number(row, "Priority")),
        quota=quota if rate > 0 else None,
    )


def decode_endpoint(name: str, data: bytes) -> endpoints.Endpoint:
    """Decode what one endpoint says of itself."""
    fields = _decode(data)
    state = _word(fields, "State", STATES)
    born = fields.get("born", 0)
    if not isinstance(born, int) or isinstance(born, bool):
        raise knowledge.UnreadableError(f"born: expected a whole number, got {born!r}")
    address, port = split_address(_text(fields, "Address"))
    leaves = fields.get("leaves_ms")
    return endpoints.Endpoint(
        name=name,
        born=born,
        service=_text(fields, "Service"),
        address=address,
        port=port,
        data_centre=_text(fields, "Zone"),
        slots=int(_number(fields, "Slots", DEFAULT_SLOTS)),
        state=state,
        cold_s=_number(fields, "ColdRemainingMs", 0) / 1000,
        is_reclaimable=fields.get("Spot") is True,
        # The time that is left, not a moment.
        leaves_s=None if leaves is None else _number(fields, "leaves_ms") / 1000,
    )
