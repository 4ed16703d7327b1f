"""
Who may do what at the operators' API.

A viewer reads everything, an operator also changes it. An organisation's own
administrator reads and changes what belongs to that organisation; all others
look to it as if they did not exist.

    access.require(request, Right.CHANGE_OWN, "library")    # Principal(...)
"""

import enum
import typing

import blacksheep

from acaciaward import errors
from acaciaward.callers import handling
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.identity import apikeys


class Right(enum.Enum):
    """What a route asks for; the OWN rights concern one organisation."""

    READ = "read"
    CHANGE = "change"
    READ_OWN = "read_own"
    CHANGE_OWN = "change_own"


ADMINISTRATOR = "administrator"
RIGHTS = {
    "viewer": frozenset({Right.READ, Right.READ_OWN}),
    "operator": frozenset(Right),
    ADMINISTRATOR: frozenset({Right.READ_OWN, Right.CHANGE_OWN}),
}


class Principal(typing.NamedTuple):
    """Who asks; ``organisation`` is None for those who see all of them."""

    name: str
    role: str
    organisation: str | None = None


class Access:
    """Checks the key of each request against the document in force."""

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
        Return who asks, if allowed.

        Raises ``AuthenticationError``, ``PermissionDeniedError``, or
        ``NotFoundError`` for an organisation that isn't the administrator's.
        """
        principal = self._authenticate(handling.read_bearer(request))
        if right not in RIGHTS.get(principal.role, frozenset()):
            raise errors.PermissionDeniedError(
                f"the role {principal.role} may not do this"
            )
        if principal.organisation not in (None, organisation):
            raise unknown_organisation(organisation)
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


def unknown_organisation(name: str | None) -> errors.NotFoundError:
    """Return the error for an organisation that doesn't exist for the asker."""
    return errors.NotFoundError(f"there is no organisation {str(name)[:80]!r}")
