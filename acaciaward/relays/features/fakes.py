"""Entries whose messages are delivered immediately, without a network."""

import asyncio
import time
import types

import msgspec

from acaciaward.catalogue import endpoints
from acaciaward.membership import interfaces
from acaciaward.relays import interfaces as relay_interfaces, raterelays, relaying


class DirectMembership:
    """Delivers messages between two entries of one data centre immediately."""

    def __init__(self, name, members, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.handlers = {}
        self.members = members
        self.drops_messages = False
        self.suspects = set()
        self.sent_bytes = 0
        members[name] = self

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def notify(self, peer, kind, body):
        recipient = self.members[peer]
        encoded = msgspec.msgpack.encode(body)
        self.sent_bytes += len(encoded)
        if not recipient.drops_messages:
            copy = msgspec.msgpack.decode(encoded)
            asyncio.run(recipient.handlers[kind](self.name, copy))

    def peers(self):
        states = interfaces.PeerState
        return [
            types.SimpleNamespace(
                name=name,
                data_centre=member.data_centre,
                state=states.SUSPECT if name in self.suspects else states.LIVE,
            )
            for name, member in self.members.items()
        ]


class EntryUnderTest:
    """One entry with its directory and membership."""

    def __init__(self, name, members, clock, data_centre="dc"):
        self.age_s = 0.0
        self.directory = endpoints.Directory(clock)
        self.state = relay_interfaces.LocalState(
            1000.0, {}, {}, {}, {"crashes": {}, "cleared": []}, {}, {}
        )
        self.received = []
        # What it relays of endpoints as the reader.
        self.speeds = raterelays.Speeds({}, {})
        # The sums over all others that it got as the reader.
        self.summarized = []
        self.heard_speeds = 0
        # Times that the entry was told to be those of the majority.
        self.received_times = []
        state_exchange = types.SimpleNamespace(
            collect_state=lambda: self.state,
            summarize_rates=self.summarize_rates,
            receive_state=self.receive_state,
            receive_time=self.received_times.append,
            receive_version=lambda version: None,
        )
        self.membership = DirectMembership(name, members, data_centre)
        self.relaying = relaying.Relaying(
            self.membership,
            self.directory,
            state_exchange,
            process_run=f"{name}/1",
            data_centre=data_centre,
            store_read_at=lambda: time.monotonic() - self.age_s,
            configuration_read_at=lambda: time.monotonic() - self.age_s,
            configuration_version=lambda: 1,
        )

    def summarize_rates(self, others):
        self.summarized.append(others)
        return self.speeds

    def receive_state(self, state):
        self.received.append(state)
        self.heard_speeds += state.speeds is not None
