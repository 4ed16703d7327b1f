"""How a call passed on to an endpoint can fail, by what is certain of it."""

from acaciaward import errors


class ForwardingError(errors.AcaciawardError):
    """A call got no usable answer from one endpoint."""


class NotSentError(ForwardingError):
    """No byte was written: the call has not run there."""


class NotRunError(ForwardingError):
    """The endpoint says that it did not run the call."""

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


class BrokenOffError(ForwardingError):
    """The connection or the answer broke after bytes were written: it may have run."""


class StaleLinkError(BrokenOffError):
    """A connection that had been idle was gone when it was used again."""


class SilentError(BrokenOffError):
    """The endpoint answered nothing for too long."""
