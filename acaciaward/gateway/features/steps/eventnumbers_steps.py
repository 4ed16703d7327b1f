"""Steps for the numbers of generated streams."""

import itertools

import hypothesis
from behave import then
from hypothesis import strategies

from acaciaward.gateway import errors, eventnumbers

SETTINGS = hypothesis.settings(
    database=None, derandomize=True, max_examples=500, deadline=None
)
FIRST = strategies.integers(0, 1000)
STEP = strategies.integers(1, 50)
# A run: how many events it sends, how many of the last ones again, how many it skips,
# and after how many of its new events it skips more.
RUN = strategies.tuples(
    strategies.integers(1, 6),
    strategies.integers(0, 4),
    strategies.integers(0, 2),
    strategies.integers(0, 3),
)


def forward(numbers, known, sent):
    """Forward the events of one run; return the new ones and whether it broke off."""
    forwarded = []
    known.begin_run()
    for number in sent:
        if not known.is_new(number):
            continue
        try:
            known.check(number)
        except errors.BrokenOffError:
            return forwarded, True
        known.record(number)
        forwarded.append(number)
    return forwarded, False


@then(
    "generated streams of even steps are forwarded in order, whole up to any gap",
)
def check_even(context):
    @SETTINGS
    @hypothesis.given(
        FIRST, STEP, strategies.integers(2, 6), strategies.lists(RUN, max_size=6)
    )
    def check(first, step, first_count, runs):
        stream = list(range(first, first + step * 60, step))
        known = eventnumbers.EventNumbers()
        forwarded, is_broken = forward(stream, known, stream[:first_count])
        assert not is_broken
        for count, again, skipped, skipped_inside in runs:
            at = len(forwarded)
            sent = stream[at + skipped : at + skipped + count]
            del sent[1 : 1 + skipped_inside]
            has_gap = skipped or (skipped_inside and len(sent) > 1)
            repeated = stream[max(0, at - again) : at]
            new, is_broken = forward(stream, known, repeated + sent)
            forwarded += new
            assert forwarded == stream[: len(forwarded)], forwarded
            assert is_broken == bool(has_gap and sent), (forwarded, sent)

    check()


@then("generated streams of any steps without a gap are forwarded whole")
def check_uneven(context):
    @SETTINGS
    @hypothesis.given(
        FIRST,
        strategies.lists(STEP, min_size=3, max_size=40),
        strategies.lists(RUN, max_size=8),
    )
    def check(first, steps, runs):
        # The first run shows that the steps differ.
        steps[1] = steps[0] + 1
        stream = list(itertools.accumulate(steps, initial=first))
        known = eventnumbers.EventNumbers()
        forwarded, is_broken = forward(stream, known, stream[:3])
        for count, again, _, _ in runs:
            at = len(forwarded)
            sent = stream[max(0, at - again) : at + count]
            new, is_broken_now = forward(stream, known, sent)
            is_broken = is_broken or is_broken_now
            forwarded += new
        forwarded += forward(stream, known, stream[len(forwarded) :])[0]
        assert not is_broken and forwarded == stream, forwarded

    check()
