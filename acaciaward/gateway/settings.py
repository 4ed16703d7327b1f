"""
Defines the keys of the gateway's settings and their bounds; see ``defaults.json``.

The keys are declared as types rather than as a JSON schema: each start of an entry
checks its settings, and importing a schema library takes longer than importing the
entry's own modules.
"""

import socket
import typing

import msgspec

from acaciaward import shipped

PACKAGE = "acaciaward.gateway"

Meta = msgspec.Meta
Name = typing.Annotated[
    str, Meta(min_length=1, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]
Port = typing.Annotated[
    int, Meta(ge=0, le=65535, description="TCP port; 0 takes a free one.")
]
Address = typing.Annotated[str, Meta(description="IP number.")]
Seconds = typing.Annotated[float, Meta(ge=0)]
IntervalSeconds = typing.Annotated[float, Meta(ge=0.1)]
ProbeSeconds = typing.Annotated[float, Meta(ge=0.01, le=60)]


def _described(kind: typing.Any, text: str) -> typing.Any:
    return typing.Annotated[kind, Meta(description=text)]


class _Group(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of the groups of keys; the settings reference prints their doc comments."""


class Instance(_Group):
    """The instance that this entry runs on."""

    name: _described(Name, "Name of this instance, unique among the entries.")
    data_centre: _described(Name, "Data centre of the instance.")
    region: _described(Name, "Region of the data centre.")
    link_mbps: _described(
        float | None, "Bandwidth of the instance's link in Mbit/s, or null if unknown."
    )


class SocketAddress(_Group):
    """An address and port."""

    address: Address
    port: Port


class Discovery(SocketAddress):
    """Where callers ask for the addresses of the entries."""

    lifetime_s: typing.Annotated[
        float,
        Meta(ge=0.1, le=60, description="How long an answer is valid, in seconds."),
    ]


class Peers(SocketAddress):
    """Where other entries connect, and how failed ones are detected."""

    seeds: _described(list[SocketAddress], "Entries to join through.")
    secret_key: _described(
        str | None, "CURVE secret key in Z85, or null without encryption."
    )
    public_key: _described(str | None, "CURVE public key in Z85.")
    allowed_public_keys: _described(
        list[str], "CURVE keys of entries that may connect."
    )
    probe_interval_s: _described(
        ProbeSeconds, "Pause between probes of neighbours, in seconds."
    )
    probe_timeout_s: _described(ProbeSeconds, "How long a probe may take, in seconds.")
    suspicion_s: _described(
        ProbeSeconds, "Time for a suspect entry to show that it is alive, in seconds."
    )
    sync_interval_s: typing.Annotated[
        float,
        Meta(
            ge=0.1,
            le=600,
            description="Mean pause between synchronisations with a peer, in seconds.",
        ),
    ]
    neighbours: typing.Annotated[
        int,
        Meta(ge=1, le=1000, description="Peers that this entry probes regularly."),
    ]
    gossip_bytes_per_s: typing.Annotated[
        float,
        Meta(ge=1000, description="Limit of urgent gossip, in bytes a second."),
    ]


class Store(SocketAddress):
    """The platform's store."""

    timeout_s: typing.Annotated[
        float,
        Meta(
            ge=0.05,
            le=60,
            description="Timeout of a call in addition to `wait_s`, in seconds.",
        ),
    ]
    wait_s: typing.Annotated[
        float,
        Meta(
            ge=0.1,
            le=30,
            description="How long the store may hold a call for an update, in seconds.",
        ),
    ]
    endpoints_pause_s: typing.Annotated[
        float,
        Meta(
            ge=0.05,
            le=10,
            description="Pause between readings of the endpoints, in seconds.",
        ),
    ]


class Duties(_Group):
    """Duties: tasks that only one entry performs at a time."""

    names: _described(list[str], "Duties that the platform requests.")


class Bounds(_Group):
    """Limits that the platform guarantees or requires."""

    contact_s: _described(
        Seconds,
        "Undisturbed time after which an instance counts as in contact, in seconds.",
    )
    drain_s: _described(
        Seconds, "Time that a leaving endpoint still serves, in seconds."
    )
    stop_limit_s: _described(
        IntervalSeconds, "Time between the stop signal and the kill, in seconds."
    )
    configuration_s: _described(
        Seconds, "Time in which a version must be in force, in seconds."
    )
    repeat_ratio: typing.Annotated[
        float,
        Meta(
            ge=0, le=1, description="Repeats of calls to a service per first attempt."
        ),
    ]
    repeat_window_s: _described(
        IntervalSeconds, "Window in which repeats are counted, in seconds."
    )
    repeat_burst: _described(Seconds, "Further repeats to a service in each window.")
    quota_window_s: _described(
        IntervalSeconds, "Window in which quotas are evaluated, in seconds."
    )
    quota_overshoot: _described(
        Seconds, "Share by which use in a window may exceed a quota."
    )
    quota_slack: _described(
        Seconds, "Units by which use in a window may further exceed a quota."
    )
    lease_s: _described(
        IntervalSeconds,
        "Time in which duties may not change holders twice, in seconds.",
    )
    thaw_s: _described(
        Seconds, "Time after a freeze in which late calls are tolerated, in seconds."
    )
    usage_window_s: _described(IntervalSeconds, "Length of a usage window, in seconds.")
    usage_late_s: _described(
        IntervalSeconds,
        "Time after a window's end at which its report is late, in seconds.",
    )
    discovery_longest_s: _described(
        IntervalSeconds, "Longest lifetime of discovery answers, in seconds."
    )
    exposure_share: typing.Annotated[
        float,
        Meta(
            ge=0,
            le=1,
            description="Share of a service's requests, from an order to its deadline,"
            " that a bad version may get.",
        ),
    ]
    exposure_slack: _described(Seconds, "Requests that it may get beyond that share.")
    rollback_s: _described(
        Seconds,
        "Time after its 50th bad answer within which it must get no more requests, in"
        " seconds.",
    )


class Limits(_Group):
    """The machine's limits, and what clients that nobody controls may use of them."""

    memory_mb: _described(
        float | None,
        "Memory of the machine in MiB, or null if unknown (512). A fifth of it is the"
        " budget for bodies that arrive or wait and answers that callers don't read,"
        " but at least two bodies of the largest legal size fit.",
    )
    max_fds: _described(
        int | None,
        "Descriptors that the process may open, or null for its own limit. Callers may"
        " hold half of those above 200.",
    )
    body_s: _described(
        IntervalSeconds, "Time in which a request's body must be complete, in seconds."
    )


class Metrics(_Group):
    """Where metrics are served; if left out, they aren't served."""

    address: Address | msgspec.UnsetType = msgspec.UNSET
    port: Port | msgspec.UnsetType = msgspec.UNSET


class Detours(_Group):
    """Where peers send calls that can't reach endpoints; if left out, a free port."""

    address: Address | msgspec.UnsetType = msgspec.UNSET
    port: Port | msgspec.UnsetType = msgspec.UNSET


class Logging(_Group):
    """Log lines."""

    level: _described(
        typing.Literal["debug", "info", "warning", "error"],
        "Lowest level that is written.",
    )
    lines_per_s: typing.Annotated[
        int,
        Meta(
            ge=1,
            description="Lines a second below warnings; more are dropped and counted.",
        ),
    ]


class Settings(_Group):
    """All keys."""

    instance: Instance
    callers: _described(SocketAddress, "Where callers send requests.")
    readiness: _described(
        SocketAddress, "Where the platform asks whether the entry is ready."
    )
    discovery: Discovery
    peers: Peers
    store: Store
    cloud: _described(
        SocketAddress | None, "The platform's interface for duties, or null."
    )
    duties: Duties
    bounds: Bounds
    limits: Limits
    metrics: Metrics
    detours: Detours
    logging: Logging


def find_first_problem(
    settings: dict[str, typing.Any],
) -> shipped.ValidationProblem | None:
    """Return the first problem in complete settings, defaults included, or None."""
    try:
        msgspec.convert(settings, Settings)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(" - at `$")
        return shipped.ValidationProblem(path.strip(".`"), reason)
    return _first_bad_address(settings, "")


def _first_bad_address(
    group: typing.Any, path: str
) -> shipped.ValidationProblem | None:
    if isinstance(group, list):
        group = dict(enumerate(group))
    if not isinstance(group, dict):
        return None
    for key, value in group.items():
        key_path = f"{path}.{key}" if path else str(key)
        if key == "address" and not _is_ip_number(value):
            return shipped.ValidationProblem(key_path, f"{value!r} is not an IP number")
        problem = _first_bad_address(value, key_path)
        if problem is not None:
            return problem
    return None


def _is_ip_number(text: str) -> bool:
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, text)
        except OSError:
            continue
        return True
    return False
