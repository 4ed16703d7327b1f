"""Starts the command line: ``python -m acaciaward``."""

# Imports nothing that takes long: a signal before ``prepare_signals`` ends the process.
import os
import signal
import sys

# Commands that run until they are stopped and reload their settings on SIGHUP.
SERVER_COMMANDS = ("entry", "gateway")
# With it, a server command only prints its settings.
CHECK_OPTION = "--check"


def prepare_signals() -> None:
    """Ignore SIGHUP and end with 0 on SIGTERM, until the command handles both."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # An exception could be caught by a module that is being imported.
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))


def main() -> None:
    """Run the command line and exit with its code."""
    arguments = sys.argv[1:]
    is_server = arguments[:1] and arguments[0] in SERVER_COMMANDS
    if is_server and CHECK_OPTION not in arguments:
        prepare_signals()
    # Not at the top of the module: this import takes most of the start-up time.
    from acaciaward.cli import main as cli_main

    cli_main.run()


if __name__ == "__main__":
    main()
