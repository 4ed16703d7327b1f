"""
Formats log lines: one event per line, as key=value pairs.

Time, level and event come first, then the event's fields, then those of the
process. Values that hold anything but plain characters are quoted as JSON
strings, so text from a caller can't start a new line or forge a field.

    log.info("request answered", extra=logs.fields(request=request_id, tokens=12))
    # time=2026-01-01T00:00:00.000Z level=info event="request answered" ...
"""

import datetime
import json
import logging
import re
import typing

MAX_VALUE_CHARACTERS = 300

_PLAIN_VALUE = re.compile(r"[A-Za-z0-9_.:/@+-]+\Z")
_FIELDS_ATTRIBUTE = "acaciaward_fields"


def fields(**values: typing.Any) -> dict[str, typing.Any]:
    """Return the ``extra`` argument of a log call that carries these fields."""
    return {_FIELDS_ATTRIBUTE: values}


def quote(value: typing.Any) -> str:
    """Return a value as it is written after the equals sign, truncated."""
    text = str(value)[:MAX_VALUE_CHARACTERS]
    if _PLAIN_VALUE.match(text):
        return text
    return json.dumps(text)


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line of key=value pairs."""

    def __init__(self, process_fields: dict[str, str] | None = None):
        super().__init__()
        self._process_fields = process_fields or {}

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        created_at = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        pairs = {
            "time": created_at.isoformat(timespec="milliseconds").replace(
                "+00:00", "Z"
            ),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
        }
        pairs |= getattr(record, _FIELDS_ATTRIBUTE, {})
        pairs |= self._process_fields
        pairs["logger"] = record.name
        if record.exc_info:
            pairs["error"] = repr(record.exc_info[1])
            pairs["traceback"] = self.formatException(record.exc_info)[-4000:]
        return " ".join(f"{key}={quote(value)}" for key, value in pairs.items())


def configure(level: str, process_fields: dict[str, str] | None = None) -> None:
    """Send all log lines to standard error in the project's format."""
    handler = logging.StreamHandler()
    handler.setFormatter(KeyValueFormatter(process_fields))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in ("uvicorn", "uvicorn.error", "uvicorn.access", "blacksheep"):
        logging.getLogger(name).setLevel(logging.WARNING)
