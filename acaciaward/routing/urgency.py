"""
Divides a service's endpoints between urgent and patient requests: plain functions.

An engine reads prompts in the order in which it admitted them, so an urgent prompt is
delayed by every patient one that was sent there before it. Patient requests therefore
get a share of the endpoints that follows their share of prompt tokens, and wait at the
entry while the engines of that share have enough to read (``gateway.prefillqueue``).

Handles: long prompts with ample objectives that double for some seconds while short
ones have tight objectives; many entries that act at once on reports up to 0.5 s old;
engines that are lost meanwhile. Where no service has routes of such different
objectives, nothing is divided and nobody waits.
"""

import collections
import random
from collections import abc

from acaciaward.catalogue import routes
from acaciaward.gateway import calls
from acaciaward.membership import rendezvous
from acaciaward.routing import placement

# A route is patient if its objective is at least this multiple of that of the most
# urgent route of the same service.
PATIENT_OBJECTIVE_RATIO = 3.0
# Endpoints of urgent requests, as a multiple of these requests' share of the tokens,
# so that an urgent prompt seldom waits behind another one. With 1.35 and more, patient
# requests lost more than urgent ones gained, and with 1.2 their streams were paused
# more often than before where there are many engines.
URGENT_HEADROOM = 1.15
# Patient requests keep at least this part of the endpoints that their share of the
# tokens amounts to, so that urgent ones don't starve them.
MIN_PATIENT_PART = 0.75
# With fewer endpoints, none are divided.
MIN_DIVIDED_ENDPOINTS = 4
# Patient prompts are sent to an engine while it reads what waits there within this
# share of their objective. The rest is for reading the prompt itself and for what other
# entries send before this one knows it. Shorter queues left engines idle.
ENGINE_QUEUE_SHARE = 0.6
# An endpoint is nearly idle if it reads what waits there within this time, in seconds.
IDLE_QUEUE_S = 0.005
# Patient requests use endpoints of urgent ones only if at least this part of these is
# nearly idle: since reports are late, a few that seem idle aren't so any more.
MIN_IDLE_PART = 0.5
# Urgent requests compare endpoints of patient ones only if they would wait for longer
# than this at their own, in seconds: one that seems free has often got a long prompt
# since the last report.
URGENT_SPILL_S = 0.25
# Random endpoints that are compared, as in the power of two choices (Mitzenmacher).
SAMPLED_COUNT = 2
# A patient request waits for at most this share of the time until its deadline.
MAX_WAIT_SHARE = 0.5

# An urgent request that would begin later than this multiple of its objective is
# refused: sent, it would delay others that can still be on time. Reports are late, so
# one that is expected a little too late often isn't.
MAX_URGENT_OBJECTIVES = 1.5


class PatientRoutes:
    """Knows which routes are patient; computed once for each configuration."""

    def __init__(self):
        self._index: routes.Index | None = None
        self._by_service: abc.Mapping[str, frozenset[str]] = {}

    def is_patient(
        self, index: routes.Index | None, service: str, route: str
    ) -> bool | None:
        """Return whether a route is patient, None if no route of the service is."""
        if index is not self._index:
            self._index = index
            self._by_service = patient_routes(index.catalogue) if index else {}
        names = self._by_service.get(service)
        return None if names is None else route in names


def patient_routes(catalogue: routes.Catalogue) -> abc.Mapping[str, frozenset[str]]:
    """
    Return the names of the patient routes by service, without services that have none.

    A patient route's objective is ample compared with that of the service's most urgent
    route, and its rank isn't more urgent. Only services that read prompts have any:
    those with model engines, and routes that say that they have prompts.

        patient_routes(catalogue)  # {"chat": frozenset({"documents"})}
    """
    by_service: dict[str, list[routes.Route]] = collections.defaultdict(list)
    for route in catalogue.routes:
        for name, weight in route.shares:
            service = catalogue.services.get(name)
            is_model = service is not None and service.engine is not None
            if weight > 0 and (is_model or route.has_prompt):
                by_service[name].append(route)
    found = {}
    for service, service_routes in by_service.items():
        urgent = min(service_routes, key=lambda route: (route.target_s, route.rank))
        names = frozenset(
            route.name
            for route in service_routes
            if route.target_s >= PATIENT_OBJECTIVE_RATIO * urgent.target_s > 0
            and route.rank >= urgent.rank
        )
        if names:
            found[service] = names
    return found


def patient_endpoints(
    names: abc.Collection[str], patient_share: float
) -> frozenset[str]:
    """
    Return the endpoints that patient requests get.

    ``patient_share`` is the share of prompt tokens that are theirs. When it changes, or
    an endpoint is added or removed, few other endpoints are reassigned.

        len(patient_endpoints([f"e-{number}" for number in range(30)], 0.6))  # 16
    """
    if len(names) < MIN_DIVIDED_ENDPOINTS or patient_share <= 0:
        return frozenset()
    urgent_part = min(1.0, URGENT_HEADROOM * (1.0 - patient_share))
    part = max(1.0 - urgent_part, MIN_PATIENT_PART * patient_share)
    count = min(max(1, round(part * len(names))), len(names) - 1)
    return frozenset(rendezvous.choose("patient prompts", names, count))


def queue_s(candidate: placement.Candidate) -> float:
    """Return how long an engine takes to read what waits there, in seconds."""
    return candidate.backlog_tokens / candidate.prefill_tokens_per_s


def expected_wait_s(
    candidates: abc.Sequence[placement.Candidate], waiting_tokens: float
) -> float:
    """Return when candidates will have read what waits there and at entries."""
    tokens_per_s = sum(candidate.prefill_tokens_per_s for candidate in candidates)
    if tokens_per_s <= 0:
        return 0.0
    backlog_tokens = sum(candidate.backlog_tokens for candidate in candidates)
    return (waiting_tokens + backlog_tokens) / tokens_per_s


def is_too_late(
    candidate: placement.Candidate, prompt: calls.Prompt | None, target_s: float
) -> bool:
    """Return whether an urgent request would begin far beyond its objective."""
    return placement.wait_s(candidate, prompt) > MAX_URGENT_OBJECTIVES * target_s


def turn(left_s: float) -> tuple[bool, float]:
    """
    Return a request's place in the queue, the lowest first.

    ``left_s`` is the time left of its objective. Those that are late come last.

        sorted([0.3, -1.0, 2.0], key=turn)  # [0.3, 2.0, -1.0]
    """
    return left_s < 0, left_s


def idle_others(
    others: abc.Sequence[placement.Candidate],
) -> list[placement.Candidate]:
    """Return the nearly idle ones of other endpoints, if that many are idle."""
    idle = [candidate for candidate in others if queue_s(candidate) <= IDLE_QUEUE_S]
    return idle if len(idle) >= MIN_IDLE_PART * len(others) else []


def choose_urgent(
    own: abc.Sequence[placement.Candidate],
    others: abc.Sequence[placement.Candidate],
    prompt: calls.Prompt,
    rng: random.Random,
) -> placement.Candidate:
    """Return the cheapest endpoint, from others if the wait at its own is long."""
    best = _cheapest(_sample(own, prompt, rng), prompt)
    if not others or queue_s(best) <= URGENT_SPILL_S:
        return best
    compared = [best, *rng.sample(others, min(SAMPLED_COUNT, len(others)))]
    return _cheapest(compared, prompt)


def choose_patient(
    own: abc.Sequence[placement.Candidate],
    second: abc.Sequence[placement.Candidate],
    others: abc.Sequence[placement.Candidate],
    prompt: calls.Prompt,
    rng: random.Random,
    max_queue_s: float,
) -> placement.Candidate:
    """
    Return the cheapest endpoint of its own, another one if these have full queues.

    That is one of ``second``, the other endpoints of patient calls, or an idle one of
    ``others``, those of urgent calls.
    """
    best = _cheapest(_sample(own, prompt, rng), prompt)
    if queue_s(best) <= max_queue_s:
        return best
    if second:
        compared = [best, *rng.sample(second, min(SAMPLED_COUNT, len(second)))]
        best = _cheapest(compared, prompt)
    if queue_s(best) > max_queue_s:
        idle = idle_others(others)
        if idle:
            return rng.choice(idle)
    return best


def _sample(
    own: abc.Sequence[placement.Candidate], prompt: calls.Prompt, rng: random.Random
) -> list[placement.Candidate]:
    """Return the endpoints that a prompt prefers, and some random ones, shuffled."""
    names = placement.preferred_endpoints(
        prompt, [candidate.endpoint.name for candidate in own]
    )
    compared = [candidate for candidate in own if candidate.endpoint.name in names]
    compared += rng.sample(own, min(SAMPLED_COUNT, len(own)))
    rng.shuffle(compared)
    return compared


def _cheapest(
    compared: abc.Iterable[placement.Candidate], prompt: calls.Prompt
) -> placement.Candidate:
    return min(compared, key=lambda candidate: placement.cost_s(candidate, prompt))
