"""Defines metrics that several packages share, and exports all metrics."""

import prometheus_client

ANSWERS = prometheus_client.Counter(
    "acaciaward_answers_total", "Final answers to callers by their code", ["code"]
)
CONFIGURATION_CURRENT = prometheus_client.Gauge(
    "acaciaward_configuration_current",
    "Whether this entry can show that its configuration is current, 1 or 0",
)
ENTRIES = prometheus_client.Gauge(
    "acaciaward_entries", "Entries that this one knows, by state", ["state"]
)
INVALID_SIGNALS = prometheus_client.Counter(
    "acaciaward_invalid_signals_total",
    "Headers by which endpoints tell of themselves that can't be read, by header",
    ["header"],
)


def render() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()
