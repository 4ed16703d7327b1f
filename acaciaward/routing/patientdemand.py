"""
Measures what patient and urgent requests bring, and shares out the room at engines.

    patients = PatientDemand(time.monotonic, rng)
    patients.record("chat", 6610, is_patient=True)
    patients.receive(sums_over_all_entries)
    patients.share("chat")  # 0.57
"""

import collections
import math
import random
import typing
from collections import abc

from acaciaward import rates

# Time constant of the share of patient prompts, in seconds: it follows a burst of 5 s.
SHARE_TIME_CONSTANT_S = 2.0
# Sums of all entries are used for this long, in seconds.
SUMS_LIFETIME_S = 3.0
# The sums travel with the demand, under the service's name and this suffix: older
# builds pass them on, and read them as the demand of a service that they don't have.
KEY_SUFFIX = " patient"
# The number of figures that older builds accept there.
FIGURE_COUNT = 3


class Sums(typing.NamedTuple):
    """
    What requests of a service bring, at one entry or summed over several.

    ``waiting_tokens`` are the prompts of patient requests that wait at entries.
    """

    patient_per_s: float = 0.0
    urgent_per_s: float = 0.0
    waiting_tokens: float = 0.0

    @property
    def patient_share(self) -> float:
        """The share of prompt tokens that are in patient requests."""
        total = self.patient_per_s + self.urgent_per_s
        return self.patient_per_s / total if total > 0 else 0.0


class _ServiceRates:
    def __init__(self):
        self.patient = rates.Rate(SHARE_TIME_CONSTANT_S)
        self.urgent = rates.Rate(SHARE_TIME_CONSTANT_S)


class PatientDemand:
    """Measures the services that have patient routes; ``clock`` is in seconds."""

    def __init__(self, clock: abc.Callable[[], float], rng: random.Random):
        self._clock = clock
        self._random = rng
        self._rates: dict[str, _ServiceRates] = {}
        self._waiting_tokens: collections.Counter[str] = collections.Counter()
        # The part of the sums that is this entry's.
        self._reported_tokens: collections.Counter[str] = collections.Counter()
        self._sums: dict[str, Sums] = {}
        self._received_at: float | None = None
        # What was sent since the sums were received, and the random numbers since.
        self._sent_tokens: collections.Counter[str] = collections.Counter()
        self._draws: dict[str, float] = {}

    def record(self, service: str, tokens: float, *, is_patient: bool) -> None:
        """Count a request of a service that has patient routes."""
        service_rates = self._rates.setdefault(service, _ServiceRates())
        rate = service_rates.patient if is_patient else service_rates.urgent
        rate.add(tokens, self._clock())

    def add_waiting(self, service: str, tokens: int) -> None:
        """Count the tokens of a request that waits, negative once it doesn't."""
        self._waiting_tokens[service] += tokens

    def report(self) -> dict[str, tuple[float, ...]]:
        """Return this entry's part of the sums, as it travels with the demand."""
        self._reported_tokens = self._waiting_tokens.copy()
        return {
            service + KEY_SUFFIX: tuple(
                round(figure, 1) for figure in self._measured(service)
            )
            for service in self._rates
        }

    def _measured(self, service: str) -> Sums:
        service_rates = self._rates.get(service)
        if service_rates is None:
            return Sums()
        now = self._clock()
        return Sums(
            service_rates.patient.value(now),
            service_rates.urgent.value(now),
            self._waiting_tokens[service],
        )

    def receive(
        self, demand: abc.Mapping[str, abc.Sequence[float]]
    ) -> dict[str, abc.Sequence[float]]:
        """Receive the sums over all entries; return the demand without them."""
        self._received_at = self._clock()
        self._sums = {
            key.removesuffix(KEY_SUFFIX): Sums(
                *(_clean(figure) for figure in figures[:FIGURE_COUNT])
            )
            for key, figures in demand.items()
            if key.endswith(KEY_SUFFIX)
        }
        self._sent_tokens.clear()
        self._draws.clear()
        return {
            key: figures
            for key, figures in demand.items()
            if not key.endswith(KEY_SUFFIX)
        }

    def _current(self, service: str) -> Sums:
        """Return the sums over all entries, without any those of this one."""
        received_at = self._received_at
        if received_at is None or self._clock() - received_at > SUMS_LIFETIME_S:
            return self._measured(service)
        return self._sums.get(service, Sums())

    def share(self, service: str) -> float:
        """Return the share of prompt tokens that are in patient requests."""
        return self._current(service).patient_share

    def waiting_tokens(self, service: str) -> float:
        """Return the tokens that wait at all entries, here as of now."""
        reported = self._reported_tokens[service]
        others = max(0.0, self._current(service).waiting_tokens - reported)
        return self._waiting_tokens[service] + others

    def may_send(self, service: str, tokens: float, room_tokens: float) -> bool:
        """
        Return whether this entry may send a prompt where there is room for others too.

        All entries see the same room and send at once, so each uses only the share of
        it that its waiting tokens are of all that wait. That is often less than one
        prompt: then chance decides, once between two reports.
        """
        here = self._waiting_tokens[service]
        everywhere = self.waiting_tokens(service)
        sent = self._sent_tokens[service]
        if everywhere > here:
            draw = self._draws.setdefault(service, self._random.random())
            share = (here + sent) / (everywhere + sent)
            if sent + draw * tokens > share * (room_tokens + sent):
                return False
            del self._draws[service]
        self._sent_tokens[service] += tokens
        return True


def _clean(figure: float) -> float:
    """Return a figure of the sums, 0 for one that no entry can have measured."""
    return max(0.0, figure) if math.isfinite(figure) else 0.0
