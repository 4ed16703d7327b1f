"""
Open-loop load: a seeded schedule of requests, sent at their times, and outcomes.

    schedule = make_schedule(random.Random(1), profile, duration_s=10.0)
    outcomes = await run_schedule(schedule, send)
    urgent_in_time(outcomes)
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
    """One class of a profile: its share of requests, tokens and deadline."""

    service_class: str
    share: float
    prompt_tokens: int
    max_tokens: int
    deadline_s: float


class Profile(typing.NamedTuple):
    """Who sends what, how often; a rate of ``low`` to ``high`` requests a second."""

    shapes: abc.Sequence[Shape]
    organisations: abc.Sequence[str]
    deployments: abc.Sequence[str]
    low: float
    high: float


class Planned(typing.NamedTuple):
    """One request of a schedule; ``at_s`` is counted from its begin."""

    at_s: float
    organisation: str
    deployment: str
    service_class: str
    prompt: str
    max_tokens: int
    deadline_s: float


class Outcome(typing.NamedTuple):
    """How a planned request ended; ``refused_s`` is None unless refused."""

    planned: Planned
    took_s: float
    tokens: int
    first_token_s: float | None = None
    refused_s: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether the whole answer came before the deadline."""
        return self.tokens > 0 and self.took_s <= self.planned.deadline_s


Send = abc.Callable[[Planned], abc.Awaitable[Outcome]]


def rate_at(profile: Profile, moment: float, duration_s: float) -> float:
    """Return the rate of a day's shape: night, rise, midday peak, fall."""
    wave = 0.5 - 0.5 * math.cos(2 * math.pi * moment / duration_s)
    return profile.low + (profile.high - profile.low) * wave


def make_schedule(
    chooser: random.Random, profile: Profile, *, duration_s: float
) -> list[Planned]:
    """Return Poisson arrivals that follow the day's shape (by thinning)."""
    schedule = []
    moment = 0.0
    while True:
        moment += chooser.expovariate(profile.high)
        if moment >= duration_s:
            return schedule
        if chooser.random() * profile.high <= rate_at(profile, moment, duration_s):
            schedule.append(plan(chooser, profile, moment, len(schedule)))


def plan(
    chooser: random.Random, profile: Profile, moment: float, number: int
) -> Planned:
    """Return one request of a profile; ``number`` makes its prompt unique."""
    shape = chooser.choices(
        profile.shapes, weights=[shape.share for shape in profile.shapes]
    )[0]
    turn = chooser.randrange(len(profile.organisations))
    deployment = profile.deployments[turn % len(profile.deployments)]
    prompt = make_prompt(chooser, shape.prompt_tokens, number)
    tokens = max(1, round(shape.max_tokens * chooser.uniform(0.7, 1.3)))
    return Planned(
        moment,
        profile.organisations[turn],
        deployment,
        shape.service_class,
        prompt,
        tokens,
        shape.deadline_s,
    )


def make_prompt(chooser: random.Random, length: int, number: int) -> str:
    """Return a prompt of ``length`` tokens: a shared form, then its own words."""
    shared = [WORDS[index % len(WORDS)] for index in range(length // 2)]
    own = [chooser.choice(WORDS) for _ in range(length - len(shared) - 1)]
    return " ".join([*shared, f"case-{number}", *own])


async def run_schedule(schedule: abc.Sequence[Planned], send: Send) -> list[Outcome]:
    """Send every request at its time and return all outcomes."""
    begin = time.monotonic()

    async def run_one(planned: Planned) -> Outcome:
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
    Return the tokens a second of answers that came in time.

    Only answers complete within the duration count: what is still drained
    afterwards says nothing of the rate that was kept up.
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
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, math.ceil(share * len(ranked)) - 1)]
