"""Measures how much a reader relays, in total and by part of a relay."""

import logging
import time

import msgspec
import prometheus_client

from acaciaward.observability import logs
from acaciaward.relays import messages

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 2.0
# Parts that make up most of a relay; the rest is counted together.
PARTS = (
    "use",
    "load",
    "demand",
    "crashes",
    "limits",
    "parts",
    "leaving",
    "endpoints",
    "levels",
    "speeds",
)

RELAY_BYTES = prometheus_client.Gauge(
    "acaciaward_relay_bytes", "Size of this reader's last relay by part", ["part"]
)


class RelaySizes:
    """Logs and exports the sizes of relays, one measured every two seconds."""

    def __init__(self):
        self._encoder = msgspec.msgpack.Encoder()
        self._started_at = self._last_tick_at = time.monotonic()
        self._sent = 0
        self._longest_pause_s = 0.0

    def record_tick(self) -> None:
        """Record that this entry reports or relays now."""
        now = time.monotonic()
        self._longest_pause_s = max(self._longest_pause_s, now - self._last_tick_at)
        self._last_tick_at = now

    def record(self, relay: messages.Relay) -> None:
        """Record that a relay was sent; one of two seconds is measured."""
        self._sent += 1
        elapsed_s = time.monotonic() - self._started_at
        if elapsed_s < LOG_INTERVAL_S:
            return
        total = len(self._encoder.encode(relay))
        sizes = {part: len(self._encoder.encode(relay.get(part))) for part in PARTS}
        sizes["other"] = total - sum(sizes.values())
        for part, size in sizes.items():
            RELAY_BYTES.labels(part).set(size)
        log.info(
            "relays sent",
            extra=logs.fields(
                relay_bytes=total,
                bytes_per_s=round(total * self._sent / elapsed_s),
                relays=self._sent,
                longest_pause_s=round(self._longest_pause_s, 2),
                **{f"{part}_bytes": size for part, size in sizes.items()},
            ),
        )
        self._started_at, self._sent = time.monotonic(), 0
        self._longest_pause_s = 0.0
