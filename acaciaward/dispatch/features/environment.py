"""Gives each scenario its own event loop and stops its cluster afterwards."""

import asyncio


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()
    context.cluster = None


def after_scenario(context, scenario):
    if context.cluster is not None:
        context.runner.run(context.cluster.stop())
    context.runner.close()
