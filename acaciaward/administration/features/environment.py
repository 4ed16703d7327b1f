"""Gives each feature one event loop, and stops its world at the end."""

import asyncio


def before_feature(context, feature):
    context.runner = asyncio.Runner()


def after_feature(context, feature):
    if getattr(context, "world", None) is not None:
        context.runner.run(context.world.stop())
    context.runner.close()
