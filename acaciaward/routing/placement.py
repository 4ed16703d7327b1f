"""
Decides which endpoint gets a call: plain functions over a snapshot of the candidates.

The cost of a candidate is the expected time to the call's first byte there. An
endpoint doesn't prefill prompt parts that it has cached, so calls that share a part
are sent to the same endpoints while these have spare capacity. Two random endpoints
are compared as well, since load reports are late.

While an engine prefills a prompt, the events of all its streams are delayed. So
prompts with a long prefill get reserved endpoints, in proportion to their share of
the prefill work: there they delay each other and not everybody.

Handles: a prompt part that very many calls share, uneven load and stale load reports,
slow or partially failed endpoints, a burst beyond what all endpoints can serve, a few
very long prompts among many.
"""

import math
import random
import typing
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls
from acaciaward.membership import rendezvous

# Endpoints that calls with one shared part are sent to: the second takes what the
# first has no room for.
PREFERRED_COUNT = 2
# A smaller shared part has no preferred endpoints: prefilling it again costs less
# than a hot spot at one endpoint that the entries don't see in load reports yet.
MIN_AFFINITY_TOKENS = 1500
# Random endpoints compared as well, as in the power of two choices (Mitzenmacher).
SAMPLED_COUNT = 2
# Assumed until it has been measured.
DEFAULT_PREFILL_TOKENS_PER_S = 60_000.0
# What one more running request adds to the pause between tokens, in seconds.
STEP_S_PER_RUNNING = 0.002
# How long a request is assumed to take until it has been measured, in seconds: short,
# so that an entry that has just started refuses nothing for lack of measurements.
DEFAULT_SERVICE_S = 0.1
# A call is not sent where it would wait for more than this share of its timeout.
MAX_WAIT_SHARE = 0.5
# The prefill of a call also delays everything else at its endpoint: it counts once
# more with this weight.
INTERFERENCE_WEIGHT = 1.0
# What a failure costs: about the time until the caller retries, in seconds.
FAILURE_COST_S = 1.0
# A prompt counts as long if its prefill takes more than this share of the longest
# allowed pause of the streams on the same engine.
LONG_PROMPT_GAP_SHARE = 0.5
# Endpoints reserved for long prompts, as a multiple of these prompts' share of the
# prefill work: they arrive one by one and should find an idle endpoint.
LONG_PROMPT_HEADROOM = 1.5
# With fewer endpoints, none are reserved for long prompts.
MIN_DIVIDED_ENDPOINTS = 4
# What a long prompt among short ones, or a short one behind long ones, costs, in
# seconds: about how much the pause that it causes exceeds the longest allowed one.
WRONG_POOL_COST_S = 0.5
# How much longer a call to another data centre takes, in seconds.
REMOTE_COST_S = 0.003


class Candidate(typing.NamedTuple):
    """
    The current state of an endpoint, as far as this entry knows it.

    ``running`` counts requests there from all entries, ``backlog_tokens`` the prompt
    tokens waiting for prefill, ``cached_tokens`` the tokens of this call's prompt that
    it has cached. ``service_s`` is how long a request takes, 0 if not measured yet,
    ``report_age_ms`` the age of the other entries' load report.
    """

    endpoint: endpoints.Endpoint
    running: float = 0.0
    backlog_tokens: float = 0.0
    cached_tokens: int = 0
    prefill_tokens_per_s: float = DEFAULT_PREFILL_TOKENS_PER_S
    failed_share: float = 0.0
    service_s: float = 0.0
    is_local: bool = True
    report_age_ms: int = 0


def wait_s(candidate: Candidate, prompt: calls.Prompt | None) -> float:
    """Return the expected time until the first byte, in seconds."""
    slots = max(1, candidate.endpoint.slots)
    service_s = candidate.service_s or DEFAULT_SERVICE_S
    if prompt is None:
        batches_ahead = candidate.running / slots
        expected_s = service_s * batches_ahead
    else:
        uncached_tokens = max(0, prompt.prompt_tokens - candidate.cached_tokens)
        prefill_tokens = candidate.backlog_tokens + uncached_tokens
        expected_s = prefill_tokens / candidate.prefill_tokens_per_s
        expected_s += STEP_S_PER_RUNNING * candidate.running
        queued_requests = max(0.0, candidate.running + 1 - slots)
        expected_s += service_s / slots * queued_requests
    distance_s = 0.0 if candidate.is_local else REMOTE_COST_S
    return expected_s + distance_s + candidate.endpoint.cold_s * 0.1


def cost_s(candidate: Candidate, prompt: calls.Prompt | None) -> float:
    """Return the expected wait, the delay it causes others and the cost of failures."""
    # Of two idle endpoints, the faster one is cheaper for a plain call, too.
    interference_s = candidate.service_s
    if prompt is not None:
        uncached_tokens = max(0, prompt.prompt_tokens - candidate.cached_tokens)
        interference_s = (
            INTERFERENCE_WEIGHT * uncached_tokens / candidate.prefill_tokens_per_s
        )
    failure_cost_s = FAILURE_COST_S * candidate.failed_share
    return wait_s(candidate, prompt) + interference_s + failure_cost_s


def affinity_key(prompt: calls.Prompt | None) -> str | None:
    """Return the longest shared part's identifier if it is long enough to matter."""
    if prompt is None or not prompt.shared:
        return None
    name, size = max(prompt.shared, key=lambda part: part[1])
    return name if size >= MIN_AFFINITY_TOKENS else None


def preferred_endpoints(
    prompt: calls.Prompt | None, names: abc.Iterable[str]
) -> list[str]:
    """Return the endpoints that calls with a prompt's shared part are sent to."""
    key = affinity_key(prompt)
    return [] if key is None else rendezvous.choose(key, names, PREFERRED_COUNT)


def is_long(
    prompt: calls.Prompt | None, prefill_tokens_per_s: float, max_gap_s: float | None
) -> bool:
    """
    Return whether a prompt's prefill delays streams on the same engine for too long.

    ``max_gap_s`` is the longest allowed pause between their events, None if unlimited.
    """
    if prompt is None or not max_gap_s:
        return False
    return (
        prompt.fresh_tokens / prefill_tokens_per_s > LONG_PROMPT_GAP_SHARE * max_gap_s
    )


def reserved_for_long(names: abc.Collection[str], long_share: float) -> frozenset[str]:
    """
    Return the endpoints that are reserved for long prompts.

    ``long_share`` is the share of prompt tokens that are in long prompts. When the
    share changes, or an endpoint is added or removed, few other endpoints are
    reassigned.

        len(reserved_for_long([f"e-{number}" for number in range(30)], 0.2))  # 9
    """
    if len(names) < MIN_DIVIDED_ENDPOINTS or long_share <= 0:
        return frozenset()
    # Rounded first, so that 9.000000000000002 endpoints aren't 10.
    count = math.ceil(round(LONG_PROMPT_HEADROOM * long_share * len(names), 6))
    count = min(count, len(names) // 2)
    return frozenset(rendezvous.choose("long prompts", names, count))


def choose(
    candidates: abc.Sequence[Candidate],
    prompt: calls.Prompt | None,
    rng: random.Random,
    *,
    pool: abc.Container[str] | None = None,
) -> Candidate | None:
    """
    Return the cheapest of the preferred and of a few random candidates.

    ``pool`` names the endpoints for calls like this one, None if all are. Another one
    is chosen only if it is cheaper by more than ``WRONG_POOL_COST_S``.
    """
    if not candidates:
        return None
    names = [candidate.endpoint.name for candidate in candidates]
    pool_names = names if pool is None else [name for name in names if name in pool]
    pool_names = pool_names or names
    compared_names = set(preferred_endpoints(prompt, pool_names))
    compared_names |= set(rng.sample(pool_names, min(SAMPLED_COUNT, len(pool_names))))
    if len(pool_names) < len(names):
        compared_names.add(rng.choice(names))
    compared = [
        candidate
        for candidate in candidates
        if candidate.endpoint.name in compared_names
    ]
    rng.shuffle(compared)
    pool_set = frozenset(pool_names)

    def total_cost_s(candidate: Candidate) -> float:
        wrong_pool_cost_s = (
            0.0 if candidate.endpoint.name in pool_set else WRONG_POOL_COST_S
        )
        return cost_s(candidate, prompt) + wrong_pool_cost_s

    return min(compared, key=total_cost_s)


def exceeds_wait_limit(
    candidate: Candidate, prompt: calls.Prompt | None, timeout_s: float
) -> bool:
    """
    Return whether a call would wait too long even at the best candidate.

    Sending it would take capacity from calls that can still be answered in time.
    """
    return wait_s(candidate, prompt) > MAX_WAIT_SHARE * timeout_s
