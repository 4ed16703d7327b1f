"""
The types of the configuration document, shared by every package.

The document is a JSON object with the fields of ``Document``. A view is immutable:
each new version creates a new view, so code asks for the current view at each use.
"""

import typing


class KeyEntry(typing.TypedDict, total=False):
    """A hashed API key: ``digest`` is the hexadecimal SHA-256 of salt and key."""

    salt: str
    digest: str
    role: str
    expires: float


class Limits(typing.TypedDict, total=False):
    """Limits of an organisation, summed over all entries."""

    requests_per_s: float
    tokens_per_s: float
    concurrency: int


class Organisation(typing.TypedDict, total=False):
    """One organisation; ``keys`` maps names of API keys to their hashes."""

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


class CostWeights(typing.TypedDict, total=False):
    """How a deployment weighs cost against recomputed tokens, from 0 to 1 each."""

    cost: float
    recomputed_tokens: float


class DeploymentEntry(typing.TypedDict, total=False):
    """
    One model or plain service.

    ``organisations`` lists who may use it, ``deadlines_s`` maps a service class to
    its deadline in seconds, ``fenced`` says that its engines refuse orders (to load or
    unload a model, or to change role) with an outdated fencing token.
    """

    kind: str
    model: str
    version: str
    adapters: list[str]
    endpoints: dict[str, EndpointEntry]
    organisations: list[str]
    fenced: bool
    weights: CostWeights
    deadlines_s: dict[str, float]


class Objective(typing.TypedDict, total=False):
    """
    A service-level objective for requests of one service class.

    The fraction ``share`` of them is to be answered within ``deadline_s``, measured
    over the last ``window_s`` seconds.
    """

    service_class: str
    deadline_s: float
    share: float
    window_s: float


class Document(typing.TypedDict, total=False):
    """
    The complete configuration.

    ``resume_keys`` sign resume tokens, ``quarantine_s`` is how long a request stays
    quarantined, and ``lifted`` maps digests of requests to the Unix time at which an
    operator lifted their quarantine.
    """

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
