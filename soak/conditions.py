"""
The bounds that the promises set, and when something was disturbed from outside.

Bounds are those of the settings that the entries are given.
"""

import collections
import typing


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


class Disturbances:
    """When entries, servers and the store were disturbed, by their names."""

    def __init__(self):
        self._spans: dict[str, list[list[float]]] = collections.defaultdict(list)

    def begin(self, name: str, at: float) -> None:
        """Record that a disturbance of ``name`` began."""
        self._spans[name].append([at, float("inf")])

    def end(self, name: str, at: float) -> None:
        """Record that the oldest open disturbance of ``name`` ended."""
        for span in self._spans[name]:
            if span[1] == float("inf"):
                span[1] = at
                return

    def is_undisturbed(
        self,
        name: str,
        begin: float,
        end: float,
        *,
        except_begun_at: float | None = None,
    ) -> bool:
        """
        Whether nothing disturbed ``name`` between ``begin`` and ``end``.

        Disturbances that began at ``except_begun_at`` don't count.
        """
        return not any(
            span_begin < end and begin < span_end
            for span_begin, span_end in self._spans[name]
            if span_begin != except_begun_at
        )
