"""
Which endpoint gets a call: plain functions over a snapshot of the candidates.

The cost of a candidate is the time that the call is expected to wait there for
its first byte. Parts of prompts that an endpoint holds aren't read again, so
calls that share a part are drawn to the same endpoints while these have room;
two random ones are looked at besides, since loads are known late.

While an engine reads a prompt, the events of all its streams come later. So prompts
that take long to read have endpoints of their own, as many as their part of the
reading calls for: there they delay each other and not everybody.

Answers to: a hot part of prompts, uneven and stale loads, a slow or grey endpoint,
a burst beyond what all endpoints can serve, a few very long prompts among many.
"""

import math
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
# What is read for a call also delays everything else at its endpoint: it counts once
# more with this weight.
OTHERS_WEIGHT = 1.0
# A failure costs about this much: the time until the caller is back, in seconds.
FAILURE_COST_S = 1.0
# A prompt counts as long if reading it takes this part of the longest pause that the
# streams beside it may have.
LONG_PART = 0.5
# Endpoints for long prompts, as a multiple of these prompts' part of the reading: they
# come one by one and should find an idle endpoint.
LONG_ROOM = 1.5
# Fewer endpoints than this aren't divided.
FEWEST_DIVIDED = 4
# A long prompt among short ones, or a short one behind long ones, costs this much, in
# seconds: about what the pause that it brings is beyond the longest allowed one.
MISPLACED_S = 0.5
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
    """Return the expected wait, what others wait for it, and the loss by failures."""
    others_s = 0.0
    if prompt is not None:
        fresh = max(0, prompt.prompt_tokens - candidate.held_tokens)
        others_s = OTHERS_WEIGHT * fresh / candidate.prefill_per_s
    lost_s = FAILURE_COST_S * candidate.failed_share
    return wait_s(candidate, prompt) + others_s + lost_s


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


def is_long(
    prompt: calls.Prompt | None, prefill_per_s: float, max_gap_s: float | None
) -> bool:
    """
    Return whether reading a prompt holds up the streams beside it for too long.

    ``max_gap_s`` is the longest pause between their events, if there is one.
    """
    if prompt is None or not max_gap_s:
        return False
    return prompt.fresh_tokens / prefill_per_s > LONG_PART * max_gap_s


def reserve(names: abc.Collection[str], long_share: float) -> frozenset[str]:
    """
    Return the endpoints that are kept for long prompts.

    ``long_share`` is the part of all reading that is for long prompts. When it
    changes, or an endpoint comes or goes, few others change sides.

        len(reserve([f"e-{number}" for number in range(30)], 0.2))  # 9
    """
    if len(names) < FEWEST_DIVIDED or long_share <= 0:
        return frozenset()
    # Rounded first, so that 9.000000000000002 endpoints aren't 10.
    count = math.ceil(round(LONG_ROOM * long_share * len(names), 6))
    count = min(count, len(names) // 2)
    return frozenset(rendezvous.choose("long prompts", names, count))


def choose(
    candidates: abc.Sequence[Candidate],
    prompt: calls.Prompt | None,
    chooser: random.Random,
    *,
    own: abc.Container[str] | None = None,
) -> Candidate | None:
    """
    Return the cheapest of the preferred and of a few random candidates.

    ``own`` names the endpoints that are for calls like this one, if not all are;
    another one is chosen only where the wait is so much shorter.
    """
    if not candidates:
        return None
    names = [one.endpoint.name for one in candidates]
    inside = names if own is None else [name for name in names if name in own]
    inside = inside or names
    drawn = set(preferred(prompt, inside))
    drawn |= set(chooser.sample(inside, min(SAMPLED, len(inside))))
    if len(inside) < len(names):
        drawn.add(chooser.choice(names))
    looked_at = [one for one in candidates if one.endpoint.name in drawn]
    chooser.shuffle(looked_at)
    fitting = frozenset(inside)

    def total_s(one: Candidate) -> float:
        misplaced_s = 0.0 if one.endpoint.name in fitting else MISPLACED_S
        return cost_s(one, prompt) + misplaced_s

    return min(looked_at, key=total_s)


def is_hopeless(
    candidate: Candidate, prompt: calls.Prompt | None, patience_s: float
) -> bool:
    """
    Return whether a call would wait too long even at the best candidate.

    It would take the place of one that still has time.
    """
    return wait_s(candidate, prompt) > MOST_WAITED_PART * patience_s
