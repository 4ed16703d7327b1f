"""Defines all metrics of the gateway; the reference page is generated from here."""

import prometheus_client

REQUESTS = prometheus_client.Counter(
    "acaciaward_gateway_requests_total",
    "Requests by kind and outcome",
    ["kind", "outcome"],
)
REFUSALS = prometheus_client.Counter(
    "acaciaward_gateway_refusals_total",
    "Answers of the system's own by status, and cut answers",
    ["status", "cut"],
)
CUTS = prometheus_client.Counter(
    "acaciaward_gateway_cuts_total",
    "Answers that had begun and weren't completed, by why",
    ["cause"],
)
ATTEMPTS = prometheus_client.Counter(
    "acaciaward_gateway_attempts_total",
    "Calls written to endpoints, and how those that failed did",
    ["result"],
)
REPEATS = prometheus_client.Counter(
    "acaciaward_gateway_repeats_total",
    "Further attempts of a call, by whether the budget allowed them",
    ["allowed"],
)
BODIES_DROPPED = prometheus_client.Counter(
    "acaciaward_gateway_bodies_dropped_total",
    "Requests refused and connections dropped since the budget of bytes was full",
    ["result"],
)
CONNECTIONS_CLOSED = prometheus_client.Counter(
    "acaciaward_gateway_connections_closed_total",
    "Connections of callers that were closed to make room for others",
)
BACKUPS = prometheus_client.Counter(
    "acaciaward_gateway_backups_total",
    "Attempts beside one whose endpoint was silent, by how they ended",
    ["result"],
)
RESUMES = prometheus_client.Counter(
    "acaciaward_gateway_resumes_total",
    "Streams that were sent to another endpoint within one answer",
)
TAKEN_UP = prometheus_client.Counter(
    "acaciaward_gateway_taken_up_total",
    "Streams that callers took up, by how the version that began them was known",
    ["version_by"],
)
DETOURS = prometheus_client.Counter(
    "acaciaward_gateway_detours_total",
    "Calls sent through a peer since endpoints weren't reached, by how that ended",
    ["result"],
)
CUT_OFF_SERVICES = prometheus_client.Gauge(
    "acaciaward_gateway_cut_off_services",
    "Services whose endpoints this entry doesn't reach",
)
FIRST_BYTE_SECONDS = prometheus_client.Histogram(
    "acaciaward_gateway_first_byte_seconds",
    "Time from a whole request to the first byte of its answer, in seconds",
    ["kind"],
    buckets=(0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)
EVENT_GAP_SECONDS = prometheus_client.Histogram(
    "acaciaward_gateway_event_gap_seconds",
    "Time between two events of a stream as they came from endpoints, in seconds",
    buckets=(0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0),
)
ATTEMPT_SECONDS = prometheus_client.Histogram(
    "acaciaward_gateway_attempt_seconds",
    "How long a call was at one endpoint, in seconds, by how that ended",
    ["result"],
    buckets=(0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)
REQUEST_SECONDS = prometheus_client.Histogram(
    "acaciaward_gateway_request_seconds",
    "Time from a whole request to the end of its answer, in seconds",
    ["kind"],
    buckets=(0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)
REREAD_TOKENS = prometheus_client.Counter(
    "acaciaward_gateway_reread_tokens_total",
    "Prompt tokens sent to a further endpoint because the one before failed",
)
PREFILL_WAITING = prometheus_client.Gauge(
    "acaciaward_gateway_prefill_waiting",
    "Patient requests that wait here until engines have read what they have",
)
PREFILL_WAIT_SECONDS = prometheus_client.Histogram(
    "acaciaward_gateway_prefill_wait_seconds",
    "How long patient requests waited here, in seconds, by how that ended",
    ["result"],
    buckets=(0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8),
)
LIMITED_ANSWERS = prometheus_client.Counter(
    "acaciaward_gateway_limited_answers_total",
    "Answers of endpoints that named a limit on their requests",
)
BRITTLE_ENDPOINTS = prometheus_client.Gauge(
    "acaciaward_gateway_brittle_endpoints",
    "Endpoints that say that they fall over if they turn too many requests away",
)
BRITTLE_REJECTIONS = prometheus_client.Counter(
    "acaciaward_gateway_brittle_rejections_total",
    "Requests that brittle endpoints turned away",
)
LEAVING_ANSWERS = prometheus_client.Counter(
    "acaciaward_gateway_leaving_answers_total",
    "Answers of endpoints that said that they are leaving",
)
BACKOFF_ANSWERS = prometheus_client.Counter(
    "acaciaward_gateway_backoff_answers_total",
    "Refusals of endpoints that asked this entry to back off",
)
OPEN_REQUESTS = prometheus_client.Gauge(
    "acaciaward_gateway_open_requests", "Requests that are worked on now"
)
BLAMED_PARTS = prometheus_client.Gauge(
    "acaciaward_gateway_blamed_parts",
    "Parts of prompts that are refused since endpoints crashed under them",
)
SUSPECTS = prometheus_client.Gauge(
    "acaciaward_gateway_suspects", "Requests under which endpoints broke off"
)
ENDPOINTS_AGE_SECONDS = prometheus_client.Gauge(
    "acaciaward_gateway_endpoints_age_seconds",
    "How long ago the endpoints were read, here or by the reader, in seconds",
)
CONFIGURATION_AGE_SECONDS = prometheus_client.Gauge(
    "acaciaward_gateway_configuration_age_seconds",
    "How long the configuration has been in force here, in seconds",
)
CONNECTIONS_OPENED = prometheus_client.Counter(
    "acaciaward_gateway_links_opened_total", "New connections to endpoints"
)
CONFIGURATION_VERSION = prometheus_client.Gauge(
    "acaciaward_gateway_configuration_version", "The configuration in force"
)
ENTRIES_IN_SUMS = prometheus_client.Gauge(
    "acaciaward_gateway_entries_heard", "Entries behind the newest sums"
)
COUNTED_ENTRIES = prometheus_client.Gauge(
    "acaciaward_gateway_entries_counted",
    "Entries among which quotas and retry budgets are divided, as counted here",
)
TASK_FAILURES = prometheus_client.Counter(
    "acaciaward_gateway_task_failures_total",
    "Tasks of the entry that failed and were run again",
    ["task"],
)
LOOP_LAG_SECONDS = prometheus_client.Histogram(
    "acaciaward_gateway_loop_lag_seconds",
    "How much later than asked the event loop woke a task, in seconds",
    buckets=(0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0),
)
