"""Messages between entries that operators cause."""

import typing


class Drain(typing.TypedDict):
    """Asks an entry to leave; ``author`` is the operator."""

    sender: str
    author: str


class DrainAnswer(typing.TypedDict):
    """Confirms that the entry has begun to leave."""

    name: str


KINDS = {"drain": Drain, "drain_answer": DrainAnswer}
