"""
What callers ask of each service, which all entries add up.

Demand counts what was asked, served or not, so that a fleet that is too small
doesn't look sufficient.
"""

import typing
from collections import abc

from acaciaward import rates

# Time constant of the smoothing, in seconds: about one boot of an endpoint.
SMOOTHED_S = 3.0
# Time constant of the part of the reading that is for long prompts, in seconds: they
# are few, and endpoints should seldom change sides.
SHARE_S = 20.0


class Wanted(typing.NamedTuple):
    """
    What is asked of a service, at one entry or at several.

    ``tokens_per_s`` are to be read, ``long_per_s`` of them in long prompts;
    ``at_once`` counts requests.
    """

    tokens_per_s: float = 0.0
    at_once: float = 0.0
    long_per_s: float = 0.0

    @property
    def long_share(self) -> float:
        """The part of the reading that is for long prompts."""
        return self.long_per_s / self.tokens_per_s if self.tokens_per_s > 0 else 0.0


class _Asked:
    def __init__(self):
        self.tokens = rates.Rate(SMOOTHED_S)
        self.requests = rates.Rate(SMOOTHED_S)
        self._all_tokens = rates.Rate(SHARE_S)
        self._long_tokens = rates.Rate(SHARE_S)

    def note(self, tokens: float, now: float, *, is_long: bool) -> None:
        """Count a request."""
        self.tokens.note(tokens, now)
        self.requests.note(1.0, now)
        self._all_tokens.note(tokens, now)
        self._long_tokens.note(tokens if is_long else 0.0, now)

    def long_per_s(self, now: float) -> float:
        """Return the tokens a second that are in long prompts."""
        tokens = self._all_tokens.value(now)
        share = self._long_tokens.value(now) / tokens if tokens > 0 else 0.0
        return share * self.tokens.value(now)


class Demand:
    """The rates at this entry, by service."""

    def __init__(
        self, clock: abc.Callable[[], float], service_s: abc.Callable[[str], float]
    ):
        self._clock = clock
        self._service_s = service_s
        self._asked: dict[str, _Asked] = {}

    def note(self, service: str, tokens: float, *, is_long: bool = False) -> None:
        """Count a request, and the tokens that it asks a service to read."""
        asked = self._asked.setdefault(service, _Asked())
        asked.note(tokens, self._clock(), is_long=is_long)

    def wanted(self) -> dict[str, Wanted]:
        """
        Return what is asked of each service.

        Requests at once are their rate times how long one takes (Little's law).
        """
        now = self._clock()
        return {
            name: Wanted(
                round(asked.tokens.value(now), 1),
                round(asked.requests.value(now) * self._service_s(name), 3),
                round(asked.long_per_s(now), 1),
            )
            for name, asked in self._asked.items()
        }
