"""Gives each scenario its own event loop and stops its front afterwards."""

import asyncio

from acaciaward.gateway.features.steps import explaining_steps


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()
    context.front = context.group = None
    context.data = b""
    explaining_steps.listen(context)


def after_scenario(context, scenario):
    if context.group is not None:
        context.runner.run(context.group.stop())
    elif context.front is not None:
        context.runner.run(context.front.stop())
    context.runner.close()
