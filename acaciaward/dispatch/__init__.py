"""Runs requests at endpoints: attempts, verdicts, retries and moves of streams."""
