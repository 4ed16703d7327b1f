"""Steps for following the log; all entries run in one event loop."""

import asyncio
import time

from behave import given, then, when

from acaciaward import errors
from acaciaward.configuration import (
    joining,
    logconfiguration,
    peering,
    replay,
    serving,
    snapshots,
)
from acaciaward.configuration.features import fakes

BOUND_S = 0.8
POLL_S = 0.1
WAIT_S = 5.0
RETENTION_S = 1.2
OUTCOME_WAIT_S = 2.5


class World:
    """Entries that share one log and one peer network."""

    def __init__(self):
        self.log = fakes.FakeLog()
        self.networks = {}
        self.partitioned = set()
        self.logs = {}
        self.entries = {}
        self.tasks = {}
        self.outcome = None
        self.counts = []

    def start(self, name, data_centre, retention_s=3600.0):
        network = fakes.FakeNetwork(name, data_centre, self.networks, self.partitioned)
        reachable_log = PartitionableLog(self.log, network, self.partitioned)
        entry = logconfiguration.LogConfiguration(
            reachable_log,
            stream="s",
            poll_wait_s=POLL_S,
            current_bound_s=BOUND_S,
            in_force_wait_s=0.5,
            outcome_wait_s=OUTCOME_WAIT_S,
            retention_s=retention_s,
            peers=peering.ConfigurationPeers(
                network, data_centre=data_centre, readers_per_data_centre=2
            ),
        )
        entry.subscribe(lambda view: network.set_configuration_version(view.version))
        serving.PeerRequestHandlers(entry, network)
        self.entries[name] = entry
        self.tasks[name] = asyncio.create_task(entry.run())

    async def end(self, name):
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        del self.entries[name], self.networks[name]

    async def stop(self):
        for name in list(self.entries):
            await self.end(name)

    async def wait(self, condition, timeout_s=WAIT_S):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def submit(self, base=0, patch_id=None, name="entry-1", quarantine_s=60.0):
        return await self.entries[name].submit(
            base=base,
            author="ann",
            changes={"quarantine_s": quarantine_s},
            patch_id=patch_id,
        )

    def patches(self):
        return [record for record in self.log.records if record.data["kind"] == "patch"]

    def versions(self):
        return {entry.view.version for entry in self.entries.values()}


class PartitionableLog:
    """The log as seen by an entry; unreachable while its data centre is partitioned."""

    def __init__(self, log, network, partitioned):
        self._log = log
        self._network = network
        self._partitioned = partitioned

    def _check(self):
        if self._network.data_centre in self._partitioned:
            raise errors.PlatformRefusedError("partitioned")

    async def append(self, stream, records):
        self._check()
        return await self._log.append(stream, records)

    async def read(self, stream, from_offset, *, limit=1000, wait_s=0):
        self._check()
        page = await self._log.read(stream, from_offset, limit=limit, wait_s=wait_s)
        self._check()
        return page


@given("{count:d} entries in {centres:d} data centres")
def start_entries(context, count, centres):
    context.world = World()

    async def start():
        for number in range(count):
            name = f"entry-{number + 1}"
            context.world.start(name, f"dc-{number % centres + 1}")
        await context.world.wait(
            lambda: all(entry.is_current for entry in context.world.entries.values())
        )

    context.runner.run(start())


@when("the log loses {count:d} answers after the effect")
def lose_answers(context, count):
    context.world.log.answers_to_lose = count


@when("the log loses {count:d} appends before the effect")
def lose_appends(context, count):
    context.world.log.appends_to_drop = count


@when("appends take effect {delay_s:f} s late")
def delay_appends(context, delay_s):
    context.world.log.append_delay_s = delay_s


@when("a patch is submitted")
def submit(context):
    context.world.outcome = context.runner.run(context.world.submit())


@then("it is accepted as version 1 at every entry")
def check_accepted(context):
    world = context.world
    assert world.outcome.status is replay.PatchStatus.ACCEPTED, world.outcome
    assert world.outcome.version == 1
    assert world.outcome.missing == (), world.outcome
    assert world.versions() == {1}


@then("the log holds {count:d} copies of it")
def check_copies(context, count):
    assert len(context.world.patches()) == count


@then("a second copy that is appended later leaves version 1 in force")
def check_second_copy(context):
    async def check():
        world = context.world
        world.log.put(world.patches()[0].data)
        end = world.log.next_offset
        await world.wait(
            lambda: all(
                entry.replayed.next_offset >= end for entry in world.entries.values()
            )
        )
        assert len(world.patches()) >= 2
        assert world.versions() == {1}

    context.runner.run(check())


@when("the log is down")
def stop_log(context):
    context.world.log.is_down = True
    context.world.log.reads.clear()


@when("the event loop is about to stall past the bound of a patch")
def stall_event_loop(context):
    async def schedule():
        asyncio.get_running_loop().call_later(0.05, time.sleep, OUTCOME_WAIT_S)

    context.runner.run(schedule())


@then("a patch is refused with nothing on the log")
def check_refused(context):
    try:
        context.runner.run(context.world.submit())
    except errors.PlatformRefusedError:
        assert not context.world.log.records
    else:
        raise AssertionError("the patch was answered")


@when("the log is back after {delay:f} s while a patch is submitted")
def restore_log(context, delay):
    async def run():
        world = context.world
        asyncio.get_running_loop().call_later(
            delay, lambda: setattr(world.log, "is_down", False)
        )
        world.outcome = await world.submit()

    context.runner.run(run())


@then("the same id with the same content is answered alike and not appended")
def check_same_id(context):
    world = context.world
    patch_id = world.outcome.patch_id
    again = context.runner.run(world.submit(patch_id=patch_id, name="entry-2"))
    assert again == world.outcome
    assert len(world.patches()) == 1


@then("the same id with another content is refused as a conflict")
def check_other_content(context):
    world = context.world
    patch_id = world.outcome.patch_id
    try:
        context.runner.run(world.submit(patch_id=patch_id, quarantine_s=5.0))
    except errors.ConflictError:
        assert len(world.patches()) == 1
    else:
        raise AssertionError("two patches share an id")


@then("a patch against version 0 is stale and returns version 1 and its author")
def check_stale(context):
    outcome = context.runner.run(context.world.submit(quarantine_s=9.0))
    assert outcome.status is replay.PatchStatus.STALE
    assert outcome.version == 1
    assert [(patch.version, patch.author) for patch in outcome.since] == [(1, "ann")]


@when("{name} stops answering its peers")
def stop_answering(context, name):
    async def never_answer(sender, body):
        await asyncio.sleep(3600)

    handlers = context.world.networks[name].handlers
    handlers.update(dict.fromkeys(handlers, never_answer))


@then("it is accepted and {name} is named as missing")
def check_missing(context, name):
    outcome = context.world.outcome
    assert outcome.status is replay.PatchStatus.ACCEPTED
    assert outcome.missing == (name,), outcome


@when("the log is down for {factor:d} times the bound")
def stop_log_for(context, factor):
    stop_log(context)
    context.runner.run(asyncio.sleep(factor * BOUND_S))


@then("every entry is current")
def check_all_current(context):
    entries = context.world.entries
    not_current = [name for name, entry in entries.items() if not entry.is_current]
    assert not not_current, not_current


@then("the log was asked at most {count:d} times while down")
def check_asked(context, count):
    assert len(context.world.log.reads) <= count, len(context.world.log.reads)


@when("{centre} loses the log and the other data centres")
def partition_centre(context, centre):
    context.world.partitioned.add(centre)


def _by_centre(world, centre):
    inside = [
        entry
        for name, entry in world.entries.items()
        if world.networks[name].data_centre == centre
    ]
    return inside, [entry for entry in world.entries.values() if entry not in inside]


@then("its entries stop within the bound and the others are current")
def check_stopped(context):
    async def check():
        world = context.world
        inside, outside = _by_centre(world, "dc-3")
        await asyncio.sleep(BOUND_S + 0.1)
        assert not any(entry.is_current for entry in inside)
        assert all(entry.is_current for entry in outside)
        world.outcome = await world.submit()
        assert world.outcome.missing == ("entry-3", "entry-6"), world.outcome

    context.runner.run(check())


@then("after the partition they hold what was accepted meanwhile")
def check_healed(context):
    async def check():
        world = context.world
        world.partitioned.clear()
        inside, _ = _by_centre(world, "dc-3")
        await world.wait(lambda: all(entry.is_current for entry in inside))
        assert world.versions() == {1}

    context.runner.run(check())


@when("a newcomer starts in {centre}")
def start_newcomer(context, centre):
    async def start():
        context.world.start("newcomer", centre)
        await asyncio.sleep(BOUND_S)

    context.runner.run(start())


@then("the newcomer is current with version {version:d}")
def check_newcomer(context, version):
    async def check():
        newcomer = context.world.entries["newcomer"]
        await context.world.wait(lambda: newcomer.is_current)
        assert newcomer.view.version == version

    context.runner.run(check())


@when("{name} reports version {version:d}")
def report_version(context, name, version):
    context.world.networks[name].set_configuration_version(version)


@then("the newcomer has no state")
def check_no_state(context):
    newcomer = context.world.entries["newcomer"]
    assert newcomer.replayed is None
    assert not newcomer.is_current


@when("a record of a newer rule set is appended")
def append_newer(context):
    context.world.log.put({"kind": "patch", "rules": 2, "id": "a", "more": []})


@then("every entry stops accepting new work and keeps its version")
def check_halted(context):
    async def check():
        entries = context.world.entries.values()
        await context.world.wait(lambda: not any(entry.is_current for entry in entries))
        await asyncio.sleep(BOUND_S)
        assert not any(entry.is_current for entry in entries)
        assert context.world.versions() == {0}

    context.runner.run(check())


@when("the reads of {seconds:f} s are counted")
def count_reads(context, seconds):
    async def count():
        before = len(context.world.log.reads)
        await asyncio.sleep(seconds)
        context.world.counts.append(len(context.world.log.reads) - before)

    context.runner.run(count())


@when("{count:d} more entries start in {centre}")
def start_more(context, count, centre):
    async def start():
        for number in range(count):
            context.world.start(f"more-{number}", centre)
        entries = context.world.entries.values()
        await context.world.wait(lambda: all(entry.is_current for entry in entries))

    context.runner.run(start())


@then("the second count is at most {factor:f} times the first")
def check_counts(context, factor):
    first, second = context.world.counts
    assert 0 < second <= factor * first, context.world.counts


@given("the log retains records for {seconds:f} s")
def retain(context, seconds):
    async def restart():
        world = context.world
        world.log.retention_s = seconds
        for name in list(world.entries):
            centre = world.networks[name].data_centre
            await world.end(name)
            world.start(name, centre, retention_s=seconds)
        entries = world.entries.values()
        await world.wait(lambda: all(entry.is_current for entry in entries))

    context.runner.run(restart())


@when("patches go on while every entry is replaced {rounds:d} times")
def replace_all(context, rounds):
    async def run():
        world = context.world
        context.accepted = []
        for number in range(rounds * 3):
            name = f"entry-{number % 3 + 1}"
            submitter = f"entry-{(number + 1) % 3 + 1}"
            outcome = await world.submit(
                base=number, name=submitter, quarantine_s=number + 1.0
            )
            context.accepted.append((outcome.status, outcome.version))
            await world.end(name)
            await asyncio.sleep(RETENTION_S / 3)
            world.start(name, f"dc-{number % 3 + 1}", retention_s=RETENTION_S)
            await world.wait(lambda name=name: world.entries[name].is_current)

    context.runner.run(run())


@then("every version is in force and none was lost")
def check_replaced(context):
    expected = [(replay.PatchStatus.ACCEPTED, number + 1) for number in range(9)]
    assert context.accepted == expected, context.accepted
    assert context.world.log.first_offset > 0, "nothing expired"
    assert context.world.versions() == {9}


@then("an entry that starts from the log alone has the same document")
def check_from_log(context):
    joined = context.runner.run(_join(context.world.log))
    view = context.world.entries["entry-1"].view
    assert joined.replay.view == view, (joined.replay.view, view)


async def _join(log):
    renewal = snapshots.RenewalSchedule(renew_after_s=10, renew_after_records=10)
    return await joining.join(log, "s", None, oldest=replay.Replay(), renewal=renewal)


def _log_of_patches(count):
    log = fakes.FakeLog()
    full_replay = replay.Replay()
    snapshot_records = []
    for number in range(count):
        data = {"kind": "patch", "rules": 1, "id": f"p{number}", "base": number}
        log.put(data | {"author": "ann", "changes": {"quarantine_s": number + 1.0}})
        full_replay.apply(log.records[-1])
        snapshot_records.append(snapshots.make(full_replay))
    return log, full_replay, snapshot_records


@then("a newcomer refuses a log whose snapshots leave a gap")
def check_gap(context):
    log, _, snapshot_records = _log_of_patches(5)
    log.put(snapshot_records[1])
    log.expire_before(3)
    try:
        context.runner.run(_join(log))
    except errors.PlatformUnknownError as error:
        assert "no usable snapshot" in str(error)
    else:
        raise AssertionError("a state was built despite the gap")


@then("a newcomer skips a snapshot that claims a later offset")
def check_future(context):
    log, full_replay, snapshot_records = _log_of_patches(5)
    log.put(snapshot_records[2])
    log.put(snapshot_records[1] | {"offset": 90})
    log.expire_before(3)
    joined = context.runner.run(_join(log))
    assert joined.replay.view == full_replay.view
    assert joined.replay.next_offset == log.next_offset
