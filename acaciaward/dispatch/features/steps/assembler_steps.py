"""Steps that compare the assembler with naive concatenation."""

import hashlib

import hypothesis
import hypothesis.strategies as st
from behave import given, then, when

from acaciaward import errors, requests
from acaciaward.dispatch import assembler

EXAMPLES = 400
TEXTS = st.lists(st.text(min_size=1, max_size=4), min_size=1, max_size=25)


@st.composite
def interleavings(draw):
    """
    Return the answer's texts, the number of tokens delivered before, and attempts.

    Each attempt is a list of frames and begins where a real one would: at the
    first missing token or at an earlier one. Within it, frames are repeated, older
    ones arrive late, and some are dropped, as when frames of another request took
    their place.
    """
    texts = draw(TEXTS)
    attempts = []
    for _ in range(draw(st.integers(min_value=0, max_value=4))):
        first = draw(st.integers(min_value=0, max_value=len(texts)))
        last = draw(st.integers(min_value=first, max_value=len(texts)))
        attempts.append(_disturb(draw, texts, list(range(first, last))))
    attempts.append(_disturb(draw, texts, list(range(len(texts))), drop=False))
    delivered = draw(st.integers(min_value=0, max_value=len(texts)))
    return texts, delivered, attempts


def _disturb(draw, texts, order, *, drop=True):
    frames = []
    for index in order:
        kinds = ("plain", "repeated", "late", "lost") if drop else ("plain", "repeated")
        kind = draw(st.sampled_from(kinds))
        if kind == "lost":
            continue
        frames.append(requests.TokenFrame(index, texts[index]))
        if kind == "repeated":
            frames.append(frames[-1])
        if kind == "late":
            older = draw(st.integers(min_value=0, max_value=index))
            frames.append(requests.TokenFrame(older, texts[older]))
    return frames


def naive(texts):
    """Return the text of the answer as it is without faults."""
    return "".join(texts)


def _assemble(texts, delivered, attempts):
    answer = assembler.StreamAssembler(texts[:delivered])
    passed_on = list(texts[:delivered])
    for frames in attempts:
        try:
            for frame in frames:
                if answer.accept(frame):
                    passed_on.append(frame.text)
        except errors.EndpointError:
            # A gap ends the attempt; the next one continues from there.
            continue
    return answer, passed_on


@given("answers, split into attempts with repeated, late and missing frames")
def take_strategy(context):
    context.strategy = interleavings()


@when("each is assembled frame by frame")
def assemble_all(context):
    context.checked = 0

    @hypothesis.settings(max_examples=EXAMPLES, derandomize=True, database=None)
    @hypothesis.given(context.strategy)
    def check(case):
        texts, delivered, attempts = case
        answer, passed_on = _assemble(texts, delivered, attempts)
        assert naive(passed_on) == naive(texts), (passed_on, texts)
        assert passed_on == texts
        end = requests.Completion(len(texts), "", "length", 1)
        digest = hashlib.sha256(naive(texts).encode()).hexdigest()
        assert answer.finish(end).digest == digest
        context.checked += 1

    check()


@then("the delivered tokens equal the naive concatenation of the answer")
def check_count(context):
    assert context.checked >= EXAMPLES, context.checked


@given("an answer of 5 tokens of which 3 were delivered")
def take_answer(context):
    context.answer = assembler.StreamAssembler(["a", "b", "c"])


@then("a final frame with another count or finish reason is rejected")
def check_ends(context):
    ends = ((5, "length"), (2, "stop"), (3, "cancelled"), (3, "exported"), (3, ""))
    for count, reason in ends:
        try:
            context.answer.finish(requests.Completion(count, "", reason, 1))
        except errors.EndpointError:
            continue
        raise AssertionError(f"accepted {count} {reason} as complete")
    completion = context.answer.finish(requests.Completion(3, "", "stop", 1))
    assert completion.count == 3
