"""Steps for readings of orders, and for plans at one entry."""

import random

from behave import given, then, when

from acaciaward.catalogue import endpoints
from acaciaward.rollouts import decisions, entryrollouts, plans, steering
from acaciaward.routing import versionchoice

SERVICE = "app"


def _order(target, place=(1, 5), *, is_exact=True):
    return plans.Order(SERVICE, target, 12.0, 1000.0 + place[1], place, is_exact)


def _plan(target, phase, number=(1, 1), share=0.0):
    return plans.Plan(_order(target), number, plans.Phase(phase), share, "")


@given('an order for "{target}" read as change {offset:d} of era {era:d}')
def read_first(context, target, offset, era):
    context.order = _order(target, (era, offset + 1))


@when('an order for "{target}" is read as {kind} {offset:d} of era {era:d}')
def read_second(context, target, kind, offset, era):
    is_exact = kind == "change"
    place = (era, offset + is_exact)
    context.newest = plans.newer_order(
        context.order, _order(target, place, is_exact=is_exact)
    )


@then('the newest order is for "{target}" and is {same}')
def check_newest(context, target, same):
    assert context.newest.target == target, context.newest
    is_same = context.newest.is_same(context.order)
    assert is_same is (same == "the same"), context.newest


@given('a plan for "{target}" with number {fence:d}.{step:d} and phase "{phase}"')
def know_plan(context, target, fence, step, phase):
    context.plan = _plan(target, phase, (fence, step))


@when(
    'a plan for "{target}" with number {fence:d}.{step:d} and phase "{phase}" is heard'
)
def hear_plan(context, target, fence, step, phase):
    context.plan = plans.newer_plan(context.plan, _plan(target, phase, (fence, step)))


@then('the plan has the phase "{phase}"')
def check_phase(context, phase):
    assert context.plan.phase.value == phase, context.plan


@given(
    'an entry with endpoints of "{first}" and "{second}" and an order for "{target}"'
)
def make_entry(context, first, second, target):
    context.now = 100.0
    directory = endpoints.Directory(lambda: context.now)
    for number, version in enumerate((first, second)):
        directory.update(
            endpoints.Endpoint(
                f"e-{number}",
                1,
                SERVICE,
                "127.0.0.1",
                1000 + number,
                "dc",
                4,
                endpoints.EndpointState.READY,
                version=version,
            )
        )
    context.rollouts = entryrollouts.EntryRollouts(
        directory, rng=random.Random(1), clock=lambda: context.now
    )
    context.rollouts.record_order(_order(target))


@when('a plan with phase "{phase}" and share {share:g} was stated {age:g} s ago')
def state_plan(context, phase, share, age):
    order = context.rollouts.orders[SERVICE]
    plan = _plan(order.target, phase, share=share)
    context.rollouts.adopt(plan, age_s=age)


def _count(context, version, *, is_repeat):
    choices = [
        context.rollouts.choose_version(SERVICE, is_repeat=is_repeat)
        for _ in range(1000)
    ]
    return sum(versionchoice.allows(choice, version) for choice in choices)


@then('{least:d} to {most:d} of 1000 new requests go to "{version}"')
def check_share(context, least, most, version):
    count = _count(context, version, is_repeat=False)
    assert least <= count <= most, count


@then('no repeat goes to "{version}"')
def check_repeats(context, version):
    assert _count(context, version, is_repeat=True) == 0


@then("any version may get new requests")
def check_any(context):
    assert context.rollouts.choose_version(SERVICE, is_repeat=False) is None


@given('the last plan was for "{target}" with phase "{phase}"')
def last_plan(context, target, phase):
    context.plan = None if target == "-" else _plan(target, phase)


@given('a last plan that excluded "{other}" and tried "{target}"')
def last_plan_excluding(context, other, target):
    context.plan = _plan(target, "trial")._replace(excluded=(other,))


@given("endpoints of {versions} are ready")
def ready_versions(context, versions):
    context.versions = frozenset(versions.split(","))


def _follow(context, order, now=1001.0):
    view = steering.View(0.0, now, {}, None, False, context.versions, 7)
    bounds = decisions.Bounds()
    return steering.Steering(bounds).next_plan(order, context.plan, view)


@when('an order for "{target}" is followed')
def follow_order(context, target):
    context.next_plan = _follow(context, _order(target, (1, 50)))


@then('its plan has the phase "{phase}" and excludes "{excluded}"')
def check_first_plan(context, phase, excluded):
    plan = context.next_plan
    assert plan.phase.value == phase, plan
    assert ",".join(plan.excluded) == excluded, plan
    assert context.plan is None or plan.number > context.plan.number


@then('its plan has the phase "{phase}" and excludes ""')
def check_first_plan_alone(context, phase):
    check_first_plan(context, phase, "")


@when("{seconds:d} s have passed since the order")
def pass_time(context, seconds):
    order = context.plan.order
    context.next_plan = _follow(context, order, order.ordered_at + seconds)


@then('the plan has now the phase "{phase}"')
def check_next_phase(context, phase):
    assert context.next_plan.phase.value == phase, context.next_plan


@when("the order is withdrawn")
def withdraw(context):
    context.withdrawal = _order("", (1, 60))
    context.next_plan = _follow(context, context.withdrawal)


@then('the plan has the phase "{phase}" and follows the withdrawal')
def check_withdrawn(context, phase):
    assert context.next_plan.phase.value == phase, context.next_plan
    assert context.next_plan.follows(context.withdrawal)
