"""
Learns what the numbers of a stream's events mean, and finds events that are missing.

    numbers = EventNumbers()
    numbers.begin_run()
    for number in (10, 20, 30):
        if numbers.is_new(number):
            numbers.check(number)
            numbers.record(number)
    numbers.begin_run()
    numbers.check(50)  # raises errors.BrokenOffError, as 40 is missing

A stream comes in runs, one from each endpoint that continues it. Numbers rise from
event to event, by one step throughout or unevenly. Nothing is lost inside a run, so the
first one with two events shows which; from the next run on, each number must follow by
that step. Where the numbers rise unevenly, or a caller takes up a stream whose first
run isn't known, a missing event can't be told from a larger step.
"""

from acaciaward.gateway import errors


class EventNumbers:
    """The numbers of one stream; ``last`` is that of the last event forwarded."""

    def __init__(self, last: int | None = None):
        self.last = last
        self._step: int | None = None
        self._is_learning = True
        # The last number of the current run.
        self._last_of_run: int | None = None

    def begin_run(self) -> None:
        """Begin with the events of another answer."""
        if self._step is not None:
            self._is_learning = False
        self._last_of_run = None

    def is_new(self, number: int) -> bool:
        """Whether an event has not been forwarded."""
        return self.last is None or number > self.last

    def check(self, number: int, *, begins_run: bool = False) -> None:
        """
        Raise ``errors.BrokenOffError`` if events are missing before a new one.

        ``begins_run`` checks it as the first of another run, which hasn't begun yet.
        """
        is_learning = self._is_learning and not begins_run
        if is_learning or self._step is None or self.last is None:
            return
        if number != self.last + self._step:
            raise errors.BrokenOffError(
                f"event {number} after {self.last} in steps of {self._step}"
            )

    def record(self, number: int) -> None:
        """Record that a new event is forwarded."""
        if self._is_learning and self._last_of_run is not None:
            step = number - self._last_of_run
            if self._step in (None, step):
                self._step = step
            else:
                self._step = None
                self._is_learning = False
        self.last = self._last_of_run = number
