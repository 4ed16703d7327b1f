"""
Checks that entries heed what servers say of themselves in their answers.

DRAIN binds each entry from the first answer that says its server leaves, BUDGET from
each refusal that asks to back off. Both bind the process that got the answer, not the
entry that took a request from its caller: it may have sent it through a peer.
"""

import collections
import typing
from collections import abc

from soak import conditions, ledger
from standins import edgeserver, edgewire

# Time in which requests may still be under way to a server that has asked to back off.
UNDER_WAY_S = 0.5
# How many may reach it in the rest of that time.
MAX_REQUESTS_IN_BACKOFF = 2
# Time around an answer in which a disturbance of its server may keep it from the entry.
DELIVERY_S = 0.5


class Link(typing.NamedTuple):
    """One process of an entry, and one incarnation of a server."""

    entry: str
    start: int
    server: edgeserver.EdgeServer


class Announcement(typing.NamedTuple):
    """
    The headers of an answer that tell of its server, and when it was written.

    Its request was ``sent_at`` by the caller.
    """

    at: float
    headers: dict[str, str]
    sent_at: float


class Signals:
    """
    Records what servers announced to each entry, and what it sent.

    ``find_sender`` returns the entry whose connection to a server has a port, and how
    often it was started, None if that isn't known.
    """

    def __init__(
        self,
        find_sender: abc.Callable[[edgeserver.EdgeServer, int], tuple[str, int] | None],
    ):
        self._find_sender = find_sender
        self._announced: dict[Link, list[Announcement]] = collections.defaultdict(list)
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
        sent_at: float,
    ) -> None:
        """Record what an answer tells of its server, to a request sent at a time."""
        sender = self._find_sender(server, request.peer_port)
        if sender is not None:
            self._announced[Link(*sender, server)].append(
                Announcement(at, headers, sent_at)
            )

    def check(
        self,
        recorder: ledger.Recorder,
        disturbances: conditions.Disturbances,
        bounds: conditions.Bounds,
        allowance_s: float,
    ) -> None:
        """Record the promises that entries broke although an answer reached them."""
        for link, answers in self._announced.items():

            def is_bound(answer: Announcement, end: float, link=link) -> bool:
                # An entry out of touch is bound, too, if the answer reached it. It may
                # have given a request up that a disturbance has held.
                delivery = (answer.at - DELIVERY_S, answer.at + DELIVERY_S)
                return disturbances.is_undisturbed(
                    link.entry, answer.sent_at, end
                ) and disturbances.is_undisturbed(link.server.name, *delivery)

            sent = self._sent[link]
            self._check_leaving(
                recorder, link, answers, sent, is_bound, bounds.drain_s + allowance_s
            )
            self._check_backoffs(recorder, link, answers, sent, is_bound, allowance_s)

    def _check_leaving(self, recorder, link, answers, sent, is_bound, limit_s):
        for answer in answers:
            if "Server-Leaving" not in answer.headers:
                continue
            late = [
                at
                for at, sent_at in sent
                if sent_at > answer.at + limit_s and is_bound(answer, at)
            ]
            if late:
                detail = (
                    f"{len(late)} requests of {link.entry} to {link.server.name},"
                    f" the first {late[0] - answer.at:.2f} s after it said it leaves"
                )
                recorder.record_violation("DRAIN", detail, late[0])
                return

    def _check_backoffs(self, recorder, link, answers, sent, is_bound, allowance_s):
        for answer in answers:
            if "Retry-After" not in answer.headers:
                continue
            begin = answer.at + UNDER_WAY_S + allowance_s
            end = answer.at + float(answer.headers["Retry-After"]) - allowance_s
            arrived = [at for at, _ in sent if begin < at < end]
            if len(arrived) > MAX_REQUESTS_IN_BACKOFF and is_bound(answer, end):
                detail = (
                    f"{len(arrived)} requests of {link.entry} to {link.server.name}"
                    f" in {answer.headers['Retry-After']} s of back-off"
                )
                recorder.record_violation("BUDGET", detail, begin)
                return
