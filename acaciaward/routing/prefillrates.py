"""
Measures the rate at which the engines of a service read prompts, over all entries.

A prompt that waits behind others takes longer than reading it does, so the average says
how busy engines are. The typical rate is a high quantile, over prompts that were sent
to engines with hardly anything else to read.

    rates = PrefillRates(time.monotonic)
    rates.record("chat", own_tokens=6610, tokens_ahead=0.0, took_s=0.11)
    rates.typical("chat")  # the default, until there are 20 samples
"""

import math
from collections import abc

import prometheus_client

from acaciaward.routing import placement

# Prompts behind more than this share of their own tokens aren't counted.
MAX_SHARE_AHEAD = 0.25
# The quantile. Higher ones depend on the few prompts of which more was cached than
# this entry knew.
QUANTILE = 0.75
# With fewer samples of all entries, the default is returned.
MIN_SAMPLES = 20.0
# Time constant of the decay of samples, in seconds: the rate is a property of the
# engines and changes only with their software.
DECAY_S = 60.0
# Sums of other entries are ignored if none came for this long, in seconds.
RECEIVED_LIFETIME_S = 10.0
# The buckets of the histogram: thirds of octaves from 4,000 to 1,024,000 tokens/s.
FIRST_TOKENS_PER_S = 4000.0
BUCKETS_PER_OCTAVE = 3
BUCKET_COUNT = 24
# In reports, counts are integers: tenths.
SCALE = 10
# One entry's samples of a service count as at most so many.
MAX_ENTRY_COUNT = 3000.0

TYPICAL = prometheus_client.Gauge(
    "acaciaward_typical_prefill_tokens_per_second",
    "Rate at which engines of a service read prompts without a pause, over all entries",
    ["service"],
)

# By service, the counts of the buckets, in tenths.
Report = dict[str, tuple[int, ...]]


class PrefillRates:
    """Histograms of the rates by service; ``clock`` is in seconds."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._own: dict[str, tuple[list[float], float]] = {}
        self._received: abc.Mapping[str, abc.Sequence[float]] = {}
        self._received_at = -math.inf
        self._adopted: abc.Mapping[str, float] = {}
        self._adopted_at = -math.inf

    def record(
        self, service: str, *, own_tokens: float, tokens_ahead: float, took_s: float
    ) -> None:
        """Record a prompt whose first event came after ``took_s``."""
        if tokens_ahead > MAX_SHARE_AHEAD * own_tokens or took_s <= 0:
            return
        octaves = math.log2(max(1.0, own_tokens / took_s) / FIRST_TOKENS_PER_S)
        bucket = math.floor(BUCKETS_PER_OCTAVE * octaves)
        if not 0 <= bucket < BUCKET_COUNT:
            return
        counts = self._own_counts(service)
        counts[bucket] += 1.0
        self._own[service] = (counts, self._clock())

    def _own_counts(self, service: str) -> list[float]:
        if service not in self._own:
            return [0.0] * BUCKET_COUNT
        counts, updated_at = self._own[service]
        decay = math.exp(-max(0.0, self._clock() - updated_at) / DECAY_S)
        return [decay * count for count in counts]

    def typical(self, service: str) -> float:
        """Return the typical rate in tokens a second."""
        rate = self._measure(service)
        if self._clock() - self._adopted_at < RECEIVED_LIFETIME_S:
            rate = self._adopted.get(service, rate)
        return rate or placement.DEFAULT_PREFILL_TOKENS_PER_S

    def measured(self) -> dict[str, int]:
        """Return the typical rates that are known from enough samples."""
        rates = {
            service: self._measure(service) for service in {*self._own, *self._received}
        }
        return {service: round(rate) for service, rate in rates.items() if rate}

    def _measure(self, service: str) -> float | None:
        counts = self._own_counts(service)
        received = self._received.get(service)
        if received and self._clock() - self._received_at < RECEIVED_LIFETIME_S:
            counts = [
                own + others / SCALE
                for own, others in zip(counts, received, strict=True)
            ]
        if sum(counts) < MIN_SAMPLES:
            return None
        octaves = _position(counts, QUANTILE) / BUCKETS_PER_OCTAVE
        return FIRST_TOKENS_PER_S * 2**octaves

    def adopt(self, rates: abc.Mapping[str, float]) -> None:
        """Receive the typical rates that the reader has found; odd ones are ignored."""
        most = FIRST_TOKENS_PER_S * 2 ** (BUCKET_COUNT / BUCKETS_PER_OCTAVE)
        self._adopted = {
            service: float(rate)
            for service, rate in rates.items()
            if FIRST_TOKENS_PER_S <= rate <= most
        }
        self._adopted_at = self._clock()
        for service, rate in self._adopted.items():
            TYPICAL.labels(service).set(rate)

    def report(self) -> Report:
        """Return the counts of this entry."""
        report = {
            service: tuple(round(SCALE * count) for count in self._own_counts(service))
            for service in self._own
        }
        return {service: counts for service, counts in report.items() if any(counts)}

    def receive(self, report: abc.Mapping[str, abc.Sequence[float]]) -> None:
        """Receive the sums of the counts of all other entries."""
        self._received = valid(report, math.inf)
        self._received_at = self._clock()


def valid(
    report: abc.Mapping[str, abc.Sequence[float]], most: float = MAX_ENTRY_COUNT
) -> Report:
    """Return the counts that samples can have brought about, of ``most`` at most."""
    limit = SCALE * most
    return {
        service: tuple(counts)
        for service, counts in report.items()
        if len(counts) == BUCKET_COUNT
        and all(0 <= count < math.inf for count in counts)
        and sum(counts) <= limit
    }


def _position(counts: abc.Sequence[float], quantile: float) -> float:
    """Return the position of a quantile in a histogram, in buckets."""
    left = quantile * sum(counts)
    for bucket, count in enumerate(counts):
        if left <= count:
            return bucket + left / count if count else float(bucket)
        left -= count
    return float(len(counts))
