"""What the holders of duties need of leases."""

import typing


class Lease(typing.NamedTuple):
    """
    A duty held for a while.

    Whoever gives an order for the duty asks ``Leases.held`` just before it and
    sends the fence along.

    ``fence`` is the offset of the lease record, so it rises with each holder.
    ``expires`` is in seconds of the monotonic clock.
    """

    duty: str
    holder: str
    fence: int
    expires: float


class Leases(typing.Protocol):
    """Duties that one entry at a time should do."""

    def held(self, duty: str) -> Lease | None:
        """Return the lease if this entry holds it now by the monotonic clock."""

    def want(self, duty: str) -> None:
        """Try to hold the duty from now on, renewing and taking over as needed."""

    def give_up(self, duty: str) -> None:
        """Give the duty back; call it once no order is on its way any more."""
