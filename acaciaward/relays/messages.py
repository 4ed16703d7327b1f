"""Messages between an entry and the reader of its data centre, and among readers."""

import typing

from acaciaward.quarantine import suspects


class EndpointFields(typing.TypedDict):
    """One endpoint; see ``catalogue.endpoints.Endpoint`` for the meanings."""

    name: str
    born: int
    service: str
    address: str
    port: int
    data_centre: str
    slots: int
    state: str
    cold_s: float
    is_reclaimable: bool
    leaves_s: float | None


class Figures(typing.TypedDict):
    """
    What is told of one entry, or as sums over several.

    ``use`` holds units of each organisation's quota, ``load`` requests and unread
    tokens at each endpoint, ``demand`` what callers ask of each service (see
    ``routing.demand.Wanted``), ``crashes`` the requests under which endpoints broke
    off.
    """

    use: dict[str, float]
    load: dict[str, tuple[float, float]]
    demand: dict[str, tuple[float, ...]]
    crashes: suspects.Told


class Report(Figures):
    """
    What an entry tells its reader.

    ``start`` names the entry's start and ``uptime_s`` says how long ago that was; its
    use counts since then. ``windows`` are its usage counts, ``now`` its Unix time.
    """

    sender: str
    start: str
    uptime_s: float
    now: float
    windows: dict[int, dict[str, int]]


class Summary(Figures):
    """What the reader of one data centre tells the others: sums over its entries."""

    sender: str
    uptime_s: float
    data_centre: str
    heard: int


class Relay(Figures):
    """
    What a reader tells one entry.

    ``start`` is that of the reader, whose sums begin with it; ``age_s`` is how long
    ago it read the endpoints. ``use`` and ``load`` are those of all other entries,
    ``heard`` counts the entries behind it. ``version`` is the configuration in force
    at the reader; ``endpoints`` and ``removed`` are changes since its last relay,
    ``lapsed`` names the endpoints whose removal it holds back, and ``digest`` is that
    of all endpoints it knows. ``levels`` are those of its quotas, for entries that
    have just started.
    """

    sender: str
    start: str
    uptime_s: float
    age_s: float
    heard: int
    now: float
    version: int
    endpoints: list[EndpointFields]
    removed: list[str]
    lapsed: list[str]
    digest: int
    levels: dict[str, float]


KINDS: dict[str, type] = {"report": Report, "summary": Summary, "relay": Relay}
