"""
Decodes the records that the operator and the endpoints write to the platform's store.

The names of the fields are the platform's. A writer may leave fields out or give
them a wrong type; such a record raises ``UnreadableError`` with the reason, and
nothing of it is used.
"""

import ipaddress
import typing
from collections import abc

from acaciaward import decoding, errors
from acaciaward.catalogue import endpoints, routes, storeview

REQUEST_KINDS = {
    "idempotent": routes.RequestKind.IDEMPOTENT,
    "non_idempotent": routes.RequestKind.NON_IDEMPOTENT,
    "streaming": routes.RequestKind.STREAM,
}
ENDPOINT_STATES = {
    "ready": endpoints.EndpointState.READY,
    "draining": endpoints.EndpointState.LEAVING,
}
# The platform's documented defaults for fields that are left out.
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_CONNECTIONS = 100
DEFAULT_SLOTS = 1
MAX_PORT = 65535
# Part of a text that is shown in errors.
MAX_SHOWN_CHARACTERS = 80

CONFIGURATION_KEY = "config"
Fields = abc.Mapping[str, typing.Any]
_Meaning = typing.TypeVar("_Meaning")


def decode_object(data: bytes) -> Fields:
    """Return the fields of a record that holds a JSON object, or raise."""
    try:
        fields = decoding.from_json(data, object)
    except errors.DecodingError as error:
        raise storeview.UnreadableError(f"not JSON: {error}") from error
    if not isinstance(fields, dict):
        raise storeview.UnreadableError("not a JSON object")
    return fields


def _read_text(fields: Fields, name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise storeview.UnreadableError(
            f"{name}: expected a non-empty string, got {_shorten(value)}"
        )
    return value


def read_name(fields: Fields, name: str) -> str:
    """Return a name that can be sent in a header, or raise."""
    return _check_name(name, _read_text(fields, name))


def _check_name(field: str, value: str) -> str:
    """Return a name that can be sent in a header, or raise."""
    if not decoding.is_name(value):
        raise storeview.UnreadableError(
            f"{field}: expected up to {decoding.MAX_NAME_CHARACTERS} printable"
            f" characters, got {_shorten(value)}"
        )
    return value


def _shorten(value: typing.Any) -> str:
    """Return a value as text that fits into a log line."""
    if isinstance(value, str):
        return repr(value[:MAX_SHOWN_CHARACTERS])
    if isinstance(value, list | dict):
        return type(value).__name__
    if isinstance(value, int) and not decoding.is_in_range(abs(value)):
        return "a number out of range"
    return repr(value)


def _read_choice(
    fields: Fields, name: str, choices: abc.Mapping[str, _Meaning]
) -> _Meaning:
    value = fields.get(name)
    if not isinstance(value, str) or value not in choices:
        raise storeview.UnreadableError(f"{name}: unknown value {_shorten(value)}")
    return choices[value]


def read_number(fields: Fields, name: str, default: float | None = None) -> float:
    """Return a number that isn't negative, or raise."""
    value = fields.get(name, default)
    if not decoding.is_in_range(value):
        raise storeview.UnreadableError(
            f"{name}: expected a number from 0 to {decoding.MAX_NUMBER},"
            f" got {_shorten(value)}"
        )
    return value


def _read_object(fields: Fields, name: str) -> Fields:
    value = fields.get(name) or {}
    if not isinstance(value, dict):
        raise storeview.UnreadableError(
            f"{name}: expected an object, got {_shorten(value)}"
        )
    return value


def _read_objects(fields: Fields, name: str) -> list[Fields]:
    value = fields.get(name) or []
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        raise storeview.UnreadableError(f"{name}: expected a list of objects")
    return value


def split_address(text: str) -> tuple[str, int]:
    """Return IP address and port of ``IP:PORT``."""
    host, _, port_text = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        port = decoding.to_integer(port_text)
    except (ValueError, errors.DecodingError) as error:
        raise storeview.UnreadableError(
            f"expected IP:PORT, got {_shorten(text)}"
        ) from error
    if not 0 < port <= MAX_PORT:
        raise storeview.UnreadableError(f"port out of range: {_shorten(text)}")
    return host, port


def decode_catalogue(data: bytes) -> routes.Catalogue:
    """Decode the operator's configuration; every record holds all of it."""
    fields = decode_object(data)
    limits = _read_object(fields, "Limits")
    defaults = routes.Limits()
    services = [_decode_service(row) for row in _read_objects(fields, "Services")]
    organisations = [
        _decode_organisation(row) for row in _read_objects(fields, "Tenants")
    ]
    return routes.Catalogue(
        version=int(read_number(fields, "Version")),
        routes=tuple(_decode_route(row) for row in _read_objects(fields, "Routes")),
        services={service.name: service for service in services},
        organisations={
            organisation.name: organisation for organisation in organisations
        },
        limits=routes.Limits(
            int(read_number(limits, "MaxHeaderBytes", defaults.header_bytes)),
            int(read_number(limits, "MaxBodyBytes", defaults.body_bytes)),
            read_number(limits, "HeaderTimeoutMs", defaults.header_s * 1000) / 1000,
            read_number(limits, "IdleTimeoutMs", defaults.idle_s * 1000) / 1000,
        ),
    )


def _decode_route(row: Fields) -> routes.Route:
    kind = _read_choice(row, "RouteType", REQUEST_KINDS)
    # A route names one service, or several with weights.
    backends = _read_objects(row, "Backends")
    if backends:
        shares = tuple(
            (_read_text(backend, "Service"), read_number(backend, "Weight", 1.0))
            for backend in backends
        )
    else:
        shares = ((_read_text(row, "Service"), 1.0),)
    gap_ms = row.get("GapTargetMs")
    return routes.Route(
        name=_read_text(row, "Name"),
        host=_read_text(row, "Host"),
        prefix=_read_text(row, "PathPrefix"),
        kind=kind,
        timeout_s=read_number(row, "TimeoutMs", DEFAULT_TIMEOUT_MS) / 1000,
        target_s=read_number(row, "TargetLatencyMs", DEFAULT_TIMEOUT_MS) / 1000,
        # The platform's Priority is a rank: 0 is the most urgent.
        rank=int(read_number(row, "Priority", 5)),
        shares=shares,
        max_attempts=max(1, int(read_number(row, "MaxAttempts", 1))),
        is_anonymous=row.get("Anonymous") is True,
        is_resumable=row.get("Resumable") is True,
        # Sticky marks the routes whose requests carry a prompt.
        has_prompt=row.get("Sticky") is True,
        max_gap_s=None if gap_ms is None else read_number(row, "GapTargetMs") / 1000,
    )


def _decode_service(row: Fields) -> routes.Service:
    engine = _read_object(row, "Engine")
    scaling = _read_object(row, "Scaling")
    return routes.Service(
        name=_read_text(row, "Name"),
        max_connections=int(read_number(row, "MaxConnections", DEFAULT_CONNECTIONS)),
        engine=_decode_engine(engine) if engine else None,
        scaling=_decode_scaling(scaling) if scaling else None,
    )


def _decode_engine(fields: Fields) -> routes.Engine:
    return routes.Engine(
        int(read_number(fields, "Slots", DEFAULT_SLOTS)),
        int(read_number(fields, "KvCapacity", 0)),
    )


def _decode_scaling(fields: Fields) -> routes.Scaling:
    prices = _read_object(fields, "ZonePrices")
    spot_price = fields.get("SpotPrice")
    return routes.Scaling(
        minimum=int(read_number(fields, "Min", 0)),
        maximum=int(read_number(fields, "Max", 0)),
        boot_s=read_number(fields, "BootTimeS", 0.0),
        reclaimable_price=None
        if spot_price is None
        else read_number(fields, "SpotPrice"),
        prices={name: read_number(prices, name) for name in prices},
    )


def _decode_organisation(row: Fields) -> routes.Organisation:
    keys = row.get("ApiKeys") or []
    if not isinstance(keys, list):
        raise storeview.UnreadableError("ApiKeys: expected a list")
    rate = read_number(row, "RatePerS", 0)
    quota = routes.Quota(
        rate,
        read_number(row, "Burst", 0),
        row.get("Unit") == "tokens",
        read_number(row, "UncachedTokens", 1),
    )
    rank = row.get("Priority")
    return routes.Organisation(
        name=_read_text(row, "Name"),
        keys=frozenset(key for key in keys if isinstance(key, str)),
        rank=None if rank is None else int(read_number(row, "Priority")),
        quota=quota if rate > 0 else None,
    )


def decode_endpoint(name: str, data: bytes) -> endpoints.Endpoint:
    """Decode the record that an endpoint publishes about itself."""
    _check_name("key", name)
    fields = decode_object(data)
    state = _read_choice(fields, "State", ENDPOINT_STATES)
    born_ms = fields.get("born", 0)
    if not isinstance(born_ms, int) or not decoding.is_in_range(born_ms):
        raise storeview.UnreadableError(
            f"born: expected a whole number from 0 to {decoding.MAX_NUMBER},"
            f" got {_shorten(born_ms)}"
        )
    address, port = split_address(_read_text(fields, "Address"))
    leaves_ms = fields.get("leaves_ms")
    version = fields.get("Version", "")
    is_number = isinstance(version, int) and decoding.is_in_range(version)
    if not isinstance(version, str) and not is_number:
        raise storeview.UnreadableError(
            f"Version: expected a string, got {_shorten(version)}"
        )
    return endpoints.Endpoint(
        name=name,
        born=born_ms,
        service=read_name(fields, "Service"),
        address=address,
        port=port,
        data_centre=read_name(fields, "Zone"),
        slots=int(read_number(fields, "Slots", DEFAULT_SLOTS)),
        state=state,
        cold_s=read_number(fields, "ColdRemainingMs", 0) / 1000,
        is_reclaimable=fields.get("Spot") is True,
        # A remaining duration, not a point in time.
        leaves_s=None if leaves_ms is None else read_number(fields, "leaves_ms") / 1000,
        version=_check_name("Version", str(version)),
    )
