"""
Runs an experiment's platform in one process: a cloud whose instances run engines.

A rented instance has a stand-in engine that accepts work after ``--boot-s``;
reclaiming or releasing the instance ends the engine. The instance list and the
weight store listen on ports of their own. ``GET /control/meter`` returns the
tokens that all engines computed, and how many of them were recomputed.

    python -m bench.world --cloud 9200 --instances 9300 --weights 9400
"""

import asyncio
import json
import signal
import sys
import typing

import blacksheep
import click
from blacksheep.server.responses import json as json_response

from acaciaward.observability import logs
from standins import base, cloud, engine, ports, store

# Loading takes 0.1 s, since a day is compressed to seconds.
WEIGHT_BYTES_PER_S = 2e10


class Meter:
    """
    Counts computed tokens, and how many of them were recomputed.

    Every prompt of an experiment is unique. So the prefill of a second stream
    with the same prompt is recomputed, and so is any answer token at an index
    that was reached before.
    """

    def __init__(self):
        self.computed = 0
        self.recomputed = 0
        self._first_stream_ids: dict[str, int] = {}
        self._reached: dict[str, int] = {}

    def record(self, stream: typing.Any, prefilled: int, first: int, last: int) -> None:
        """Count ``prefilled`` prompt tokens and the answer's ``first`` to ``last``."""
        prompt = stream.order["prompt"]
        first_stream_id = self._first_stream_ids.setdefault(prompt, id(stream))
        reached = self._reached.get(prompt, 0)
        self.computed += prefilled + last - first
        if first_stream_id != id(stream):
            self.recomputed += prefilled
        self.recomputed += max(0, min(last, reached) - first)
        self._reached[prompt] = max(reached, last)


class MeteredEngine(engine.EngineStandIn):
    """A stand-in engine whose computed tokens are metered."""

    def __init__(self, meter: Meter, faults: dict[str, typing.Any]):
        super().__init__(port=ports.find_free_port())
        self.faults.update(faults)
        self._meter = meter

    def _advance(self, batch: list[typing.Any]) -> int:
        before = [(stream, stream.prefill_left, stream.count) for stream in batch]
        prefilled = super()._advance(batch)
        for stream, prefill_left, count in before:
            computed = prefill_left - stream.prefill_left
            self._meter.record(stream, computed, count, stream.count)
        return prefilled


class RentingCloud(cloud.CloudStandIn):
    """A cloud whose rented instances run metered engines in this process."""

    def __init__(self, port: int, *, boot_s: float, faults: dict[str, typing.Any]):
        super().__init__(port=port)
        self.meter = Meter()
        self._boot_s = boot_s
        self._engine_faults = faults
        self._engines: dict[str, MeteredEngine] = {}
        self._boots: set[asyncio.Task] = set()
        self.add_route("GET", "/control/meter", self._get_meter)

    async def launch(self, instance: dict[str, typing.Any]) -> None:
        """Boot an engine on a new instance."""
        new_engine = MeteredEngine(self.meter, self._engine_faults)
        await new_engine.start()
        new_engine.faults["refuse"] = True
        instance |= {"port": new_engine.port, "state": "starting"}
        self._engines[instance["name"]] = new_engine
        task = asyncio.create_task(self._boot(instance, new_engine))
        self._boots.add(task)
        task.add_done_callback(self._boots.discard)

    async def _boot(self, instance: dict[str, typing.Any], new_engine: MeteredEngine):
        await asyncio.sleep(self._boot_s)
        new_engine.faults["refuse"] = False
        if instance["state"] == "starting":
            instance["state"] = "live"

    async def terminate(self, instance: dict[str, typing.Any]) -> None:
        """End the engine of an instance."""
        ended_engine = self._engines.pop(instance["name"], None)
        if ended_engine is not None:
            await ended_engine.crash()

    async def _get_meter(self) -> blacksheep.Response:
        return json_response(
            {"computed": self.meter.computed, "recomputed": self.meter.recomputed}
        )


async def _run(standins: typing.Sequence[base.StandIn]) -> None:
    for standin in standins:
        await standin.start()
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    await stopped.wait()


@click.command()
@click.option("--cloud", "cloud_port", type=int, required=True)
@click.option("--instances", "instances_port", type=int, required=True)
@click.option("--weights", "weights_port", type=int, required=True)
@click.option("--boot-s", type=float, default=0.5, show_default=True)
@click.option("--lag-s", type=float, default=0.2, show_default=True)
@click.option("--faults", default="{}", help="JSON object of the engines' faults.")
def main(cloud_port, instances_port, weights_port, boot_s, lag_s, faults):
    """Run the platform until SIGTERM or SIGINT."""
    logs.configure("error", {"standin": "world"})
    renting_cloud = RentingCloud(cloud_port, boot_s=boot_s, faults=json.loads(faults))
    instance_list = cloud.InstanceListStandIn(
        ("127.0.0.1", cloud_port), port=instances_port
    )
    instance_list.faults |= {"lag_s": lag_s, "poll_s": 0.1}
    weight_store = store.WeightStoreStandIn(port=weights_port)
    weight_store.faults["bytes_per_s"] = WEIGHT_BYTES_PER_S
    # The instance list starts last: once its port accepts, all are listening.
    asyncio.run(_run([renting_cloud, weight_store, instance_list]))


if __name__ == "__main__":
    sys.exit(main())
