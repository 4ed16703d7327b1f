"""
What callers ask of each service, which all entries add up.

Demand counts what was asked, served or not, so that a fleet that is too small
doesn't look sufficient.
"""

from collections import abc

from acaciaward import rates

# Time constant of the smoothing, in seconds: about one boot of an endpoint.
SMOOTHED_S = 3.0


class _Asked:
    def __init__(self):
        self.tokens = rates.Rate(SMOOTHED_S)
        self.requests = rates.Rate(SMOOTHED_S)


class Demand:
    """The rates at this entry, by service."""

    def __init__(
        self, clock: abc.Callable[[], float], service_s: abc.Callable[[str], float]
    ):
        self._clock = clock
        self._service_s = service_s
        self._asked: dict[str, _Asked] = {}

    def note(self, service: str, tokens: float) -> None:
        """Count a request, and the tokens that it asks a service to read."""
        now = self._clock()
        asked = self._asked.setdefault(service, _Asked())
        asked.tokens.note(tokens, now)
        asked.requests.note(1.0, now)

    def wanted(self) -> dict[str, tuple[float, float]]:
        """
        Return tokens a second and requests at once for each service.

        Requests at once are their rate times how long one takes (Little's law).
        """
        now = self._clock()
        return {
            name: (
                round(asked.tokens.value(now), 1),
                round(asked.requests.value(now) * self._service_s(name), 3),
            )
            for name, asked in self._asked.items()
        }
