"""
Finds parts of prompts that crash the endpoints which begin to answer them.

A call that an endpoint was about to answer when it crashed may be the cause, by any of
the parts that other calls may have, too. A call that is answered clears its parts. What
the crashes of a part have in common is blamed once there are enough of them; calls that
have all of it are refused. From time to time one entry tries one such call: if that is
answered, its parts are cleared, and if it crashes an endpoint, the next try is later.
Relays carry what entries know.

    parts = PromptParts(time.monotonic)
    parts.record_crash(("f1", "x"), "endpoint-1")
    parts.refuse_for_s(("f1", "x"))  # 0.0, as it was one crash only

An entry reports only what it has served itself, and the earliest time of a crash
counts: otherwise news that comes back by way of other entries would look new for ever.
See ``docs/design/tainted-parts.md`` for the ways weighed.
"""

import collections
import logging
import math
import typing
from collections import abc

from acaciaward import decoding
from acaciaward.membership import rendezvous
from acaciaward.observability import logs

log = logging.getLogger(__name__)

# Crashed endpoints after which a part is blamed. A part that was served before must
# have met more of them: it is more likely that it met crashes by chance.
CRASHES_TO_BLAME = 3
CRASHES_TO_BLAME_SERVED = 5
# A part that was served this long before a crash didn't cause it.
RECENTLY_SERVED_S = 2.0
# A blamed part is tried this long after its last crash, and later by this factor with
# each further crash.
FIRST_TRIAL_S = 1.0
TRIAL_FACTOR = 3.0
MAX_TRIAL_S = 3600.0
# An entry waits for this long for each entry that comes before it to try a part, and
# for the result of its own try.
TRIAL_TURN_S = 2.0
TRIAL_RESULT_S = 5.0
# Crashes are forgotten this long after the last one of a part.
RETENTION_S = 2 * MAX_TRIAL_S
# Bounds on the remembered parts with crashes, on the crashes of each and on the parts
# that were served.
MAX_SUSPECTS = 1000
MAX_CRASHES = 10
MAX_SERVED = 4096
# Bounds on the parts in one message, and on the common parts of each.
MAX_REPORTED = 16
MAX_COMMON = 16
# Most endpoints, and common parts, in what others report of one part.
MAX_REPORTED_EACH = 256
# How long after a peer's last report of its crashes a part is reported as served.
CONTESTED_S = 5.0


class PartCrashes(typing.TypedDict):
    """Ages of a part's crashes in seconds by endpoint, and what all calls had."""

    ages: dict[str, float]
    common: list[str]


class Report(typing.TypedDict):
    """Crashes by part, and how many seconds ago parts in question were last served."""

    crashes: dict[str, PartCrashes]
    served: dict[str, float]


class _Suspect(typing.NamedTuple):
    """When endpoints crashed under a part, and the parts of all calls concerned."""

    crashed_at: abc.Mapping[str, float]
    common: frozenset[str]

    @property
    def last_crash_at(self) -> float:
        return max(self.crashed_at.values())


def empty_report() -> Report:
    """Return a report of nothing."""
    return {"crashes": {}, "served": {}}


def merge(reports: abc.Iterable[Report]) -> Report:
    """Merge the reports of several entries, parts with most crashes first."""
    crashes: dict[str, PartCrashes] = {}
    served: dict[str, float] = {}
    for report in reports:
        for part, found in report["crashes"].items():
            known = crashes.get(part)
            if known is None:
                crashes[part] = {**found, "ages": dict(found["ages"])}
                continue
            for endpoint, age_s in found["ages"].items():
                known["ages"][endpoint] = max(age_s, known["ages"].get(endpoint, 0.0))
            known["common"] = [
                name for name in known["common"] if name in found["common"]
            ]
        for part, age_s in report["served"].items():
            served[part] = min(age_s, served.get(part, math.inf))
    by_crashes = sorted(crashes, key=lambda part: -len(crashes[part]["ages"]))
    return {
        "crashes": {part: crashes[part] for part in by_crashes[:MAX_REPORTED]},
        "served": dict(list(served.items())[:MAX_REPORTED]),
    }


def is_valid(
    part: str, ages: abc.Mapping[str, float], common: abc.Collection[str] = ()
) -> bool:
    """Return whether what others report of a part may be remembered."""
    return (
        all(map(decoding.is_name, (part, *ages, *common)))
        and all(map(decoding.is_in_range, ages.values()))
        and len(ages) <= MAX_REPORTED_EACH
        and len(common) <= MAX_REPORTED_EACH
    )


class PromptParts:
    """
    What one entry knows of parts of prompts, by itself and from other entries.

    ``parts`` are always those that other calls may have too. ``entries`` returns the
    names of the entries that serve calls.
    """

    def __init__(
        self,
        clock: abc.Callable[[], float],
        own_name: str = "",
        entries: abc.Callable[[], abc.Collection[str]] = lambda: (),
    ):
        self._clock = clock
        self._own_name = own_name
        self._entries = entries
        self._suspects: collections.OrderedDict[str, _Suspect]
        self._suspects = collections.OrderedDict()
        self._served_at: collections.OrderedDict[str, float] = collections.OrderedDict()
        # The same of other entries, as they report it.
        self._served_elsewhere_at: collections.OrderedDict[str, float]
        self._served_elsewhere_at = collections.OrderedDict()
        # Parts that this entry has served and that are reported with crashes, and when.
        self._contested_at: collections.OrderedDict[str, float]
        self._contested_at = collections.OrderedDict()
        # When this entry last tried a blamed part whose result isn't known yet.
        self._tried_at: dict[str, float] = {}

    @property
    def blamed(self) -> list[str]:
        """The parts that are blamed."""
        return [part for part in self._suspects if self._is_blamed(part)]

    def record_crash(self, parts: abc.Collection[str], endpoint: str) -> int:
        """
        Record that an endpoint crashed when it was about to answer a call.

        Returns the most crashes that any of the call's parts has now.
        """
        now = self._clock()
        for part in parts:
            self._add(part, {endpoint: now}, frozenset(parts))
        suspects = [self._suspects[part] for part in parts if part in self._suspects]
        return max((len(suspect.crashed_at) for suspect in suspects), default=0)

    def record_served(self, parts: abc.Iterable[str], endpoint: str = "") -> None:
        """Record that an endpoint answers a call, or goes on with its answer."""
        now = self._clock()
        for part in parts:
            _put(self._served_at, part, now, MAX_SERVED)
            if part in self._suspects:
                self._contest(part)
                self._clear(part, now)

    def refuse_for_s(self, parts: abc.Collection[str]) -> float:
        """
        Return for how long calls with these parts are refused, in seconds.

        With 0.0, the call must be sent: it may be the one that tries a blamed part.
        """
        blamed = [
            part
            for part in parts
            if part in self._suspects
            and self._is_blamed(part)
            and self._suspects[part].common.issubset(parts)
        ]
        if not blamed:
            return 0.0
        now = self._clock()
        left_s = max(self._next_trial_at(part) for part in blamed) - now
        if left_s <= 0:
            self._tried_at |= dict.fromkeys(blamed, now)
            log.info(
                "trying a part of prompts again", extra=logs.fields(part=blamed[0])
            )
        return max(0.0, left_s)

    def report(self) -> Report:
        """Return what this entry knows, the parts with most crashes first."""
        now = self._clock()
        while self._suspects and (
            next(iter(self._suspects.values())).last_crash_at < now - RETENTION_S
        ):
            self._suspects.popitem(last=False)
        by_crashes = sorted(
            self._suspects.items(),
            key=lambda item: (-len(item[1].crashed_at), -item[1].last_crash_at),
        )
        return {
            "crashes": {
                part: {
                    "ages": {
                        endpoint: now - at
                        for endpoint, at in suspect.crashed_at.items()
                    },
                    "common": sorted(suspect.common),
                }
                for part, suspect in by_crashes[:MAX_REPORTED]
            },
            "served": {
                part: now - self._served_at[part]
                for part, contested_at in self._contested_at.items()
                if now - contested_at < CONTESTED_S and part in self._served_at
            },
        }

    def known(self, min_crashes: int) -> Report:
        """Return the parts with as many crashes, and when these were last served."""
        now = self._clock()
        crashes = {
            part: found
            for part, found in self.report()["crashes"].items()
            if len(found["ages"]) >= min_crashes
        }
        served_at = {part: self._last_served_at(part) for part in crashes}
        return {
            "crashes": crashes,
            "served": {
                part: now - at for part, at in served_at.items() if at > -math.inf
            },
        }

    def receive(self, report: Report) -> None:
        """Receive what the entries know together; what is invalid is left out."""
        now = self._clock()
        skipped = 0
        for part, age_s in report["served"].items():
            if not is_valid(part, {part: age_s}):
                skipped += 1
                continue
            _put(self._served_elsewhere_at, part, now - age_s, MAX_SERVED)
            self._clear(part, now - age_s)
        for part, found in report["crashes"].items():
            if not found["ages"] or not is_valid(part, found["ages"], found["common"]):
                skipped += 1
                continue
            if part in self._served_at:
                self._contest(part)
            crashed_at = {
                endpoint: now - age_s for endpoint, age_s in found["ages"].items()
            }
            self._add(part, crashed_at, frozenset(found["common"]))
        if skipped:
            log.warning(
                "reported parts of prompts are invalid",
                extra=logs.fields(count=skipped),
            )

    def _add(
        self, part: str, crashed_at: abc.Mapping[str, float], common: frozenset[str]
    ) -> None:
        """Add crashes, unless the part was served since or shortly before."""
        cleared_until = self._last_served_at(part) + RECENTLY_SERVED_S
        crashed_at = {
            endpoint: at for endpoint, at in crashed_at.items() if at > cleared_until
        }
        if not crashed_at:
            return
        known = self._suspects.get(part)
        if known is not None:
            for endpoint, at in known.crashed_at.items():
                crashed_at[endpoint] = min(at, crashed_at.get(endpoint, at))
            common &= known.common
        newest = sorted(crashed_at, key=lambda endpoint: -crashed_at[endpoint])
        kept = {endpoint: crashed_at[endpoint] for endpoint in newest[:MAX_CRASHES]}
        kept_common = frozenset({part, *sorted(common)[:MAX_COMMON]})
        suspect = _Suspect(kept, kept_common)
        if known is None or len(kept) > len(known.crashed_at):
            _put(self._suspects, part, suspect, MAX_SUSPECTS)
            self._tried_at.pop(part, None)
            self._log_if_blamed(part, suspect)
        else:
            self._suspects[part] = suspect

    def _log_if_blamed(self, part: str, suspect: _Suspect) -> None:
        if not self._is_blamed(part):
            return
        log.warning(
            "part of prompts crashes endpoints",
            extra=logs.fields(
                part=part,
                crashes=len(suspect.crashed_at),
                common=",".join(sorted(suspect.common)),
                next_trial_s=round(self._next_trial_at(part) - self._clock(), 1),
            ),
        )

    def _clear(self, part: str, served_at: float) -> None:
        """Drop the crashes of a part until it was served, or shortly after."""
        suspect = self._suspects.get(part)
        if suspect is None:
            return
        later = {
            endpoint: at
            for endpoint, at in suspect.crashed_at.items()
            if at > served_at + RECENTLY_SERVED_S
        }
        if later:
            self._suspects[part] = suspect._replace(crashed_at=later)
            return
        was_blamed = self._is_blamed(part)
        del self._suspects[part]
        self._tried_at.pop(part, None)
        for other, record in self._suspects.items():
            if part in record.common:
                self._suspects[other] = record._replace(common=record.common - {part})
        if was_blamed:
            log.info("part of prompts cleared", extra=logs.fields(part=part))

    def _contest(self, part: str) -> None:
        _put(self._contested_at, part, self._clock(), MAX_REPORTED)

    def _last_served_at(self, part: str) -> float:
        return max(
            self._served_at.get(part, -math.inf),
            self._served_elsewhere_at.get(part, -math.inf),
        )

    def _needed_crashes(self, part: str) -> int:
        was_served = self._last_served_at(part) > -math.inf
        return CRASHES_TO_BLAME_SERVED if was_served else CRASHES_TO_BLAME

    def _is_blamed(self, part: str) -> bool:
        return len(self._suspects[part].crashed_at) >= self._needed_crashes(part)

    def _next_trial_at(self, part: str) -> float:
        """Return when this entry may try a blamed part next."""
        suspect = self._suspects[part]
        excess = len(suspect.crashed_at) - CRASHES_TO_BLAME
        pause_s = min(MAX_TRIAL_S, FIRST_TRIAL_S * TRIAL_FACTOR**excess)
        names = {*self._entries(), self._own_name}
        key = ",".join(sorted(suspect.common))
        turn = rendezvous.choose(key, names, len(names)).index(self._own_name)
        return max(
            suspect.last_crash_at + pause_s + turn * TRIAL_TURN_S,
            self._tried_at.get(part, -math.inf) + TRIAL_RESULT_S,
        )


def _put(
    kept: collections.OrderedDict, key: str, value: typing.Any, max_count: int
) -> None:
    """Set a key as the newest, and evict the oldest beyond a number of them."""
    kept[key] = value
    kept.move_to_end(key)
    while len(kept) > max_count:
        kept.popitem(last=False)
