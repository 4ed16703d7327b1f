"""
What protects an entry from clients that nobody controls, shared by all its listeners.

The budgets follow from the machine's limits in the settings:

    guard = guarding.build(settings["limits"], largest_body=lambda: 4194304)
"""

import asyncio
import resource
import typing
from collections import abc

from acaciaward.gateway import bodybudget, calls, connectionlimit

MEBIBYTE = 1 << 20
# Share of the machine's memory for what callers send and don't read. The rest is for
# the process itself, copies in passing and what the allocator can't give back.
MEMORY_SHARE = 0.2
# Memory that is assumed if the settings name none.
DEFAULT_MEMORY_MB = 512.0
# Descriptors for files, and the share of the others that callers may use: the rest is
# for connections to endpoints, peers and the store.
RESERVED_FDS = 200
CALLERS_FD_SHARE = 0.5
MIN_CONNECTIONS = 16
# Descriptors that are assumed of a process without a limit.
UNLIMITED_FDS = 65536
DEFAULT_BODY_S = 300.0


class EarlyRefusal(typing.NamedTuple):
    """An answer to a request whose body isn't read."""

    status: int
    reason: str
    retry_after_s: float | None = None


RefuseEarly = abc.Callable[[calls.Call], EarlyRefusal | None]
EncodeRefusal = abc.Callable[[calls.Call, EarlyRefusal], calls.Headers]


class Policy(typing.NamedTuple):
    """
    How one listener refuses requests before their bodies are read.

    ``refuse_early`` gets a call without its body, and decides on large bodies only.
    ``encode_refusal`` returns the headers of a refusal.
    """

    refuse_early: RefuseEarly = lambda call: None
    encode_refusal: EncodeRefusal = lambda call, refusal: []


class Guard(typing.NamedTuple):
    """
    The budgets of one entry; ``body_s`` bounds the time of a body in seconds.

    Whoever has ``chunk_turn`` may parse many tiny chunks in this turn of the event
    loop, so that ordinary requests get their turns in between.
    """

    budget: bodybudget.BodyBudget
    connections: connectionlimit.ConnectionLimit
    body_s: float
    chunk_turn: asyncio.Lock


def build(
    limits: abc.Mapping[str, typing.Any], largest_body: abc.Callable[[], int]
) -> Guard:
    """Return the guard for a machine with the ``limits`` of the settings."""
    memory_mb = limits["memory_mb"] or DEFAULT_MEMORY_MB
    max_fds = limits["max_fds"] or _process_fds()
    max_connections = int((max_fds - RESERVED_FDS) * CALLERS_FD_SHARE)
    return Guard(
        bodybudget.BodyBudget(
            int(memory_mb * MEMORY_SHARE * MEBIBYTE), largest_body=largest_body
        ),
        connectionlimit.ConnectionLimit(max(MIN_CONNECTIONS, max_connections)),
        limits["body_s"],
        asyncio.Lock(),
    )


def _process_fds() -> int:
    """Return how many descriptors this process may open."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return UNLIMITED_FDS if limit == resource.RLIM_INFINITY else limit


def build_default() -> Guard:
    """Return the guard for a machine of unknown size."""
    return build(
        {"memory_mb": None, "max_fds": None, "body_s": DEFAULT_BODY_S}, lambda: 0
    )
