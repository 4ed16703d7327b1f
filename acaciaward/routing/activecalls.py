"""
Follows one call at one endpoint, from the choice to its end.

    work = ActiveCall(occupancy, candidate, call)
    work.record_first_byte()
    work.end(health.Outcome.SERVED)
"""

import typing
from collections import abc

from acaciaward.gateway import calls
from acaciaward.routing import health, placement


class Occupancy(typing.Protocol):
    """Counts the work at endpoints."""

    def now(self) -> float:
        """Return the time of its clock, in seconds."""

    def record_prefilled(
        self, work: "ActiveCall", tokens: float, took_s: float
    ) -> None:
        """Record that a call's prompt is read, ``tokens`` with those ahead of it."""

    def remove_backlog(self, work: "ActiveCall") -> None:
        """Remove a call's prompt from the endpoint's backlog."""

    def record_end(
        self, work: "ActiveCall", took_s: float, outcome: health.Outcome
    ) -> None:
        """Remove a call from its endpoint."""


class ActiveCall:
    """
    One call at one endpoint, from the choice to its end.

    ``prefill_tokens`` counts the prompt tokens that the endpoint has to prefill for it.
    """

    def __init__(
        self, occupancy: Occupancy, candidate: placement.Candidate, call: calls.Call
    ):
        self.endpoint = candidate.endpoint
        self.candidate = candidate
        self._occupancy = occupancy
        self.call = call
        self.started_at = occupancy.now()
        cached = candidate.cached_tokens
        self.prefill_tokens = (
            max(0, call.prompt.prompt_tokens - cached) if call.prompt else 0
        )
        self._tokens_ahead = candidate.backlog_tokens
        self._is_prefilling = True
        self._answered_at: float | None = None
        # What its time to the first byte said of the endpoint's speed.
        self.speed_sample = 0.0
        # Called with the time to the first byte.
        self.on_first_byte: abc.Callable[[float], None] = lambda took_s: None

    @property
    def has_first_byte(self) -> bool:
        """Whether the endpoint has begun to answer."""
        return not self._is_prefilling

    @property
    def is_answered(self) -> bool:
        """Whether a first byte was recorded, also once the call has ended."""
        return self._answered_at is not None

    @property
    def answered_for_s(self) -> float:
        """How long ago the endpoint began to answer, in seconds; 0 if it hasn't."""
        if self._answered_at is None:
            return 0.0
        return self._occupancy.now() - self._answered_at

    def record_first_byte(self) -> None:
        """Record that the prefill is complete."""
        if self._is_prefilling:
            self._is_prefilling = False
            self._answered_at = self._occupancy.now()
            took_s = self._answered_at - self.started_at
            self.on_first_byte(took_s)
            self._occupancy.record_prefilled(
                self, self._tokens_ahead + self.prefill_tokens, took_s
            )

    def end(self, outcome: health.Outcome) -> None:
        """Remove the call from the endpoint and record its outcome."""
        if self._is_prefilling:
            self._is_prefilling = False
            self._occupancy.remove_backlog(self)
        took_s = self._occupancy.now() - self.started_at
        self._occupancy.record_end(self, took_s, outcome)
