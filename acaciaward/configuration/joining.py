"""
How an entry without a usable state gets one.

A peer's state comes first, since it costs the log nothing; the records after it
follow from the log. Without a peer the log decides: all records from the first
one on, or the newest usable snapshot and the records after it.
"""

import asyncio
import typing

from acaciaward import errors
from acaciaward.configuration import messages, peering, replay, snapshots
from acaciaward.provider import interfaces as provider_interfaces

PEERS_WAIT_S = 1.0
PEERS_POLL_S = 0.05


class Joined(typing.NamedTuple):
    """
    A state to go on from.

    ``confirmed_at`` is when the log confirmed it, in the loop's seconds, or
    None if a peer gave it; ``log_time`` is the log's clock then.
    """

    replay: replay.Replay
    renewal: snapshots.RenewalClock
    source: str
    confirmed_at: float | None = None
    log_time: float = 0.0


async def join(
    platform_log: provider_interfaces.Log,
    stream: str,
    peers: peering.PeerSide | None,
    *,
    oldest: replay.Replay,
    renewal: snapshots.RenewalClock,
) -> Joined:
    """
    Return a state that is not older than ``oldest`` nor than any peer's report.

    Raises ``PlatformError`` or ``PeerUnreachableError`` when there is none yet.
    """
    if peers is not None:
        joined = await _join_by_peer(peers, oldest, renewal)
        if joined is not None:
            return joined
    return await _join_by_log(platform_log, stream, oldest, renewal)


async def _join_by_peer(
    peers: peering.PeerSide, oldest: replay.Replay, renewal: snapshots.RenewalClock
) -> Joined | None:
    loop = asyncio.get_running_loop()
    deadline = loop.time() + PEERS_WAIT_S
    while not peers.has_peers and loop.time() < deadline:
        await asyncio.sleep(PEERS_POLL_S)
    for answer in await peers.fetch_states():
        is_newer = answer["next_offset"] > oldest.next_offset
        if not is_newer or answer["version"] < peers.newest_reported:
            continue
        try:
            found = _replay_of(answer)
        except snapshots.SnapshotError:
            continue
        renewal.take_over(answer["covered"], answer["snapshot_age_s"])
        return Joined(found, renewal, "peer")
    return None


def _replay_of(answer: messages.StateAnswer) -> replay.Replay:
    state = snapshots.unpack(
        snapshots.Packed(answer["state"], answer["digest"]),
        rules=answer["rules"],
        version=answer["version"],
    )
    return replay.Replay(state, answer["next_offset"])


async def _join_by_log(
    platform_log: provider_interfaces.Log,
    stream: str,
    oldest: replay.Replay,
    renewal: snapshots.RenewalClock,
) -> Joined:
    asked = asyncio.get_running_loop().time()
    try:
        page = await platform_log.read(stream, 0)
    except errors.RecordsExpiredError as error:
        page = await platform_log.read(stream, error.first_offset)
    found = list(page.records)
    first_offset = page.records[0].offset if page.records else page.next_offset
    while page.records and page.records[-1].offset + 1 < page.next_offset:
        asked = asyncio.get_running_loop().time()
        page = await platform_log.read(stream, page.records[-1].offset + 1)
        found += page.records
    begun = _begin(found, first_offset)
    for record in found:
        renewal.note(record)
        begun.apply(record)
    if begun.next_offset < oldest.next_offset:
        raise errors.PlatformUnknownError("the log holds less than this entry")
    return Joined(begun, renewal, "log", asked, page.time)


def _begin(
    found: list[provider_interfaces.LogRecord], first_offset: int
) -> replay.Replay:
    if first_offset == 0:
        return replay.Replay()
    begun = snapshots.newest_usable(found, first_offset)
    if begun is None:
        raise errors.PlatformUnknownError("the log holds no usable snapshot")
    return begun
