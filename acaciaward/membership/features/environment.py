"""Gives each scenario an event loop and ends its entries."""

import asyncio


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()
    context.world = None
    context.transports = []


def after_scenario(context, scenario):
    if context.world is not None:
        context.runner.run(context.world.stop())
    for one in context.transports:
        context.runner.run(one.stop())
    context.runner.close()
