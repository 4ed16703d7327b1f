"""Steps for whether another engine is asked beside a silent one, with fakes."""

import asyncio

from behave import given, then, when

from acaciaward import errors, requests
from acaciaward.dispatch import attempts

MAX_ATTEMPTS = 2
SILENT = requests.Endpoint(
    "engine-1", "127.0.0.1", 1, "dc-1", "text", requests.DeploymentKind.MODEL
)
OTHER = SILENT._replace(name="engine-2")
STATES = (
    "may run twice",
    "may run only once",
    "is a suspect",
    "has no attempt left",
    "no other engine can take",
    "its organisation can't repeat",
)


class Fakes:
    """A router, an admission and a quarantine that depend on a request's state."""

    def __init__(self, state):
        assert state in STATES, state
        self.state = state
        self.spent = 0

    def choose(self, request, *, excluded, **options):
        assert SILENT.name in excluded, excluded
        if self.state == "no other engine can take":
            raise errors.NoEndpointError("no other engine")
        return OTHER

    def may_retry(self, organisation):
        if self.state == "its organisation can't repeat":
            return False
        self.spent += 1
        return True

    def is_suspect(self, request):
        return self.state == "is a suspect"


@given("a request that {state}")
def make(context, state):
    context.fakes = Fakes(state)


@when("its engine is silent")
def choose(context):
    fakes = context.fakes

    async def run():
        request = requests.Request(
            request_id="req-1",
            organisation="org-1",
            deployment="text",
            kind=requests.DeploymentKind.MODEL,
            service_class=requests.ServiceClass.URGENT,
            idempotent=fakes.state != "may run only once",
            key="k",
            digest="d",
            deadline=asyncio.get_running_loop().time() + 5,
            body=b"{}",
        )
        dependencies = attempts.Dependencies(
            router=fakes,
            admission=fakes,
            claims=None,
            quarantine=fakes,
            engine=None,
            service=None,
        )
        limits = attempts.RetryLimits(MAX_ATTEMPTS, 0.001, 0.001)
        runner = attempts.AttemptRunner(dependencies, limits)
        progress = attempts.Progress(request)
        progress.attempts = 1 + (fakes.state == "has no attempt left")
        return runner.choose_beside(progress, [SILENT])

    context.chosen = context.runner.run(run())


@then(
    "{asked:d} other engine is asked, and {spent:d} of its organisation's repeats is"
    " spent"
)
def check(context, asked, spent):
    assert context.chosen == (OTHER if asked else None), context.chosen
    assert context.fakes.spent == spent, context.fakes.spent
