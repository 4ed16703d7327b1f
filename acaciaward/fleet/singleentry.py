"""Leases for a system with one entry, which always holds every duty."""

import time

from acaciaward.leases import interfaces


class SingleEntryLeases:
    """
    Implements ``leases.interfaces.Leases`` where one entry does every duty.

    The fence is the start time in milliseconds, so it rises with each restart.
    """

    def __init__(self, name: str):
        self._name = name
        self._fence = int(time.time() * 1000)

    def held(self, duty: str) -> interfaces.Lease | None:
        """Return a lease that never expires."""
        return interfaces.Lease(duty, self._name, self._fence, float("inf"))

    def request(self, duty: str) -> None:
        """Do nothing: every duty is already held."""

    def release(self, duty: str) -> None:
        """Do nothing: no other entry could acquire the duty."""
