"""
Errors of a forwarded call, by what is certain about its execution.

The class names are logged and are values of a metric's label.
"""

from acaciaward import errors


class ForwardingError(errors.AcaciawardError):
    """A call got no usable answer from an endpoint."""


class NotSentError(ForwardingError):
    """No byte was written: the call has not run at this endpoint."""


class WithdrawnError(ForwardingError):
    """The endpoint takes no more calls since it was chosen; no byte was written."""


class NotRunError(ForwardingError):
    """The endpoint answered that it did not run the call."""

    def __init__(
        self,
        message: str,
        *,
        is_misdirected: bool = False,
        retry_after_s: float | None = None,
    ):
        super().__init__(message)
        self.is_misdirected = is_misdirected
        self.retry_after_s = retry_after_s


class PeerRefusalError(NotRunError):
    """A peer answered that a call that was sent through it has not run."""

    def __init__(
        self,
        message: str,
        *,
        status: int,
        is_cut_off: bool,
        retry_after_s: float | None = None,
    ):
        super().__init__(message, retry_after_s=retry_after_s)
        self.status = status
        self.is_cut_off = is_cut_off


class BrokenOffError(ForwardingError):
    """The connection or answer failed after bytes were sent: the call may have run."""


class ConnectionLostError(BrokenOffError):
    """The connection ended before the answer: the endpoint may have crashed."""


class StaleLinkError(ConnectionLostError):
    """A pooled connection turned out to be closed when it was reused."""


class SilentError(BrokenOffError):
    """The endpoint sent no data for too long."""


class UnstatedRefusalError(BrokenOffError):
    """The status promises that the call has not run; the endpoint doesn't state it."""
