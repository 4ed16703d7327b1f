"""
The typed form of a request inside an entry, shared by every package.

Callers' HTTP bodies are parsed once, in ``acaciaward.callers``; all other code
works with the resulting ``Request``.
"""

import enum
import typing


class ServiceClass(enum.Enum):
    """How soon a request must be answered."""

    URGENT = "urgent"
    SHORT = "short"
    LONG = "long"


class DeploymentKind(enum.Enum):
    """What serves a deployment: model engines or plain services."""

    MODEL = "model"
    SERVICE = "service"


class Request(typing.NamedTuple):
    """
    One accepted request.

    ``deadline`` is in seconds of the event loop's clock. ``key`` is the
    caller's idempotency key, a UUIDv7, and is required when ``idempotent`` is
    False. ``body`` holds the bytes forwarded to a plain service; for a model,
    ``prompt`` is the text and ``max_tokens`` bounds the answer. ``digest`` is
    the hexadecimal SHA-256 of deployment, path and body. ``path`` and
    ``content_type`` matter for services only. ``prompt_tokens`` is the
    estimated length of the prompt in tokens.
    """

    request_id: str
    organisation: str
    deployment: str
    kind: DeploymentKind
    service_class: ServiceClass
    idempotent: bool
    key: str | None
    digest: str
    deadline: float
    body: bytes = b""
    path: str = ""
    content_type: str = "application/json"
    prompt: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0


class Endpoint(typing.NamedTuple):
    """
    One instance that serves a deployment, as listed in the configuration.

    ``reclaimable`` says that the cloud may reclaim the instance at short notice,
    ``fenced`` that it refuses orders with an outdated fencing token.
    """

    name: str
    address: str
    port: int
    data_centre: str
    deployment: str
    kind: DeploymentKind
    reclaimable: bool = True
    fenced: bool = False

    @property
    def base_url(self) -> str:
        """The URL in front of every path of this endpoint."""
        return f"http://{self.address}:{self.port}"


class TokenFrame(typing.NamedTuple):
    """One token of a model's answer; indexes start at 0."""

    index: int
    text: str


class Completion(typing.NamedTuple):
    """
    The end of a model's answer.

    ``count`` is the number of tokens and ``digest`` the hexadecimal SHA-256
    over their texts joined in order. ``recomputed_tokens`` counts the tokens that
    were computed again after the stream moved to another endpoint.
    """

    count: int
    digest: str
    finish_reason: str
    prompt_tokens: int
    cached_tokens: int = 0
    recomputed_tokens: int = 0


class ServiceAnswer(typing.NamedTuple):
    """The complete response of a plain service."""

    status: int
    content_type: str
    body: bytes
