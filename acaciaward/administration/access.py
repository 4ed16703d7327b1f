"""
Authenticates requests to the operators' API and checks their rights.

A viewer may read everything, an operator may also change it. The administrator of
an organisation may read and change only what belongs to that organisation, and
gets the same 404 for every other organisation, whether it exists or not.

    access_control.require(request, Right.CHANGE_OWN, "library")    # Principal(...)
"""

import enum
import typing

import blacksheep

from acaciaward import errors
from acaciaward.callers import handling
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.identity import apikeys


class Right(enum.Enum):
    """A right that a route requires; the OWN rights apply to one organisation."""

    READ = "read"
    CHANGE = "change"
    READ_OWN = "read_own"
    CHANGE_OWN = "change_own"


ADMINISTRATOR = "administrator"
RIGHTS_BY_ROLE = {
    "viewer": frozenset({Right.READ, Right.READ_OWN}),
    "operator": frozenset(Right),
    ADMINISTRATOR: frozenset({Right.READ_OWN, Right.CHANGE_OWN}),
}


class Principal(typing.NamedTuple):
    """The authenticated sender; ``organisation`` is None for operators and viewers."""

    name: str
    role: str
    organisation: str | None = None


class AccessControl:
    """Checks each request's key against the current configuration document."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        bootstrap_key_digest: str | None,
    ):
        self._configuration = configuration
        self._bootstrap_key_digest = bootstrap_key_digest

    def require(
        self,
        request: blacksheep.Request,
        right: Right,
        organisation: str | None = None,
    ) -> Principal:
        """
        Return the sender of the request if its role has the right.

        Raises ``AuthenticationError``, ``PermissionDeniedError``, or
        ``NotFoundError`` if an administrator names another organisation.
        """
        principal = self._authenticate(handling.read_bearer(request))
        if right not in RIGHTS_BY_ROLE.get(principal.role, frozenset()):
            raise errors.PermissionDeniedError(
                f"the role {principal.role} may not do this"
            )
        if principal.organisation not in (None, organisation):
            raise organisation_not_found(organisation)
        return principal

    def _authenticate(self, key: str) -> Principal:
        document = self._configuration.view.document
        if key.startswith(f"{apikeys.ORGANISATION_PREFIX}."):
            caller = apikeys.authenticate_caller(document, key)
            name = f"{caller.organisation}/{caller.key_name}"
            return Principal(name, caller.role, caller.organisation)
        operator = apikeys.authenticate_operator(
            document, key, self._bootstrap_key_digest
        )
        return Principal(operator.name, operator.role)


def organisation_not_found(name: str | None) -> errors.NotFoundError:
    """Return the error for an organisation that is unknown to the sender."""
    return errors.NotFoundError(f"there is no organisation {str(name)[:80]!r}")
