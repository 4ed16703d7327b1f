"""
Open-loop load: draws a request schedule from a seed and sends it on time.

    schedule = make_schedule(random.Random(1), profile, duration_s=10.0)
    outcomes = await run_schedule(schedule, send)
    share_in_time(outcomes, "urgent")
"""

import asyncio
import math
import random
import time
import typing
from collections import abc

from acaciaward import errors, httpclient

WORDS = "box corner edge piece swap pen lamb sheep price yard desk sale".split()
URGENT = "urgent"


class Shape(typing.NamedTuple):
    """A service class of a profile: its share of requests, tokens and deadline."""

    service_class: str
    share: float
    prompt_tokens: int
    max_tokens: int
    deadline_s: float


class Profile(typing.NamedTuple):
    """What is sent by whom, at ``low_per_s`` to ``high_per_s`` requests a second."""

    shapes: abc.Sequence[Shape]
    organisations: abc.Sequence[str]
    deployments: abc.Sequence[str]
    low_per_s: float
    high_per_s: float


class PlannedRequest(typing.NamedTuple):
    """One request of a schedule; ``at_s`` counts from the start of the schedule."""

    at_s: float
    organisation: str
    deployment: str
    service_class: str
    prompt: str
    max_tokens: int
    deadline_s: float


class Outcome(typing.NamedTuple):
    """How a planned request ended; ``refused_s`` is None unless refused."""

    planned: PlannedRequest
    took_s: float
    tokens: int
    first_token_s: float | None = None
    refused_s: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether the complete answer arrived before the deadline."""
        return self.tokens > 0 and self.took_s <= self.planned.deadline_s


Send = abc.Callable[[PlannedRequest], abc.Awaitable[Outcome]]


def rate_at(profile: Profile, at_s: float, duration_s: float) -> float:
    """Return requests a second at a time of day: night, rise, midday peak, fall."""
    wave = 0.5 - 0.5 * math.cos(2 * math.pi * at_s / duration_s)
    return profile.low_per_s + (profile.high_per_s - profile.low_per_s) * wave


def make_schedule(
    rng: random.Random, profile: Profile, *, duration_s: float
) -> list[PlannedRequest]:
    """Return Poisson arrivals at the rate of ``rate_at`` (by thinning)."""
    schedule = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(profile.high_per_s)
        if at_s >= duration_s:
            return schedule
        if rng.random() * profile.high_per_s <= rate_at(profile, at_s, duration_s):
            schedule.append(draw_request(rng, profile, at_s, len(schedule)))


def draw_request(
    rng: random.Random, profile: Profile, at_s: float, number: int
) -> PlannedRequest:
    """Return one request of a profile; ``number`` makes its prompt unique."""
    shape = rng.choices(
        profile.shapes, weights=[shape.share for shape in profile.shapes]
    )[0]
    organisation_index = rng.randrange(len(profile.organisations))
    deployment = profile.deployments[organisation_index % len(profile.deployments)]
    prompt = make_prompt(rng, shape.prompt_tokens, number)
    tokens = max(1, round(shape.max_tokens * rng.uniform(0.7, 1.3)))
    return PlannedRequest(
        at_s,
        profile.organisations[organisation_index],
        deployment,
        shape.service_class,
        prompt,
        tokens,
        shape.deadline_s,
    )


def make_prompt(rng: random.Random, length: int, number: int) -> str:
    """Return a prompt of ``length`` tokens: a shared prefix, then words of its own."""
    shared_words = [WORDS[index % len(WORDS)] for index in range(length // 2)]
    own_words = [rng.choice(WORDS) for _ in range(length - len(shared_words) - 1)]
    return " ".join([*shared_words, f"case-{number}", *own_words])


async def run_schedule(
    schedule: abc.Sequence[PlannedRequest], send: Send
) -> list[Outcome]:
    """Send every request at its time and return all outcomes."""
    begin = time.monotonic()

    async def run_one(planned: PlannedRequest) -> Outcome:
        await asyncio.sleep(max(0.0, begin + planned.at_s - time.monotonic()))
        started = time.monotonic()
        try:
            async with asyncio.timeout(3 * planned.deadline_s):
                return await send(planned)
        except (errors.AcaciawardError, httpclient.HttpError, TimeoutError):
            return Outcome(planned, time.monotonic() - started, 0)

    return list(await asyncio.gather(*(run_one(planned) for planned in schedule)))


def share_in_time(outcomes: abc.Sequence[Outcome], service_class: str) -> float:
    """Return the share of a class answered in time, 1 if there was none."""
    chosen = [o for o in outcomes if o.planned.service_class == service_class]
    if not chosen:
        return 1.0
    return sum(outcome.in_time for outcome in chosen) / len(chosen)


def goodput(outcomes: abc.Sequence[Outcome], duration_s: float) -> float:
    """
    Return the tokens a second of answers that arrived in time.

    Only answers that complete within the duration count: those drained afterwards
    don't show the sustained rate.
    """
    good = sum(
        outcome.tokens
        for outcome in outcomes
        if outcome.in_time and outcome.planned.at_s + outcome.took_s <= duration_s
    )
    return good / duration_s


def percentile(values: abc.Sequence[float], share: float) -> float:
    """Return a percentile by the nearest rank, 0 for no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]
