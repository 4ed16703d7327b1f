"""
Sends calls through a peer while this entry doesn't reach a service's endpoints.

The peer stands in for an endpoint: its answers are checked and continued elsewhere as
an endpoint's are, and a call that may run only once is sent again only if the peer says
that it has not run. What concerns the call's caller (quota, usage, retry budget) is
counted at the entry that took it, what concerns endpoints at the peer. A call never
goes through a second peer. See ``docs/design/cut-off.md``.
"""

import collections
import logging
import random
import time
import typing
from collections import abc

from acaciaward.catalogue import endpoints, routes
from acaciaward.gateway import (
    attempts,
    callers,
    callprogress,
    calls,
    decisions,
    errors,
    hedging,
    interfaces,
    refusals,
    upstreams,
)
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import logs
from acaciaward.routing import versionchoice

log = logging.getLogger(__name__)

State = membership_interfaces.PeerState

# After as many failed connections, a call is left to a peer, if one can help.
MAX_FAILED_CONNECTS = 3
# Refusals of a peer that are the caller's answer.
PEER_REFUSALS = frozenset({429, 503})
# Peers that one call is sent to, at most.
MAX_PEERS_PER_CALL = 3
# How long a peer that refused since it's cut off too, or wasn't reached, is left alone.
AVOIDANCE_S = 1.0
# How long it is remembered that neither this entry nor a peer reaches endpoints.
UNREACHED_S = 1.0
# A peer that has sent no data for a call for this long, and for so many of its latency
# objectives, may not reach the endpoint any more.
MIN_SILENCE_S = 1.0
NO_DATA_TIMEOUT_TARGETS = 1.5
# Other data centres help if less than this share of an entry's own serves the rest.
LEAST_LOCAL_SHARE = 0.5


# Errors that the peer's connection or its process caused.
PEER_LOST = (errors.ConnectionLostError, errors.SilentError)


class Membership(typing.Protocol):
    """The entries that this one knows."""

    @property
    def name(self) -> str:
        """The name of this entry."""

    def peers(self) -> list[membership_interfaces.Peer]:
        """Return all known entries, this one included."""


class PeerChoice:
    """Chooses the peers that calls go through."""

    def __init__(
        self,
        membership: Membership,
        *,
        data_centre: str,
        rng: random.Random | None = None,
        clock: abc.Callable[[], float] = time.monotonic,
    ):
        self._membership = membership
        self._data_centre = data_centre
        self._random = rng or random.Random()
        self._clock = clock
        # Until when a peer is left alone for a service.
        self._avoided_until: dict[tuple[str, str], float] = collections.defaultdict(
            float
        )
        # The endpoints of a service, and of a version, that nobody reaches, until when.
        self._unreached: dict[
            tuple[str, versionchoice.Choice], tuple[frozenset[tuple[str, int]], float]
        ] = {}

    def choose(
        self,
        progress: callprogress.Progress,
        service: str,
        favoured: abc.Container[str] = (),
    ) -> membership_interfaces.Peer | None:
        """
        Return a peer for a call, None if none can help or enough have been tried.

        If peers are ``favoured``, by name, others aren't asked as long as one can help.
        """
        usable = self._usable(progress, service)
        usable = [peer for peer in usable if peer.name in favoured] or usable
        local = [peer for peer in usable if peer.data_centre == self._data_centre]
        entries = [
            peer
            for peer in self._membership.peers()
            if peer.state is State.LIVE and peer.data_centre == self._data_centre
        ]
        if local and len(local) >= LEAST_LOCAL_SHARE * len(entries):
            usable = local
        return self._random.choice(usable) if usable else None

    def is_any_usable(self, progress: callprogress.Progress, service: str) -> bool:
        """Return whether a call may go through a peer and there is one."""
        return bool(self._usable(progress, service))

    def is_live(self, name: str) -> bool:
        """Return whether a peer answers, as far as is known."""
        return any(
            peer.name == name and peer.state in (State.LIVE, State.LEAVING)
            for peer in self._membership.peers()
        )

    def avoid(self, name: str, service: str) -> None:
        """Leave a peer alone for a moment."""
        self._avoided_until[(name, service)] = self._clock() + AVOIDANCE_S

    def record_unreached(
        self,
        service: str,
        version: versionchoice.Choice,
        incarnations: frozenset[tuple[str, int]],
    ) -> None:
        """Record that neither this entry nor a peer reaches any of the endpoints."""
        self._unreached[(service, version)] = (
            incarnations,
            self._clock() + UNREACHED_S,
        )

    def is_unreached(
        self,
        service: str,
        version: versionchoice.Choice,
        incarnations: frozenset[tuple[str, int]],
    ) -> bool:
        """Return whether all of the endpoints were found unreached a moment ago."""
        known, until = self._unreached.get((service, version), (frozenset(), 0.0))
        if self._clock() >= until:
            self._unreached.pop((service, version), None)
            return False
        return bool(incarnations) and incarnations <= known

    def _usable(
        self, progress: callprogress.Progress, service: str
    ) -> list[membership_interfaces.Peer]:
        tried_count = len(progress.tried_peers)
        if progress.call.detour is not None or tried_count >= MAX_PEERS_PER_CALL:
            return []
        if progress.has_no_detour:
            return []
        now = self._clock()
        return [
            peer
            for peer in self._membership.peers()
            if peer.state is State.LIVE
            and peer.detour_port
            and not peer.is_isolated
            and peer.name != self._membership.name
            and peer.name not in progress.tried_peers
            and self._avoided_until.get((peer.name, service), 0.0) <= now
        ]


class PeerWork:
    """One call at a peer; implements ``attempts.Work``."""

    def __init__(
        self,
        peer: membership_interfaces.Peer,
        service: str,
        progress: callprogress.Progress,
    ):
        # The port tells a peer's connections apart from those to an earlier one.
        self.endpoint = endpoints.Endpoint(
            peer.name,
            peer.detour_port,
            service,
            peer.address,
            peer.detour_port,
            peer.data_centre,
            slots=1,
            state=endpoints.EndpointState.READY,
        )
        # If the peer is lost, it counts as having used them all, so one is kept back.
        attempts_left = progress.route.max_attempts - progress.sends
        self.limit = max(1, attempts_left - 1)
        # The attempts that the peer is told of.
        self.sends_before = progress.sends
        self.started_at = self.data_at = time.monotonic()
        self._answered_at: float | None = None

    @property
    def answered_for_s(self) -> float:
        """How long ago the answer began, in seconds; 0 if it hasn't."""
        if self._answered_at is None:
            return 0.0
        return time.monotonic() - self._answered_at

    def record_first_byte(self) -> None:
        """Record that the answer has begun."""
        if self._answered_at is None:
            self._answered_at = time.monotonic()


class PeerAttempts(attempts.Attempts):
    """Makes attempts through peers."""

    @property
    def _pool(self) -> upstreams.UpstreamPool:
        return self._deps.peer_pool

    def _encode(
        self, progress: callprogress.Progress, work: PeerWork, left_s: float
    ) -> calls.Headers:
        work.sends_before = progress.sends
        detour = calls.Detour(
            work.endpoint.service,
            progress.stream_version,
            progress.sends,
            work.limit,
        )
        return self._deps.detour_codec.encode_call(
            progress.call, detour, left_s, progress.last_delivered_id
        )

    def _decode(self, status: int, headers: calls.Headers) -> calls.ReplyHead:
        return self._deps.detour_codec.decode_reply(status, headers)

    def _record_sent(
        self,
        progress: callprogress.Progress,
        work: PeerWork,
        *,
        is_new_connection: bool,
    ) -> None:
        progress.sends += work.limit
        decisions.record_detour(progress, work, is_new_connection=is_new_connection)

    def _record_head(
        self,
        progress: callprogress.Progress,
        work: PeerWork,
        head: calls.ReplyHead,
    ) -> None:
        if head.detour is None:
            return
        if head.detour.leaving is not None:
            self._deps.directory.record_leaving(head.detour.leaving, by_peer=False)
        if head.detour.verdict is not None:
            used = max(0, head.detour.sends - work.sends_before)
            progress.sends -= work.limit - min(used, work.limit)
        elif progress.stream_version not in (None, head.detour.version):
            raise errors.BrokenOffError("the peer's stream is of another version")

    def _record_other(self, work: attempts.Work, head: calls.ReplyHead) -> None:
        """Do nothing: the peer is no endpoint."""

    def _record_data(self, work: PeerWork) -> None:
        work.data_at = time.monotonic()

    def _record_survived(self, progress: callprogress.Progress, work: PeerWork) -> None:
        """Do nothing: the peer has recorded it."""

    def _check_wanted(self, work: attempts.Work) -> None:
        """Do nothing: the peer is no endpoint."""

    @staticmethod
    def _refusal_error(head: calls.ReplyHead) -> errors.NotRunError:
        return errors.PeerRefusalError(
            head.detour.reason,
            status=head.status,
            is_cut_off=head.detour.is_cut_off,
            retry_after_s=head.retry_after_s,
        )

    async def _bind_to_version(
        self,
        progress: callprogress.Progress,
        work: attempts.Work,
        head: calls.ReplyHead,
    ) -> None:
        progress.stream_version = head.detour.version

    def _is_unresponsive(self, progress: callprogress.Progress, work: PeerWork) -> bool:
        if not self._deps.peers.is_live(work.endpoint.name):
            return True
        # The peer can't ask another endpoint, or is cut off, too.
        limit_s = NO_DATA_TIMEOUT_TARGETS * progress.route.target_s
        return time.monotonic() - work.data_at > max(MIN_SILENCE_S, limit_s)


class Detours:
    """Decides which calls go through peers, and sends these."""

    def __init__(
        self, dependencies: interfaces.Dependencies, refuser: refusals.Refusals
    ):
        self._deps = dependencies
        self._refusals = refuser
        self._attempts = PeerAttempts(dependencies)

    def is_needed(
        self, service: routes.Service, progress: callprogress.Progress
    ) -> bool:
        """Return whether endpoints of a service aren't reached from here."""
        if self._deps.reachability.is_cut_off(service.name):
            return (
                self._deps.peers.is_any_usable(progress, service.name)
                or progress.call.detour is not None
                or not self._deps.reachability.has_untested(service.name)
            )
        return progress.failed_connects >= MAX_FAILED_CONNECTS and (
            progress.call.detour is not None
            or self._deps.peers.is_any_usable(progress, service.name)
        )

    async def attempt(
        self,
        service: routes.Service,
        progress: callprogress.Progress,
        responder: callers.Responder,
        contender: hedging.Contender,
    ) -> bool:
        """Send a call through a peer; return whether it is answered."""
        room = self._deps.occupancy.room(service.name, progress.endpoint_version)
        holders = () if room is None else room.holders
        peer = self._deps.peers.choose(progress, service.name, holders)
        if peer is None:
            self._refusals.refuse(
                progress,
                responder,
                f"cut off from the endpoints of {service.name}",
                cause=callprogress.Cause.CUT_OFF,
                is_cut_off=True,
            )
        progress.tried_peers.add(peer.name)
        work = PeerWork(peer, service.name, progress)
        try:
            await self._attempts.make(progress, work, responder, contender)
            decisions.record_detour_end(progress, work, "answered", None)
            return True
        except errors.NotSentError as error:
            self._deps.peers.avoid(peer.name, service.name)
            decisions.record_detour_end(progress, work, "NotSentError", error)
        except errors.PeerRefusalError as error:
            decisions.record_detour_end(progress, work, "PeerRefusalError", error)
            if not error.is_cut_off and error.status in PEER_REFUSALS:
                self._refusals.refuse(
                    progress,
                    responder,
                    f"peer refused: {error}",
                    cause=callprogress.Cause.PEER,
                    retry_after_s=error.retry_after_s,
                    status=error.status,
                )
            # It is cut off itself, or its configuration differs.
            self._deps.peers.avoid(peer.name, service.name)
            if not self._deps.reachability.is_cut_off(service.name):
                # Nor does the peer reach them: the endpoints have ended.
                progress.has_no_detour = True
                self._record_unreached(service, progress)
        except errors.BrokenOffError as error:
            decisions.record_detour_end(progress, work, type(error).__name__, error)
            # A live peer whose attempt wasn't needed isn't lost.
            is_well = contender.is_superseded and self._deps.peers.is_live(peer.name)
            if isinstance(error, PEER_LOST) and not is_well:
                self._deps.peers.avoid(peer.name, service.name)
            if not progress.route.may_repeat:
                self._refusals.refuse(progress, responder, str(error))
        return False

    def _record_unreached(
        self, service: routes.Service, progress: callprogress.Progress
    ) -> None:
        version = progress.endpoint_version
        incarnations = self._deps.occupancy.unreachable(service.name, version)
        if not incarnations:
            return
        self._deps.peers.record_unreached(service.name, version, incarnations)
        log.info(
            "endpoints reached by nobody",
            extra=logs.fields(
                service=service.name,
                endpoint_version=progress.stream_version,
                count=len(incarnations),
                for_s=UNREACHED_S,
            ),
        )
