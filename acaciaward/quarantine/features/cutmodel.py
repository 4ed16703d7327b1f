"""
A model of entries that a cut by resets separates from all endpoints.

Calls take seconds until they are answered. The cut resets those that cut-off entries
have sent, and each that these send while it lasts; the endpoints go on.
"""

import heapq
import itertools

from acaciaward.quarantine import partreports, promptparts

CALLS_PER_S = 60
CALL_S = 3.0
PARTS = 40
ENDPOINTS = 12
# Endpoints that a cut-off entry tries for one call, and when one resets its connection.
ATTEMPTS = 3
RESET_S = 0.02
REPORT_S = 0.25
# Calls before the cut and after it.
BEFORE_S = 5.0
AFTER_S = 3.0


class CutModel:
    """
    Entries that learn of crashes by themselves and from each other's reports.

    ``refused`` counts the calls that an entry refuses for a part, ``sent`` the others.
    """

    def __init__(self, entries, cut, seconds, rng):
        names = [f"e-{number}" for number in range(entries)]
        self._now = 100.0
        self._rng = rng
        self._entries = [
            promptparts.PromptParts(lambda: self._now, name, lambda: names)
            for name in names
        ]
        self._cut_from = self._now + BEFORE_S
        self._cut_until = self._cut_from + seconds
        self._cut_count = cut
        # What happens next: time, order, action and its arguments.
        self._due = []
        self._order = itertools.count()
        self.sent = 0
        self.refused = 0

    def run(self):
        """Play the calls before, in and after the cut."""
        until = self._cut_until + AFTER_S
        self._at(self._now, self._begin_call)
        self._at(self._now + REPORT_S, self._exchange)
        while self._due[0][0] < until:
            self._now, _, act, args = heapq.heappop(self._due)
            act(*args)

    def _at(self, at, act, *args):
        heapq.heappush(self._due, (at, next(self._order), act, args))

    def _begin_call(self):
        self._at(self._now + self._rng.expovariate(CALLS_PER_S), self._begin_call)
        number = self._rng.randrange(len(self._entries))
        part = f"p-{self._rng.randrange(PARTS)}"
        if self._entries[number].refuse_for_s([part]) > 0:
            self.refused += 1
            return
        self.sent += 1
        self._send(number, part, ATTEMPTS)

    def _send(self, number, part, attempts):
        if not attempts or (
            attempts < ATTEMPTS and self._entries[number].refuse_for_s([part]) > 0
        ):
            return
        endpoint = f"s-{self._rng.randrange(ENDPOINTS)}"
        is_cut = number < self._cut_count and self._now < self._cut_until
        ends = self._now + CALL_S
        if is_cut and ends > self._cut_from:
            reset_at = max(self._cut_from, self._now + RESET_S)
            self._at(reset_at, self._reset, number, part, endpoint, attempts)
        else:
            self._at(ends, self._answer, number, part, endpoint)

    def _reset(self, number, part, endpoint, attempts):
        self._entries[number].record_crash([part], endpoint)
        self._send(number, part, attempts - 1)

    def _answer(self, number, part, endpoint):
        self._entries[number].record_served([part], endpoint)

    def _exchange(self):
        self._at(self._now + REPORT_S, self._exchange)
        report = partreports.merge(entry.report() for entry in self._entries)
        for entry in self._entries:
            entry.receive(report)
