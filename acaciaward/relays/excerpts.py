"""
Selects what a message tells of crashes: what is new, and a part of the rest.

Entries keep what they are told, so that a message need not hold all of it. What is
repeated makes up for lost messages and informs those that know nothing yet.
"""

import math
import typing
from collections import abc

from acaciaward.quarantine import crashreports, partreports
from acaciaward.relays import messages

# Everything is repeated within this many messages.
REPEAT_MESSAGES = 8
# Ages of parts that were served, and of endpoints, in one message; and the parts among
# them that have room beside any number of endpoints.
MAX_AGES = 14
MIN_SERVED = 4

Value = typing.TypeVar("Value")
Figures = typing.TypeVar("Figures", bound=messages.Figures)


class _Sent(typing.NamedTuple):
    message: int
    identity: abc.Hashable


class Selector:
    """Selects items that are new or changed, and those that were sent longest ago."""

    def __init__(self):
        self._sent: dict[str, _Sent] = {}
        self._message = 0

    def select(
        self,
        items: abc.Mapping[str, Value],
        identity: abc.Callable[[Value], abc.Hashable],
    ) -> dict[str, Value]:
        """Return the items of the next message; ``identity`` tells changed values."""
        self._message += 1
        identities = {name: identity(item) for name, item in items.items()}
        self._sent = {name: self._sent[name] for name in items if name in self._sent}
        known = [
            name
            for name, sent in self._sent.items()
            if sent.identity == identities[name]
        ]
        known.sort(key=lambda name: self._sent[name].message)
        skipped = frozenset(known[math.ceil(len(known) / REPEAT_MESSAGES) :])
        selected = {name: item for name, item in items.items() if name not in skipped}
        for name in selected:
            self._sent[name] = _Sent(self._message, identities[name])
        return selected


class Rotation:
    """Selects items that are new, and those that were sent longest ago."""

    def __init__(self):
        self._sent: dict[str, int] = {}
        self._message = 0

    def select(self, items: abc.Mapping[str, Value], count: int) -> dict[str, Value]:
        """Return so many items for the next message, or more if they are new."""
        self._message += 1
        self._sent = {name: self._sent.get(name, 0) for name in items}
        new = sum(not message for message in self._sent.values())
        selected = sorted(items, key=self._sent.__getitem__)[: max(count, new)]
        self._sent |= dict.fromkeys(selected, self._message)
        return {name: items[name] for name in selected}


class Excerpts:
    """Selects what the next message to the same recipients tells of crashes."""

    def __init__(self):
        self._crashes = Selector()
        self._cleared = Selector()
        self._company = Selector()
        self._parts = Selector()
        self._crashed = Selector()
        self._answered = Selector()
        self._served = Rotation()

    def abridge(self, figures: Figures) -> Figures:
        """Return figures with the crashes that the next message holds."""
        return {
            **figures,
            "crashes": self._of_crashes(figures["crashes"]),
            "parts": self._of_parts(figures["parts"]),
        }

    def _of_crashes(self, report: crashreports.CrashReport) -> crashreports.CrashReport:
        cleared = dict.fromkeys(report["cleared"])
        return {
            "crashes": self._crashes.select(report["crashes"], tuple),
            "cleared": list(self._cleared.select(cleared, bool)),
            "company": self._company.select(report.get("company", {}), frozenset),
        }

    def _of_parts(self, report: partreports.Report) -> partreports.Report:
        crashed = self._crashed.select(report.get("crashed", {}), _no_identity)
        answered = self._answered.select(report.get("answered", {}), _no_identity)
        room = max(MIN_SERVED, MAX_AGES - len(crashed) - len(answered))
        return {
            "crashes": self._parts.select(report["crashes"], _part_identity),
            # Any of the ages may be news.
            "served": self._served.select(report["served"], room),
            "crashed": crashed,
            "answered": answered,
        }


def _no_identity(age_s: float) -> abc.Hashable:
    return None


def _part_identity(part: partreports.PartCrashes) -> abc.Hashable:
    return frozenset(part["ages"]), frozenset(part["common"])
