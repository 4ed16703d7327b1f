"""Routes for the entries: their state, counts for the burn report, and draining."""

import logging
import typing
from collections import abc

import blacksheep

from acaciaward import errors
from acaciaward.administration import access, messages, routes
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.membership import interfaces as membership_interfaces
from acaciaward.observability import logs, recorder

log = logging.getLogger(__name__)

DRAIN_TIMEOUT_S = 3.0


class EntryNetwork(
    membership_interfaces.Membership, membership_interfaces.PeerNetwork, typing.Protocol
):
    """Membership of the entries and messages to them."""


class EntryRoutes:
    """Routes for the state of all entries, burn counts and draining."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        access_control: access.AccessControl,
        membership: EntryNetwork,
        request_recorder: recorder.Recorder,
        drain: abc.Callable[[], None],
    ):
        self._configuration = configuration
        self._access = access_control
        self._membership = membership
        self._recorder = request_recorder
        self._drain = drain
        membership.handle("drain", self._answer_drain)

    def routes(self) -> list[routes.Route]:
        """Return the routes of this group."""
        drain_path = "/v1/admin/entries/{entry}/drain"
        return [
            routes.Route("GET", "/v1/admin/status", self._get_status),
            routes.Route("GET", "/v1/admin/burn", self._get_burn),
            routes.Route("POST", drain_path, self._post_drain),
        ]

    async def _get_status(self, request: blacksheep.Request):
        """Show every entry with its state and its configuration version."""
        self._access.require(request, access.Right.READ)
        entries = [
            peer._asdict() | {"state": peer.state.value}
            for peer in self._membership.peers()
        ]
        return {
            "name": self._membership.name,
            "current": self._configuration.is_current,
            "version": self._configuration.view.version,
            "entries": sorted(entries, key=lambda entry: entry["name"]),
        }

    async def _get_burn(self, request: blacksheep.Request):
        """
        Return this entry's own counts of answers for the burn report.

        The counts end at ``at``, Unix time in seconds (default: now). With
        ``points=1`` each time slot of the objectives' windows is included.
        """
        self._access.require(request, access.Right.READ)
        at = routes.read_number(request, "at", None)
        objectives = self._configuration.view.document.get("objectives", {})
        with_points = bool(routes.read_number(request, "points", 0))
        snapshot = self._recorder.snapshot(at, with_points=with_points)
        return {"objectives": objectives, "burn": snapshot}

    async def _post_drain(self, entry: str, request: blacksheep.Request):
        """Drain an entry: it finishes its running requests and then stops."""
        author = self._access.require(request, access.Right.CHANGE)
        if entry == self._membership.name:
            self._begin_drain(author.name)
            return routes.Answer({"name": entry, "state": "leaving"}, 202)
        if entry not in {peer.name for peer in self._membership.peers()}:
            raise errors.NotFoundError(f"there is no entry {entry[:80]!r}")
        body: messages.Drain = {"sender": self._membership.name, "author": author.name}
        try:
            await self._membership.request(
                entry, "drain", body, timeout_s=DRAIN_TIMEOUT_S
            )
        except errors.PeerUnreachableError as error:
            raise errors.PeerUnresponsiveError(f"{entry} did not answer") from error
        return routes.Answer({"name": entry, "state": "leaving"}, 202)

    async def _answer_drain(
        self, sender: str, body: messages.Drain
    ) -> messages.DrainAnswer:
        self._begin_drain(body["author"])
        return {"name": self._membership.name}

    def _begin_drain(self, author: str) -> None:
        log.info("drain ordered", extra=logs.fields(author=author))
        self._drain()
