"""
Parses the project's log lines: one request's timeline, and sums of failures.

Lines come from the logs of any number of entries, one log after another. Only the
lines or sums that are asked for are kept in memory. Text before a line's own time
is skipped, so logs that another program has prefixed can be parsed, too.
"""

import collections
import json
import re
import typing
from collections import abc

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_LINE_START = re.compile(r"\btime=\d{4}-")
_TIME = re.compile(r"\btime=(\d{4}-\S+)")
_INSTANCE = re.compile(r"\binstance=(\S+)")
# An event that a process logs while it is still starting.
_STARTUP_EVENT = 'event="reader chosen"'
# The events that end a request; their fields hold the reason.
END_EVENTS = ("answered", "refused", "caller left")
FIRST_ERROR_STATUS = 400
TOO_MANY_REQUESTS_STATUS = 429


class Line(typing.NamedTuple):
    """One log line: its time as written, its event and its fields."""

    time: str
    event: str
    fields: abc.Mapping[str, str]


class Failure(typing.NamedTuple):
    """A failed request: cause in words, second, and endpoint if known."""

    cause: str
    second: str
    endpoint: str


def parse(text: str) -> Line | None:
    """Return a line of the project's format, None for anything else."""
    start = _LINE_START.search(text)
    if start is None:
        return None
    fields = {}
    for name, value in _PAIR.findall(text[start.start() :]):
        fields[name] = _unquote(value)
    if "event" not in fields:
        return None
    return Line(fields.pop("time"), fields.pop("event"), fields)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value


class Outage(typing.NamedTuple):
    """
    A span in which an instance was down.

    It runs from the last line before a restart to the "entry started" line.
    ``was_orderly`` says whether the instance had logged that it stopped.
    """

    instance: str
    begin: str
    end: str
    was_orderly: bool


class OutageTracker:
    """Finds the spans in which instances were down, line by line."""

    def __init__(self):
        self.outages: list[Outage] = []
        self._last_times: dict[str, str] = {}
        self._stopped: set[str] = set()

    def add_line(self, text: str) -> None:
        """Process one line of any entry's log."""
        instance, time = _INSTANCE.search(text), _TIME.search(text)
        if instance is None or time is None:
            return
        name = instance[1]
        if _STARTUP_EVENT in text:
            # Lines of a process that is still starting don't show that the
            # previous process was running.
            return
        if 'event="entry started"' in text and name in self._last_times:
            outage = Outage(
                name, self._last_times[name], time[1], name in self._stopped
            )
            self.outages.append(outage)
            self._stopped.discard(name)
        elif 'event="entry stopped"' in text:
            self._stopped.add(name)
        self._last_times[name] = time[1]

    def track(self, lines: abc.Iterable[str]) -> abc.Iterator[str]:
        """Process each line and yield it unchanged."""
        for text in lines:
            self.add_line(text)
            yield text

    def first_after(self, instance: str | None, time: str) -> Outage | None:
        """Return the first outage of an instance that ends after a time."""
        for outage in self.outages:
            if outage.instance == instance and outage.end > time:
                return outage
        return None


def request_timeline(lines: abc.Iterable[str], request: str) -> list[Line]:
    """Return a request's lines in the order of their times."""
    pair = f"request={request}"
    parsed = (parse(text) for text in lines if pair in text)
    matching = [line for line in parsed if line and line.fields["request"] == request]
    return sorted(matching, key=lambda line: line.time)


def describe_cause(
    lines: abc.Sequence[Line], outages: OutageTracker | None = None
) -> str:
    """Return in words why a request ended as it did."""
    end_lines = [line for line in lines if line.event in END_EVENTS]
    if not end_lines:
        return _describe_missing_end(lines[-1], outages or OutageTracker())
    last = end_lines[-1]
    return (
        _describe_end(last)
        + _describe_wait(lines, last)
        + _describe_failure(lines)
        + _describe_cut(lines)
    )


def _describe_missing_end(last: Line, outages: OutageTracker) -> str:
    instance = last.fields.get("instance")
    outage = outages.first_after(instance, last.time)
    if outage is None:
        return f"no entry has logged its end; the last line is of {instance}"
    how = "stopped" if outage.was_orderly else "ended without a stop"
    return (
        f"{instance} {how} while it had the request, after {outage.begin}, "
        f"and was back at {outage.end}"
    )


def _describe_wait(lines: abc.Sequence[Line], last: Line) -> str:
    """Return which endpoint a request was waiting for at its deadline, or ""."""
    sent = [line for line in lines if line.event == "sent"]
    if last.event == "answered" or last.fields.get("reason") != "deadline" or not sent:
        return ""
    silent_ms = last.fields.get("since_event_ms", "None")
    since = "" if silent_ms == "None" else f", silent for {silent_ms} ms"
    return f" while waiting for {sent[-1].fields.get('endpoint')}{since}"


def _describe_failure(lines: abc.Sequence[Line]) -> str:
    """Return how the last failed attempt failed, or ""."""
    failed = [line for line in lines if line.event == "attempt failed"]
    if not failed:
        return ""
    fields = failed[-1].fields
    return f", after {fields.get('endpoint')}: {fields.get('reason')}"


def _describe_cut(lines: abc.Sequence[Line]) -> str:
    """Return what was so when an answer that had begun was cut, or ""."""
    cuts = [line.fields for line in lines if line.event == "answer cut"]
    if not cuts:
        return ""
    fields = cuts[-1]
    stopping = ", the entry was stopping" if fields.get("stopping") == "True" else ""
    return (
        f" ({fields.get('sends')} of {fields.get('max_attempts')} attempts used, "
        f"failed: {fields.get('failed') or 'none'}, "
        f"{fields.get('silent_ms')} ms after the last event{stopping})"
    )


def _describe_end(line: Line) -> str:
    fields = line.fields
    if line.event == "caller left":
        return f"the caller left after {fields.get('age_ms')} ms"
    if line.event == "refused":
        kind = "cut" if fields.get("begun") == "True" else "refused"
        return f"{kind} with {fields.get('status')}: {fields.get('reason')}"
    status = _parse_integer(fields.get("status"))
    if status >= FIRST_ERROR_STATUS:
        return f"the endpoint answered {status}"
    first_byte_ms, target_ms = (
        _parse_integer(fields.get("first_byte_ms")),
        _parse_integer(fields.get("target_ms")),
    )
    if first_byte_ms > target_ms:
        return (
            f"answered late: first byte after {first_byte_ms} ms, "
            f"objective {target_ms} ms"
        )
    gap_ms, max_gap_ms = (
        _parse_integer(fields.get("longest_gap_ms")),
        _parse_integer(fields.get("max_gap_ms")),
    )
    if gap_ms > max_gap_ms >= 0:
        pause = f"a pause of {gap_ms} ms between events"
        return f"answered late: {pause}, {max_gap_ms} ms are allowed"
    return f"answered {status} in time"


def _parse_integer(text: str | None) -> int:
    """Return an integer, -1 for a missing field or other text."""
    return int(text) if text and text.lstrip("-").isdecimal() else -1


class Summary:
    """Requests by second, and failures by cause, second and endpoint."""

    def __init__(self):
        self.requests: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.failed: collections.Counter[str] = collections.Counter()
        self.causes: collections.Counter[str] = collections.Counter()
        self.endpoints: collections.Counter[str] = collections.Counter()

    def add_line(self, text: str) -> None:
        """Count a log line."""
        line = parse(text)
        if line is None:
            return
        second = line.time[:19]
        if line.event == "attempt failed":
            endpoint = line.fields.get("endpoint", "")
            self.endpoints[f"{endpoint}: {line.fields.get('kind', '')}"] += 1
        if line.event not in END_EVENTS:
            return
        self.requests[second] += 1
        status = _parse_integer(line.fields.get("status"))
        if line.event == "answered" and status < FIRST_ERROR_STATUS:
            return
        # Reasons that differ only in their numbers count as the same cause.
        self.causes[re.sub(r"\d+(\.\d+)?", "N", _describe_end(line))] += 1
        is_refusal = line.event == "refused" and status in (
            503,
            TOO_MANY_REQUESTS_STATUS,
        )
        (self.refused if is_refusal else self.failed)[second] += 1

    def to_fields(self) -> dict[str, typing.Any]:
        """Return the sums as a dictionary for JSON."""
        return {
            "requests": sum(self.requests.values()),
            "refused": sum(self.refused.values()),
            "failed": sum(self.failed.values()),
            "causes": dict(self.causes.most_common()),
            "endpoints": dict(self.endpoints.most_common()),
            "seconds": {
                second: [count, self.refused[second], self.failed[second]]
                for second, count in sorted(self.requests.items())
            },
        }


def plot(summary: Summary, width: int = 60) -> list[str]:
    """
    Return one text bar per second: answered as =, refused as r, failed as F.

    The busiest second is ``width`` characters long.
    """
    max_count = max(summary.requests.values(), default=1)
    rows = []
    for second, count in sorted(summary.requests.items()):
        refused, failed = summary.refused[second], summary.failed[second]
        parts = [(count - refused - failed, "="), (refused, "r"), (failed, "F")]
        bar = "".join(mark * round(part * width / max_count) for part, mark in parts)
        rows.append(f"{second[11:]} {count:5} {bar}")
    return rows
