"""Builds an entry's part in roll-outs: reading orders, following plans, the duty."""

from collections import abc

from acaciaward.catalogue import endpoints, storeview, topicfollower
from acaciaward.gateway import duties
from acaciaward.membership import (
    entrycount,
    interfaces as membership_interfaces,
)
from acaciaward.platform import rollouts as platform_rollouts, store, topics
from acaciaward.rollouts import decisions, duty, entryrollouts, orderreading
from acaciaward.settings import loader

State = membership_interfaces.PeerState
# Entries in these states may send requests. A suspect one may only be cut off.
FOLLOWING_STATES = frozenset({State.LIVE, State.LEAVING, State.SUSPECT})


def build_order_reader(
    platform_store: store.Store,
    rollouts: entryrollouts.EntryRollouts,
    unix_time: abc.Callable[[], float],
) -> topicfollower.Source:
    """Return the source of configurations, which also finds orders."""
    return orderreading.OrderReader(
        topics.KeyedTopic(platform_store, store.CONFIGURATION_TOPIC),
        platform_rollouts,
        rollouts,
        unix_time,
    )


def add_duty(
    rollouts: entryrollouts.EntryRollouts,
    entry_duties: duties.EntryDuties,
    settings: loader.Settings,
    platform_store: store.Store,
    membership: membership_interfaces.Membership,
    directory: endpoints.Directory,
    store_view: storeview.StoreView,
    *,
    known_entries: entrycount.EntryCount,
    is_reading: abc.Callable[[], bool],
) -> None:
    """Let the holder of the duties' lease follow orders."""

    def is_heard(reported: int) -> bool:
        peers = membership.peers()
        expected = sum(peer.state in FOLLOWING_STATES for peer in peers)
        # A holder that is cut off with a few others takes the rest for dead.
        return reported >= expected and 2 * reported > known_entries.count()

    lease = entry_duties.lease
    if lease is None:
        return
    bounds = settings["bounds"]
    entry_duties.tasks.append(
        duty.RolloutDuty(
            rollouts,
            lease,
            directory,
            topics.KeyedTopic(platform_store, platform_rollouts.PLANS_TOPIC),
            platform_rollouts.StatusWriter(platform_store),
            decisions.Bounds(bounds["exposure_share"], bounds["exposure_slack"]),
            is_heard=is_heard,
            is_reading=is_reading,
            is_listed=lambda: store_view.is_complete,
            unix_time=entry_duties.clock.now,
        ).run
    )
