"""Steps that compare replay and snapshots with a reference model."""

import asyncio
import copy
import json

import hypothesis
from behave import given, then, when
from hypothesis import stateful, strategies

from acaciaward import errors
from acaciaward.configuration import document, joining, replay, snapshots
from acaciaward.configuration.features import fakes
from acaciaward.provider import interfaces as provider_interfaces

SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=120,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
ENTRIES = 3


def make_patch(patch_id, base, changes, author="ann"):
    return {
        "kind": "patch",
        "rules": 1,
        "id": patch_id,
        "base": base,
        "author": author,
        "changes": changes,
    }


FOREIGN_RECORDS = (
    None,
    5,
    "text",
    [],
    {},
    {"kind": "patch"},
    {"kind": "note", "text": "of another program"},
    make_patch("x", 0, {}) | {"rules": True},
    make_patch("", 0, {}),
    make_patch("infinite", 0, {"quarantine_s": float("inf")}),
    make_patch("large", 0, {"quarantine_s": 2**70}),
    make_patch("half", 0, {}, author="\ud800"),
    {"kind": "snapshot", "rules": 1, "version": 99, "offset": 0}
    | {"digest": "", "state": ""},
)
CHANGES = (
    {"quarantine_s": 60.0},
    {"quarantine_s": 61.0},
    {"quarantine_s": None},
    {"organisations": {"library": {"share": 2.0}}},
    {"organisations": {"library": None}},
    {"organisations": {"school": {"suspended": True}}},
    {"unknown": 1},
    {"organisations": 5},
)


class ReferenceModel:
    """Replays the complete log from its beginning and retains every patch id."""

    def __init__(self):
        self.version = 0
        self.document = {}
        self.seen = set()
        self.length = 0

    def apply(self, data):
        self.length += 1
        if not isinstance(data, dict) or data.get("kind") != "patch":
            return
        if data in FOREIGN_RECORDS or data["id"] in self.seen:
            return
        self.seen.add(data["id"])
        if data["base"] != self.version:
            return
        patched = _merge(copy.deepcopy(self.document), data["changes"])
        if document.find_first_problem(patched) is None:
            self.version += 1
            self.document = patched


def _merge(target, changes):
    if not isinstance(changes, dict):
        return changes
    target = target if isinstance(target, dict) else {}
    for key, value in changes.items():
        if value is None:
            target.pop(key, None)
        else:
            target[key] = _merge(target.get(key), value)
    return target


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Entries that read, pause and are replaced while the oldest records expire."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.log = fakes.FakeLog()
        self.model = ReferenceModel()
        self.entries = [replay.Replay() for _ in range(ENTRIES)]
        self.sent = []
        self.late = []
        self.highest = [0] * ENTRIES

    def teardown(self):
        self.runner.close()

    def put(self, data):
        self.log.put(data)
        self.model.apply(data)

    @stateful.rule(
        offset=strategies.sampled_from((0, 0, 0, 0, -1, 1)),
        changes=strategies.sampled_from(CHANGES),
        is_late=strategies.booleans(),
    )
    def submit(self, offset, changes, is_late):
        base = max(0, self.model.version + offset)
        patch = make_patch(f"patch-{len(self.sent)}", base, changes)
        self.sent.append(patch)
        if is_late:
            self.late.append(patch)
        else:
            self.put(patch)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(number=strategies.integers(0, 100))
    def land_late(self, number):
        self.put(self.late.pop(number % len(self.late)))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(number=strategies.integers(0, 100))
    def land_twice(self, number):
        self.put(self.sent[number % len(self.sent)])

    @stateful.rule(data=strategies.sampled_from(FOREIGN_RECORDS))
    def land_foreign(self, data):
        self.put(data)

    @stateful.rule(number=strategies.integers(0, ENTRIES - 1))
    def write_snapshot(self, number):
        self.put(snapshots.make(self.entries[number]))

    @stateful.rule(
        number=strategies.integers(0, ENTRIES - 1), limit=strategies.integers(1, 20)
    )
    def read(self, number, limit):
        entry = self.entries[number]
        try:
            page = self.runner.run(self.log.read("s", entry.next_offset, limit=limit))
        except errors.RecordsExpiredError:
            self.join(number, oldest=entry)
            return
        for record in page.records:
            entry.apply(record)

    @stateful.rule(number=strategies.integers(0, ENTRIES - 1))
    def replace_by_log(self, number):
        self.join(number, oldest=replay.Replay())

    @stateful.rule(
        number=strategies.integers(0, ENTRIES - 1),
        other=strategies.integers(0, ENTRIES - 1),
    )
    def replace_by_peer(self, number, other):
        source = self.entries[other]
        packed = snapshots.pack(source.to_state())
        state = snapshots.unpack(packed, rules=1, version=source.view.version)
        self.entries[number] = replay.Replay(state, source.next_offset)
        self.highest[number] = 0

    def join(self, number, oldest):
        clock = snapshots.RenewalSchedule(renew_after_s=10, renew_after_records=10)
        joined = self.runner.run(
            joining.join(self.log, "s", None, oldest=oldest, renewal=clock)
        )
        self.entries[number] = joined.replay
        self.highest[number] = oldest.view.version
        assert joined.replay.next_offset == self.log.next_offset

    @stateful.rule(count=strategies.integers(1, 30))
    def expire(self, count):
        # As renewal guarantees, a usable snapshot expires after the records it covers.
        first = self.log.first_offset
        covered = [
            min(record.data["offset"] + 1, record.offset)
            for record in self.log.records
            if snapshots.is_candidate(record, first)
            and record.data not in FOREIGN_RECORDS
        ]
        if covered:
            self.log.expire_before(min(first + count, max(covered)))

    @stateful.invariant()
    def check(self):
        for number, entry in enumerate(self.entries):
            assert entry.view.version >= self.highest[number]
            self.highest[number] = entry.view.version
            if entry.next_offset == self.model.length:
                assert entry.view.version == self.model.version
                assert entry.view.document == self.model.document


@then("every entry agrees with the model over late, repeated and expired records")
def check_machine(context):
    stateful.run_state_machine_as_test(ConfigurationMachine, settings=SETTINGS)


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(strategies.characters(), max_size=20),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ("kind", "rules", "id", "base", "author", "changes", "offset", "x")
            ),
            children,
            max_size=6,
        )
    ),
    max_leaves=12,
)


def _record(offset, data):
    return provider_interfaces.LogRecord(offset, 1000.0 + offset, data)


@then("records of any JSON leave replay and snapshots of them in agreement")
def check_any_json(context):
    @hypothesis.settings(SETTINGS, max_examples=400)
    @hypothesis.given(strategies.lists(JSON_VALUES, max_size=6))
    def check(values):
        full_replay = replay.Replay()
        for offset, data in enumerate([*values, make_patch("p", 0, CHANGES[0])]):
            try:
                full_replay.apply(_record(offset, data))
            except replay.NewerRulesError:
                assert full_replay.next_offset == offset
                return
            packed = snapshots.pack(full_replay.to_state())
            state = snapshots.unpack(packed, rules=1, version=full_replay.view.version)
            rebuilt = replay.Replay(state, full_replay.next_offset)
            assert rebuilt.to_state() == full_replay.to_state()
        assert full_replay.next_offset == len(values) + 1
        assert full_replay.view.version >= 1

    check()


@then("every mutation of a snapshot is refused or gives the same state")
def check_damaged(context):
    full_replay = replay.Replay()
    full_replay.apply(_record(0, make_patch("p", 0, CHANGES[3])))
    valid_snapshot = snapshots.make(full_replay)

    @hypothesis.settings(SETTINGS, max_examples=400)
    @hypothesis.given(
        strategies.sampled_from(sorted(valid_snapshot)),
        strategies.integers(0, 10_000),
        JSON_VALUES,
        strategies.booleans(),
    )
    def check(key, position, value, is_whole_value):
        damaged = dict(valid_snapshot)
        if is_whole_value or not isinstance(valid_snapshot[key], str):
            damaged[key] = value
        else:
            position %= len(valid_snapshot[key])
            damaged[key] = (
                valid_snapshot[key][:position]
                + "0"
                + valid_snapshot[key][position + 1 :]
            )
        loaded = snapshots.load_newest_usable([_record(1, damaged)], 1)
        if loaded is not None:
            assert loaded.to_state() == full_replay.to_state(), damaged

    check()


@given("a replay with {count:d} accepted patches")
def make_replay(context, count):
    context.replay = replay.Replay()
    for number in range(count):
        changes = {"organisations": {f"library-{number}": {"share": 1.0 + number}}}
        patch = make_patch(f"patch-{number}", number, changes)
        context.replay.apply(_record(number, patch))
    assert context.replay.view.version == count


@when("a rejected patch comes again once its base has become current")
def repeat_rejected(context):
    base = context.replay.view.version + 1
    early = make_patch("early", base, {"quarantine_s": 1.0})
    context.replay.apply(_record(3, early))
    context.replay.apply(_record(4, make_patch("next", base - 1, {})))
    assert context.replay.view.version == base
    context.replay.apply(_record(5, early))


@then("it stays rejected with its first outcome")
def check_rejected(context):
    assert context.replay.outcome("early").status is replay.PatchStatus.STALE
    assert "quarantine_s" not in context.replay.view.document
    assert context.replay.duplicate_count == 1


@then("the difference of any two versions leads from one to the other")
def check_diff(context):
    history = context.replay.history
    view = context.replay.view
    for older in range(4):
        for newer in range(4):
            changes = history.diff(older, newer, view)
            document_before = history.document_at(older, view)
            patched = document.merge(document_before, changes)
            assert patched == history.document_at(newer, view), (older, newer)
    assert history.document_at(0, view) == {}


@then("a future or negative version is refused by its number")
def check_unknown_version(context):
    for version in (-1, 4):
        try:
            context.replay.history.document_at(version, context.replay.view)
        except errors.NotFoundError as error:
            assert str(version) in str(error)
        else:
            raise AssertionError(version)


@then("only snapshots that leave no gap count as new")
def check_renewal(context):
    full_replay = replay.Replay()
    renewal = snapshots.RenewalSchedule(renew_after_s=100, renew_after_records=1000)
    delayed_snapshot = None
    for number in range(5):
        record = provider_interfaces.LogRecord(
            number, 50.0 * number, make_patch(f"p{number}", number, {})
        )
        full_replay.apply(record)
        renewal.observe(record)
        if number == 0:
            delayed_snapshot = snapshots.make(full_replay)
    assert renewal.is_due(5, 200.0)
    late_record = provider_interfaces.LogRecord(5, 200.0, delayed_snapshot)
    renewal.observe(late_record)
    # The delayed snapshot doesn't cover the record at offset 1, of second 50.
    assert renewal.is_due(6, 200.0)
    fresh_record = provider_interfaces.LogRecord(6, 201.0, snapshots.make(full_replay))
    renewal.observe(fresh_record)
    assert not renewal.is_due(7, 202.0)
    json.dumps(fresh_record.data)


VALUES = strategies.sampled_from(
    (None, True, 1, 1.0, 0, "model", "service", [], ["library"], {}, "10.0.0.1")
)
ENDPOINT_ENTRIES = strategies.dictionaries(
    strategies.sampled_from(("address", "port", "data_centre", "reclaimable", "x")),
    VALUES,
    max_size=3,
)
MAP_ITEMS = strategies.dictionaries(
    strategies.sampled_from(
        ("kind", "organisations", "suspended", "share", "fenced", "bad", "keys")
    ),
    VALUES,
    max_size=3,
) | strategies.fixed_dictionaries(
    {
        "endpoints": strategies.dictionaries(
            strategies.sampled_from(("one", "two", "BAD NAME")),
            ENDPOINT_ENTRIES,
            max_size=2,
        )
    }
)
ANY_CHANGES = strategies.dictionaries(
    strategies.sampled_from(
        ("organisations", "deployments", "operators", "lifted", "quarantine_s", "x")
    ),
    strategies.dictionaries(
        strategies.sampled_from(("library", "text", "Bad Name")),
        MAP_ITEMS | VALUES,
        max_size=2,
    )
    | VALUES,
    max_size=2,
)
VALID = {
    "organisations": {"library": {"suspended": True, "share": 1.0}},
    "deployments": {
        "text": {
            "kind": "model",
            "fenced": True,
            "organisations": ["library"],
            "endpoints": {
                "one": {"address": "10.0.0.1", "port": 1, "data_centre": "dc-1"}
            },
        }
    },
}


@then("the check of a change agrees with the check of the complete patched document")
def check_changes(context):
    assert document.find_first_problem(VALID) is None
    result_counts = {True: 0, False: 0}

    @hypothesis.settings(SETTINGS, max_examples=1500)
    @hypothesis.given(ANY_CHANGES)
    @hypothesis.example({"organisations": {"library": {"suspended": 1}}})
    @hypothesis.example({"organisations": {"library": {"share": True}}})
    def check(changes):
        patched = document.merge(VALID, changes)
        is_whole_valid = document.find_first_problem(patched) is None
        result_counts[is_whole_valid] += 1
        is_change_valid = document.find_first_problem_of_change(VALID, patched) is None
        assert is_change_valid == is_whole_valid, (changes, patched)

    check()
    assert min(result_counts.values()) > 50, result_counts
