"""Command-line options of an experiment."""

import typing


class Options(typing.NamedTuple):
    """Seed of every random choice, and the size of the run."""

    seed: int = 1
    quick: bool = False
    entries: tuple[int, ...] = ()
    endpoints: tuple[int, ...] = ()
