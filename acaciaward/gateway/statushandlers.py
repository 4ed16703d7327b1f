"""Answers the requests about an entry itself: readiness, discovery and metrics."""

import random
from collections import abc

import prometheus_client

from acaciaward.gateway import callers, calls
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.platform import discovery

State = membership_interfaces.PeerState

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
JSON = [(b"Content-Type", b"application/json")]


class StatusHandlers:
    """Handlers of readiness, discovery and metrics requests."""

    def __init__(
        self,
        membership: membership_interfaces.Membership,
        *,
        is_ready: abc.Callable[[], bool],
        lifetime_s: float,
    ):
        self._membership = membership
        self._is_ready = is_ready
        self._lifetime_s = lifetime_s
        self._handlers_by_path = {
            discovery.READY_PATH: self._answer_ready,
            discovery.DISCOVERY_PATH: self._answer_discovery,
        }

    async def answer(self, call: calls.Call, responder: callers.Responder) -> None:
        """Answer a readiness or discovery request, by its path."""
        handler = self._handlers_by_path.get(call.path)
        if handler is None:
            await responder.send(NOT_FOUND, [], b"")
            return
        await handler(responder)

    async def answer_metrics(
        self, call: calls.Call, responder: callers.Responder
    ) -> None:
        """Answer with all metrics on any path."""
        content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
        body = prometheus_client.generate_latest()
        await responder.send(OK, [(b"Content-Type", content_type)], body)

    async def _answer_ready(self, responder: callers.Responder) -> None:
        await responder.send(OK if self._is_ready() else UNAVAILABLE, [], b"")

    async def _answer_discovery(self, responder: callers.Responder) -> None:
        live = [peer for peer in self._membership.peers() if peer.state is State.LIVE]
        # Entries that don't reach endpoints serve through the others.
        listed = [peer for peer in live if not peer.is_isolated] or live
        addresses = [f"{peer.address}:{peer.port}" for peer in listed]
        if not addresses:
            await responder.send(UNAVAILABLE, [], b"")
            return
        # An answer has room for a limited number of entries; shuffling spreads callers.
        random.shuffle(addresses)
        body = discovery.encode_entries(addresses, self._lifetime_s)
        await responder.send(OK, JSON, body)
