"""Messages between entries that carry out operators' commands."""

import typing


class Drain(typing.TypedDict):
    """
    Asks an entry to drain: to finish its running requests and then stop.

    ``author`` is the operator who ordered it.
    """

    sender: str
    author: str


class DrainAnswer(typing.TypedDict):
    """Confirms that the entry ``name`` has begun to drain."""

    name: str


MESSAGE_TYPES = {"drain": Drain, "drain_answer": DrainAnswer}
