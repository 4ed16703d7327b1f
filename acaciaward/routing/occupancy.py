"""
What runs at each endpoint: counted here, and told among entries by relays.

What others tell is some hundred milliseconds old; it only steers.
"""

import collections
import random
import time
from collections import abc

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import calls
from acaciaward.routing import health, placement

# What others told longer ago than this is left out, in seconds.
TOLD_LIFETIME_S = 3.0
# Parts of prompts remembered for each endpoint, and for how long, in seconds.
MAX_PARTS = 4000
PART_LIFETIME_S = 60.0
SMOOTHING = 0.1
# Prompts below that say little about the pace of reading, in tokens.
TELLING_TOKENS = 3000
# An endpoint with work that sends nothing at all for so long is taken for dead, in
# seconds: batches of an engine end many times a second, and a first token of a short
# prompt comes within a quarter of that.
SILENT_S = 0.4
# Prompts that wait to be read may delay everything by that many times the time that
# reading them takes.
READING_FACTOR = 1.5

Incarnation = tuple[str, int]


class Work:
    """One call at one endpoint, from the choice to its end."""

    def __init__(
        self, board: "Occupancy", candidate: placement.Candidate, call: calls.Call
    ):
        self.endpoint = candidate.endpoint
        self.candidate = candidate
        self._board = board
        self.call = call
        self.began = board.now()
        held = candidate.held_tokens
        self.tokens = max(0, call.prompt.prompt_tokens - held) if call.prompt else 0
        self._ahead = candidate.backlog_tokens
        self._is_reading = True

    @property
    def has_first_byte(self) -> bool:
        """Whether the endpoint has begun to answer."""
        return not self._is_reading

    def note_first_byte(self) -> None:
        """Take note that the prompt is read."""
        if self._is_reading:
            self._is_reading = False
            took_s = self._board.now() - self.began
            self._board.note_read(self, self._ahead + self.tokens, took_s)

    def end(self, *, failed: bool, is_unreachable: bool = False) -> None:
        """Take the call off the endpoint, and its outcome into the record."""
        if self._is_reading:
            self._is_reading = False
            self._board.note_unread(self)
        took_s = self._board.now() - self.began
        self._board.note_end(self, took_s, failed, is_unreachable)


class Occupancy:
    """Counts work, keeps health records, and chooses by both."""

    def __init__(
        self,
        directory: endpoints.Directory,
        *,
        data_centre: str,
        chooser: random.Random | None = None,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._clock = clock
        self._directory = directory
        self._data_centre = data_centre
        self._random = chooser or random.Random()
        self._running: collections.Counter[Incarnation] = collections.Counter()
        self._backlog: collections.Counter[Incarnation] = collections.Counter()
        self._health: dict[Incarnation, health.Health] = {}
        self._parts: dict[Incarnation, collections.OrderedDict[str, float]] = {}
        self._prefill_per_s = placement.USUAL_PREFILL_PER_S
        self._service_s: dict[str, float] = {}
        self._unheard_since: dict[Incarnation, float] = {}
        self._long_shares: abc.Mapping[str, float] = {}
        self._told: abc.Mapping[str, tuple[float, float]] = {}
        self._told_at = 0.0
        directory.subscribe(self._forget)

    def _forget(
        self, before: endpoints.Endpoint | None, after: endpoints.Endpoint | None
    ) -> None:
        if before is not None and (
            after is None or after.incarnation != before.incarnation
        ):
            self._health.pop(before.incarnation, None)
            self._parts.pop(before.incarnation, None)

    def now(self) -> float:
        """Return the moment on the board's clock."""
        return self._clock()

    def choose(
        self,
        service: routes.Service,
        call: calls.Call,
        *,
        excluded: abc.Container[Incarnation] = (),
        max_gap_s: float | None = None,
    ) -> placement.Candidate | None:
        """
        Return where to send a call, or None if no endpoint may get it.

        ``max_gap_s`` is the longest pause between the events of its answer.
        """
        now = self._clock()
        ready = [
            one
            for one in (
                self._directory.ready(service.name)
                or self._directory.lapsed(service.name)
            )
            if one.incarnation not in excluded
        ]
        sound = [
            one
            for one in ready
            if not self._record(one).is_paused(now) and not self.is_silent(one)
        ]
        # When all are paused, the one whose pause ends first is the next probe.
        if not sound and ready:
            sound = [min(ready, key=lambda one: self._record(one).paused_until)]
        others = self._others()
        names = [one.name for one in sound]
        own = self._own_side(service.name, call.prompt, max_gap_s, names)
        drawn = placement.preferred(call.prompt, own)
        candidates = [
            self._candidate(service, one, call, others, one.name in drawn[:1], now)
            for one in sound
        ]
        return placement.choose(candidates, call.prompt, self._random, own=set(own))

    def has_other(self, service: str, tried: abc.Container[Incarnation]) -> bool:
        """Return whether a call could be sent on to an endpoint that seems well."""
        now = self._clock()
        return any(
            one.incarnation not in tried
            and not self._record(one).is_paused(now)
            and not self.is_silent(one)
            for one in self._directory.ready(service)
        )

    def is_long(self, prompt: calls.Prompt | None, max_gap_s: float | None) -> bool:
        """Return whether a prompt holds up the streams beside it for too long."""
        return placement.is_long(prompt, self._prefill_per_s, max_gap_s)

    def hear_long_shares(self, shares: abc.Mapping[str, float]) -> None:
        """Take in which part of a service's reading is for long prompts, over all."""
        self._long_shares = shares

    def _own_side(
        self,
        service: str,
        prompt: calls.Prompt | None,
        max_gap_s: float | None,
        names: list[str],
    ) -> list[str]:
        """Return the endpoints that are for prompts like this one."""
        if prompt is None:
            return names
        kept = placement.reserve(names, self._long_shares.get(service, 0.0))
        is_long = self.is_long(prompt, max_gap_s)
        return [name for name in names if (name in kept) is is_long] or names

    def start(self, candidate: placement.Candidate, call: calls.Call) -> Work:
        """Count a call at an endpoint from now on."""
        work = Work(self, candidate, call)
        incarnation = work.endpoint.incarnation
        self._running[incarnation] += 1
        self._unheard_since.setdefault(incarnation, self._clock())
        self._backlog[incarnation] += work.tokens
        return work

    def note_heard(self, endpoint: endpoints.Endpoint) -> None:
        """Take note of bytes from an endpoint, whichever call they are for."""
        if self._running[endpoint.incarnation]:
            self._unheard_since[endpoint.incarnation] = self._clock()

    def is_silent(self, endpoint: endpoints.Endpoint) -> bool:
        """Whether an endpoint has work and has sent nothing for long."""
        since = self._unheard_since.get(endpoint.incarnation)
        if since is None:
            return False
        told = self._others().get(endpoint.name, (0.0, 0.0))
        unread = self._backlog[endpoint.incarnation] + told[1]
        limit_s = SILENT_S + READING_FACTOR * unread / self._prefill_per_s
        return self._clock() - since > limit_s

    def running(self, service: str) -> tuple[float, float]:
        """Return requests and unread tokens at a service, from all entries."""
        others = self._others()
        requests = tokens = 0.0
        for one in self._directory.of_service(service):
            told = others.get(one.name, (0, 0))
            requests += self._running[one.incarnation] + told[0]
            tokens += self._backlog[one.incarnation] + told[1]
        return requests, tokens

    def note_read(self, work: Work, tokens: float, took_s: float) -> None:
        """Learn the pace of reading, and what the endpoint holds now."""
        self.note_unread(work)
        prompt = work.call.prompt
        if prompt is None:
            return
        if tokens > TELLING_TOKENS and took_s > 0:
            sample = tokens / took_s
            self._prefill_per_s += SMOOTHING * (sample - self._prefill_per_s)
        parts = self._parts.setdefault(
            work.endpoint.incarnation, collections.OrderedDict()
        )
        for name, _ in prompt.parts:
            parts[name] = self._clock()
            parts.move_to_end(name)
        while len(parts) > MAX_PARTS:
            parts.popitem(last=False)

    def note_unread(self, work: Work) -> None:
        """Take a call's prompt off what waits to be read."""
        self._lower(self._backlog, work.endpoint.incarnation, work.tokens)

    def note_end(
        self, work: Work, took_s: float, failed: bool, is_unreachable: bool
    ) -> None:
        """Take a call off and its outcome into the endpoint's record."""
        incarnation = work.endpoint.incarnation
        self._lower(self._running, incarnation, 1)
        if incarnation not in self._running:
            self._unheard_since.pop(incarnation, None)
        record = self._record(work.endpoint)
        if failed:
            record = record.note_failure(self._clock(), is_unreachable=is_unreachable)
        else:
            record = record.note_success()
            service = work.endpoint.service
            known = self._service_s.get(service, took_s)
            self._service_s[service] = known + SMOOTHING * (took_s - known)
        self._health[incarnation] = record

    def service_s(self, service: str) -> float:
        """Return how long a request at a service takes, as learnt here."""
        return self._service_s.get(service, 0.0)

    def load(self) -> dict[str, tuple[float, float]]:
        """Return the requests and unread tokens that this entry has at endpoints."""
        return {
            name: (count, self._backlog[(name, born)])
            for (name, born), count in self._running.items()
            if count
        }

    def hear(self, load: abc.Mapping[str, tuple[float, float]]) -> None:
        """Take in what all other entries have at endpoints."""
        self._told = load
        self._told_at = self._clock()

    @staticmethod
    def _lower(counter: collections.Counter, key: Incarnation, amount: int) -> None:
        counter[key] -= amount
        if counter[key] <= 0:
            del counter[key]

    def _record(self, endpoint: endpoints.Endpoint) -> health.Health:
        return self._health.get(endpoint.incarnation, health.Health())

    def _others(self) -> abc.Mapping[str, tuple[float, float]]:
        is_fresh = self._clock() - self._told_at < TOLD_LIFETIME_S
        return self._told if is_fresh else {}

    def _candidate(
        self,
        service: routes.Service,
        endpoint: endpoints.Endpoint,
        call: calls.Call,
        others: abc.Mapping[str, tuple[float, float]],
        is_first: bool,
        now: float,
    ) -> placement.Candidate:
        told = others.get(endpoint.name, (0.0, 0.0))
        incarnation = endpoint.incarnation
        return placement.Candidate(
            endpoint,
            running=self._running[incarnation] + told[0],
            backlog_tokens=self._backlog[incarnation] + told[1],
            held_tokens=self._held(endpoint, call.prompt, is_first, now),
            prefill_per_s=self._prefill_per_s,
            failed_share=self._record(endpoint).failed_share,
            service_s=self._service_s.get(service.name, 0.0),
            is_near=endpoint.data_centre == self._data_centre,
            told_age_ms=int(1000 * (now - self._told_at)),
        )

    def _held(
        self,
        endpoint: endpoints.Endpoint,
        prompt: calls.Prompt | None,
        is_first: bool,
        now: float,
    ) -> int:
        if prompt is None:
            return 0
        # Other entries draw the same parts to the same endpoint.
        if is_first:
            return sum(size for _, size in prompt.shared)
        parts = self._parts.get(endpoint.incarnation, {})
        total = 0
        for name, size in prompt.shared:
            if now - parts.get(name, -PART_LIFETIME_S) >= PART_LIFETIME_S:
                break
            total += size
        return total
