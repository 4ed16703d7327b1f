"""Counts lost connections to peers and unsent messages, and logs them in summary."""

import asyncio
import collections
import logging
import time

import prometheus_client
import zmq
import zmq.asyncio
from zmq.utils import monitor

from acaciaward.observability import logs

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 1.0
MAX_LOGGED_PEERS = 4

LOST_CONNECTIONS = prometheus_client.Counter(
    "acaciaward_peer_connections_lost_total",
    "Connections to peers that ended, also by a heartbeat's timeout",
)
UNSENT_MESSAGES = prometheus_client.Counter(
    "acaciaward_peer_messages_unsent_total",
    "Messages to peers that were dropped as the peer's queue was full",
)


class ConnectionEvents:
    """Counts events of connections by peer, and logs the sums once a second at most."""

    def __init__(self):
        self._lost: collections.Counter[str] = collections.Counter()
        self._unsent: collections.Counter[str] = collections.Counter()
        self._logged_at = time.monotonic()
        self._timer: asyncio.TimerHandle | None = None

    def count_unsent(self, peer: str) -> None:
        """Count a message that was dropped as the queue to a peer was full."""
        UNSENT_MESSAGES.inc()
        self._unsent[peer] += 1
        self._log_when_due()

    async def watch(self, socket: zmq.asyncio.Socket, peer: str) -> None:
        """Count the connections that a socket loses, until cancelled."""
        events = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        try:
            while True:
                await monitor.recv_monitor_message(events)
                LOST_CONNECTIONS.inc()
                self._lost[peer] += 1
                self._log_when_due()
        finally:
            if not socket.closed:
                socket.disable_monitor()
            events.close(0)

    def _log_when_due(self) -> None:
        if self._timer is None:
            due_in_s = LOG_INTERVAL_S - (time.monotonic() - self._logged_at)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, due_in_s), self._log)

    def _log(self) -> None:
        now = time.monotonic()
        log.info(
            "connections to peers lost or full",
            extra=logs.fields(
                lost=self._lost.total(),
                unsent=self._unsent.total(),
                peers=_most_common(self._lost + self._unsent),
                during_s=round(now - self._logged_at, 2),
            ),
        )
        self._timer = None
        self._logged_at = now
        self._lost.clear()
        self._unsent.clear()


def _most_common(counts: collections.Counter[str]) -> str:
    return ",".join(
        f"{peer}:{count}" for peer, count in counts.most_common(MAX_LOGGED_PEERS)
    )
