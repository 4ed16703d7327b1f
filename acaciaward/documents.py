"""
The configuration document, shared by every slice.

The document is a JSON object of the form of ``Document``. A view is immutable:
a new version brings a new view, and slices ask for the current one each time.
"""

import typing


class KeyEntry(typing.TypedDict, total=False):
    """A hashed API key: ``digest`` is SHA-256 over salt and key, hexadecimal."""

    salt: str
    digest: str
    role: str
    expires: float


class Limits(typing.TypedDict, total=False):
    """Limits of an organisation over the whole system."""

    requests_per_s: float
    tokens_per_s: float
    concurrency: int


class Organisation(typing.TypedDict, total=False):
    """One organisation; ``keys`` maps key names to entries."""

    keys: dict[str, KeyEntry]
    suspended: bool
    share: float
    limits: Limits


class EndpointEntry(typing.TypedDict, total=False):
    """Where one endpoint of a deployment is."""

    address: str
    port: int
    data_centre: str
    reclaimable: bool


class Weights(typing.TypedDict, total=False):
    """What a deployment weighs: cost against recomputed tokens, 0 to 1 each."""

    cost: float
    recomputed_tokens: float


class DeploymentEntry(typing.TypedDict, total=False):
    """
    One model or plain service.

    ``organisations`` lists who may use it, ``deadlines_s`` maps a class to its
    deadline in seconds, ``fenced`` says that its engines check fencing numbers.
    """

    kind: str
    model: str
    version: str
    adapters: list[str]
    endpoints: dict[str, EndpointEntry]
    organisations: list[str]
    fenced: bool
    weights: Weights
    deadlines_s: dict[str, float]


class Objective(typing.TypedDict, total=False):
    """A service-level objective: a share of requests of a class in a deadline."""

    service_class: str
    deadline_s: float
    share: float
    window_s: float


class Document(typing.TypedDict, total=False):
    """The whole configuration."""

    organisations: dict[str, Organisation]
    deployments: dict[str, DeploymentEntry]
    objectives: dict[str, Objective]
    operators: dict[str, KeyEntry]
    resume_keys: list[str]
    quarantine_s: float
    lifted: dict[str, float]


class View(typing.NamedTuple):
    """One accepted version and its document."""

    version: int
    document: Document
