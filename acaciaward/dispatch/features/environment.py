"""Gives each scenario its own event loop."""

import asyncio


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()


def after_scenario(context, scenario):
    context.runner.close()
