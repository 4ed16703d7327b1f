"""
The interface through which entries acquire and check leases of duties.

A duty is a job that one entry at a time does for all, such as scaling a deployment.
A lease gives its holder one duty for a limited time. Its fence is a fencing token.
"""

import typing


class Lease(typing.NamedTuple):
    """
    One entry's hold on a duty for a limited time.

    Before each order that the holder sends for the duty, it checks ``Leases.held``,
    and it sends the fence with the order.

    ``fence`` is the offset of the record that granted the lease, so it rises with each
    holder. ``expires`` is in seconds of the monotonic clock.
    """

    duty: str
    holder: str
    fence: int
    expires: float


class Leases(typing.Protocol):
    """Acquires, checks and releases leases of duties."""

    def held(self, duty: str) -> Lease | None:
        """Return the lease if this entry holds it by the monotonic clock, else None."""

    def request(self, duty: str) -> None:
        """Acquire the duty when it is free, and keep its lease renewed from then on."""

    def release(self, duty: str) -> None:
        """Release the duty; call this only when no order for it is still in flight."""
