"""
Chooses among the endpoints that may get a call, by the pool that is meant for it.

Long prompts have reserved endpoints (``placement.reserved_for_long``). Where a service
has patient routes, its endpoints are divided between patient and urgent calls instead
(``urgency``).
"""

import random
import time
import typing
from collections import abc

from acaciaward.gateway import calls
from acaciaward.routing import patientdemand, placement, urgency


class Patience(typing.NamedTuple):
    """
    How a call of a service with patient routes may wait.

    ``max_queue_s`` is how long an engine may take to read what waits there before a
    patient call is sent to it.
    """

    is_patient: bool
    max_queue_s: float = 0.0


class Pool(typing.NamedTuple):
    """The names of the endpoints for a call; ``is_divided`` by patience."""

    names: list[str]
    is_divided: bool


class Survey(typing.NamedTuple):
    """What is known of the endpoints that may get a call at one moment."""

    candidates: list[placement.Candidate]
    pool: Pool
    prompt: calls.Prompt | None
    patience: Patience | None
    rng: random.Random

    def divided(self) -> tuple[list[placement.Candidate], list[placement.Candidate]]:
        """Return the candidates of the call's own pool, and the others."""
        names = set(self.pool.names)
        own, others = [], []
        for candidate in self.candidates:
            (own if candidate.endpoint.name in names else others).append(candidate)
        return own, others

    def choose(self) -> placement.Candidate | None:
        """Return the endpoint for the call, None without candidates."""
        if not (self.pool.is_divided and self.candidates):
            return placement.choose(
                self.candidates, self.prompt, self.rng, pool=set(self.pool.names)
            )
        own, others = self.divided()
        if self.patience.is_patient:
            return urgency.choose_patient(
                own, others, self.prompt, self.rng, self.patience.max_queue_s
            )
        return urgency.choose_urgent(own, others, self.prompt, self.rng)

    @property
    def room_tokens(self) -> float:
        """The tokens that patient calls may still send to their engines."""
        own, others = self.divided()
        tokens = sum(
            max(
                0.0,
                self.patience.max_queue_s * candidate.prefill_tokens_per_s
                - candidate.backlog_tokens,
            )
            for candidate in own
        )
        size = self.prompt.fresh_tokens if self.prompt else 0
        return tokens + size * len(urgency.idle_others(others))


class Pools:
    """Knows the shares of long and of patient prompts, over all entries."""

    def __init__(
        self,
        rng: random.Random | None = None,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self.patients = patientdemand.PatientDemand(clock, rng or random.Random())
        self._long_shares: abc.Mapping[str, float] = {}

    def receive_long_shares(self, shares: abc.Mapping[str, float]) -> None:
        """Receive each service's share of tokens in long prompts, over all entries."""
        self._long_shares = shares

    def find(
        self,
        service: str,
        prompt: calls.Prompt | None,
        names: list[str],
        *,
        is_long: bool,
        patience: Patience | None = None,
    ) -> Pool:
        """Return the endpoints for prompts like this one."""
        if prompt is None:
            return Pool(names, is_divided=False)
        if patience is not None:
            patient = urgency.patient_endpoints(names, self.patients.share(service))
            is_patient = patience.is_patient
            if patient:
                return Pool(
                    [name for name in names if (name in patient) is is_patient],
                    is_divided=True,
                )
        reserved = placement.reserved_for_long(
            names, self._long_shares.get(service, 0.0)
        )
        pool = [name for name in names if (name in reserved) is is_long]
        return Pool(pool or names, is_divided=False)
