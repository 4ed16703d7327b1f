"""Gives each scenario an event loop and a scratch folder, and stops its entry."""

import asyncio
import pathlib
import tempfile


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()
    context.scratch = tempfile.TemporaryDirectory()
    context.folder = pathlib.Path(context.scratch.name)
    context.closers = []


def after_scenario(context, scenario):
    for close in reversed(context.closers):
        context.runner.run(close())
    context.runner.close()
    context.scratch.cleanup()
