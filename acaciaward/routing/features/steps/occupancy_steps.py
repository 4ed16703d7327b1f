"""Steps for what is known to run at endpoints; the clock is simulated."""

from behave import given, then, when

from acaciaward.catalogue import endpoints
from acaciaward.gateway import calls
from acaciaward.routing import occupancy, placement

STEP_S = 0.01


class Board:
    """An occupancy board with one endpoint."""

    def __init__(self):
        self.now = 50.0
        directory = endpoints.Directory(lambda: self.now)
        self.endpoint = endpoints.Endpoint(
            "e-1", 1, "s", "127.0.0.1", 1, "dc", 64, endpoints.EndpointState.READY
        )
        directory.put(self.endpoint)
        self.occupancy = occupancy.Occupancy(
            directory, data_centre="dc", clock=lambda: self.now
        )

    def send(self, tokens):
        prompt = calls.Prompt(tokens, 10, (("own", tokens),))
        call = calls.Call(b"POST", b"/a", "h", [], b"", self.now, prompt=prompt)
        return self.occupancy.start(placement.Candidate(self.endpoint), call)

    def silent_after(self, longest_s):
        """Return the first moment from now on at which it is taken for dead."""
        began = self.now
        while self.now - began < longest_s:
            if self.occupancy.is_silent(self.endpoint):
                return self.now - began
            self.now += STEP_S
        return longest_s


@given("an endpoint with {tokens:d} tokens to read that was sent work")
def make_board(context, tokens):
    context.board = Board()
    context.work = context.board.send(tokens)


@when("others tell of {tokens:d} tokens to read there")
def tell(context, tokens):
    context.board.occupancy.hear({"e-1": (1.0, float(tokens))})


@when("it sends something every {pause:g} s for {seconds:g} s")
def send_often(context, pause, seconds):
    board = context.board
    context.silences = []
    for _ in range(round(seconds / pause)):
        context.silences.append(board.silent_after(pause))
        board.occupancy.note_heard(board.endpoint)


@then("it was never taken for dead")
def check_alive(context):
    assert min(context.silences) >= 0.3 - STEP_S, context.silences


@then("it is taken for dead after {most:g} s, but not after {least:g} s")
def check_silent(context, most, least):
    found = context.board.silent_after(most + 1)
    assert least < found <= most, found
