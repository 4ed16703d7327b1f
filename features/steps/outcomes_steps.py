"""Steps for non-idempotent requests and poison requests with real processes."""

import asyncio
import json
import time
import uuid

from behave import given, then, when

from acaciaward import verdicts
from acaciaward.client import caller
from bench import cluster

DEADLINE_S = 3.0
WAIT_TIMEOUT_S = 5.0
BODY = b'{"box": 7}'


@given("{entries:d} entries and {services:d} services")
def start_services(context, entries, services):
    names = [f"service-{number + 1}" for number in range(services)]
    start_cluster(
        context, entry_count=entries, service_count=services, proxied=[*names, "log"]
    )


@given('{entries:d} entries and {engines:d} engines that crash on "{poison}"')
def start_engines(context, entries, engines, poison):
    context.poison = f"a {poison} piece"
    faults = {"engine": {"poison": poison}}
    start_cluster(context, entry_count=entries, engine_count=engines, faults=faults)


def start_cluster(context, **options):
    counts = {"engine_count": 0, "service_count": 0} | options
    context.cluster = cluster.Cluster(**counts)
    context.runner.run(context.cluster.start())
    context.key = caller.new_key()


def send(context, entry_index, *, key=None, body=BODY, deadline_s=DEADLINE_S):
    """Send a request with a key through one entry, without retries."""
    return pinned_caller(context, entry_index).call(
        cluster.SERVICE,
        "confirm",
        body,
        idempotent=False,
        key=key or context.key,
        deadline_s=deadline_s,
    )


def pinned_caller(context, entry_index):
    """Return a caller that sends to one entry only and never retries."""
    running = context.cluster
    address = running.address(running.entries[entry_index])
    pinned = caller.Caller([address], key=running.keys["org-1"], max_tries=1)
    pinned.pin([address])
    running._callers.append(pinned)
    return pinned


async def verdict_of(call):
    """Await a call and return its verdict, or None if its error states none."""
    try:
        return (await call).verdict
    except caller.CallerError as error:
        return error.verdict if error.has_verdict else None


async def count_runs(context, key=None):
    total = 0
    for name in context.cluster.services:
        runs = await context.cluster.control(name, "/control/runs", method="GET")
        total += runs.get(key or context.key, 0)
    return total


async def wait_for_records(context, count):
    """Wait until the log has ``count`` records more than ``context.records_before``."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while (await context.cluster.stats("log"))[
            "records"
        ] < context.records_before + count:
            await asyncio.sleep(0.005)


async def set_service_faults(context, **faults):
    for name in context.cluster.services:
        await context.cluster.set_faults(name, **faults)


async def set_proxy_faults(context, **faults):
    for name in context.cluster.services:
        await context.cluster.set_proxy_faults(name, **faults)


@when("{count:d} callers send the same key through all entries at once")
def send_at_once(context, count):
    async def send_to_every_entry():
        entries = len(context.cluster.entries)
        return await asyncio.gather(*(send(context, n % entries) for n in range(count)))

    context.replies = context.runner.run(send_to_every_entry())


@then("each gets the answer of the one run")
def check_one_answer(context):
    assert len({reply.body for reply in context.replies}) == 1, context.replies
    assert json.loads(context.replies[0].body)["runs"] == 1
    assert context.runner.run(count_runs(context)) == 1


@when("the entry that owns another key is killed before the answer")
def kill_owner(context):
    context.key = caller.new_key()

    async def kill():
        await set_service_faults(context, answer_delay_s=1.0)
        first_send = asyncio.ensure_future(verdict_of(send(context, 0)))
        while not await count_runs(context):
            await asyncio.sleep(0.02)
        await context.cluster.processes.kill(context.cluster.entries[0])
        assert await first_send is verdicts.Verdict.MAY_HAVE_RUN

    context.runner.run(kill())


@when("the answer of the service is lost and another key is sent elsewhere")
def lose_answer(context):
    context.key = caller.new_key()

    async def lose():
        await set_proxy_faults(context, mode="cut", direction="answer")
        first_verdict = await verdict_of(send(context, 0))
        assert first_verdict is verdicts.Verdict.MAY_HAVE_RUN, first_verdict
        await set_proxy_faults(context, mode="pass", direction="both")
        context.verdict = await verdict_of(send(context, 1))

    context.runner.run(lose())


@when("the caller sends the key through another entry")
def send_elsewhere(context):
    context.verdict = context.runner.run(verdict_of(send(context, 1)))


@then('the caller gets "{verdict}" and the key ran once')
def check_verdict_and_run(context, verdict):
    assert context.verdict is verdicts.Verdict(verdict), context.verdict
    assert context.runner.run(count_runs(context)) == 1


@when("an entry is frozen between the claim and the first byte")
def freeze_owner(context):
    async def freeze():
        running = context.cluster
        # The log's answers are deferred, so that the entry is frozen after its
        # claim was appended and before it has read it back.
        await running.set_proxy_faults("log", mode="hold", direction="answer")
        context.records_before = (await running.stats("log"))["records"]
        context.first_send = asyncio.ensure_future(verdict_of(send(context, 0)))
        await wait_for_records(context, 1)
        running.processes.freeze(running.entries[0])
        await running.set_proxy_faults("log", mode="pass", direction="both")

    context.runner.run(freeze())


@then('the caller gets "{verdict}" and the thawed entry never runs the key')
def check_thawed(context, verdict):
    async def thaw_and_check():
        assert context.verdict is verdicts.Verdict(verdict), context.verdict
        await asyncio.sleep(DEADLINE_S)
        context.cluster.processes.thaw(context.cluster.entries[0])
        await context.first_send
        await asyncio.sleep(0.5)
        assert await count_runs(context) == 0

    context.runner.run(thaw_and_check())


@when("the log goes down before a request")
def stop_log(context):
    async def stop():
        await context.cluster.set_faults("log", outage=True)
        # The entries detect the outage at their next read.
        await asyncio.sleep(1.5)

    context.runner.run(stop())


@then('it is refused at once as "{verdict}" and the key didn\'t run')
def check_refused_at_once(context, verdict):
    async def check():
        began_at = time.monotonic()
        assert await verdict_of(send(context, 0)) is verdicts.Verdict(verdict)
        assert time.monotonic() - began_at < DEADLINE_S / 2
        assert await count_runs(context) == 0
        await context.cluster.set_faults("log", outage=False)
        await wait_until_served(context)

    context.runner.run(check())


async def wait_until_served(context):
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        for number in range(len(context.cluster.entries)):
            while True:
                key = caller.new_key()
                if (
                    await verdict_of(send(context, number, key=key))
                    is verdicts.Verdict.RAN
                ):
                    break
                await asyncio.sleep(0.1)


@when("the log loses the answers to its next appends")
def lose_appends(context):
    context.key = caller.new_key()
    context.runner.run(context.cluster.set_faults("log", lose_answers=2))


@then("a request runs once and is answered")
def check_ran(context):
    async def check():
        assert await verdict_of(send(context, 0)) is verdicts.Verdict.RAN
        assert await count_runs(context) == 1

    context.runner.run(check())


@when("appends take effect late, after their answer was lost")
def delay_appends(context):
    async def delay():
        context.key = caller.new_key()
        await context.cluster.set_faults("log", lose_answers=0, late_s=2.5)

    context.runner.run(delay())


@then('a request is refused as "{verdict}" and runs once when sent again later')
def check_late_append(context, verdict):
    async def check():
        assert await verdict_of(send(context, 0)) is verdicts.Verdict(verdict)
        await context.cluster.set_faults("log", late_s=0.0)
        # The claim takes effect now; its release has been or will be appended.
        await asyncio.sleep(1.5)
        assert await count_runs(context) == 0
        assert await verdict_of(send(context, 1)) is verdicts.Verdict.RAN
        assert await count_runs(context) == 1

    context.runner.run(check())


@when("the log goes down after a request has run")
def stop_log_after(context):
    async def stop():
        context.key = caller.new_key()
        assert await verdict_of(send(context, 0)) is verdicts.Verdict.RAN
        await asyncio.sleep(0.5)
        await context.cluster.set_faults("log", outage=True)

    context.runner.run(stop())


@then('another entry that is asked for its outcome doesn\'t say "{verdict}"')
def check_outcome(context, verdict):
    async def ask():
        running = context.cluster
        address = running.address(running.entries[1])
        headers = {"authorization": f"Bearer {running.keys['org-1']}"}
        path = f"/v1/outcomes/{context.key}"
        async with running._client.send(
            "GET", *address, path, headers=headers
        ) as response:
            return json.loads(await response.read())

    answer = context.runner.run(ask())
    stated_verdict = answer.get("verdict") or answer["error"]["verdict"]
    assert stated_verdict != verdict, answer


# No UUID, one of version 4, and two of version 7 with times in 2001 and in 2096.
INVALID_KEYS = (
    ("nonsense", BODY),
    (str(uuid.uuid4()), BODY),
    (str(uuid.UUID(int=(1_000_000_000_000 << 80) | 7 << 76 | 2 << 62)), BODY),
    (str(uuid.UUID(int=(4_000_000_000_000 << 80) | 7 << 76 | 2 << 62)), BODY),
)


@given("the log is up again")
def restore_log(context):
    context.key = caller.new_key()
    context.runner.run(context.cluster.set_faults("log", outage=False))
    context.runner.run(wait_until_served(context))


@then('each invalid key is refused as "{verdict}" and reaches no service')
def check_invalid_keys(context, verdict):
    async def check():
        for key, body in INVALID_KEYS:
            key_verdict = await verdict_of(send(context, 0, key=key, body=body))
            assert key_verdict is verdicts.Verdict(verdict), (key, key_verdict)
            assert await count_runs(context, key) == 0
        assert await verdict_of(send(context, 0)) is verdicts.Verdict.RAN
        other_body_verdict = await verdict_of(send(context, 0, body=b"{}"))
        assert other_body_verdict is verdicts.Verdict(verdict), other_body_verdict
        assert await count_runs(context) == 1

    context.runner.run(check())


def dead_engines(context):
    running = context.cluster
    return [name for name in running.engines if not running.processes.is_running(name)]


async def send_poison(context, entry_index, *, end=""):
    pinned = pinned_caller(context, entry_index)
    try:
        await pinned.complete(
            cluster.MODEL, context.poison + end, max_tokens=4, deadline_s=10.0
        )
    except caller.CallerError as error:
        return error
    return None


@when("a poison request kills one engine and its entry is killed too")
def kill_with_poison(context):
    async def kill():
        running = context.cluster
        context.records_before = (await running.stats("log"))["records"]
        sending = asyncio.ensure_future(send_poison(context, 0))
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not dead_engines(context):
                await asyncio.sleep(0.005)
        # The engine's death is recorded in the log before the request runs elsewhere.
        await wait_for_records(context, 1)
        await running.processes.kill(running.entries[0])
        await sending
        assert len(dead_engines(context)) == 1, dead_engines(context)

    context.runner.run(kill())


@when("every entry is replaced")
def replace_entries(context):
    async def replace():
        running = context.cluster
        for name in running.entries:
            if running.processes.is_running(name):
                await running.processes.kill(name)
        await asyncio.gather(*(running.start_entry(name) for name in running.entries))

    context.runner.run(replace())


@when("the poison request is sent through each entry")
def send_through_each(context):
    async def send_to_every_entry():
        count = len(context.cluster.entries)
        return [await send_poison(context, number) for number in range(count)]

    context.refusals = context.runner.run(send_to_every_entry())


@then("two engines are dead and the answers name the quarantine and its end")
def check_quarantine(context):
    assert len(dead_engines(context)) == 2, dead_engines(context)
    for error in context.refusals:
        assert error.status == 422, error
        # "20" begins the year of the quarantine's end.
        assert "quarantined until 20" in str(error), error
        assert error.retry_after_s > 60, error.retry_after_s


@when(
    "{count:d} prompts with that text and another end each are sent through the entries"
)
def send_prompts(context, count):
    async def send_each():
        entry_count = len(context.cluster.entries)
        for number in range(count):
            await send_poison(context, number % entry_count, end=f" {number}")

    context.runner.run(send_each())


@then("at most {most:d} engines are dead")
def check_few_dead(context, most):
    assert len(dead_engines(context)) <= most, dead_engines(context)


@when("an operator lifts the quarantine")
def lift_quarantine(context):
    async def lift_all():
        running = context.cluster
        address = running.entry_addresses[0]
        listing = await running.administer(address, "GET", "/v1/admin/quarantine")
        subjects = {record["subject"] for record in listing["quarantined"]}
        assert len(subjects) == 1, listing
        context.digest = subjects.pop().rpartition("/")[2]
        path = f"/v1/admin/quarantine/{context.digest}/lift"
        outcome = await running.administer(address, "POST", path, {})
        await running.wait_in_force(outcome["version"])
        for name in running.engines:
            if not running.processes.is_running(name):
                await running.start_endpoint(name)
            await running.set_faults(name, poison="")

    context.runner.run(lift_all())


@then("the history names who lifted it and the request is served")
def check_lifted(context):
    async def check():
        running = context.cluster
        address = running.entry_addresses[0]
        path = "/v1/admin/config/history"
        history = (await running.administer(address, "GET", path))["history"]
        patch = history[-1]
        assert context.digest in patch["changes"]["lifted"], patch
        assert patch["author"], patch
        assert await send_poison(context, 0) is None

    context.runner.run(check())
