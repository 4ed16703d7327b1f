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
import itertools
import logging
import math
import typing
from collections import abc

from acaciaward.membership import rendezvous
from acaciaward.observability import logs
from acaciaward.quarantine import crashedendpoints, cuts, partreports

log = logging.getLogger(__name__)

# Crashed endpoints after which a part is blamed. A part that was served before must
# have met more of them: it is more likely that it met crashes by chance.
CRASHES_TO_BLAME = 3
CRASHES_TO_BLAME_SERVED = 5
# The same if as many endpoints as ``CRASHES_TO_BLAME`` have crashed without the part,
# and no other part explains that by this share of the crashes.
CRASHES_IF_DOUBTFUL = 5
EXPLAINING_SHARE = 1 / 3
# Parts, the newest first, among which others are sought that explain crashes.
MAX_COMPARED = 32
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
# Bound on the common parts of each.
MAX_COMMON = 16
# How long after a peer's last report of its crashes a part is reported as served.
CONTESTED_S = 5.0


class _Suspect(typing.NamedTuple):
    """When endpoints crashed under a part, and the parts of all calls concerned."""

    crashed_at: abc.Mapping[str, float]
    common: frozenset[str]

    @property
    def last_crash_at(self) -> float:
        return max(self.crashed_at.values())


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
        self._crashed = crashedendpoints.CrashedEndpoints(clock)
        self._cuts = cuts.Cuts()
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
        self._crashed.record_crash(endpoint, now)
        causes = frozenset(
            part
            for part in parts
            if self._last_served_at(part) + RECENTLY_SERVED_S < now
        )
        loss = cuts.Loss(endpoint, now, frozenset(parts), causes)
        is_doubtful = self._crashed.is_doubtful(endpoint)
        if self._cuts.record(loss, is_doubtful=is_doubtful):
            self._add_losses([loss])
        suspects = [self._suspects[part] for part in parts if part in self._suspects]
        return max((len(suspect.crashed_at) for suspect in suspects), default=0)

    def record_served(
        self,
        parts: abc.Iterable[str],
        endpoint: str = "",
        *,
        sent_at: float | None = None,
    ) -> None:
        """
        Record that an endpoint answers a call, or goes on with its answer.

        The endpoint was there when the call was sent, by default now: a caller that
        reads slowly gets the end of an answer that its endpoint finished long before.
        """
        now = self._clock()
        alive_at = now if sent_at is None else sent_at
        if endpoint and self._crashed.record_answer(endpoint, alive_at):
            self._acquit(endpoint)
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

    def report(self) -> partreports.Report:
        """Return what this entry knows, the parts with most crashes first."""
        now = self._clock()
        self._add_losses(self._cuts.take_due(now))
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
                for part, suspect in by_crashes[: partreports.MAX_REPORTED]
            },
            "served": {
                part: now - self._served_at[part]
                for part, contested_at in self._contested_at.items()
                if now - contested_at < CONTESTED_S and part in self._served_at
            },
            "crashed": self._crashed.ages(),
            "answered": self._crashed.answer_ages(),
        }

    def known(self, min_crashes: int) -> partreports.Report:
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

    def receive(self, report: partreports.Report) -> None:
        """Receive what the entries know together; what is invalid is left out."""
        now = self._clock()
        skipped = 0
        for part, age_s in report["served"].items():
            if not partreports.is_valid(part, {part: age_s}):
                skipped += 1
                continue
            _put(self._served_elsewhere_at, part, now - age_s, MAX_SERVED)
            self._clear(part, now - age_s)
        skipped += self._receive_endpoints(report)
        for part, found in report["crashes"].items():
            if not found["ages"] or not partreports.is_valid(
                part, found["ages"], found["common"]
            ):
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

    def _add_losses(self, losses: abc.Iterable[cuts.Loss]) -> None:
        for loss in losses:
            for part in loss.parts:
                self._add(part, {loss.endpoint: loss.at}, loss.parts)

    def _receive_endpoints(self, report: partreports.Report) -> int:
        """Receive what is known of endpoints; return how many were skipped."""
        now = self._clock()
        skipped = 0
        for endpoint, age_s in report.get("answered", {}).items():
            if not partreports.is_valid(endpoint, {endpoint: age_s}):
                skipped += 1
            elif self._crashed.receive_answer(endpoint, now - age_s):
                self._acquit(endpoint)
        for endpoint, age_s in report.get("crashed", {}).items():
            if partreports.is_valid(endpoint, {endpoint: age_s}):
                self._crashed.record_crash(endpoint, now - age_s)
            else:
                skipped += 1
        return skipped

    def _acquit(self, endpoint: str) -> None:
        """Drop the crashes of an endpoint that has gone on."""
        concerned = [
            part
            for part, suspect in self._suspects.items()
            if endpoint in suspect.crashed_at
        ]
        for part in concerned:
            crashed_at = dict(self._suspects[part].crashed_at)
            if self._crashed.has_gone_on(endpoint, crashed_at.pop(endpoint)):
                self._keep(part, crashed_at)

    def _add(
        self, part: str, crashed_at: abc.Mapping[str, float], common: frozenset[str]
    ) -> None:
        """Add crashes, unless the part was served since or shortly before."""
        cleared_until = self._last_served_at(part) + RECENTLY_SERVED_S
        crashed_at = {
            endpoint: at
            for endpoint, at in crashed_at.items()
            if not self._crashed.has_gone_on(endpoint, at) and at > cleared_until
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
        self._keep(part, later)

    def _keep(self, part: str, crashed_at: abc.Mapping[str, float]) -> None:
        """Leave a part only some of its crashes, and drop it if there are none."""
        if crashed_at:
            self._suspects[part] = self._suspects[part]._replace(crashed_at=crashed_at)
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
        _put(self._contested_at, part, self._clock(), partreports.MAX_REPORTED)

    def _last_served_at(self, part: str) -> float:
        return max(
            self._served_at.get(part, -math.inf),
            self._served_elsewhere_at.get(part, -math.inf),
        )

    def _needed_crashes(self, part: str) -> int:
        was_served = self._last_served_at(part) > -math.inf
        return CRASHES_TO_BLAME_SERVED if was_served else CRASHES_TO_BLAME

    def _is_blamed(self, part: str) -> bool:
        suspect = self._suspects[part]
        crashes = len(suspect.crashed_at)
        if crashes < self._needed_crashes(part):
            return False
        return (
            crashes >= CRASHES_IF_DOUBTFUL
            or self._crashes_elsewhere(part, suspect) < CRASHES_TO_BLAME
        )

    def _crashes_elsewhere(self, part: str, suspect: _Suspect) -> int:
        """
        Return how many endpoints crashed without a part, until its last crash.

        Those that another part explains don't count: one that was at a large part of
        the crashes which are left without those that others explain.
        """
        until = suspect.last_crash_at
        known = self._crashed.between(until - crashedendpoints.MEMORY_S, until)
        elsewhere = known.difference(suspect.crashed_at)
        if len(elsewhere) < CRASHES_TO_BLAME:
            return len(elsewhere)
        newest = itertools.islice(reversed(self._suspects.items()), MAX_COMPARED)
        others = [
            elsewhere.intersection(other.crashed_at)
            for name, other in newest
            if name != part
        ]
        for explained in sorted(others, key=len, reverse=True):
            count = len(explained & elsewhere)
            least = EXPLAINING_SHARE * (len(elsewhere) + len(suspect.crashed_at))
            if count >= max(CRASHES_TO_BLAME, least):
                elsewhere -= explained
        return len(elsewhere)

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
