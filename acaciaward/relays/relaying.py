"""
Sends reports to the reader of a data centre, and relays from the reader to its entries.

The reader reads the platform's store for the other entries and sums their reports. An
entry that has received no relay for a while reads the store itself and assumes that
it is alone.
"""

import asyncio
import logging
import math
import time
import zlib
from collections import abc

from acaciaward import decoding
from acaciaward.catalogue import endpoints
from acaciaward.membership import (
    gossip,
    interfaces as membership_interfaces,
    rendezvous,
)
from acaciaward.observability import logs
from acaciaward.relays import (
    aggregation,
    excerpts,
    interfaces,
    messages,
    raterelays,
    readerconfiguration,
    relaydelay,
    relaysizes,
)

log = logging.getLogger(__name__)

State = membership_interfaces.PeerState
LIVE_STATES = frozenset({State.LIVE, State.JOINING, State.LEAVING})
STATE_NAMES = frozenset(state.value for state in endpoints.EndpointState)
MAX_LOGGED_CHARACTERS = 80

# Interval at which entries report and readers relay. A reader's network link may carry
# only 5 Mbit/s, shared with callers; relaybytes.feature bounds what relays take of it.
TICK_INTERVAL_S = 0.25
# An entry reads the store itself if the reader read it longer ago than this: all
# entries must know of a leaving endpoint or a configuration in less than two seconds.
# In calm, what the reader has read is at most ``store.wait_s`` (0.6 s) and a round trip
# to the store old, and a tick older at its entries: 1.1 s at a round trip of 0.25 s.
MAX_STORE_AGE_S = readerconfiguration.MAX_AGE_S
# Without a relay for this long, an entry counts itself only.
RELAY_TIMEOUT_S = 1.2
# A suspect peer remains the reader while its last relay is newer than this.
SUSPECT_RELAY_AGE_S = 0.6
# Of levels from this on, an entry that starts can do without the part of a unit.
MIN_ROUNDED_LEVEL = 1000.0
# After this many consecutive relays with a different digest, an entry reads the store.
MAX_DIGEST_MISMATCHES = 3


class Relaying:
    """Reports to the reader of the data centre, or acts as the reader when chosen."""

    def __init__(
        self,
        membership: gossip.GossipMembership,
        directory: endpoints.Directory,
        state_exchange: interfaces.StateExchange,
        *,
        process_run: str,
        data_centre: str,
        store_read_at: abc.Callable[[], float],
        configuration_read_at: abc.Callable[[], float],
        configuration_version: abc.Callable[[], int],
    ):
        self._membership = membership
        self._directory = directory
        self._state_exchange = state_exchange
        self._process_run = process_run
        self._started_at = time.monotonic()
        self._data_centre = data_centre
        self._get_store_read_at = store_read_at
        self._get_configuration_read_at = configuration_read_at
        self._configuration_version = configuration_version
        self._aggregator = aggregation.Aggregator(time.monotonic)
        self._rate_relays = raterelays.RateRelays(time.monotonic)
        self._relay_delay = relaydelay.RelayDelay(time.monotonic)
        self._sizes = relaysizes.RelaySizes()
        self._report_excerpts = excerpts.Excerpts()
        self._relay_excerpts = excerpts.Excerpts()
        self._changed: dict[str, endpoints.Endpoint | None] = {}
        self._last_relay_at = -math.inf
        self._store_read_at = -math.inf
        self._reader_configuration = readerconfiguration.ReaderConfiguration(
            configuration_version
        )
        self._mismatches = 0
        self._entry_count = 1
        self._reader = ""
        directory.subscribe(self._record_change)
        membership.handle("report", self._receive_report)
        membership.handle("summary", self._receive_summary)
        membership.handle("relay", self._receive_relay)

    @property
    def entry_count(self) -> int:
        """The number of entries behind the newest sums, including this one."""
        is_fresh = time.monotonic() - self._last_relay_at < RELAY_TIMEOUT_S
        return max(1, self._entry_count) if is_fresh else 1

    @property
    def store_read_at(self) -> float:
        """The monotonic time at which the reader last read the endpoints."""
        return self._store_read_at

    @property
    def configuration_read_at(self) -> float:
        """The monotonic time at which the reader last read the configuration."""
        return self._reader_configuration.read_at

    @property
    def is_behind(self) -> bool:
        """Whether the digests of relays show that this entry has missed changes."""
        return self._mismatches >= MAX_DIGEST_MISMATCHES

    @property
    def is_relayed(self) -> bool:
        """Whether another entry currently reads the endpoints for this one."""
        is_reader = self._reader in ("", self._membership.name)
        is_fresh = time.monotonic() - self._store_read_at < MAX_STORE_AGE_S
        return not is_reader and is_fresh and not self.is_behind

    @property
    def is_configuration_relayed(self) -> bool:
        """Whether this entry gets configurations from others without reading them."""
        # The reader may read the endpoints while its call for the configuration hangs.
        return self.is_relayed and self._reader_configuration.is_relied_on

    def reports(self) -> dict[str, messages.Report]:
        """Return the last report of each entry; empty unless this is the reader."""
        if self._reader != self._membership.name:
            return {}
        return self._aggregator.reports()

    async def run(self) -> None:
        """Report or relay periodically until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def tick(self) -> None:
        """Send a report to the reader, or relays if this entry is the reader."""
        self._sizes.record_tick()
        self._choose_reader()
        own_state = self._state_exchange.collect_state()
        report = self._rate_relays.thin(self._make_report(own_state))
        if self._reader == self._membership.name:
            self._add_report(report)
            self._send_relays(own_state)
        else:
            # The reader's own report is whole, so it knows what others leave out.
            self._membership.notify(
                self._reader, "report", self._report_excerpts.abridge(report)
            )

    def _choose_reader(self) -> None:
        names = {
            peer.name
            for peer in self._membership.peers()
            if peer.data_centre == self._data_centre and self._may_read(peer)
        } | {self._membership.name}
        (reader,) = rendezvous.choose("reader", names, 1)
        if reader != self._reader:
            log.info("reader chosen", extra=logs.fields(reader=reader, of=len(names)))
            self._reader = reader
            self._report_excerpts = excerpts.Excerpts()
            self._relay_excerpts = excerpts.Excerpts()

    def _may_read(self, peer: membership_interfaces.Peer) -> bool:
        # Relays show that a suspect reader works. Another reader would know no reports
        # at first, so that all entries would admit little for a moment.
        is_relaying = (
            peer.name == self._reader
            and time.monotonic() - self._last_relay_at < SUSPECT_RELAY_AGE_S
        )
        return peer.state in LIVE_STATES or (
            peer.state is State.SUSPECT and is_relaying
        )

    def _readers_elsewhere(self) -> set[str]:
        """Return the other data centres' readers; a suspect one and its successor."""
        return {
            rendezvous.choose("reader", names, 1)[0]
            for states in (LIVE_STATES, LIVE_STATES | {State.SUSPECT})
            for data_centre, names in self._names_by_data_centre(states).items()
            if data_centre != self._data_centre
        }

    def _names_by_data_centre(
        self, states: abc.Container[State]
    ) -> dict[str, list[str]]:
        names: dict[str, list[str]] = {}
        for peer in self._membership.peers():
            if peer.state in states:
                names.setdefault(peer.data_centre, []).append(peer.name)
        return names

    def _make_report(self, own_state: interfaces.LocalState) -> messages.Report:
        fields = aggregation.without_missing(own_state)
        del fields["levels"]
        return {
            "sender": self._membership.name,
            "start": self._process_run,
            "uptime_s": self._uptime_s,
            **fields,
        }

    @property
    def _uptime_s(self) -> float:
        return time.monotonic() - self._started_at

    def _send_relays(self, own_state: interfaces.LocalState) -> None:
        summary = self._aggregator.summary()
        own_summary: messages.Summary = {
            "sender": self._process_run,
            "uptime_s": self._uptime_s,
            "data_centre": self._data_centre,
            **aggregation.without_missing(summary),
            **self._aggregator.clocks()._asdict(),
            **(self._rate_relays.summary() if self._rate_relays.is_due else {}),
        }
        for reader in self._readers_elsewhere():
            self._membership.notify(reader, "summary", own_summary)
        changes = self._collect_changes()
        digest = self._digest()
        names = self._names_by_data_centre(LIVE_STATES).get(self._data_centre, [])
        started = self._aggregator.recently_started()
        majority_time = self._aggregator.majority_time()
        excerpt = None
        speeds = self._summarize_rates()
        for name, sums in self._aggregator.sums_for_each(names).items():
            relay = self._make_relay(sums, changes, digest, own_state, majority_time)
            relay |= speeds
            if name == self._membership.name:
                self._apply_relay(relay)
                continue
            # Crashes are the same for all entries.
            if excerpt is None:
                excerpt = self._relay_excerpts.abridge(relay)
            if name not in started:
                relay |= {"crashes": excerpt["crashes"], "parts": excerpt["parts"]}
            self._membership.notify(name, "relay", relay)
            self._sizes.record(relay)

    def _summarize_rates(self) -> dict[str, abc.Mapping]:
        """Return the fields of relays that tell of the speed of endpoints, if due."""
        if not self._rate_relays.is_due:
            return {}
        others = self._rate_relays.sums_excluding(self._membership.name)
        return self._state_exchange.summarize_rates(others)._asdict()

    def _collect_changes(self) -> tuple[list[messages.EndpointFields], list[str]]:
        changed, self._changed = self._changed, {}
        present = [
            _to_fields(self._directory.as_listed(endpoint))
            for endpoint in changed.values()
            if endpoint is not None
        ]
        removed = [name for name, endpoint in changed.items() if endpoint is None]
        return present, removed

    def _make_relay(
        self,
        sums: aggregation.Sums,
        changes: tuple[list[messages.EndpointFields], list[str]],
        digest: int,
        own_state: interfaces.LocalState,
        majority_time: float | None,
    ) -> messages.Relay:
        return {
            "sender": self._membership.name,
            "start": self._process_run,
            "uptime_s": self._uptime_s,
            "age_s": time.monotonic() - self._get_store_read_at(),
            "configuration_age_s": (
                time.monotonic() - self._get_configuration_read_at()
            ),
            "now": own_state.now if majority_time is None else majority_time,
            "has_majority": majority_time is not None,
            "version": self._configuration_version(),
            "endpoints": changes[0],
            "removed": changes[1],
            "lapsed": self._directory.deferred_removals,
            "digest": digest,
            "levels": _rounded_down(own_state.levels),
            **aggregation.without_missing(sums),
            "load": _rounded(sums.load),
        }

    async def _receive_report(self, sender: str, report: messages.Report) -> None:
        self._add_report(report)

    def _add_report(self, report: messages.Report) -> None:
        self._aggregator.receive_report(report)
        self._rate_relays.receive_report(report)

    async def _receive_summary(self, sender: str, summary: messages.Summary) -> None:
        self._aggregator.receive_summary(summary)
        self._rate_relays.receive_summary(summary)

    async def _receive_relay(self, sender: str, relay: messages.Relay) -> None:
        if relay["sender"] != self._reader:
            return
        silent_s = time.monotonic() - self._last_relay_at
        if RELAY_TIMEOUT_S < silent_s < math.inf:
            log.info(
                "relays resumed",
                extra=logs.fields(reader=sender, silent_s=round(silent_s, 2)),
            )
        if relay["age_s"] < MAX_STORE_AGE_S:
            self._apply_endpoint_changes(relay)
        self._apply_relay(relay)

    def _apply_endpoint_changes(self, relay: messages.Relay) -> None:
        for fields in relay["endpoints"]:
            endpoint = _from_fields(fields)
            if endpoint is not None:
                self._directory.update(endpoint)
        for name in relay["removed"]:
            self._directory.remove_now(name, "its reader says so")
        self._directory.defer_removals(relay["lapsed"])
        is_equal = relay["digest"] == self._digest()
        self._mismatches = 0 if is_equal else self._mismatches + 1
        if is_equal:
            # With another digest, changes were missed.
            self._directory.record_read(time.monotonic() - relay["age_s"])

    def _digest(self) -> int:
        # What endpoints say in answers reaches the entries at different times.
        listed = map(self._directory.as_listed, self._directory.all())
        return endpoints_digest(listed)

    def _apply_relay(self, relay: messages.Relay) -> None:
        self._last_relay_at = time.monotonic()
        self._store_read_at = self._last_relay_at - relay["age_s"]
        delay_s = self._relay_delay.record(relay["start"], relay["uptime_s"])
        age_s = relay.get("configuration_age_s", relay["age_s"])
        self._reader_configuration.receive(relay["version"], age_s + delay_s)
        self._entry_count = relay["heard"]
        sums = aggregation.Sums(
            **{
                field: relay[field]
                for field in aggregation.Sums._fields
                if field in relay
            }
        )
        is_recent_start = relay["uptime_s"] < aggregation.RECENT_START_S
        self._state_exchange.receive_state(
            interfaces.RelayedState(
                relay["start"],
                is_recent_start,
                sums,
                relay["levels"],
                raterelays.speeds_of(relay),
            )
        )
        # A reader that has just started hears few clocks, and its own may be wrong.
        if relay.get("has_majority", True):
            self._state_exchange.receive_time(relay["now"])
        self._state_exchange.receive_version(relay["version"])

    def record_store_read(self) -> None:
        """Reset the digest mismatches after this entry has read the store itself."""
        self._mismatches = 0

    def _record_change(
        self, before: endpoints.Endpoint | None, after: endpoints.Endpoint | None
    ) -> None:
        name = after.name if after is not None else before.name
        self._changed[name] = after


def endpoints_digest(known: abc.Iterable[endpoints.Endpoint]) -> int:
    """Return a checksum of the endpoints and their states, in any order."""
    combined = 0
    for endpoint in known:
        identity = (
            endpoint.name,
            endpoint.born,
            endpoint.state.value,
            endpoint.address,
            endpoint.port,
        )
        combined ^= zlib.crc32(repr(identity).encode())
    return combined


def _rounded(load: abc.Mapping[str, tuple[float, float]]) -> dict[str, tuple[int, int]]:
    """Return loads as integers, which are encoded in a few bytes."""
    return {
        name: (round(requests), round(tokens))
        for name, (requests, tokens) in load.items()
        if math.isfinite(requests) and math.isfinite(tokens)
    }


def _rounded_down(levels: abc.Mapping[str, float]) -> dict[str, float]:
    """Return large levels as integers, which are encoded in a third of the bytes."""
    return {
        name: math.floor(level) if MIN_ROUNDED_LEVEL <= level < math.inf else level
        for name, level in levels.items()
    }


def _to_fields(endpoint: endpoints.Endpoint) -> messages.EndpointFields:
    return {**endpoint._asdict(), "state": endpoint.state.value}


def _from_fields(fields: messages.EndpointFields) -> endpoints.Endpoint | None:
    """
    Return an endpoint that a reader relays, None if a value is out of range.

    A reader of an older build checks less of a record than this one.
    """
    numbers = (fields["born"], fields["port"], fields["slots"], fields["cold_s"])
    names = (fields["name"], fields["service"], fields["data_centre"])
    is_valid = (
        fields["state"] in STATE_NAMES
        and all(map(decoding.is_in_range, numbers))
        and all(map(decoding.is_name, names))
    )
    if not is_valid:
        log.warning(
            "relayed endpoint is invalid",
            extra=logs.fields(endpoint=fields["name"][:MAX_LOGGED_CHARACTERS]),
        )
        return None
    state = endpoints.EndpointState(fields["state"])
    return endpoints.Endpoint(**{**fields, "state": state})
