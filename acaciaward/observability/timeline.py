"""
Reads log lines back: one request's timeline, and sums of what failed.

Lines come from the logs of any number of entries, one after another, and only
what is asked for is held. Whatever stands before the line's own time is skipped,
so logs that another program has prefixed can be read, too.
"""

import collections
import json
import re
import typing
from collections import abc

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_START = re.compile(r"\btime=\d{4}-")
_TIME = re.compile(r"\btime=(\d{4}-\S+)")
_INSTANCE = re.compile(r"\binstance=(\S+)")
# What a process logs before its start is over.
_FIRST_EVENT = 'event="reader chosen"'
# What ends a request, and where it says why.
ENDINGS = ("answered", "refused", "caller left")
OK_BELOW = 400
TOO_MANY = 429


class Line(typing.NamedTuple):
    """One log line: its time as written, its event and its fields."""

    time: str
    event: str
    fields: abc.Mapping[str, str]


class Failure(typing.NamedTuple):
    """How a request failed: a cause in words, a second, an endpoint if known."""

    cause: str
    second: str
    endpoint: str


def parse(text: str) -> Line | None:
    """Return a line of the project's format, None for anything else."""
    start = _START.search(text)
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
    """A span in which an instance was gone, by its own lines around it."""

    instance: str
    begin: str
    end: str
    was_orderly: bool


class Outages:
    """Finds the spans in which instances were gone, line by line."""

    def __init__(self):
        self.found: list[Outage] = []
        self._last: dict[str, str] = {}
        self._stopped: set[str] = set()

    def take(self, text: str) -> None:
        """Look at one line of any entry's log."""
        instance, start = _INSTANCE.search(text), _TIME.search(text)
        if instance is None or start is None:
            return
        name = instance[1]
        if _FIRST_EVENT in text:
            # What a process logs before it has started says nothing of the one before.
            return
        if 'event="entry started"' in text and name in self._last:
            outage = Outage(name, self._last[name], start[1], name in self._stopped)
            self.found.append(outage)
            self._stopped.discard(name)
        elif 'event="entry stopped"' in text:
            self._stopped.add(name)
        self._last[name] = start[1]

    def watch(self, lines: abc.Iterable[str]) -> abc.Iterator[str]:
        """Look at lines as they pass."""
        for text in lines:
            self.take(text)
            yield text

    def after(self, instance: str | None, moment: str) -> Outage | None:
        """Return the first outage of an instance that begins at a moment or later."""
        for outage in self.found:
            if outage.instance == instance and outage.end > moment:
                return outage
        return None


def timeline(lines: abc.Iterable[str], request: str) -> list[Line]:
    """Return a request's lines in the order of their times."""
    mark = f"request={request}"
    parsed = (parse(text) for text in lines if mark in text)
    found = [line for line in parsed if line and line.fields["request"] == request]
    return sorted(found, key=lambda line: line.time)


def cause_of(found: abc.Sequence[Line], outages: Outages | None = None) -> str:
    """Return in words why a request ended as it did."""
    endings = [line for line in found if line.event in ENDINGS]
    if not endings:
        return _explain_missing(found[-1], outages or Outages())
    last = endings[-1]
    return _explain(last) + _waited_for(found, last) + _failed_before(found)


def _explain_missing(last: Line, outages: Outages) -> str:
    instance = last.fields.get("instance")
    outage = outages.after(instance, last.time)
    if outage is None:
        return f"no entry has logged its end; the last line is of {instance}"
    how = "stopped" if outage.was_orderly else "ended without a stop"
    return (
        f"{instance} {how} while it had the request, after {outage.begin}, "
        f"and was back at {outage.end}"
    )


def _waited_for(found: abc.Sequence[Line], last: Line) -> str:
    """Return which endpoint a request was waiting for when it ended."""
    sent = [line for line in found if line.event == "sent"]
    if last.event == "answered" or last.fields.get("reason") != "deadline" or not sent:
        return ""
    silent_ms = last.fields.get("since_event_ms", "None")
    since = "" if silent_ms == "None" else f", silent for {silent_ms} ms"
    return f" while waiting for {sent[-1].fields.get('endpoint')}{since}"


def _failed_before(found: abc.Sequence[Line]) -> str:
    """Return how the last attempt that failed did."""
    failed = [line for line in found if line.event == "attempt failed"]
    if not failed:
        return ""
    fields = failed[-1].fields
    return f", after {fields.get('endpoint')}: {fields.get('reason')}"


def _explain(line: Line) -> str:
    fields = line.fields
    if line.event == "caller left":
        return f"the caller left after {fields.get('age_ms')} ms"
    if line.event == "refused":
        kind = "cut" if fields.get("begun") == "True" else "refused"
        return f"{kind} with {fields.get('status')}: {fields.get('reason')}"
    status = _whole(fields.get("status"))
    if status >= OK_BELOW:
        return f"the endpoint answered {status}"
    first, target = _whole(fields.get("first_byte_ms")), _whole(fields.get("target_ms"))
    if first > target:
        return f"answered late: first byte after {first} ms, objective {target} ms"
    gap, allowed = (
        _whole(fields.get("longest_gap_ms")),
        _whole(fields.get("max_gap_ms")),
    )
    if gap > allowed >= 0:
        pause = f"a pause of {gap} ms between events"
        return f"answered late: {pause}, {allowed} ms are allowed"
    return f"answered {status} in time"


def _whole(text: str | None) -> int:
    return int(text) if text and text.lstrip("-").isdecimal() else -1


class Summary:
    """Requests by second, and failures by cause, second and endpoint."""

    def __init__(self):
        self.requests: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.failed: collections.Counter[str] = collections.Counter()
        self.causes: collections.Counter[str] = collections.Counter()
        self.endpoints: collections.Counter[str] = collections.Counter()

    def take(self, text: str) -> None:
        """Count a log line."""
        line = parse(text)
        if line is None:
            return
        second = line.time[:19]
        if line.event == "attempt failed":
            endpoint = line.fields.get("endpoint", "")
            self.endpoints[f"{endpoint}: {line.fields.get('kind', '')}"] += 1
        if line.event not in ENDINGS:
            return
        self.requests[second] += 1
        status = _whole(line.fields.get("status"))
        if line.event == "answered" and status < OK_BELOW:
            return
        # Figures in a reason would make a cause of its own of each request.
        self.causes[re.sub(r"\d+(\.\d+)?", "N", _explain(line))] += 1
        is_refusal = line.event == "refused" and status in (503, TOO_MANY)
        (self.refused if is_refusal else self.failed)[second] += 1

    def to_fields(self) -> dict[str, typing.Any]:
        """Return the sums for JSON."""
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
    """Return a row a second: answered as =, refused as r, failed as F."""
    most = max(summary.requests.values(), default=1)
    rows = []
    for second, count in sorted(summary.requests.items()):
        refused, failed = summary.refused[second], summary.failed[second]
        parts = [(count - refused - failed, "="), (refused, "r"), (failed, "F")]
        bar = "".join(mark * round(part * width / most) for part, mark in parts)
        rows.append(f"{second[11:]} {count:5} {bar}")
    return rows
