"""
Chooses among the endpoints that may get a call, by the pool that is meant for it.

Long prompts have reserved endpoints (``placement.reserved_for_long``). Where a service
has patient routes, its endpoints are divided between patient and urgent calls first
(``urgency``), and those of patient calls between long prompts and others.
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
    """
    The names of the endpoints for a call.

    Where endpoints are divided by patience, ``divided`` names all of the call's side.
    """

    names: list[str]
    divided: abc.Set[str] = frozenset()

    @property
    def is_divided(self) -> bool:
        """Whether endpoints are divided between patient and urgent calls."""
        return bool(self.divided)


class Survey(typing.NamedTuple):
    """What is known of the endpoints that may get a call at one moment."""

    candidates: list[placement.Candidate]
    pool: Pool
    prompt: calls.Prompt | None
    patience: Patience | None
    rng: random.Random

    def divided(self) -> tuple[list[placement.Candidate], list[placement.Candidate]]:
        """Return the candidates of the call's side, and those of the other."""
        names = self.pool.divided or frozenset(self.pool.names)
        return _split(self.candidates, names)

    def choose(self) -> placement.Candidate | None:
        """Return the endpoint for the call, None without candidates."""
        if not (self.pool.is_divided and self.candidates):
            return placement.choose(
                self.candidates, self.prompt, self.rng, pool=set(self.pool.names)
            )
        own, others = self.divided()
        if not self.patience.is_patient:
            return urgency.choose_urgent(own, others, self.prompt, self.rng)
        first, second = _split(own, frozenset(self.pool.names))
        return urgency.choose_patient(
            first, second, others, self.prompt, self.rng, self.patience.max_queue_s
        )

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
            return Pool(names)
        if patience is not None:
            divided = self._divide(service, names, is_patient=patience.is_patient)
            if divided:
                own = [name for name in names if name in divided]
                if patience.is_patient:
                    own = self._part_for(
                        service, own, is_long=is_long, among_patient=True
                    )
                return Pool(own, divided)
        return Pool(self._part_for(service, names, is_long=is_long))

    def _divide(
        self, service: str, names: list[str], *, is_patient: bool
    ) -> frozenset[str]:
        """Return the endpoints of patient or of urgent calls, none if undivided."""
        patient = urgency.patient_endpoints(names, self.patients.share(service))
        if is_patient or not patient:
            return patient
        return frozenset(names) - patient

    def _part_for(
        self,
        service: str,
        names: list[str],
        *,
        is_long: bool,
        among_patient: bool = False,
    ) -> list[str]:
        """Return the endpoints for long prompts, or those for others."""
        share = self._long_shares.get(service, 0.0)
        if among_patient:
            # Nearly all long prompts are patient.
            share = min(1.0, share / self.patients.share(service))
        reserved = placement.reserved_for_long(names, share)
        return [name for name in names if (name in reserved) is is_long] or names


def _split(
    candidates: abc.Iterable[placement.Candidate], names: abc.Set[str]
) -> tuple[list[placement.Candidate], list[placement.Candidate]]:
    """Return the named candidates, and the others."""
    named, others = [], []
    for candidate in candidates:
        (named if candidate.endpoint.name in names else others).append(candidate)
    return named, others
