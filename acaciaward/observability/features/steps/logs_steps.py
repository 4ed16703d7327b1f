"""Steps for log lines."""

import json
import logging
import re

import hypothesis
from behave import then
from hypothesis import strategies

from acaciaward.observability import logs

PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ "]+)(?: |\Z)')


@then("any text as a value stays on one line and can be read back")
def check_quoting(context):
    formatter = logs.KeyValueFormatter({"instance": "entry-1"})

    @hypothesis.settings(database=None, derandomize=True, max_examples=500)
    @hypothesis.given(strategies.text(max_size=logs.MAX_VALUE_CHARACTERS))
    def check(text):
        record = logging.makeLogRecord(
            {"msg": "event", "levelno": 20, "levelname": "INFO"}
            | logs.fields(reason=text)
        )
        line = formatter.format(record)
        assert len(line.splitlines()) == 1, line
        pairs = dict(PAIR.findall(line))
        value = pairs["reason"]
        read = json.loads(value) if value.startswith('"') else value
        assert read == text
        assert pairs["instance"] == "entry-1"

    check()
