"""What forwarding needs of the dialect and of the other slices."""

import typing
from collections import abc

from acaciaward import verdicts
from acaciaward.admission import quotas, repeats
from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import calls, life, links
from acaciaward.quarantine import suspects
from acaciaward.routing import demand, occupancy


class Codec(typing.Protocol):
    """The dialect's headers."""

    def encode_forwarded(
        self, call: calls.Call, forwarding: calls.Forwarding
    ) -> calls.Headers:
        """Return the headers of a call as an endpoint is to get them."""

    def decode_reply(self, status: int, headers: calls.Headers) -> calls.ReplyHead:
        """Return what an endpoint's head says."""

    def encode_own(
        self,
        attempt_id: str | None,
        verdict: verdicts.Verdict,
        retry_after_s: float | None,
    ) -> calls.Headers:
        """Return the headers of an answer of the system's own."""


class Collaborators(typing.NamedTuple):
    """What forwarding needs of the other slices."""

    index: abc.Callable[[], routes.Index | None]
    occupancy: occupancy.Occupancy
    directory: endpoints.Directory
    pool: links.LinkPool
    quotas: quotas.Quotas
    heard_part: abc.Callable[[], float]
    repeats: repeats.RepeatBudgets
    codec: Codec
    demand: demand.Demand
    suspects: suspects.Suspects
    note_run: abc.Callable[[str], None]
    note_end: abc.Callable[[life.Progress], None]
