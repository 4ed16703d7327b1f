"""Gives each scenario an event loop and stops its server at the end."""

import asyncio


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()
    context.server = None


def after_scenario(context, scenario):
    if context.server is not None:
        context.runner.run(context.server.stop())
    context.runner.close()
