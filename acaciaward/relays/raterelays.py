"""
Sums what entries report of the speed of endpoints, once a second.

Sums change with every sample, so they are sent less often than other figures, and what
was received last is kept meanwhile. The reader relays only what follows from them: the
endpoints that differ from others, which are few or none.

    rate_relays = RateRelays(time.monotonic)
    rate_relays.receive_report(report)
    rate_relays.summary()  # {"rates": {...}, "prefill_rates": {...}}
"""

import logging
import typing
from collections import abc

from acaciaward.observability import logs
from acaciaward.relays import aggregation, messages
from acaciaward.routing import prefillrates, ratesums

log = logging.getLogger(__name__)

# Reports and relays between two with these figures: they are sent once a second.
INTERVAL_TICKS = 4
# Figures received longer ago than this are ignored, in seconds: two messages in a row
# may be lost.
MAX_AGE_S = 3.5
# How often invalid figures are logged, in seconds.
LOG_INTERVAL_S = 10.0
MAX_ENTRIES = 1000

FIELDS = ("rates", "prefill_rates")


class RateFigures(typing.TypedDict):
    """The fields of messages that tell of the speed of endpoints."""

    rates: dict[int, tuple[float, ...]]
    prefill_rates: dict[str, tuple[float, ...]]


class Speeds(typing.NamedTuple):
    """
    What follows from the sums over all entries; see ``EndpointRates.summarize``.

    ``speeds`` holds the logarithms of factors in hundredths by ``ratesums.key_of``, of
    endpoints that differ from others, and ``prefill_tokens_per_s`` the typical rate by
    service.
    """

    speeds: abc.Mapping[int, float]
    prefill_tokens_per_s: abc.Mapping[str, float]


class _Received(typing.NamedTuple):
    received_at: float
    figures: RateFigures


class RateRelays:
    """The newest figures of each entry and of each other data centre."""

    def __init__(self, clock: abc.Callable[[], float]):
        self._clock = clock
        self._ticks = 0
        self._reports: dict[str, _Received] = {}
        self._summaries: dict[str, _Received] = {}
        self._logged_at = -LOG_INTERVAL_S

    @property
    def is_due(self) -> bool:
        """Whether the messages of this tick hold the figures."""
        return self._ticks % INTERVAL_TICKS == 1

    def thin(self, report: messages.Report) -> messages.Report:
        """Begin a tick, and return its report without figures that aren't due."""
        self._ticks += 1
        if self.is_due:
            return report
        return {name: value for name, value in report.items() if name not in FIELDS}

    def receive_report(self, report: messages.Report) -> None:
        """Store the figures in the report of an entry of this data centre."""
        self._receive(self._reports, report["sender"], report, entry_count=1)

    def receive_summary(self, summary: messages.Summary) -> None:
        """Store the figures in the summary of another data centre's reader."""
        entry_count = min(max(1, summary["heard"]), MAX_ENTRIES)
        source = summary["data_centre"]
        self._receive(self._summaries, source, summary, entry_count=entry_count)

    def _receive(
        self,
        received: dict[str, _Received],
        source: str,
        message: messages.Figures,
        *,
        entry_count: int,
    ) -> None:
        if "rates" not in message:
            return
        figures = RateFigures(
            rates=ratesums.valid(
                message["rates"], entry_count * ratesums.MAX_ENTRY_COUNT
            ),
            prefill_rates=prefillrates.valid(
                message.get("prefill_rates", {}),
                entry_count * prefillrates.MAX_ENTRY_COUNT,
            ),
        )
        now = self._clock()
        received[source] = _Received(now, figures)
        skipped = len(message["rates"]) - len(figures["rates"])
        if skipped and now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log.warning(
                "reported rates are invalid",
                extra=logs.fields(source=source, count=skipped),
            )
        for name, (received_at, _) in list(received.items()):
            if now - received_at > MAX_AGE_S:
                del received[name]

    def summary(self) -> RateFigures:
        """Return the sums over the entries of this data centre."""
        return _add(self._recent(self._reports).values())

    def sums_excluding(self, entry: str) -> RateFigures:
        """Return the sums over all entries except one."""
        reports = self._recent(self._reports)
        reports.pop(entry, None)
        return _add([*reports.values(), *self._recent(self._summaries).values()])

    def _recent(self, received: abc.Mapping[str, _Received]) -> dict[str, RateFigures]:
        oldest = self._clock() - MAX_AGE_S
        return {
            source: figures
            for source, (received_at, figures) in received.items()
            if received_at >= oldest
        }


def speeds_of(relay: messages.Relay) -> Speeds | None:
    """Return the speeds in a relay, None if it holds none."""
    if "speeds" not in relay:
        return None
    return Speeds(relay["speeds"], relay.get("prefill_tokens_per_s", {}))


def _add(parts: abc.Iterable[RateFigures]) -> RateFigures:
    parts = list(parts)
    rates, prefill_rates = (
        aggregation.add_figures(part[field] for part in parts) for field in FIELDS
    )
    return RateFigures(rates=rates, prefill_rates=prefill_rates)
