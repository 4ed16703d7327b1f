"""
Decides how a stream leaves its endpoint, and which streams are moved first.

These are pure functions of a snapshot. The cost of a way is in seconds of work:
moving the KV cache costs the transfer; recomputing costs the engine's prefill, and a
fixed amount for each recomputed token. The deployment's two weights scale the work and
the cost of recomputed tokens.
"""

import enum
import typing

from acaciaward import documents, requests

PREFILL_S_PER_TOKEN = 0.00001
RECOMPUTED_TOKEN_COST_S = 0.0001
TRANSFER_OVERHEAD_S = 0.004
# A transfer must fit this many times into the time left.
TRANSFER_SAFETY = 2.0
# A stream finishes where it is if it needs less than this share of the time left.
FINISH_SHARE = 0.5
DEFAULT_WEIGHTS: documents.CostWeights = {"cost": 0.5, "recomputed_tokens": 0.5}

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
    The state of a stream and its endpoint when the way is chosen.

    ``left_s`` is the time until the endpoint ends, ``step_s`` the time for one token,
    and ``bytes_per_s`` the lower of the byte budgets of source and target.
    """

    left_s: float
    context_tokens: int
    remaining_tokens: int
    step_s: float
    bytes_per_token: float
    bytes_per_s: float
    max_bytes: int


def choose_way(snapshot: Snapshot, weights: documents.CostWeights) -> Way:
    """
    Return the way with the lowest weighted cost of those that still fit.

        choose_way(snapshot, {"cost": 0.2, "recomputed_tokens": 0.8})
        # Way.MOVE_KV
    """
    time_to_finish_s = snapshot.remaining_tokens * snapshot.step_s
    if time_to_finish_s < snapshot.left_s * FINISH_SHARE:
        return Way.FINISH
    size_bytes = snapshot.context_tokens * snapshot.bytes_per_token
    transfer_s = TRANSFER_OVERHEAD_S + size_bytes / snapshot.bytes_per_s
    is_in_time = transfer_s * TRANSFER_SAFETY < snapshot.left_s
    if not is_in_time or size_bytes > snapshot.max_bytes:
        return Way.RECOMPUTE
    all_weights = DEFAULT_WEIGHTS | weights
    prefill_s = snapshot.context_tokens * PREFILL_S_PER_TOKEN
    recomputed_tokens_s = snapshot.context_tokens * RECOMPUTED_TOKEN_COST_S
    cost_of_move = all_weights["cost"] * transfer_s
    cost_of_recomputing = (
        all_weights["cost"] * prefill_s
        + all_weights["recomputed_tokens"] * recomputed_tokens_s
    )
    return Way.MOVE_KV if cost_of_move <= cost_of_recomputing else Way.RECOMPUTE


def urgency(
    service_class: requests.ServiceClass, deadline: float, context_tokens: int
) -> tuple[int, float, int]:
    """Return a sort key: by service class, then deadline, then longest context."""
    return (_CLASS_RANK[service_class], deadline, -context_tokens)
