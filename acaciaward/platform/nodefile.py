"""
Decodes the platform's settings file into the project's own settings.

    NodeName=edge-1
    Listen.Frontend=10.1.0.16:8360

becomes ``{"instance": {"name": "edge-1"}, "callers": {"address": ..., "port": ...}}``.
What isn't known here is left out, and what is missing is found by the check of the
settings.
"""

import os
import pathlib
import typing
from collections import abc

from acaciaward import errors
from acaciaward.catalogue import knowledge
from acaciaward.platform import documents

PATH_VARIABLE = "ACACIAWARD_NODE_FILE"
USUAL_PATH = "/etc/acaciaward/boot.conf"
# Where in the range for internal traffic metrics are served.
METRICS_PORT_STEP = 1

# The project's settings for the platform's bounds, with the factor to seconds
# where the platform counts milliseconds.
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
    "ttl_max_s": ("discovery_longest_s", 1.0),
}


def path() -> pathlib.Path:
    """Return where the platform has put this process's settings."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, USUAL_PATH))


def read(place: pathlib.Path) -> dict[str, typing.Any]:
    """Return the project's settings of a file, or raise ``SettingsError``."""
    try:
        return decode(place.read_text())
    except OSError as error:
        raise errors.SettingsError(f"{place}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{place}: not UTF-8 text") from error
    except knowledge.UnreadableError as error:
        raise errors.SettingsError(f"{place}: {error}") from error


def decode(text: str) -> dict[str, typing.Any]:
    """Return the project's settings of a file's text."""
    fields = {}
    for line in text.splitlines():
        name, mark, value = line.partition("=")
        if mark and not line.startswith("#"):
            fields[name.strip()] = value.strip()
    settings: dict[str, typing.Any] = {
        "instance": _known(
            name=fields.get("NodeName"),
            data_centre=fields.get("Zone"),
            region=fields.get("Region"),
        ),
        "callers": _place(fields, "Listen.Frontend"),
        "readiness": _place(fields, "Listen.Readiness"),
        "discovery": _place(fields, "Listen.Directory"),
        "peers": _place(fields, "Listen.Control")
        | {"seeds": _places(fields.get("Seeds", ""))},
        "store": _place(fields, "Platform.Address"),
        "duties": {"names": _list(fields.get("Cloud.Duties", ""))},
        "bounds": _decode_bounds(fields),
        "metrics": _metrics(fields),
    }
    if fields.get("Cloud.Address"):
        settings["cloud"] = _place(fields, "Cloud.Address")
    return settings


def _known(**values: str | None) -> dict[str, str]:
    return {name: value for name, value in values.items() if value}


def _list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


def _place(fields: abc.Mapping[str, str], name: str) -> dict[str, typing.Any]:
    if not fields.get(name):
        return {}
    address, port = documents.split_address(fields[name])
    return {"address": address, "port": port}


def _places(text: str) -> list[dict[str, typing.Any]]:
    return [
        dict(zip(("address", "port"), documents.split_address(one), strict=True))
        for one in _list(text)
    ]


def _decode_bounds(fields: abc.Mapping[str, str]) -> dict[str, float]:
    bounds = {}
    for name, (own_name, factor) in BOUNDS.items():
        text = fields.get(f"Bounds.{name}")
        if text:
            try:
                bounds[own_name] = float(text) * factor
            except ValueError as error:
                raise knowledge.UnreadableError(
                    f"Bounds.{name}: expected a number, got {text!r}"
                ) from error
    return bounds


def _metrics(fields: abc.Mapping[str, str]) -> dict[str, typing.Any]:
    first = fields.get("InternalPortRange", "").split(",")[0]
    if not first.isdecimal() or not fields.get("Ip"):
        return {}
    return {"address": fields["Ip"], "port": int(first) + METRICS_PORT_STEP}
