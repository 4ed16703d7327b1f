"""
Decides how a stream leaves its endpoint, and which streams go first.

Plain functions over snapshots. A way is scored in seconds of work: moving the KV
cache costs the transfer, computing again costs the engine's prefill, and each
recomputed token costs a fixed amount besides. The deployment's two weights say
how much work and recomputed tokens count.
"""

import enum
import typing

from acaciaward import documents, requests

PREFILL_S_PER_TOKEN = 0.00001
RECOMPUTED_TOKEN_S = 0.0001
TRANSFER_OVERHEAD_S = 0.004
TRANSFER_SAFETY = 2.0
FINISH_SHARE = 0.5
DEFAULT_WEIGHTS: documents.Weights = {"cost": 0.5, "recomputed_tokens": 0.5}

_CLASS_RANK = {
    requests.ServiceClass.URGENT: 0,
    requests.ServiceClass.SHORT: 1,
    requests.ServiceClass.LONG: 2,
}


class Way(enum.Enum):
    """How a stream leaves its endpoint."""

    FINISH = "finish"
    MOVE_KV = "move_kv"
    RECOMPUTE = "recompute"


class Snapshot(typing.NamedTuple):
    """
    What is known of a stream and its endpoint when the way is chosen.

    ``left_s`` are the seconds until the endpoint ends, ``step_s`` is the time
    of one token, ``bytes_per_s`` the lower of the two byte budgets.
    """

    left_s: float
    context_tokens: int
    remaining_tokens: int
    step_s: float
    bytes_per_token: float
    bytes_per_s: float
    max_bytes: int


def choose_way(snapshot: Snapshot, weights: documents.Weights) -> Way:
    """
    Return the way with the lowest weighted cost among those that still fit.

        choose_way(snapshot, {"cost": 0.2, "recomputed_tokens": 0.8})
        # Way.MOVE_KV
    """
    finish_s = snapshot.remaining_tokens * snapshot.step_s
    if finish_s < snapshot.left_s * FINISH_SHARE:
        return Way.FINISH
    size = snapshot.context_tokens * snapshot.bytes_per_token
    transfer_s = TRANSFER_OVERHEAD_S + size / snapshot.bytes_per_s
    fits = transfer_s * TRANSFER_SAFETY < snapshot.left_s
    if not fits or size > snapshot.max_bytes:
        return Way.RECOMPUTE
    merged = DEFAULT_WEIGHTS | weights
    prefill_s = snapshot.context_tokens * PREFILL_S_PER_TOKEN
    recomputed_s = snapshot.context_tokens * RECOMPUTED_TOKEN_S
    cost_of_move = merged["cost"] * transfer_s
    cost_of_recomputing = (
        merged["cost"] * prefill_s + merged["recomputed_tokens"] * recomputed_s
    )
    return Way.MOVE_KV if cost_of_move <= cost_of_recomputing else Way.RECOMPUTE


def urgency(
    service_class: requests.ServiceClass, deadline: float, context_tokens: int
) -> tuple[int, float, int]:
    """Return the sort key of a stream: urgent, soon due and long contexts first."""
    return (_CLASS_RANK[service_class], deadline, -context_tokens)
