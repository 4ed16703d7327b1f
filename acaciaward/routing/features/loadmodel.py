"""
Model of entries that share endpoints, without a network, with a simulated clock.

    model = Model(Setup(entries=30, lag_s=0.5, speeds=(0.7, 0.7, 1.7)), seed=1)
    model.run(40.0)
    model.on_time_share(after=10.0)  # 0.97

Each entry has a real ``Occupancy``. Endpoints run plain calls in ``slots`` places, or
read prompts one after another. Entries exchange loads and speeds with a lag.
"""

import collections
import heapq
import itertools
import math
import random
import statistics
import typing
from collections import abc

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import calls
from acaciaward.relays import raterelays
from acaciaward.routing import health, occupancy, placement

SERVICE = "s"
REPORT_S = 0.25
RATES_S = 1.0
TOKENS_PER_S = 60_000.0
# What neither entry nor endpoint explains: the standard deviation of the logarithm.
NOISE = 0.25
STEP_S = 0.25


class Setup(typing.NamedTuple):
    """
    What is modelled.

    ``speeds`` multiply each endpoint's work times, and ``listed_slots`` are those that
    records name. An endpoint of ``sagging`` takes 3 times as long from half of its
    slots on. ``slowdowns`` are (endpoint, from, until, factor).
    """

    entries: int
    lag_s: float
    speeds: tuple[float, ...]
    kind: str = "plain"
    slots: int = 6
    work_s: float = 0.06
    tokens: int = 6000
    objective_s: float = 0.35
    calls_per_s: float = 100.0
    listed_slots: abc.Mapping[int, int] = {}
    sagging: frozenset[int] = frozenset()
    slowdowns: tuple[tuple[int, float, float, float], ...] = ()
    learns: bool = True


class Server:
    """One endpoint that runs calls in places, or reads prompts one after another."""

    def __init__(self, model, number):
        self._model = model
        self._number = number
        self._waiting = collections.deque()
        self._running = 0

    def arrive(self, done):
        self._waiting.append(done)
        self._start()

    def _start(self):
        setup = self._model.setup
        places = setup.slots if setup.kind == "plain" else 1
        while self._waiting and self._running < places:
            done = self._waiting.popleft()
            self._running += 1
            took_s = self._work_s()
            self._model.at(took_s, lambda done=done: self._end(done))

    def _work_s(self):
        setup, now = self._model.setup, self._model.elapsed_s
        base_s = setup.work_s
        if setup.kind != "plain":
            base_s = setup.tokens / TOKENS_PER_S
        factor = setup.speeds[self._number]
        for number, since, until, times in setup.slowdowns:
            if number == self._number and since <= now < until:
                factor *= times
        in_use = self._running + len(self._waiting)
        if self._number in setup.sagging and in_use > setup.slots / 2:
            factor *= 3
        return base_s * factor * math.exp(self._model.rng.gauss(0.0, NOISE))

    def _end(self, done):
        self._running -= 1
        done()
        self._start()


class Model:
    """Entries, endpoints and callers."""

    def __init__(self, setup, seed):
        self.setup = setup
        self.rng = random.Random(seed)
        self.now = 100.0
        self._began = self.now
        self._events = []
        self._order = itertools.count()
        count = len(setup.speeds)
        self._endpoints = [
            endpoints.Endpoint(
                f"e-{number}",
                1,
                SERVICE,
                "127.0.0.1",
                1,
                "dc",
                setup.listed_slots.get(number, setup.slots),
                endpoints.EndpointState.READY,
            )
            for number in range(count)
        ]
        self._servers = [Server(self, number) for number in range(count)]
        self._service = routes.Service(SERVICE, 64)
        self.entries = [self._make_entry() for _ in range(setup.entries)]
        # When calls came, how long they took, and to which endpoint they went.
        self.answers = []

    @property
    def elapsed_s(self):
        """The time since the beginning."""
        return self.now - self._began

    def _make_entry(self):
        directory = endpoints.Directory(lambda: self.now)
        directory.replace_all(self._endpoints)
        return occupancy.Occupancy(
            directory,
            data_centre="dc",
            rng=self.rng,
            clock=lambda: self.now,
            unix_time=lambda: self.now,
        )

    def at(self, delay_s, action):
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), action))

    def run(self, seconds):
        end = self.now + seconds
        self._next_call()
        self._relay_load()
        if self.setup.learns:
            self._relay_rates()
        while self._events and self._events[0][0] < end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def _next_call(self):
        self.at(self.rng.expovariate(self.setup.calls_per_s), self._next_call)
        entry = self.rng.choice(self.entries)
        tokens = self.setup.tokens
        prompt = None
        if self.setup.kind != "plain":
            prompt = calls.Prompt(tokens, 10, (("own", tokens),))
        call = calls.Call(b"POST", b"/a", "h", [], b"", self.now, prompt=prompt)
        candidate = entry.choose(self._service, call)
        work = entry.start(candidate, call)
        began = self.now
        number = int(candidate.endpoint.name.removeprefix("e-"))

        def done():
            entry.record_data(candidate.endpoint)
            if prompt is not None:
                work.record_first_byte()
            work.end(health.Outcome.SERVED)
            self.answers.append((began, self.now - began, number))

        self._servers[number].arrive(done)

    def _relay_load(self):
        self.at(REPORT_S, self._relay_load)
        loads = [entry.load() for entry in self.entries]
        total = collections.Counter()
        for load in loads:
            for name, (count, tokens) in load.items():
                total[name, 0] += count
                total[name, 1] += tokens
        names = {name for name, _ in total}

        def receive():
            for entry, own in zip(self.entries, loads, strict=True):
                others = {}
                for name in names:
                    count, tokens = own.get(name, (0, 0))
                    others[name] = (total[name, 0] - count, total[name, 1] - tokens)
                entry.receive_load(others)

        self.at(self.setup.lag_s, receive)

    def _relay_rates(self):
        self.at(RATES_S, self._relay_rates)
        relays = raterelays.RateRelays(lambda: self.now)
        for number, entry in enumerate(self.entries):
            report = {"sender": str(number), "rates": entry.rates.report()}
            relays.receive_report(report)
        others = relays.sums_excluding("0")

        def receive():
            reader = self.entries[0].rates
            reader.receive(others["rates"], others["prefill_rates"])
            speeds = reader.summarize([SERVICE])
            for entry in self.entries:
                entry.rates.adopt(*speeds)

        self.at(self.setup.lag_s, receive)

    def on_time_share(self, after, until=math.inf):
        """Return the share of calls within their objective, of those that came then."""
        took = [
            took_s
            for began, took_s, _ in self.answers
            if after <= began - self._began < until
        ]
        return sum(one <= self.setup.objective_s for one in took) / len(took)

    def shares(self, number, after, until=math.inf, step_s=1.0):
        """Return the share of calls that an endpoint gets, for each step of time."""
        counts = collections.defaultdict(lambda: [0, 0])
        for began, _, at in self.answers:
            since = began - self._began
            if after <= since < until:
                count = counts[int((since - after) / step_s)]
                count[0] += at == number
                count[1] += 1
        return [own / total for own, total in counts.values()]

    def spread(self, number, after):
        """Return mean and standard deviation of the share that an endpoint gets."""
        shares = self.shares(number, after)
        return statistics.mean(shares), statistics.pstdev(shares)


def without_learning():
    """Replace the choice by that of endpoints that all count as equally fast."""
    rates = occupancy.endpointrates.EndpointRates
    original = rates.time_factor
    rates.time_factor = lambda self, service, incarnation: 1.0
    cost_s = placement.cost_s

    def cost_before(candidate, prompt):
        own_s = candidate.service_s if prompt is None else 0.0
        return cost_s(candidate, prompt) - own_s

    placement.cost_s = cost_before

    def restore():
        rates.time_factor = original
        placement.cost_s = cost_s

    return restore
