"""The requests and engines of the model of urgent and patient requests."""

import typing

READ_PER_S = 64_000.0
STEP_S = 0.00423
TOKENS_PER_EVENT = 5
MAX_GAP_S = 0.3


class Kind(typing.NamedTuple):
    """One kind of request."""

    name: str
    per_s: float
    mean_tokens: float
    sigma: float
    max_tokens: int
    shared_tokens: int
    events: int
    target_s: float
    deadline_s: float
    worth: float
    worth_late: float
    is_patient: bool


LONG = Kind("long", 58, 6610, 1.0, 54_600, 5382, 72, 2.545, 15.3, 2.8, 0.42, True)
SHORT = Kind("short", 158, 1800, 0.5, 8_000, 568, 5, 0.522, 3.1, 2.7, 0.11, False)


class Engine:
    """Reads one prompt after another."""

    def __init__(self, name):
        self.name = name
        self.busy_until = 0.0
        self.cached = set()
        self.is_lost = False
        # When it read without a break.
        self.periods = []

    def add(self, now, prompt, give_up_at):
        """Return when the first event comes, None if it's too late for that."""
        began = max(now, self.busy_until)
        if began >= give_up_at:
            return None
        tokens = prompt.fresh_tokens
        for part, size in prompt.shared:
            tokens += 0 if part in self.cached else size
            self.cached.add(part)
        if began == now:
            self.periods.append([now, now])
        self.busy_until = began + tokens / READ_PER_S
        self.periods[-1][1] = self.busy_until
        return self.busy_until + STEP_S * TOKENS_PER_EVENT


class Request:
    """One request and its attempts."""

    def __init__(self, number, kind, arrived_at, prompt):
        self.number = number
        self.kind = kind
        self.arrived_at = arrived_at
        self.prompt = prompt
        self.deadline = arrived_at + kind.deadline_s
        self.received_at = arrived_at
        self.attempts = 0
        self.first_event_s = None
        self.is_refused = False
        # The engine that streams the answer, from when, and until when.
        self.stream = None

    @property
    def is_paused(self):
        """Whether its engine reads for longer than events may pause, at a stretch."""
        if self.stream is None:
            return False
        engine, began, ended = self.stream
        return any(
            min(ended, until) - max(began, since) > MAX_GAP_S
            for since, until in engine.periods
        )

    @property
    def worth(self):
        """What the answer is worth."""
        if self.first_event_s is None:
            return 0.0
        is_late = self.first_event_s > self.kind.target_s
        return self.kind.worth_late if is_late else self.kind.worth
