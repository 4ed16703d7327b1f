"""Builds the servers of readiness, discovery and metrics, and the limits of detours."""

from collections import abc

from acaciaward.catalogue import routes
from acaciaward.gateway import callers, guarding, statushandlers
from acaciaward.membership import gossip
from acaciaward.platform import headers
from acaciaward.settings import loader

# Room for the headers that peers add to a caller's.
DETOUR_HEADER_BYTES = 2048
# Requests for readiness, discovery and metrics need no body; a small one is ignored.
MAX_BODY_BYTES = 1024
# Peers keep idle connections for less time.
DETOUR_IDLE_S = 15.0


def build_auxiliary(
    settings: loader.Settings,
    membership: gossip.GossipMembership,
    is_ready: abc.Callable[[], bool],
    guard: guarding.Guard,
) -> dict[str, callers.CallerServer]:
    """Return the servers that answer what isn't a call, by name of their settings."""
    status_handlers = statushandlers.StatusHandlers(
        membership,
        is_ready=is_ready,
        lifetime_s=settings["discovery"]["lifetime_s"],
    )
    handlers = {
        "readiness": status_handlers.answer,
        "discovery": status_handlers.answer,
    }
    if settings["metrics"]:
        handlers["metrics"] = status_handlers.answer_metrics
    return {
        name: callers.CallerServer(
            handler,
            headers.decode_call,
            lambda: routes.Limits(body_bytes=MAX_BODY_BYTES),
            guard=guard,
        )
        for name, handler in handlers.items()
    }


def detour_limits(limits: routes.Limits) -> routes.Limits:
    """Return the callers' limits with room for what peers add."""
    return limits._replace(
        header_bytes=limits.header_bytes + DETOUR_HEADER_BYTES,
        idle_s=DETOUR_IDLE_S,
    )
