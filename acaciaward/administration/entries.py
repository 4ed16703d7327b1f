"""Routes for the entries: their state, draining one, and what they counted."""

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
    """The entries that this one knows, and messages to them."""


class EntryRoutes:
    """What this entry knows of all, and what it does when told to leave."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        allowed: access.Access,
        membership: EntryNetwork,
        observed: recorder.Recorder,
        drain: abc.Callable[[], None],
    ):
        self._configuration = configuration
        self._access = allowed
        self._membership = membership
        self._recorder = observed
        self._drain = drain
        membership.handle("drain", self._answer_drain)

    def routes(self) -> list[routes.Route]:
        """Return the routes of this duty."""
        drain = "/v1/admin/entries/{entry}/drain"
        return [
            routes.Route("GET", "/v1/admin/status", self._get_status),
            routes.Route("GET", "/v1/admin/burn", self._get_burn),
            routes.Route("POST", drain, self._post_drain),
        ]

    async def _get_status(self, request: blacksheep.Request):
        """Show every entry with its state and the version in force there."""
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
        Return what this entry alone has counted up to ``at``, Unix seconds.

        With ``points=1`` each slot of the objectives' windows is told, too.
        """
        self._access.require(request, access.Right.READ)
        at = routes.read_number(request, "at", None)
        objectives = self._configuration.view.document.get("objectives", {})
        with_points = bool(routes.read_number(request, "points", 0))
        found = self._recorder.snapshot(at, with_points=with_points)
        return {"objectives": objectives, "burn": found}

    async def _post_drain(self, entry: str, request: blacksheep.Request):
        """Let an entry leave: it finishes what runs and then ends."""
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
            raise errors.PeerSilentError(f"{entry} did not answer") from error
        return routes.Answer({"name": entry, "state": "leaving"}, 202)

    async def _answer_drain(
        self, sender: str, body: messages.Drain
    ) -> messages.DrainAnswer:
        self._begin_drain(body["author"])
        return {"name": self._membership.name}

    def _begin_drain(self, author: str) -> None:
        log.info("drain ordered", extra=logs.fields(author=author))
        self._drain()
