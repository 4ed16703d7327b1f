"""Gives each feature one event loop and stops its demonstration system at the end."""

import asyncio


def before_feature(context, feature):
    context.runner = asyncio.Runner()


def after_feature(context, feature):
    if hasattr(feature, "world"):
        context.runner.run(feature.world.stop())
    context.runner.close()
