"""Starts the command line: ``python -m acaciaward``."""

import signal
import sys

# Commands that run until they are stopped and reload their settings on SIGHUP.
SERVER_COMMANDS = ("entry", "gateway")


def main() -> None:
    """Run the command line and exit with its code."""
    if sys.argv[1:2] and sys.argv[1] in SERVER_COMMANDS:
        # A SIGHUP that arrives while modules are imported must not end the process;
        # the command installs its own handler later.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Not at the top of the module: this import takes most of the start-up time.
    from acaciaward.cli import main as cli_main

    cli_main.run()


if __name__ == "__main__":
    main()
