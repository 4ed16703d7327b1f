"""Which versions of the endpoints' software may get a call."""

import typing


class Except(typing.NamedTuple):
    """Any version but these."""

    versions: frozenset[str]


# A version is the only one that may get the call; None is any.
Choice = str | Except | None


def allows(choice: Choice, version: str) -> bool:
    """Return whether a version may get the call."""
    if isinstance(choice, Except):
        return version not in choice.versions
    return choice is None or choice == version
