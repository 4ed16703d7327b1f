"""Steps for admission."""

import asyncio
import itertools
import types

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from acaciaward import documents, errors, requests
from acaciaward.admission import (
    decisions,
    interfaces,
    queueing,
    retrybudget,
    shares,
    useledger,
)
from acaciaward.membership import hints

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, max_examples=200, deadline=None
)
ROUNDING_ERROR = 1e-6
SERVED_TOKENS = 20_000
AMOUNTS = strategies.floats(0, 1000)
numbers = itertools.count()


class FixedCapacity:
    def __init__(self, slots, step_s):
        self.slots = slots
        self.step_s = step_s

    def capacity(self, deployment):
        return interfaces.Capacity(self.slots, self.step_s)


def make_request(organisation, tokens, deadline_s, service_class="short"):
    now = asyncio.get_running_loop().time()
    return requests.Request(
        request_id=f"req-{next(numbers)}",
        organisation=organisation,
        deployment="text",
        kind=requests.DeploymentKind.MODEL,
        service_class=requests.ServiceClass(service_class),
        idempotent=True,
        key=None,
        digest="",
        deadline=now + deadline_s,
        max_tokens=tokens,
    )


@then("for any use of the peers the allowed part is an equal part or what peers leave")
def check_part(context):
    @SETTINGS
    @hypothesis.given(
        strategies.floats(0.1, 1000),
        strategies.lists(AMOUNTS, max_size=8),
        strategies.integers(0, 8),
    )
    def check(limit, used, peers_without_hint):
        part = useledger.allowed_here(
            limit, peer_use=used, peers_without_hint=peers_without_hint
        )
        entries = 1 + len(used) + peers_without_hint
        assert part >= limit / entries
        assert part <= limit + ROUNDING_ERROR
        rest = limit - sum(used) - peers_without_hint * limit / entries
        assert part <= max(limit / entries, rest) + ROUNDING_ERROR

    check()


@then("entries without hints never exceed a limit together")
def check_peers_without_hint(context):
    for entries in range(1, 20):
        part = useledger.allowed_here(90.0, peer_use=[], peers_without_hint=entries - 1)
        assert entries * part <= 90.0 + 1e-6, (entries, part)


@then("the least served organisation is next until shares match the weights")
def check_shares(context):
    @hypothesis.settings(parent=SETTINGS, max_examples=40)
    @hypothesis.given(
        strategies.lists(strategies.floats(0.5, 8), min_size=2, max_size=6),
        strategies.lists(strategies.integers(1, 100), min_size=6, max_size=6),
    )
    def check(weights, sizes):
        counters = shares.VirtualCounters()
        names = [f"org-{n}" for n in range(len(weights))]
        served = dict.fromkeys(names, 0)
        while sum(served.values()) < SERVED_TOKENS:
            chosen = decisions.choose_next(
                decisions.Candidate(
                    name, decisions.Grant.BORROWED, counters.value(name)
                )
                for name in names
            )
            number = names.index(chosen.organisation)
            served[chosen.organisation] += sizes[number]
            counters.charge(chosen.organisation, sizes[number], weights[number])
        for name, weight in zip(names, weights, strict=True):
            expected = weight / sum(weights)
            assert abs(served[name] / sum(served.values()) - expected) < 0.02

    check()


@given("admission for {slots:d} slots with steps of {step_s:f} s")
def make_admission(context, slots, step_s):
    membership = types.SimpleNamespace(name="entry-1", peers=list)
    configuration = types.SimpleNamespace(view=documents.View(0, {}))
    context.admission = queueing.QueueingAdmission(
        configuration,
        FixedCapacity(slots, step_s),
        useledger.UseLedger(membership, hints.HintTable("entry-1")),
        max_queued=256,
        retries=retrybudget.RetryBudgets(ratio=0.2, minimum=10.0),
    )


async def admit_at_once(context, request):
    """Return the ticket or the refusal; fail if the request has to wait."""
    task = asyncio.ensure_future(context.admission.admit(request))
    for _ in range(5):
        await asyncio.sleep(0)
    assert task.done(), "neither admitted nor refused at once"
    return task.exception() or task.result()


@when("a request of {tokens:d} tokens with a deadline of {deadline_s:f} s runs")
def run_request(context, tokens, deadline_s):
    async def admit():
        request = make_request("org-1", tokens, deadline_s)
        context.first = await admit_at_once(context, request)

    context.runner.run(admit())
    assert isinstance(context.first, interfaces.Ticket), context.first


@then(
    "a request of {tokens:d} tokens with a deadline of {deadline_s:f} s "
    "is refused at once"
)
def check_refused(context, tokens, deadline_s):
    async def admit():
        request = make_request("org-1", tokens, deadline_s)
        return await admit_at_once(context, request)

    context.refusal = context.runner.run(admit())
    assert isinstance(context.refusal, errors.OverloadedError), context.refusal
    assert context.refusal.verdict.value == "not_run"
    assert context.refusal.retry_after_s > 0


@then("it would be admitted after the stated retry delay")
def check_retry_after(context):
    async def retry():
        await asyncio.sleep(context.refusal.retry_after_s)
        context.admission.release(context.first)
        return await admit_at_once(context, make_request("org-1", 10, 1.5))

    ticket = context.runner.run(retry())
    assert isinstance(ticket, interfaces.Ticket), ticket


@when('"{organisation}" sends {count:d} urgent requests of {tokens:d} tokens')
def send_urgent(context, organisation, count, tokens):
    async def send():
        context.sent = [
            asyncio.ensure_future(
                context.admission.admit(
                    make_request(organisation, tokens, 10.0, "urgent")
                )
            )
            for _ in range(count)
        ]
        await asyncio.sleep(0.05)

    context.runner.run(send())


@then('an urgent request of "{organisation}" starts at once with priority {level:d}')
def check_urgent(context, organisation, level):
    async def admit():
        request = make_request(organisation, 5, 2.0, "urgent")
        return await admit_at_once(context, request)

    ticket = context.runner.run(admit())
    assert ticket.priority == level, ticket


@then('"flooder" has at most {max_count:d} requests with priority 0')
def check_flooder(context, max_count):
    async def finish():
        for task in context.sent:
            task.cancel()
        return await asyncio.gather(*context.sent, return_exceptions=True)

    ended = context.runner.run(finish())
    tickets = [result for result in ended if isinstance(result, interfaces.Ticket)]
    assert sum(ticket.priority == 0 for ticket in tickets) <= max_count, tickets


@when("{count:d} waiting requests are cancelled")
def cancel_waiting(context, count):
    async def cancel():
        tasks = [
            asyncio.ensure_future(
                context.admission.admit(make_request("org-1", 10, 100.0))
            )
            for _ in range(count)
        ]
        await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.runner.run(cancel())


@then("the next request starts when the first has ended")
def check_next(context):
    async def release_first():
        request = make_request("org-1", 10, 100.0)
        waiting = asyncio.ensure_future(context.admission.admit(request))
        await asyncio.sleep(0.01)
        assert not waiting.done()
        context.admission.release(context.first)
        return await asyncio.wait_for(waiting, 5)

    assert isinstance(context.runner.run(release_first()), interfaces.Ticket)


@then("an organisation can't spend more retries than it earned")
def check_budget(context):
    @SETTINGS
    @hypothesis.given(strategies.lists(strategies.booleans(), max_size=200))
    def check(events):
        budgets = retrybudget.RetryBudgets(ratio=0.2, minimum=3.0)
        earned = spent = 0
        for is_earning in events:
            if is_earning:
                budgets.earn("one")
                earned += 1
            else:
                spent += budgets.spend("one")
        assert spent <= 3.0 + 0.2 * earned + 1e-6
        assert budgets.spend("other")

    check()


def _call(number, deadline_s):
    now = asyncio.get_running_loop().time()
    return requests.Request(
        request_id=f"call-{number}",
        organisation="one",
        deployment="desk",
        kind=requests.DeploymentKind.SERVICE,
        service_class=requests.ServiceClass.URGENT,
        idempotent=True,
        key=None,
        digest=str(number),
        deadline=now + deadline_s,
    )


@when(
    "{count:d} calls of a service take {times:d} times their deadline of "
    "{limit:g} s each"
)
def run_slow_calls(context, count, times, limit):
    context.limit = limit

    async def run():
        for begin in range(0, count, 4):
            calls = [_call(begin + index, 60.0) for index in range(4)]
            tickets = [await context.admission.admit(call) for call in calls]
            await asyncio.sleep(times * limit)
            for ticket in tickets:
                context.admission.release(ticket)

    context.runner.run(run())


@then("a call is admitted again within {bound:g} s")
def check_admitted_again(context, bound):
    async def retry_until_admitted():
        async with asyncio.timeout(bound):
            while True:
                try:
                    return await context.admission.admit(_call("again", context.limit))
                except errors.OverloadedError:
                    await asyncio.sleep(0.05)

    assert isinstance(context.runner.run(retry_until_admitted()), interfaces.Ticket)
