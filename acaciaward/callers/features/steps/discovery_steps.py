"""Steps for discovery."""

import collections
import random

from behave import given, then, when

from acaciaward.callers import discovery
from acaciaward.membership import interfaces

LIFETIME_S = 7.0
SEED = 5


class _Entries:
    """Membership with fixed entries."""

    def __init__(self, states):
        self._states = states

    def peers(self):
        return [
            interfaces.Peer(name, "127.0.0.1", 1, 2, data_centre, "here", 1, state, 1)
            for name, data_centre, state in self._states
        ]


@given("entries in two data centres, one of which leaves and one is dead")
def make_entries(context):
    live = interfaces.PeerState.LIVE
    context.entries = _Entries(
        [(f"near-{number}", "dc-2", live) for number in range(3)]
        + [(f"far-{number}", "dc-1", live) for number in range(3)]
        + [("leaving", "dc-2", interfaces.PeerState.LEAVING)]
        + [("dead", "dc-2", interfaces.PeerState.DEAD)]
    )


@when('{count:d} callers of "{data_centre}" ask which entries to use')
def ask(context, count, data_centre):
    entry_discovery = discovery.Discovery(
        context.entries, lifetime_s=LIFETIME_S, rng=random.Random(SEED)
    )
    context.answers = [entry_discovery.answer(data_centre) for _ in range(count)]


@then("no answer names an entry that leaves or is dead")
def check_live(context):
    named = {e["name"] for answer in context.answers for e in answer["entries"]}
    assert named == {"near-0", "near-1", "near-2", "far-0", "far-1", "far-2"}, named


@then('each answer names the entries of "{data_centre}" first and states its lifetime')
def check_near(context, data_centre):
    for answer in context.answers:
        data_centres = [entry["data_centre"] for entry in answer["entries"]]
        assert data_centres[:3] == [data_centre] * 3, data_centres
        assert answer["lifetime_s"] == LIFETIME_S


@then('every live entry of "{data_centre}" comes first in at least {least:d} answers')
def check_spread(context, data_centre, least):
    counts = collections.Counter(a["entries"][0]["name"] for a in context.answers)
    assert len(counts) == 3, counts
    assert min(counts.values()) >= least, counts
