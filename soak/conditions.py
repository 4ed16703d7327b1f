"""
The bounds that the promises set, and when something was disturbed from outside.

Bounds are those of the settings that the entries are given.
"""

import collections
import dataclasses
import enum
import math
import typing
from collections import abc


class Bounds(typing.NamedTuple):
    """The limits that the promises set, in seconds, requests and shares."""

    # Time without a disturbance after which an entry or a server counts as undisturbed.
    contact_s: float = 3.0
    drain_s: float = 2.0
    configuration_s: float = 2.0
    # Time in which an entry that applied a configuration may still apply older ones.
    revert_s: float = 0.25
    repeat_ratio: float = 0.02
    repeat_burst: float = 5.0
    repeat_window_s: float = 10.0
    quota_rate: float = 20.0
    quota_burst: float = 20.0
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 10.0
    lease_s: float = 3.0
    # Shorter than the platform's, so that a soak has more windows.
    usage_window_s: float = 2.0
    usage_late_s: float = 10.0
    # Time after a restore of the store from which on every window is reported.
    usage_resumed_s: float = 15.0
    stop_limit_s: float = 8.0
    # Time after the end of the faults, and the share of requests served from then on.
    recover_s: float = 12.0
    recovered_share: float = 0.25
    # Time after a caller left in which its requests may still be sent and run, how many
    # may be sent or run later nevertheless, and which share of them may run later.
    gone_s: float = 0.5
    gone_requests: int = 5
    # Crashes of a part of prompts, and requests with it that may still arrive later
    # than the contact time after them.
    part_crashes: int = 5
    late_part_requests: int = 3
    gone_share: float = 0.25
    # The same of a request that crashes servers.
    request_crashes: int = 3
    late_crashing_requests: int = 3


class Kind(enum.Enum):
    """What a disturbance does to what it disturbs."""

    FAULT = enum.auto()
    # An entry is told to end, and has time for what it has begun.
    STOP = enum.auto()
    # What has had its time to leave or stop ends, and breaks off what it still runs.
    END = enum.auto()


DISTURBING_KINDS = frozenset({Kind.FAULT, Kind.STOP})


class Disturbances:
    """When entries, servers and the store were disturbed, by their names."""

    def __init__(self):
        self._spans: dict[str, list[_Span]] = collections.defaultdict(list)

    def begin(self, name: str, at: float, kind: Kind = Kind.FAULT) -> None:
        """Record that a disturbance of ``name`` began."""
        self._spans[name].append(_Span(kind, at))

    def end(self, name: str, at: float, kind: Kind = Kind.FAULT) -> None:
        """Record that the oldest open disturbance of ``name`` of that kind ended."""
        for span in self._spans[name]:
            if span.kind is kind and span.end == math.inf:
                span.end = at
                return

    def is_undisturbed(
        self,
        name: str,
        begin: float,
        end: float,
        *,
        except_begun_at: float | None = None,
        kinds: abc.Container[Kind] = DISTURBING_KINDS,
    ) -> bool:
        """
        Whether nothing disturbed ``name`` between ``begin`` and ``end``.

        Disturbances that began at ``except_begun_at`` or that aren't of these ``kinds``
        don't count.
        """
        return not any(
            span.begin < end and begin < span.end
            for span in self._spans[name]
            if span.begin != except_begun_at and span.kind in kinds
        )


@dataclasses.dataclass
class _Span:
    kind: Kind
    begin: float
    end: float = math.inf
