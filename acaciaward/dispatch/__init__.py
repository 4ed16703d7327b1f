"""The life of one request: attempts, verdicts, retries and moves."""
