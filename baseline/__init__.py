"""The naive serving system that experiments use as their baseline."""
