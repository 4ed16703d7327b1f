"""Load and experiments: `python -m bench NAME --seed N --json`."""
