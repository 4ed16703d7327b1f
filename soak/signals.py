"""
Checks that entries heed what servers say of themselves in their answers.

DRAIN binds each entry from the first answer that says its server leaves, BUDGET from
each refusal that asks for rest. Both bind the process that was told and sends, not the
entry that took a request from its caller: it may have sent it through a peer.
"""

import collections
import typing
from collections import abc

from soak import conditions, ledger
from standins import edgeserver, edgewire

# Time in which requests may still be under way to a server that has asked for rest.
UNDER_WAY_S = 0.5
# How many may reach it in the rest of that time.
MAX_REQUESTS_AT_REST = 2
# Time around an answer in which a disturbance of its server may keep it from the entry.
DELIVERY_S = 0.5


class Link(typing.NamedTuple):
    """One process of an entry, and one incarnation of a server."""

    entry: str
    start: int
    server: edgeserver.EdgeServer


class Told(typing.NamedTuple):
    """The headers of an answer that tell of its server, and when it was written."""

    at: float
    headers: dict[str, str]


class Signals:
    """
    Records what each entry was told and what it sent.

    ``find_sender`` returns the entry whose connection to a server has a port, and how
    often it was started, None if that isn't known.
    """

    def __init__(
        self,
        find_sender: abc.Callable[[edgeserver.EdgeServer, int], tuple[str, int] | None],
    ):
        self._find_sender = find_sender
        self._told: dict[Link, list[Told]] = collections.defaultdict(list)
        self._sent: dict[Link, list[tuple[float, float]]] = collections.defaultdict(
            list
        )

    def arrived(
        self, server: edgeserver.EdgeServer, port: int, at: float, sent_at: float
    ) -> None:
        """Record a request at a server, and when its caller had sent it."""
        sender = self._find_sender(server, port)
        if sender is not None:
            self._sent[Link(*sender, server)].append((at, sent_at))

    def answered(
        self,
        server: edgeserver.EdgeServer,
        request: edgewire.Request,
        headers: dict[str, str],
        at: float,
    ) -> None:
        """Record what an answer tells of its server."""
        sender = self._find_sender(server, request.peer_port)
        if sender is not None:
            self._told[Link(*sender, server)].append(Told(at, headers))

    def check(
        self,
        recorder: ledger.Recorder,
        disturbances: conditions.Disturbances,
        bounds: conditions.Bounds,
        allowance_s: float,
    ) -> None:
        """Record what was broken by entries that were told and went on undisturbed."""
        for link, answers in self._told.items():

            def is_bound(begin: float, end: float, link=link) -> bool:
                # Being out of touch excuses nothing, only not having been told.
                told = (begin - DELIVERY_S, begin + DELIVERY_S)
                return disturbances.is_undisturbed(
                    link.entry, begin, end
                ) and disturbances.is_undisturbed(link.server.name, *told)

            sent = self._sent[link]
            self._check_leaving(
                recorder, link, answers, sent, is_bound, bounds.drain_s + allowance_s
            )
            self._check_rests(recorder, link, answers, sent, is_bound, allowance_s)

    def _check_leaving(self, recorder, link, answers, sent, is_bound, limit_s):
        for answer in answers:
            if "Server-Leaving" not in answer.headers:
                continue
            late = [
                at
                for at, sent_at in sent
                if sent_at > answer.at + limit_s and is_bound(answer.at, at)
            ]
            if late:
                detail = (
                    f"{len(late)} requests of {link.entry} to {link.server.name},"
                    f" the first {late[0] - answer.at:.2f} s after it said it leaves"
                )
                recorder.record_violation("DRAIN", detail, late[0])
                return

    def _check_rests(self, recorder, link, answers, sent, is_bound, allowance_s):
        for answer in answers:
            if "Retry-After" not in answer.headers:
                continue
            begin = answer.at + UNDER_WAY_S + allowance_s
            end = answer.at + float(answer.headers["Retry-After"]) - allowance_s
            arrived = [at for at, _ in sent if begin < at < end]
            if len(arrived) > MAX_REQUESTS_AT_REST and is_bound(answer.at, end):
                detail = (
                    f"{len(arrived)} requests of {link.entry} to {link.server.name}"
                    f" in {answer.headers['Retry-After']} s of rest"
                )
                recorder.record_violation("BUDGET", detail, begin)
                return
