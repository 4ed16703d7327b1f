"""The duty of an entry that is alone: always held, with a rising fence."""

import time

from acaciaward.leases import interfaces


class SoleHolder:
    """Implements ``leases.interfaces.Leases`` where one entry does every duty."""

    def __init__(self, name: str):
        self._name = name
        self._fence = int(time.time() * 1000)

    def held(self, duty: str) -> interfaces.Lease | None:
        """Return a lease that never ends."""
        return interfaces.Lease(duty, self._name, self._fence, float("inf"))

    def want(self, duty: str) -> None:
        """Hold the duty, as always."""

    def give_up(self, duty: str) -> None:
        """Keep the duty: there is nobody else."""
