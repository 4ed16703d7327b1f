"""
Runs one stand-in as its own process.

    python -m standins engine --port 8201 --faults '{"step_s": 0.005}'
    python -m standins proxy --port 8301 --target 127.0.0.1:8201 --control-port 8302
"""

import asyncio
import json
import signal
import sys
import typing

import click

from acaciaward.observability import logs
from standins import base, cloud, engine, faultproxy, log, service, store


async def _run(standin: base.StandIn) -> None:
    await standin.start(is_own_process=True)
    print(f"ready {standin.address}:{standin.port}", flush=True)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await standin.stop()


def _parse_target(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    return address, int(port)


def _make_standin(kind: str, address: str, port: int, options: dict[str, typing.Any]):
    target = options["target"]
    factories = {
        "log": lambda: log.LogStandIn(address, port),
        "cloud": lambda: cloud.CloudStandIn(address, port),
        "store": lambda: store.WeightStoreStandIn(address, port),
        "instances": lambda: cloud.InstanceListStandIn(
            _parse_target(target), address, port
        ),
        "engine": lambda: engine.EngineStandIn(address, port),
        "service": lambda: service.ServiceStandIn(address, port),
        "proxy": lambda: faultproxy.FaultProxyStandIn(
            _parse_target(target), port, address, options["control_port"]
        ),
    }
    return factories[kind]()


KINDS = ("log", "cloud", "store", "instances", "engine", "service", "proxy")
NEEDS_TARGET = frozenset({"instances", "proxy"})


@click.command()
@click.argument("kind", type=click.Choice(KINDS))
@click.option("--address", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True, help="Port to listen on.")
@click.option("--target", help="ADDRESS:PORT behind a proxy or an instance list.")
@click.option("--control-port", type=int, default=0, help="Control port of a proxy.")
@click.option("--faults", default="{}", help="JSON object of faults to start with.")
def main(kind: str, address: str, port: int, faults: str, **options):
    """Run the stand-in KIND until it is told to stop."""
    if kind in NEEDS_TARGET and not options["target"]:
        raise click.UsageError(f"{kind} needs --target ADDRESS:PORT")
    logs.configure("warning", {"standin": kind})
    standin = _make_standin(kind, address, port, options)
    standin.faults.update(json.loads(faults))
    asyncio.run(_run(standin))


if __name__ == "__main__":
    sys.exit(main())
