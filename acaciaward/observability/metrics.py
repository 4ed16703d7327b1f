"""Metrics that several slices share, and the text form of all of them."""

import prometheus_client

ANSWERS = prometheus_client.Counter(
    "acaciaward_answers_total", "Final answers to callers by their code", ["code"]
)


def exposition() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()
