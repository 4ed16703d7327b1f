"""Steps for the burn report over several entries."""

import json

import administration_steps as administration
from behave import then, when


def _totals(context, entry=0):
    address, port = context.world.addresses[entry]
    result = administration.run_command(
        context, ["report", "burn", "--json"], entry=f"{address}:{port}"
    )
    report = json.loads(result.stdout)
    rows = {(row["objective"], row["deployment"]): row for row in report["objectives"]}
    longest_window = rows["short-in-time", "*"]["windows"][-1]
    return result, report, longest_window["total"]


@when("each of the three entries answers {count:d} short requests")
def send_requests(context, count):
    _, _, context.total_before = _totals(context)
    key = context.keys["scoala-alba caller"]
    context.sent = count
    for entry in range(3):
        for _ in range(count):
            assert administration.completion_result(context, key, entry) == "served"


@then("the burn report counts {count:d} more answers, whichever entry is asked")
def check_totals(context, count):
    for entry in range(3):
        result, report, total = _totals(context, entry)
        assert result.exit_code == 0, result.output
        assert total == context.total_before + count, (total, context.total_before)
        assert sorted(report["answered"]) == ["entry-1", "entry-2", "entry-3"]


@when("entry-3 is killed")
def kill_entry(context):
    _, report, context.total_before = _totals(context)
    entry = context.world.entries.pop()
    snapshot = entry._recorder.snapshot(report["at"])
    window = next(item for item in snapshot["windows"] if item["window_s"] == 86400.0)
    context.lost_count = sum(
        count["total"]
        for count in window["counts"]
        if count["service_class"] == "short"
    )
    context.runner.run(entry.kill())


@then("the burn report ends with code 5, names entry-3 and lacks its {count:d} answers")
def check_unresponsive(context, count):
    result, report, total = _totals(context)
    assert result.exit_code == 5, result.output
    assert list(report["silent"]) == ["entry-3"], report["silent"]
    assert "did not answer: entry-3" in result.stderr, result.stderr
    assert context.lost_count >= count
    assert total == context.total_before - context.lost_count, (
        total,
        context.total_before,
    )
