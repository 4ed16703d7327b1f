"""Steps for crowds of clients that nobody controls."""

import signal

from behave import given, then, when

from acaciaward.gateway.features import untrusted

NO_ROUTE = "/none/1"


@given("an entry on a small machine")
def start(context):
    context.group = untrusted.World()
    context.runner.run(context.group.start())


@when("{count:d} clients send {what} to {listener} and stay")
def send_crowd(context, count, what, listener):
    listener, _, is_without_route = listener.partition(", ")
    crowd = context.group.gather_crowd(
        count,
        untrusted.SHAPES[what](),
        listener,
        NO_ROUTE if is_without_route else None,
    )
    context.runner.run(crowd)


@when("the settings are read again")
def reload_settings(context):
    context.group.signal(signal.SIGHUP)


@when("a configuration lowers the largest legal size")
def lower_limit(context):
    context.runner.run(context.group.lower_limit())


@when("the store is away")
def cut_store(context):
    context.group.turn_away(context.group.entries)


@when("ordinary callers send {count:d} requests")
def send_ordinary(context, count):
    context.runner.run(context.group.send_ordinary(count))


@when("the entry is told to stop")
def stop_entry(context):
    context.group.signal(signal.SIGTERM)


@then("it ends by itself with {code:d}")
def check_end(context, code):
    found = context.runner.run(context.group.wait_for_end())
    assert found == code, found


@when("the clients leave")
def leave(context):
    context.runner.run(context.group.leave())


@when("a body of the largest legal size is sent whole")
def send_largest(context, excess=0):
    body = b"x" * (untrusted.BODY_BYTES + excess)
    context.status = context.runner.run(context.group.ask(body))


@when("a body of one byte over the largest legal size is sent whole")
def send_too_large(context):
    send_largest(context, 1)


@when(
    "a body of the largest legal size is sent in {pieces:d} pieces with pauses of"
    " {pause_s:g} s"
)
def send_slowly(context, pieces, pause_s):
    body = b"x" * untrusted.BODY_BYTES
    asking = context.group.ask(body, pieces, pause_s)
    context.status = context.runner.run(asking)


@then("it is answered, and reached the endpoint complete")
def check_largest(context):
    assert context.status == 200, context.status
    found = context.group.watch.body_bytes
    assert found[-1] == untrusted.BODY_BYTES, found


@then("it is refused with {status:d}")
def check_refused(context, status):
    assert context.status == status, context.status


@then("an ordinary request is answered")
def check_ordinary(context):
    context.status = context.runner.run(context.group.ask_repeatedly())


@then(
    "the entry lives, with at most {megabytes:d} MB resident and {descriptors:d}"
    " descriptors open"
)
def check_entry(context, megabytes, descriptors):
    world = context.group
    context.runner.run(world.settle())
    assert world.is_running, "the process has ended"
    resident_mb = world.peak_resident_bytes / untrusted.MEBIBYTE
    found = f"{resident_mb:.0f} MB, {world.most_descriptors} descriptors"
    print(f"peak: {found}, ordinary request: {context.status}")
    assert context.status == 200, f"{context.status}, {found}"
    assert resident_mb <= megabytes, found
    assert world.most_descriptors <= descriptors, found
