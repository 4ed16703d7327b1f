"""Gives scenarios with entries an event loop, and stops what they have started."""

import asyncio


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()
    context.world = context.traffic = context.began_at = None


def after_scenario(context, scenario):
    if context.traffic is not None:
        context.runner.run(context.traffic.stop())
    if context.world is not None:
        context.runner.run(context.world.stop())
    context.runner.close()
