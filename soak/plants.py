"""
Builds that break a promise, for showing that the soak would see it.

    python -m soak --plant twice --seed 1 --minutes 0.7

A plant replaces one function of an entry before it starts; nothing of the product
knows of it.
"""

import asyncio
import os
import sys
import time
from collections import abc

import h11

from acaciaward.admission import quotas, repeatbudget
from acaciaward.catalogue import endpoints, routes, storeview
from acaciaward.cli import main as cli_main
from acaciaward.gateway import callers, callprogress, forwarding, process, upstreams
from acaciaward.platform import duties, headers

STARTED = time.monotonic()
# When a plant that waits begins to bite, in seconds after its process's start.
BITES_AFTER_S = 12.0


def _is_late() -> bool:
    return time.monotonic() - STARTED > BITES_AFTER_S


def twice() -> None:
    """Send again what may have run."""
    routes.Route.may_repeat = property(lambda route: True)


def refused() -> None:
    """Say of a call that may have run that it has not."""

    def raise_broken(self, progress, responder, reason, **more):
        raise callprogress.RefusedError(503, reason, retry_after_s=0.1)

    forwarding.Forwarder._raise_refusal = raise_broken


def mixed() -> None:
    """Take bytes that come after an answer for the next one."""
    upstreams.UpstreamConnection.is_clean = lambda link: True
    original = upstreams._UpstreamProtocol.data_received

    def data_received(protocol, data):
        protocol.is_idle = False
        original(protocol, data)

    upstreams._UpstreamProtocol.data_received = data_received

    def start_next(link):
        rest, _ = link._parser.trailing_data
        link._parser = h11.Connection(h11.CLIENT)
        if rest:
            link._parser.receive_data(rest)

    upstreams.UpstreamConnection.start_next = start_next
    decode = headers.decode_reply

    def decode_reply(status, found):
        return decode(status, found)._replace(attempt_id=None)

    headers.decode_reply = decode_reply


def unasked() -> None:
    """Pass the caller's key on."""
    headers.SYSTEM_HEADERS = headers.SYSTEM_HEADERS - {headers.AUTHORIZATION}


def order() -> None:
    """Pass on events whatever their number."""
    callprogress.Progress.accept_event = lambda progress, event: True


def drain() -> None:
    """Go on sending to endpoints that leave."""
    endpoints.Directory.ready = lambda directory, service: directory.of_service(service)


def config() -> None:
    """Keep the configuration that came first."""
    original = storeview.StoreView._apply_configurations

    def take(self, values):
        if self.catalogue.version < 0:
            original(self, values)

    storeview.StoreView._apply_configurations = take


def budget() -> None:
    """Repeat without a budget."""
    repeatbudget.RepeatBudgets.spend = lambda budgets, service: True
    routes.Route.max_attempts = property(lambda route: 30)


def quota() -> None:
    """Admit everything."""
    quotas.Quotas.admit = lambda shared, organisation, amount, part: None


def one() -> None:
    """Report a window again with other counts."""
    original = duties.Duties.report_usage

    async def report(self, window, counts, fence):
        await original(self, window, counts, fence)
        await original(self, window, {**counts, "another": 1}, fence)

    duties.Duties.report_usage = report


def gone() -> None:
    """Work on for callers that have left."""

    async def watch(connection):
        await asyncio.get_running_loop().create_future()

    async def write(connection, data):
        if not connection._writer.transport.is_closing():
            connection._writer.write(data)

    callers.CallerConnection._wait_for_disconnect = watch
    callers.CallerConnection.write = write


def lost() -> None:
    """Cut what runs when told to stop."""

    async def stop(gateway):
        await gateway._end()
        return 1

    process.Gateway.stop = stop


def recover() -> None:
    """Refuse everything after a while."""
    original = forwarding.Forwarder.handle

    async def handle(self, call, responder):
        if _is_late():
            await responder.send(503, [], b"")
        else:
            await original(self, call, responder)

    forwarding.Forwarder.handle = handle


def end() -> None:
    """End the process after a while."""
    original = process.Gateway._run_housekeeping

    async def tidy(gateway):
        asyncio.get_running_loop().call_later(BITES_AFTER_S, os._exit, 3)
        await original(gateway)

    process.Gateway._run_housekeeping = tidy


PLANTS: dict[str, abc.Callable[[], None]] = {
    plant.__name__: plant
    for plant in (
        twice,
        refused,
        mixed,
        unasked,
        order,
        drain,
        config,
        budget,
        quota,
        one,
        gone,
        lost,
        recover,
        end,
    )
}


def main() -> None:
    """Plant what the first argument names, and run the command line on the rest."""
    name = sys.argv.pop(1)
    PLANTS[name]()
    cli_main.run()


if __name__ == "__main__":
    main()
