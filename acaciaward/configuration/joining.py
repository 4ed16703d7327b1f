"""
Obtains the replayed state for an entry that has no usable one.

A peer's state is preferred, since fetching it puts no load on the log; the
records after it are replayed later. Without a peer the state comes from the log:
from all records, or from the newest usable snapshot and the records after it.
"""

import asyncio
import typing

from acaciaward import errors
from acaciaward.configuration import messages, peering, replay, snapshots
from acaciaward.provider import interfaces as provider_interfaces

PEER_DISCOVERY_TIMEOUT_S = 1.0
PEER_DISCOVERY_POLL_S = 0.05


class JoinResult(typing.NamedTuple):
    """
    A state from which to continue the replay.

    ``confirmed_at`` is when the log confirmed it, as event loop time in seconds,
    or None if it comes from a peer; ``log_time`` is the log's clock then.
    """

    replay: replay.Replay
    renewal: snapshots.RenewalSchedule
    source: str
    confirmed_at: float | None = None
    log_time: float = 0.0


async def join(
    platform_log: provider_interfaces.Log,
    stream: str,
    peers: peering.ConfigurationPeers | None,
    *,
    oldest: replay.Replay,
    renewal: snapshots.RenewalSchedule,
) -> JoinResult:
    """
    Return a state not older than ``oldest`` or than any version a peer reports.

    Raises ``PlatformError`` or ``PeerUnreachableError`` if none is available yet.
    """
    if peers is not None:
        joined = await _join_by_peer(peers, oldest, renewal)
        if joined is not None:
            return joined
    return await _join_by_log(platform_log, stream, oldest, renewal)


async def _join_by_peer(
    peers: peering.ConfigurationPeers,
    oldest: replay.Replay,
    renewal: snapshots.RenewalSchedule,
) -> JoinResult | None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + PEER_DISCOVERY_TIMEOUT_S
    while not peers.has_peers and loop.time() < deadline:
        await asyncio.sleep(PEER_DISCOVERY_POLL_S)
    for answer in await peers.fetch_states():
        has_more_records = answer["next_offset"] > oldest.next_offset
        if not has_more_records or answer["version"] < peers.newest_reported_version:
            continue
        try:
            replayed = _replay_from_answer(answer)
        except snapshots.SnapshotError:
            continue
        renewal.start_from_peer(answer["covered"], answer["snapshot_age_s"])
        return JoinResult(replayed, renewal, "peer")
    return None


def _replay_from_answer(answer: messages.StateAnswer) -> replay.Replay:
    state = snapshots.unpack(
        snapshots.PackedState(answer["state"], answer["digest"]),
        rules=answer["rules"],
        version=answer["version"],
    )
    return replay.Replay(state, answer["next_offset"])


async def _join_by_log(
    platform_log: provider_interfaces.Log,
    stream: str,
    oldest: replay.Replay,
    renewal: snapshots.RenewalSchedule,
) -> JoinResult:
    asked_at = asyncio.get_running_loop().time()
    try:
        page = await platform_log.read(stream, 0)
    except errors.RecordsExpiredError as error:
        page = await platform_log.read(stream, error.first_offset)
    log_records = list(page.records)
    first_offset = page.records[0].offset if page.records else page.next_offset
    while page.records and page.records[-1].offset + 1 < page.next_offset:
        asked_at = asyncio.get_running_loop().time()
        page = await platform_log.read(stream, page.records[-1].offset + 1)
        log_records += page.records
    replayed = _initial_replay(log_records, first_offset)
    for record in log_records:
        renewal.observe(record)
        replayed.apply(record)
    if replayed.next_offset < oldest.next_offset:
        raise errors.PlatformUnknownError(
            "the log ends before the records that this entry has replayed"
        )
    return JoinResult(replayed, renewal, "log", asked_at, page.time)


def _initial_replay(
    log_records: list[provider_interfaces.LogRecord], first_offset: int
) -> replay.Replay:
    if first_offset == 0:
        return replay.Replay()
    replayed = snapshots.load_newest_usable(log_records, first_offset)
    if replayed is None:
        raise errors.PlatformUnknownError("the log holds no usable snapshot")
    return replayed
