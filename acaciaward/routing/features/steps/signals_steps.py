"""Steps for what endpoints say of themselves, with entries that run in this process."""

import collections
import itertools
import math
import time

from behave import then, when

from acaciaward.catalogue.features import delivery
from acaciaward.routing.features import traffic

# The drain time of the entries' settings, in seconds.
DRAIN_S = 2.0
# Time after a refusal in which requests may still be under way, and how many may reach
# the endpoint in the rest of the time that it asked for.
GRACE_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2
REFUSED = 503

# Share of requests that are refused, and which answers say that the endpoint leaves.
LEAVING = {
    "all answers": (0.0, lambda entry, status: True),
    "half as 503": (0.5, lambda entry, status: True),
    "503 refusals only": (0.5, lambda entry, status: status == REFUSED),
    "answers to one entry": (0.0, lambda entry, status: entry == 0),
}


def refuse(context, name, share):
    server = context.traffic.servers[name]
    server.behaviour = "refuse" if share else "pass"
    server.share = share
    context.began_at = min(context.began_at or time.monotonic(), time.monotonic())


@when("{name} says in {answers} that it leaves")
def say_leaving(context, name, answers):
    share, says_leaving = LEAVING[answers]
    context.began_at = time.monotonic()
    if share:
        refuse(context, name, share)
    context.traffic.servers[name].says_leaving = lambda request, status: says_leaving(
        context.traffic.entry_of(request), status
    )


@when("{name} refuses {share:d} of 100 requests and asks for a back-off of {seconds} s")
def ask_to_back_off(context, name, share, seconds):
    refuse(context, name, share / 100)
    context.traffic.servers[name].backoff = seconds


@when("{name} refuses no requests")
def refuse_none(context, name):
    refuse(context, name, 0.0)


@then("no entry that was told sent {name} a request after the drain time")
def check_leaving(context, name):
    late = collections.Counter()
    told_count = 0
    for entry in range(len(context.world.entries)):
        told = [
            answer.at
            for answer in context.traffic.announced[name, entry]
            if "Server-Leaving" in answer.headers
        ]
        told_count += bool(told)
        first_told_at = min(told, default=math.inf)
        for request in context.traffic.requests[name]:
            is_late = request.sent_at > first_told_at + DRAIN_S
            late[entry] += is_late and request.entry == entry
    assert told_count
    assert not late.total(), late


@then("no entry sent {name} a request later than the contact time")
def check_all_leave(context, name):
    told_at = min(
        answer.at
        for (server, _), answers in context.traffic.announced.items()
        for answer in answers
        if server == name
    )
    late = [
        request
        for request in context.traffic.requests[name]
        if request.sent_at > told_at + delivery.CONTACT_S
    ]
    assert not late, len(late)


@then("no entry sent {name} more than 2 requests during a back-off")
def check_backoff(context, name):
    broken = backoff_count = most = 0
    for entry in range(len(context.world.entries)):
        arrived_at = [
            request.at
            for request in context.traffic.requests[name]
            if request.entry == entry
        ]
        for answer in context.traffic.announced[name, entry]:
            if "Retry-After" not in answer.headers:
                continue
            end = answer.at + float(answer.headers["Retry-After"])
            count = sum(answer.at + GRACE_S < at < end for at in arrived_at)
            backoff_count += 1
            broken += count > MAX_REQUESTS_IN_BACKOFF
            most = max(most, count)
    assert backoff_count
    assert not broken, (
        f"{broken} of {backoff_count} back-offs broken, up to {most} requests"
    )


@then("all requests were served")
def check_all_served(context):
    answers = context.traffic.answers_since(context.began_at)
    failed = [answer for answer in answers if answer.status != traffic.OK]
    assert answers and not failed, (len(failed), len(answers), failed[:5])


@then("all requests were refused within {limit_s:g} s, with a time to retry")
def check_all_refused(context, limit_s):
    answers = context.traffic.answers_since(context.began_at)
    wrong = list(
        itertools.filterfalse(
            lambda answer: (
                answer.status == traffic.UNAVAILABLE
                and answer.took_s <= limit_s
                and answer.retry_after_s
            ),
            answers,
        )
    )
    assert answers and not wrong, (len(wrong), len(answers), wrong[:5])
