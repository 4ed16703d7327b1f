"""The naive serving system that experiments are compared with."""
