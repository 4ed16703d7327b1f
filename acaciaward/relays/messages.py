"""
Messages between entries and the reader of their data centre, and among readers.

The reader is the one entry of a data centre that reads the platform's store for the
others. Entries send it reports, readers send each other summaries, and a reader sends
its entries relays.
"""

import typing

from acaciaward.quarantine import crashreports, partreports
from acaciaward.rollouts import messages as rollout_messages


class EndpointFields(typing.TypedDict):
    """
    One endpoint; ``catalogue.endpoints.Endpoint`` documents the fields.

    ``version`` is missing in messages of older builds.
    """

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
    version: typing.NotRequired[str]


class Figures(typing.TypedDict):
    """
    The figures of one entry, or sums over several.

    ``use`` holds the units used of each organisation's quota, ``load`` the requests and
    the prompt tokens not yet prefilled at each endpoint, ``demand`` what callers
    request of each service (see ``routing.demand.ServiceDemand``), and ``crashes`` the
    requests during which endpoints crashed. ``limits`` holds what endpoints take in
    requests a second from all entries, None for a limit that was lifted, and the age of
    that in seconds; ``parts`` holds the parts of prompts under which endpoints crashed.
    ``leaving`` names the endpoints, with their starts, that said in answers that they
    leave, and ``brittle`` holds how many requests brittle endpoints bear to turn away
    in a second, None for one that isn't brittle any more, and the age of that. These
    four are missing in messages of older builds. ``rollouts`` is what is known of
    roll-outs, in a relay over all entries; it is missing without an order.
    """

    use: dict[str, float]
    load: dict[str, tuple[float, float]]
    demand: dict[str, tuple[float, ...]]
    crashes: crashreports.CrashReport
    limits: typing.NotRequired[dict[str, tuple[float | None, float]]]
    parts: typing.NotRequired[partreports.Report]
    leaving: typing.NotRequired[list[tuple[str, int]]]
    brittle: typing.NotRequired[dict[str, tuple[float | None, float]]]
    rollouts: typing.NotRequired[rollout_messages.News]


class Report(Figures):
    """
    What an entry reports to its reader.

    ``start`` identifies the entry's current run, which began ``uptime_s`` ago; ``use``
    counts from then. ``windows`` are its usage counts by window, ``now`` its Unix time.
    ``rates`` holds the sums of ``routing.ratesums`` by endpoint, ``prefill_rates`` the
    histograms of ``routing.prefillrates`` by service. Most reports leave both out, and
    those of older builds always.
    """

    sender: str
    start: str
    uptime_s: float
    now: float
    windows: dict[int, dict[str, int]]
    rates: typing.NotRequired[dict[int, tuple[float, ...]]]
    prefill_rates: typing.NotRequired[dict[str, tuple[float, ...]]]


class Summary(Figures):
    """
    What a reader sends other data centres' readers: the sums over its entries.

    ``now`` is the median Unix time of its entries, whose number is ``clock_count``;
    both are missing in messages of older builds. ``rates`` and ``prefill_rates`` are
    those of reports, in some of the summaries.
    """

    sender: str
    uptime_s: float
    data_centre: str
    heard: int
    now: typing.NotRequired[float]
    clock_count: typing.NotRequired[int]
    rates: typing.NotRequired[dict[int, tuple[float, ...]]]
    prefill_rates: typing.NotRequired[dict[str, tuple[float, ...]]]


class Relay(Figures):
    """
    What a reader sends to one entry of its data centre.

    ``start`` identifies the reader's current run, at whose start its sums begin;
    ``age_s`` is the time since it read the endpoints, ``configuration_age_s`` since it
    read the configuration, missing in relays of older builds. ``use`` and ``load`` are
    those of all other entries, and ``heard`` counts the entries that the sums are based
    on. ``now`` is its Unix time, that of a majority of entries if ``has_majority``,
    which is missing in relays of older builds. ``version`` is that of the configuration
    in force at the reader. ``endpoints`` and ``removed`` are the changes since its last
    relay, ``lapsed`` names the endpoints whose removal it defers, and ``digest`` is
    that of all endpoints it knows.
    ``levels`` are the levels of its quotas, for entries that have just started.
    ``speeds`` holds the logarithms in hundredths of how many times as long endpoints
    take that differ from others, and ``prefill_tokens_per_s`` the typical rate at which
    a service's engines read prompts; most relays leave both out, and those of older
    builds always.
    """

    sender: str
    start: str
    uptime_s: float
    age_s: float
    configuration_age_s: typing.NotRequired[float]
    heard: int
    now: float
    has_majority: typing.NotRequired[bool]
    version: int
    endpoints: list[EndpointFields]
    removed: list[str]
    lapsed: list[str]
    digest: int
    levels: dict[str, float]
    speeds: typing.NotRequired[dict[int, float]]
    prefill_tokens_per_s: typing.NotRequired[dict[str, float]]


MESSAGE_TYPES: dict[str, type] = {"report": Report, "summary": Summary, "relay": Relay}
