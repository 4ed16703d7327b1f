"""
Which endpoint gets a call: plain functions over a snapshot of the candidates.

The cost of a candidate is the time that the call is expected to wait there for
its first byte. Parts of prompts that an endpoint holds aren't read again, so
calls that share a part are drawn to the same endpoints while these have room;
two random ones are looked at besides, since loads are known late.

Answers to: a hot part of prompts, uneven and stale loads, a slow or grey endpoint,
a burst beyond what all endpoints can serve.
"""

import random
import typing
from collections import abc

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls
from acaciaward.membership import rendezvous

# Endpoints that one shared part is drawn to: the second takes what the first
# has no room for.
PREFERRED = 2
# A shared part below this size draws nobody: reading it again costs less than the
# crowd at one endpoint that entries don't know of yet, in tokens.
DRAWING_TOKENS = 1500
# Random endpoints compared besides, as in the power of two choices (Mitzenmacher).
SAMPLED = 2
# Tokens that an engine reads in a second until that was seen.
USUAL_PREFILL_PER_S = 60_000.0
# What one more running request adds to the pause between tokens, in seconds.
STEP_PER_RUNNING_S = 0.002
# How long a request takes at an endpoint until that was learnt, in seconds: short, so
# that an entry that has just started refuses nothing for want of experience.
USUAL_SERVICE_S = 0.1
# A call is not sent where it would wait for more than this part of its patience.
MOST_WAITED_PART = 0.5
# A failure costs about this much: the time until the caller is back, in seconds.
FAILURE_COST_S = 1.0
# A call to another data centre takes that much longer, in seconds.
DISTANCE_S = 0.003


class Candidate(typing.NamedTuple):
    """
    An endpoint as known now.

    ``running`` counts requests there from all entries, ``backlog_tokens`` those
    of prompts not read yet, ``held_tokens`` what it holds of this call's prompt.
    ``told_age_ms`` is the age of what other entries told.
    """

    endpoint: endpoints.Endpoint
    running: float = 0.0
    backlog_tokens: float = 0.0
    held_tokens: int = 0
    prefill_per_s: float = USUAL_PREFILL_PER_S
    failed_share: float = 0.0
    service_s: float = 0.0
    is_near: bool = True
    told_age_ms: int = 0


def wait_s(candidate: Candidate, prompt: calls.Prompt | None) -> float:
    """Return the expected time until the first byte, in seconds."""
    slots = max(1, candidate.endpoint.slots)
    service_s = candidate.service_s or USUAL_SERVICE_S
    if prompt is None:
        rounds = candidate.running / slots
        waited = service_s * rounds
    else:
        fresh = max(0, prompt.prompt_tokens - candidate.held_tokens)
        tokens = candidate.backlog_tokens + fresh
        waited = tokens / candidate.prefill_per_s
        waited += STEP_PER_RUNNING_S * candidate.running
        queued = max(0.0, candidate.running + 1 - slots)
        waited += service_s / slots * queued
    distance_s = 0.0 if candidate.is_near else DISTANCE_S
    return waited + distance_s + candidate.endpoint.cold_s * 0.1


def cost_s(candidate: Candidate, prompt: calls.Prompt | None) -> float:
    """Return the expected wait with the expected loss by failures."""
    return wait_s(candidate, prompt) + FAILURE_COST_S * candidate.failed_share


def affinity_key(prompt: calls.Prompt | None) -> str | None:
    """Return the longest shared part's identifier, if it is worth drawing calls by."""
    if prompt is None or not prompt.shared:
        return None
    name, size = max(prompt.shared, key=lambda part: part[1])
    return name if size >= DRAWING_TOKENS else None


def preferred(prompt: calls.Prompt | None, names: abc.Iterable[str]) -> list[str]:
    """Return the endpoints that hold a prompt's shared part if any does."""
    key = affinity_key(prompt)
    return [] if key is None else rendezvous.choose(key, names, PREFERRED)


def choose(
    candidates: abc.Sequence[Candidate],
    prompt: calls.Prompt | None,
    chooser: random.Random,
) -> Candidate | None:
    """Return the cheapest of the preferred and of a few random candidates."""
    if not candidates:
        return None
    names = [one.endpoint.name for one in candidates]
    drawn = set(preferred(prompt, names))
    drawn |= set(chooser.sample(names, min(SAMPLED, len(names))))
    looked_at = [one for one in candidates if one.endpoint.name in drawn]
    chooser.shuffle(looked_at)
    return min(looked_at, key=lambda one: cost_s(one, prompt))


def is_hopeless(
    candidate: Candidate, prompt: calls.Prompt | None, patience_s: float
) -> bool:
    """
    Return whether a call would wait too long even at the best candidate.

    It would take the place of one that still has time.
    """
    return wait_s(candidate, prompt) > MOST_WAITED_PART * patience_s
