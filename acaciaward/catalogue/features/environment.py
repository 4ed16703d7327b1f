"""Gives each scenario its own event loop, and stops its entries afterwards."""

import asyncio


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()
    context.world = None


def after_scenario(context, scenario):
    if context.world is not None:
        context.runner.run(context.world.stop())
    context.runner.close()
