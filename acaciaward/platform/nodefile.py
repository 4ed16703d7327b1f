"""
Decodes the platform's settings file into the project's own settings.

    NodeName=edge-1
    Listen.Frontend=10.1.0.16:8360

becomes ``{"instance": {"name": "edge-1"}, "callers": {"address": ..., "port": ...}}``.
Unknown fields are ignored. Missing ones are reported when the settings are checked.
"""

import logging
import os
import pathlib
import typing
from collections import abc

import prometheus_client

from acaciaward import errors
from acaciaward.catalogue import storeview
from acaciaward.observability import logs
from acaciaward.platform import documents

log = logging.getLogger(__name__)

PATH_VARIABLE = "ACACIAWARD_NODE_FILE"
DEFAULT_PATH = "/etc/acaciaward/boot.conf"
# The ports that serve metrics and calls of peers are the first of InternalPortRange
# plus these offsets.
METRICS_PORT_OFFSET = 1
DETOURS_PORT_OFFSET = 2
# The platform names at most three seeds.
MAX_SEEDS = 16
INVALID_SEEDS = prometheus_client.Gauge(
    "acaciaward_invalid_seeds",
    "Seeds in the platform's settings file that were skipped when it was last read",
)

# The project's setting for each of the platform's bounds, and the factor that converts
# its value: 0.001 for milliseconds, which the project's settings have in seconds.
BOUNDS = {
    "ContactMs": ("contact_s", 0.001),
    "DrainMs": ("drain_s", 0.001),
    "GraceS": ("stop_limit_s", 1.0),
    "ConfigApplyMs": ("configuration_s", 0.001),
    "RetryBudgetRatio": ("repeat_ratio", 1.0),
    "BudgetWindowS": ("repeat_window_s", 1.0),
    "RetryBurst": ("repeat_burst", 1.0),
    "QuotaWindowS": ("quota_window_s", 1.0),
    "QuotaOvershoot": ("quota_overshoot", 1.0),
    "QuotaSlack": ("quota_slack", 1.0),
    "LeaseMs": ("lease_s", 0.001),
    "ThawMs": ("thaw_s", 0.001),
    "WindowS": ("usage_window_s", 1.0),
    "UsageLateS": ("usage_late_s", 1.0),
    "ExposureShare": ("exposure_share", 1.0),
    "ExposureSlack": ("exposure_slack", 1.0),
    "RollbackMs": ("rollback_s", 0.001),
    "ttl_max_s": ("discovery_longest_s", 1.0),
}


def default_path() -> pathlib.Path:
    """Return the path of the platform's settings file for this process."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def read(file: pathlib.Path) -> dict[str, typing.Any]:
    """Decode a settings file, or raise ``SettingsError``."""
    try:
        return decode(file.read_text())
    except OSError as error:
        raise errors.SettingsError(f"{file}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{file}: not UTF-8 text") from error
    except storeview.UnreadableError as error:
        raise errors.SettingsError(f"{file}: {error}") from error


def decode(text: str) -> dict[str, typing.Any]:
    """Return the project's settings from the text of a settings file."""
    fields = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not line.startswith("#"):
            fields[name.strip()] = value.strip()
    settings: dict[str, typing.Any] = {
        "instance": _drop_missing(
            name=fields.get("NodeName"),
            data_centre=fields.get("Zone"),
            region=fields.get("Region"),
            link_mbps=_number(fields, "Limits.LinkMbps"),
        ),
        "callers": _address(fields, "Listen.Frontend"),
        "readiness": _address(fields, "Listen.Readiness"),
        "discovery": _address(fields, "Listen.Directory"),
        "peers": _address(fields, "Listen.Control")
        | {"seeds": _seeds(fields.get("Seeds", ""))},
        "store": _address(fields, "Platform.Address"),
        "duties": {"names": _split_list(fields.get("Cloud.Duties", ""))},
        "bounds": _decode_bounds(fields),
        "limits": _decode_limits(fields),
        "metrics": _internal_address(fields, METRICS_PORT_OFFSET),
        "detours": _internal_address(fields, DETOURS_PORT_OFFSET),
    }
    if fields.get("Cloud.Address"):
        settings["cloud"] = _address(fields, "Cloud.Address")
    return settings


def _drop_missing(**values: typing.Any) -> dict[str, typing.Any]:
    return {name: value for name, value in values.items() if value}


def _split_list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


def _address(fields: abc.Mapping[str, str], name: str) -> dict[str, typing.Any]:
    if not fields.get(name):
        return {}
    address, port = documents.split_address(fields[name])
    return {"address": address, "port": port}


def _seeds(text: str) -> list[dict[str, typing.Any]]:
    """Return the seeds that are addresses; the others are counted and logged."""
    seeds = []
    invalid = []
    parts = _split_list(text)
    for part in parts[:MAX_SEEDS]:
        try:
            address, port = documents.split_address(part)
        except storeview.UnreadableError as error:
            invalid.append(str(error))
        else:
            seeds.append({"address": address, "port": port})
    INVALID_SEEDS.set(len(invalid) + max(0, len(parts) - MAX_SEEDS))
    if invalid or len(parts) > MAX_SEEDS:
        log.warning(
            "seeds skipped",
            extra=logs.fields(
                reason="; ".join(invalid), seeds=len(parts), used=len(seeds)
            ),
        )
    return seeds


def _decode_bounds(fields: abc.Mapping[str, str]) -> dict[str, float]:
    bounds = {}
    for name, (setting, factor) in BOUNDS.items():
        value = _number(fields, f"Bounds.{name}")
        if value is not None:
            bounds[setting] = value * factor
    return bounds


def _decode_limits(fields: abc.Mapping[str, str]) -> dict[str, typing.Any]:
    max_fds = _number(fields, "Limits.MaxFds")
    return _drop_missing(
        memory_mb=_number(fields, "Limits.MemoryMb"),
        max_fds=None if max_fds is None else int(max_fds),
    )


def _number(fields: abc.Mapping[str, str], name: str) -> float | None:
    text = fields.get(name)
    if not text:
        return None
    try:
        return float(text)
    except ValueError as error:
        raise storeview.UnreadableError(
            f"{name}: expected a number, got {text!r}"
        ) from error


def _internal_address(
    fields: abc.Mapping[str, str], offset: int
) -> dict[str, typing.Any]:
    """Return an address on a port for traffic between entries, if there is one."""
    first_port, _, last_port = fields.get("InternalPortRange", "").partition(",")
    if not first_port.isdecimal() or not fields.get("Ip"):
        return {}
    port = int(first_port) + offset
    if last_port.isdecimal() and port > int(last_port):
        return {}
    return {"address": fields["Ip"], "port": port}
