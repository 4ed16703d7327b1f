"""Starts the command line: ``python -m acaciaward``."""

from acaciaward.cli import main as cli_main


def main() -> None:
    """Run the command line and exit with its code."""
    cli_main.run()


if __name__ == "__main__":
    main()
