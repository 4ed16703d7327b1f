"""Gives each scenario an event loop of its own."""

import asyncio


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()


def after_scenario(context, scenario):
    context.runner.close()
