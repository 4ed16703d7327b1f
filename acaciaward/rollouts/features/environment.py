"""Gives each scenario an event loop, and stops the scenario's stand-ins after it."""

import asyncio


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()
    context.standins = []


def after_scenario(context, scenario):
    for standin in context.standins:
        context.runner.run(standin.stop())
    context.runner.close()
