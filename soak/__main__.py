"""
Runs soaks: ``python -m soak --seed 7 --minutes 1 --json``.

Exits with 1 if a promise was broken; the entries' logs of such a run are kept, and the
command that plays it again is printed.
"""

import asyncio
import json
import pathlib
import shutil
import signal
import sys
import time

import click

from soak import faults, judge, world

# The end of a soak, without faults, must show recovery, in seconds.
MEASURED_S = 5.0
KEPT = pathlib.Path("target/soak")


async def soak(
    seed: int, seconds: float, *, entries: int, callers: int, plant: str
) -> dict:
    """Play one soak and return what it showed."""
    system = world.World(seed, entries=entries, caller_count=callers, plant=plant)
    began = time.monotonic()
    played = faults.Faults(system)
    calm_s = system.bounds.recover_s + MEASURED_S
    try:
        await system.start()
        await played.run(max(5.0, seconds - calm_s))
        healed_at = time.monotonic()
        await asyncio.sleep(calm_s)
        now = time.monotonic()
        judged = judge.Judge(
            system.book,
            system.store,
            system.disturbances,
            system.changes,
            system.bounds,
            world.VERSION_SERVICES,
        )
        judged.judge()
        judged.judge_recovery(healed_at, now)
        for stop in system.stops:
            judged.judge_stop(*stop)
    finally:
        await system.stop()
    return _result(seed, system, played, began)


def _result(
    seed: int, system: world.World, played: faults.Faults, began: float
) -> dict:
    attempts = system.book.attempts.values()
    violations = system.book.violations
    shown = [f"{one.promise} at {one.at - began:.2f}: {one.seen}" for one in violations]
    if violations:
        kept = KEPT / str(seed)
        shutil.copytree(system.folder, kept, dirs_exist_ok=True)
        (kept / "violations.txt").write_text("\n".join(shown) + "\n")
    system.clean()
    return {
        "seed": seed,
        "seconds": round(time.monotonic() - began, 1),
        "faults": len(played.done),
        "requests": len(attempts),
        "served": sum(one.is_complete and one.status == 200 for one in attempts),
        "violations": shown,
    }


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seeds", type=int, default=1, help="Play so many seeds, one by one.")
@click.option("--minutes", type=float, default=1.0, show_default=True)
@click.option("--entries", type=int, default=4, show_default=True)
@click.option("--callers", type=int, default=24, show_default=True)
@click.option("--plant", default="", help="Play a build that breaks a promise.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON, a line a seed.")
def main(
    seed: int,
    seeds: int,
    minutes: float,
    entries: int,
    callers: int,
    plant: str,
    as_json: bool,
):
    """Play seeds against real entries and say which promises were broken."""
    # Told to end, the soak still ends the processes that it has started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    broken = 0
    for one in range(seed, seed + seeds):
        result = asyncio.run(
            soak(one, minutes * 60, entries=entries, callers=callers, plant=plant)
        )
        broken += bool(result["violations"])
        if as_json:
            click.echo(json.dumps(result))
            continue
        click.echo(
            f"seed {one}: {result['faults']} faults, {result['served']} of "
            f"{result['requests']} served, {len(result['violations'])} violations"
        )
        for line in result["violations"]:
            click.echo(f"  {line}")
        if result["violations"]:
            click.echo(f"  again: python -m soak --seed {one} --minutes {minutes}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
