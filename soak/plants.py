"""
Planted faults of entries, to show that the soak detects them.

    python -m soak --plant twice --seed 1 --minutes 0.7

Each plant breaks one promise by replacing functions of an entry before it starts; the
code of the entry has no hooks for it.
"""

import asyncio
import os
import time
from collections import abc

import h11

from acaciaward.admission import quotas, repeatbudget
from acaciaward.catalogue import endpoints, routes, storeview
from acaciaward.gateway import (
    callers,
    callprogress,
    errors,
    events,
    forwarding,
    hedging,
    process,
    refusals,
    upstreams,
)
from acaciaward.membership import contacts, entrycount
from acaciaward.platform import duties, headers
from acaciaward.quarantine import promptparts, suspects
from acaciaward.resumption import servingversions
from acaciaward.routing import backoffs, brittleness, occupancy

STARTED_AT = time.monotonic()
# Delay after the start of the process with which some plants take effect.
EFFECT_DELAY_S = 12.0


def _is_in_effect() -> bool:
    return time.monotonic() - STARTED_AT > EFFECT_DELAY_S


def twice() -> None:
    """Repeat requests that may have run, whatever the kind of their route."""
    routes.Route.may_repeat = property(lambda route: True)


def refused() -> None:
    """Refuse calls that may have run, as if they had not."""

    def refuse(self, progress, responder, reason, **more):
        raise callprogress.RefusedError(503, reason, retry_after_s=0.1)

    refusals.Refusals.refuse = refuse


def mixed() -> None:
    """Treat bytes that follow an answer as the beginning of the next answer."""
    upstreams.UpstreamConnection.is_clean = lambda upstream: True
    original = upstreams._UpstreamProtocol.data_received

    def data_received(protocol, data):
        protocol.is_idle = False
        original(protocol, data)

    upstreams._UpstreamProtocol.data_received = data_received

    def start_next(upstream):
        rest, _ = upstream._parser.trailing_data
        upstream._parser = h11.Connection(h11.CLIENT)
        if rest:
            upstream._parser.receive_data(rest)

    upstreams.UpstreamConnection.start_next = start_next
    upstreams.UpstreamConnection._is_answer_to = staticmethod(
        lambda call, reply_head, *, is_first: True
    )


def unasked() -> None:
    """Forward the caller's API key to servers."""
    headers.SYSTEM_HEADERS = headers.SYSTEM_HEADERS - {headers.AUTHORIZATION}


def order() -> None:
    """Forward the events of a stream whatever their number."""
    callprogress.Progress.is_new = lambda progress, event: True
    callprogress.Progress.check_order = lambda progress, event: None
    callprogress.Progress.record_event = lambda progress, event: None


def versions() -> None:
    """Let streams go on at any version of the endpoints' software."""
    occupancy._of_version = lambda known, version: known
    endpoints.Directory.only_version = lambda directory, service, span_s, **listing: ""


def guessed() -> None:
    """Take any version that the store names for the one that began a stream."""
    original = servingversions.ServingVersions.read

    async def read(self, service):
        return frozenset(sorted(await original(self, service))[:1])

    servingversions.ServingVersions.read = read


def parts() -> None:
    """Blame no part of prompts."""
    promptparts.PromptParts.refuse_for_s = lambda parts, names: 0.0


def drain() -> None:
    """Keep sending requests to endpoints that leave."""
    endpoints.Directory.ready = lambda directory, service: directory.of_service(service)


def leaving() -> None:
    """Pass over that endpoints say in their answers that they leave."""
    endpoints.Directory.record_leaving = lambda directory, incarnation, *, by_peer: None


def backoff() -> None:
    """Send requests to endpoints that have asked to back off."""
    backoffs.EndpointBackoffs.left_s = lambda known, endpoint: 0.0


def brittle() -> None:
    """Pass over that endpoints say in their answers that they are brittle."""
    brittleness.Brittleness.is_brittle = lambda known, endpoint: False


def lapsing() -> None:
    """Forget what endpoints said as their records go."""
    original = occupancy.Occupancy._follow

    def follow(self, before, after):
        original(self, before, after)
        if after is None:
            self.backoffs._ends._by_name.pop(before.name, None)
            self._directory._departures._by_name.pop(before.name, None)

    occupancy.Occupancy._follow = follow


def joined() -> None:
    """Go on with a stream whatever the next endpoint answers."""
    events.AnswerCheck.check = lambda check, new_events: new_events


def config() -> None:
    """Keep the first configuration and ignore later ones."""
    original = storeview.StoreView._apply_configurations

    def apply_configurations(self, values, source):
        if self.catalogue.version < 0:
            original(self, values, source)

    storeview.StoreView._apply_configurations = apply_configurations


def budget() -> None:
    """Repeat requests without a retry budget."""
    repeatbudget.RepeatBudgets.spend = lambda budgets, service: True
    routes.Route.max_attempts = property(lambda route: 30)


def quota() -> None:
    """Admit requests beyond every quota."""
    quotas.Quotas.admit = lambda shared, organisation, amount, part: None


def one() -> None:
    """Report each usage window a second time, with other counts."""
    original = duties.Duties.report_usage

    async def report(self, window, counts, fence):
        await original(self, window, counts, fence)
        await original(self, window, {**counts, "another": 1}, fence)

    duties.Duties.report_usage = report


def fence() -> None:
    """Send the same fencing token in every tenure."""
    original = duties.Duties._call

    async def call(self, path, body, fence, *more):
        return await original(self, path, body, 0, *more)

    duties.Duties._call = call


def usage() -> None:
    """Report no usage from ``EFFECT_DELAY_S`` after the start on."""
    original = duties.Duties.report_usage

    async def report(self, window, counts, fence):
        if not _is_in_effect():
            await original(self, window, counts, fence)

    duties.Duties.report_usage = report


def gone() -> None:
    """Keep running requests of callers that have left."""

    async def wait_for_disconnect(connection):
        await asyncio.get_running_loop().create_future()

    async def write(connection, data):
        if not connection._writer.transport.is_closing():
            connection._writer.write(data)

    callers.CallerConnection._wait_for_disconnect = wait_for_disconnect
    callers.CallerConnection.write = write


def lost() -> None:
    """Abort running requests on an orderly stop."""

    async def stop(gateway, requested_at):
        await gateway._end()
        return 1

    process.Gateway.stop = stop


def hasty() -> None:
    """End attempts whose endpoints are silent once another one seems well."""

    def start_backup(contender):
        try:
            contender._prepare_backup()
        except hedging.NoBackupError:
            return
        contender.source.interrupt(errors.SilentError("endpoint sends no data"))

    hedging.Contender.start_backup = start_backup


def recover() -> None:
    """Refuse every request from ``EFFECT_DELAY_S`` after the start on."""
    original = forwarding.Forwarder.handle

    async def handle(self, call, responder):
        if _is_in_effect():
            await responder.send(503, [], b"")
        else:
            await original(self, call, responder)

    forwarding.Forwarder.handle = handle


def end() -> None:
    """End the process ``EFFECT_DELAY_S`` after the entry has started."""
    original = process.Gateway._run_housekeeping

    async def run_housekeeping(gateway):
        asyncio.get_running_loop().call_later(EFFECT_DELAY_S, os._exit, 3)
        await original(gateway)

    process.Gateway._run_housekeeping = run_housekeeping


def seeds() -> None:
    """Find others by the seeds of the start alone, and take silence for their end."""

    async def run(self):
        await asyncio.get_running_loop().create_future()

    contacts.Contacts.run = run

    def count(self):
        if self._clock() - self._started_at < entrycount.GOSSIP_SETTLE_S:
            return max(entrycount.ASSUMED_ENTRIES, self._saved())
        return len(self._live)

    entrycount.EntryCount.count = count


def early() -> None:
    """Count only crashes that come as answers begin."""
    original = suspects.Suspects.record_crash

    def record_crash(self, request, endpoint, *, is_early=True):
        return original(self, request, endpoint) if is_early else 0

    suspects.Suspects.record_crash = record_crash


def accused() -> None:
    """Suspect each request that an endpoint ran as it crashed."""
    suspects.Suspects.is_suspect = lambda self, request: bool(
        self._known(request).endpoints
    )


PLANTS: dict[str, abc.Callable[[], None]] = {
    plant.__name__: plant
    for plant in (
        twice,
        refused,
        mixed,
        unasked,
        order,
        versions,
        guessed,
        parts,
        drain,
        leaving,
        backoff,
        brittle,
        lapsing,
        joined,
        config,
        budget,
        quota,
        one,
        fence,
        usage,
        gone,
        lost,
        hasty,
        recover,
        end,
        seeds,
        early,
        accused,
    )
}
