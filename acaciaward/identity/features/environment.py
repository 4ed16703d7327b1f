"""Gives each scenario an event loop and a scratch folder, and stops what it started."""

import asyncio
import pathlib
import tempfile


def before_scenario(context, scenario):
    context.runner = asyncio.Runner()
    context.temporary_folder = tempfile.TemporaryDirectory()
    context.folder = pathlib.Path(context.temporary_folder.name)
    context.closers = []


def after_scenario(context, scenario):
    for close in reversed(context.closers):
        context.runner.run(close())
    context.runner.close()
    context.temporary_folder.cleanup()
