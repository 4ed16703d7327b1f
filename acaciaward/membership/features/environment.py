"""Gives each scenario an event loop and ends its entries."""

import asyncio
import contextlib

from acaciaward.membership.features import virtualtime

# Scenarios of these features have no sockets, so their time can be virtual.
VIRTUAL_FEATURES = ("membership.feature", "contacts.feature")


def before_scenario(context, scenario):
    context.stack = contextlib.ExitStack()
    if scenario.filename.endswith(VIRTUAL_FEATURES):
        runner = virtualtime.virtual_runner()
    else:
        runner = asyncio.Runner()
    context.runner = context.stack.enter_context(runner)
    context.cluster = None
    context.transports = []


def after_scenario(context, scenario):
    if context.cluster is not None:
        context.runner.run(context.cluster.stop())
    for peer_transport in context.transports:
        context.runner.run(peer_transport.stop())
    context.stack.close()
