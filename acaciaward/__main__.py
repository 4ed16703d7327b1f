"""Starts the command line: ``python -m acaciaward``."""

import signal
import sys

# Commands that run until they are stopped, and read their settings again on SIGHUP.
SERVING = ("entry", "gateway")


def main() -> None:
    """Run the command line and exit with its code."""
    if sys.argv[1:2] and sys.argv[1] in SERVING:
        # A reload that comes while the modules are imported must not end the process;
        # the command sets its own handler later.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Not at the top: this import is most of a start.
    from acaciaward.cli import main as cli_main

    cli_main.run()


if __name__ == "__main__":
    main()
