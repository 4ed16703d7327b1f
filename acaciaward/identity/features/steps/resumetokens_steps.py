"""Steps for resume tokens and proofs of delivery."""

from behave import given, then

from acaciaward import errors
from acaciaward.dispatch import assembler
from acaciaward.identity import resumetokens

TEXTS = ["one", " two", " three"]
LIFETIME_S = 60.0
EXPIRED_S = -1.0


@given('a token signed with the key "{key}"')
def sign_token(context, key):
    context.token = resumetokens.ResumeToken(
        "org-1", "req-1", "text", "digest", "engine-1", "s1"
    )
    context.keys = [key]
    context.signed = resumetokens.sign(context.keys, context.token)
    digest = assembler.StreamAssembler(TEXTS).digest
    context.proof = resumetokens.make_delivery_proof(
        context.keys, context.token, len(TEXTS), digest
    )


def _verify(context, keys, *, organisation="org-1", lifetime_s=LIFETIME_S, text=None):
    return resumetokens.verify(
        keys,
        text or context.signed,
        organisation=organisation,
        lifetime_s=lifetime_s,
    )


def _expect_refusal(call):
    try:
        call()
    except errors.PermissionDeniedError as error:
        return str(error), error.verdict, error.retry_after_s
    raise AssertionError("it was not refused")


@then('it is accepted with the keys "{keys}"')
def check_accepted(context, keys):
    assert _verify(context, keys.split(", ")) == context.token


@then('it is refused with the keys "{keys}"')
def check_refused(context, keys):
    _expect_refusal(lambda: _verify(context, keys.split(", ")))


@then('the proof of its tokens is accepted with the keys "{keys}"')
def check_proof(context, keys):
    resumetokens.verify_delivery_proof(
        keys.split(", "), context.token, TEXTS, context.proof
    )


@then('the proof of its tokens is refused with the keys "{keys}"')
def check_proof_refused(context, keys):
    _expect_refusal(
        lambda: resumetokens.verify_delivery_proof(
            keys.split(", "), context.token, TEXTS, context.proof
        )
    )


@then(
    "it is refused with the same message if expired, altered or another organisation's"
)
def check_same_refusal(context):
    altered = "A" + context.signed[1:]
    if altered == context.signed:
        altered = "B" + context.signed[1:]
    refusals = {
        _expect_refusal(lambda: _verify(context, context.keys, lifetime_s=EXPIRED_S)),
        _expect_refusal(lambda: _verify(context, context.keys, text=altered)),
        _expect_refusal(lambda: _verify(context, context.keys, text="no token")),
        _expect_refusal(lambda: _verify(context, context.keys, organisation="org-2")),
    }
    assert len(refusals) == 1, refusals


@then("the proof of its tokens is refused for any other stream, count or text")
def check_proof_bound(context):
    token = context.token
    mismatches = (
        (token._replace(stream="s2"), TEXTS),
        (token._replace(organisation="org-2"), TEXTS),
        (token._replace(digest="other"), TEXTS),
        (token, TEXTS[:2]),
        (token, ["One", *TEXTS[1:]]),
    )
    for mismatched_token, texts in mismatches:
        _expect_refusal(
            lambda mismatched_token=mismatched_token, texts=texts: (
                resumetokens.verify_delivery_proof(
                    context.keys, mismatched_token, texts, context.proof
                )
            )
        )
