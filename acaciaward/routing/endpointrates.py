"""
Learns how fast each endpoint answers, compared with the other ones of its service.

For each answer, the time to its first byte (of a plain request: to its end) is compared
with the time that is expected at an average endpoint under the same load. The natural
logarithm of that ratio, less its average over similar requests of this entry, is the
sample: 0 for an average endpoint, 0.7 for one that takes twice as long. An entry sends
an endpoint few requests, so entries share sums of samples. A difference counts only
where it exceeds what chance explains, so endpoints that are alike are treated alike.

The reader of a data centre calculates the factors from the sums over all entries, and
relays those of endpoints that differ. An entry without a reader uses its own samples.

Two sums with different time constants are kept. The slow one finds lasting differences,
the fast one finds endpoints that have just become slower or have recovered. Sums decay,
so an endpoint that gets no requests counts as average again and is tried.

    rates = EndpointRates(members)
    rates.record_first_byte(work, tokens=6610.0, took_s=0.11)
    rates.time_factor("chat", ("model-1", 1700000000000))  # 1.6 times the average time

Handles: endpoints of different speed, one that slows down under load or for seconds,
one whose record names more slots than it has, failures that are answered quickly, a
standstill of this entry, and sums of other entries that are false.
"""

import math
import statistics
import time
import typing
from collections import abc

from acaciaward.routing import (
    activecalls,
    health,
    placement,
    prefillrates,
    ratesums,
    speedmonitor,
)

# Weight of the newest sample in the prefill rate and in the services' durations.
SMOOTHING = 0.1
# Smaller prompts are too short to measure the prefill rate with.
MIN_RATE_TOKENS = 3000
# Smaller prompts are too short to compare endpoints with.
MIN_COMPARED_TOKENS = 1000
# Lowest weight of the newest sample in the averages over similar requests.
CENTRE_SMOOTHING = 0.05
# Samples aren't larger than this: a single answer that took 12 times as long as
# expected, or longer, says no more than that.
MAX_SAMPLE = ratesums.MAX_AVERAGE
# The standard deviation of samples, as assumed at first and at least.
FIRST_DEVIATION = 0.5
# The first assumption counts as much as so many samples.
FIRST_COUNT = 10.0
MIN_DEVIATION = 0.2
# A difference counts if it is larger than this many standard errors. Samples of one
# endpoint depend on each other, as its queue delays all of them: with 2.5, endpoints
# that are alike served 0.8% fewer prompts in time, as queues were taken for slowness.
SIGNIFICANT_ERRORS = 4.0
# The same for the recovery of an endpoint that was slow.
RECOVERY_ERRORS = 1.0
# Smaller differences aren't worth a change of what an endpoint gets.
MIN_DIFFERENCE = 0.1
# No endpoint is taken for faster than 0.6 or slower than 8 times the average. The first
# bounds what a false sum can draw to an endpoint.
MIN_LOG_FACTOR = math.log(0.6)
MAX_LOG_FACTOR = math.log(8.0)
# An entry that didn't report for this long, in seconds, was held up itself.
STANDSTILL_S = 1.0
# How often factors are calculated, in seconds.
REFRESH_INTERVAL_S = 0.1
# Relayed factors are used for this long, in seconds; they come once a second.
RELAYED_LIFETIME_S = 4.0
# In relays, factors are integers: hundredths of their logarithms. The largest of them
# are relayed: more than half of the endpoints of a service don't differ much, since
# they are compared with the median.
SCALE = 100
MAX_RELAYED = 32

Incarnation = tuple[str, int]
# Requests whose times are compared with each other.
Kind = tuple[str, int, bool]

# After these, an endpoint that hadn't answered by then was slow. Others say nothing.
GIVEN_UP = frozenset(
    {health.Outcome.FAILED, health.Outcome.SILENT, health.Outcome.UNDECIDED}
)


class Members(typing.Protocol):
    """Returns the endpoints of a service."""

    def __call__(self, service: str) -> abc.Iterable[Incarnation]:
        """Return the names and starts of a service's endpoints."""


class _Average:
    """Average of the logarithms of ratios, over requests of one kind."""

    def __init__(self):
        self.value = 0.0
        self.count = 0

    def add(self, value: float) -> None:
        """Add a value; the first ones count alike, later ones more than old ones."""
        self.count += 1
        weight = max(1 / self.count, CENTRE_SMOOTHING)
        self.value += weight * (value - self.value)


class _ServiceFactors(typing.NamedTuple):
    """The logarithms of a service's factors, and when they were calculated."""

    logs: dict[Incarnation, float]
    calculated_at: float


class EndpointRates:
    """The speed of all endpoints; ``members`` returns those of a service."""

    def __init__(
        self, members: Members, *, clock: abc.Callable[[], float] = time.monotonic
    ):
        self._members = members
        self._clock = clock
        self.prefill_tokens_per_s = placement.DEFAULT_PREFILL_TOKENS_PER_S
        self._service_s: dict[str, float] = {}
        self._centres: dict[Kind, _Average] = {}
        self._factors: dict[str, _ServiceFactors] = {}
        self._sums = ratesums.RateSums(clock)
        self.prefill_rates = prefillrates.PrefillRates(clock)
        self._monitor = speedmonitor.SpeedMonitor(clock)
        self._relayed: abc.Mapping[int, float] = {}
        self._relayed_at = -math.inf
        self._reported_at: float | None = None
        self._held_up_until = -math.inf

    def service_s(self, service: str) -> float:
        """Return how long a request at a service takes, as measured here, or 0."""
        return self._service_s.get(service, 0.0)

    def typical_prefill_tokens_per_s(self, service: str) -> float:
        """
        Return the rate at which a service's engines read prompts without a pause.

        It is measured over all entries, and the default while there are few samples.
        """
        return self.prefill_rates.typical(service)

    def time_factor(self, service: str, incarnation: Incarnation) -> float:
        """
        Return how many times as long as an average one an endpoint takes.

        This is 1 unless the difference is significant.
        """
        now = self._clock()
        factors = self._factors.get(service)
        if factors is None or now - factors.calculated_at >= REFRESH_INTERVAL_S:
            factors = _ServiceFactors(self._calculate(service), now)
            self._factors[service] = factors
        return math.exp(factors.logs.get(incarnation, 0.0))

    def record_first_byte(
        self, work: activecalls.ActiveCall, tokens: float, took_s: float
    ) -> None:
        """
        Record the first byte of an answer to a prompt, ``took_s`` after it was sent.

        ``tokens`` were prefilled meanwhile: the call's own and those ahead of it.
        """
        if took_s <= 0 or self._is_held_up(took_s):
            return
        if tokens > MIN_RATE_TOKENS:
            self.prefill_tokens_per_s += SMOOTHING * (
                tokens / took_s - self.prefill_tokens_per_s
            )
            self.prefill_rates.record(
                work.endpoint.service,
                own_tokens=work.prefill_tokens,
                tokens_ahead=tokens - work.prefill_tokens,
                took_s=took_s,
            )
        work.speed_sample = self._record(work, took_s)

    def record_end(
        self, work: activecalls.ActiveCall, took_s: float, outcome: health.Outcome
    ) -> None:
        """Record the end of a call, ``took_s`` after it was sent."""
        is_served = outcome is health.Outcome.SERVED
        is_plain = work.call.prompt is None
        if took_s > 0 and not self._is_held_up(took_s):
            if is_served and is_plain:
                self._record(work, took_s)
            elif outcome in GIVEN_UP and (is_plain or not work.is_answered):
                # The answer would have taken even longer.
                self._record(work, took_s, is_lower_bound=True)
        if outcome is health.Outcome.FAILED and work.speed_sample < 0:
            # A failure may be answered faster than the work can be done.
            age_s = work.answered_for_s
            self._sums.withdraw(work.endpoint.incarnation, work.speed_sample, age_s)
        if is_served:
            service = work.endpoint.service
            average_s = self._service_s.get(service, took_s)
            self._service_s[service] = average_s + SMOOTHING * (took_s - average_s)

    def report(self) -> ratesums.Report:
        """Return the sums of this entry's samples; called several times a second."""
        now = self._clock()
        if self._reported_at is not None and now - self._reported_at > STANDSTILL_S:
            self._held_up_until = now
        self._reported_at = now
        return self._sums.report()

    def receive(
        self,
        sums: abc.Mapping[int, abc.Sequence[float]],
        prefill_rates: abc.Mapping[str, abc.Sequence[float]],
    ) -> None:
        """Receive the sums of the samples of all other entries."""
        self._sums.receive(sums)
        self.prefill_rates.receive(prefill_rates)

    def summarize(
        self, services: abc.Iterable[str]
    ) -> tuple[dict[int, int], dict[str, int]]:
        """Return the factors of all entries' samples, and the typical prefill rates."""
        found = {}
        for service in services:
            for member, log in self._measure(service).items():
                found[ratesums.key_of(member)] = round(SCALE * log)
        largest = sorted(found, key=lambda key: -abs(found[key]))[:MAX_RELAYED]
        return {key: found[key] for key in largest}, self.prefill_rates.measured()

    def adopt(
        self,
        speeds: abc.Mapping[int, float],
        prefill_tokens_per_s: abc.Mapping[str, float],
    ) -> None:
        """Receive what the reader has summarized; what is out of range is limited."""
        self._relayed = {
            key: _clip(log / SCALE, MIN_LOG_FACTOR, MAX_LOG_FACTOR)
            for key, log in speeds.items()
            if math.isfinite(log)
        }
        self._relayed_at = self._clock()
        self.prefill_rates.adopt(prefill_tokens_per_s)

    def _is_held_up(self, took_s: float) -> bool:
        """Return whether this entry itself stood still during the last ``took_s``."""
        if self._reported_at is None:
            return False
        now = self._clock()
        return (
            now - self._reported_at > STANDSTILL_S or now - took_s < self._held_up_until
        )

    def _record(
        self,
        work: activecalls.ActiveCall,
        took_s: float,
        *,
        is_lower_bound: bool = False,
    ) -> float:
        """Record a sample and return it, 0 if the time says nothing."""
        expected_s = self._expected_s(work)
        if expected_s <= 0:
            return 0.0
        service = work.endpoint.service
        centre = self._centres.setdefault(_kind_of(work), _Average())
        ratio = math.log(took_s / expected_s)
        if is_lower_bound and (not centre.count or ratio <= centre.value):
            return 0.0
        sample = _clip(ratio - centre.value, -MAX_SAMPLE, MAX_SAMPLE)
        is_first = not centre.count
        centre.add(centre.value + sample if centre.count else ratio)
        if is_first:
            return 0.0
        incarnation = work.endpoint.incarnation
        known = math.log(self.time_factor(service, incarnation))
        square = min((sample - known) ** 2, MAX_SAMPLE)
        self._sums.add(_squares_of(service), square)
        self._sums.add(incarnation, sample)
        return sample

    def _expected_s(self, work: activecalls.ActiveCall) -> float:
        """Return the time expected at an average endpoint, 0 if it isn't known."""
        candidate, prompt = work.candidate, work.call.prompt
        service_s = self.service_s(work.endpoint.service)
        if prompt is None:
            batches = (candidate.running + 1) / max(1, candidate.endpoint.slots)
            return service_s * max(1.0, batches)
        if work.prefill_tokens < MIN_COMPARED_TOKENS:
            return 0.0
        average = candidate._replace(
            prefill_tokens_per_s=self.prefill_tokens_per_s, service_s=service_s
        )
        return placement.wait_s(average, prompt)

    def _calculate(self, service: str) -> dict[Incarnation, float]:
        """Return the logarithms of the factors of a service's endpoints."""
        factors = {}
        if self._clock() - self._relayed_at < RELAYED_LIFETIME_S:
            for member in self._members(service):
                log = self._relayed.get(ratesums.key_of(member), 0.0)
                if log:
                    factors[member] = log
        else:
            factors = self._measure(service)
        self._monitor.record(service, factors)
        return factors

    def _measure(self, service: str) -> dict[Incarnation, float]:
        """Return the same from the samples that are known here."""
        sums = {member: self._sums.of(member) for member in self._members(service)}
        lasting_median = _median(one.lasting for one in sums.values())
        recent_median = _median(one.recent for one in sums.values())
        deviation = self._deviation(service)
        factors = {}
        for member, (lasting, recent) in sums.items():
            lasting_log = _significant(lasting, lasting_median, deviation)
            # Only what the slow sum doesn't say yet.
            log = lasting_log + _significant(
                recent,
                recent_median + lasting_log,
                deviation,
                is_slow=lasting_log > 0,
            )
            # A few quick answers make no endpoint faster than it lastingly is.
            log = max(log, min(lasting_log, 0.0))
            if log:
                factors[member] = _clip(log, MIN_LOG_FACTOR, MAX_LOG_FACTOR)
        return factors

    def _deviation(self, service: str) -> float:
        """Return the standard deviation of a service's samples."""
        squares = self._sums.of(_squares_of(service)).lasting
        known = FIRST_DEVIATION**2 * FIRST_COUNT
        variance = (squares.total + known) / (squares.count + FIRST_COUNT)
        return max(MIN_DEVIATION, math.sqrt(max(0.0, variance)))


def _kind_of(work: activecalls.ActiveCall) -> Kind:
    """Return which requests of this entry a request is compared with."""
    size = 0 if work.call.prompt is None else work.prefill_tokens.bit_length()
    return (work.endpoint.service, size, work.candidate.is_local)


def _squares_of(service: str) -> Incarnation:
    """Return the key of the sums of the squared deviations of a service's samples."""
    return (f"squares/{service}", 0)


def _median(sums: abc.Iterable[ratesums.Sum]) -> float:
    """Return the median of the averages of those that have samples."""
    averages = [one.total / one.count for one in sums if one.count >= 1]
    return statistics.median(averages) if averages else 0.0


def _significant(
    one: ratesums.Sum, mean: float, deviation: float, *, is_slow: bool = False
) -> float:
    """
    Return by how much a sum's average differs from a mean, 0 if that may be chance.

    What is returned grows continuously from the limit on, so that an endpoint near it
    isn't treated differently from one moment to the next (the non-negative garrote of
    Breiman, 1995). One that ``is_slow`` until now is believed to be faster earlier: to
    try it again costs less than to avoid it.
    """
    if one.count < 1:
        return 0.0
    difference = one.total / one.count - mean
    errors = RECOVERY_ERRORS if is_slow and difference < 0 else SIGNIFICANT_ERRORS
    limit = max(MIN_DIFFERENCE, errors * deviation / math.sqrt(one.count))
    if abs(difference) <= limit:
        return 0.0
    return difference * (1 - (limit / difference) ** 2)


def _clip(value: float, least: float, most: float) -> float:
    return min(max(value, least), most)
