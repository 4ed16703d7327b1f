"""
Runs soaks: ``python -m soak --seed 7 --minutes 1 --json``.

Exits with 1 if a promise was broken. Then the entries' logs and settings are kept, and
a command that repeats the run is printed.
"""

import asyncio
import json
import pathlib
import shutil
import signal
import sys
import time

import click

from soak import builds, faults, judge, world

# How long a soak checks for recovery at its end, once faults are over.
RECOVERY_CHECK_S = 5.0
FAILED_RUNS_FOLDER = pathlib.Path("target/soak")


async def soak(
    seed: int,
    seconds: float,
    *,
    entries: int,
    callers: int,
    plant: str,
    favoured: str = "",
    other_build: builds.Build | None = None,
) -> dict:
    """Run one soak and return its result."""
    system = world.SystemUnderTest(
        seed,
        entry_count=entries,
        caller_count=callers,
        plant=plant,
        other_build=other_build,
    )
    began_at = time.monotonic()
    injector = faults.FaultInjector(system, favoured)
    fault_free_s = system.bounds.recover_s + RECOVERY_CHECK_S
    try:
        await system.start()
        await injector.run(max(5.0, seconds - fault_free_s))
        faults_ended_at = time.monotonic()
        await asyncio.sleep(fault_free_s)
        checker = judge.Checker(
            system.recorder,
            system.store,
            system.disturbances,
            system.configuration_changes,
            system.bounds,
            world.VERSION_SERVICE_COUNT,
            system.crashes,
            list(system.known_entries),
            system.signals,
            system.orderly_stops,
        )
        checker.check_recovery(faults_ended_at, time.monotonic())
        await asyncio.sleep(_usage_check_s(system))
        checker.check()
        system.poison.check(
            system.disturbances,
            system.bounds,
            judge.MEASUREMENT_ALLOWANCE_S,
            system.folder.glob("*.log"),
        )
        injector.brittle_servers.check(
            system.recorder, system.disturbances, system.bounds.contact_s
        )
        for stop in system.orderly_stops:
            checker.check_stop(*stop)
    finally:
        await system.stop()
    return _summarise(seed, system, injector, began_at)


def _usage_check_s(system: world.SystemUnderTest) -> float:
    """Return how long from now windows after the last restore can be checked."""
    bounds = system.bounds
    checked_at = max(system.store.restored_at, default=0.0) + bounds.usage_resumed_s
    due = checked_at + bounds.usage_late_s + 2 * bounds.usage_window_s
    return due - time.monotonic()


def _summarise(
    seed: int,
    system: world.SystemUnderTest,
    injector: faults.FaultInjector,
    began_at: float,
) -> dict:
    """Return a soak's result; keep a copy of its folder if a promise was broken."""
    attempts = system.recorder.attempts.values()
    new_streams = [
        attempt
        for attempt in attempts
        if attempt.kind == "resumable" and attempt.origin is None
    ]
    taken_up = {
        attempt.origin.attempt_id for attempt in attempts if attempt.origin is not None
    }
    went_on = {
        attempt.origin.attempt_id
        for attempt in attempts
        if attempt.origin is not None and attempt.events
    }
    violations = system.recorder.violations
    lines = [
        f"{violation.promise} at {violation.at - began_at:.2f}: {violation.detail}"
        for violation in violations
    ]
    if violations:
        kept_folder = FAILED_RUNS_FOLDER / str(seed)
        shutil.copytree(system.folder, kept_folder, dirs_exist_ok=True)
        (kept_folder / "violations.txt").write_text("\n".join(lines) + "\n")
        (kept_folder / "events.txt").write_text(_describe_events(system, began_at))
    system.remove_folder()
    return {
        "seed": seed,
        "seconds": round(time.monotonic() - began_at, 1),
        "faults": len(injector.injected),
        "requests": len(attempts),
        "served": sum(
            attempt.is_complete and attempt.status == 200 for attempt in attempts
        ),
        "new_streams": len(new_streams),
        "began": sum(attempt.events > 0 for attempt in new_streams),
        "taken_up": len(taken_up),
        "went_on": len(went_on),
        "violations": lines,
    }


def _describe_events(system: world.SystemUnderTest, began_at: float) -> str:
    """Return the faults and the calls of the duties' holders, a line each, in order."""
    events = list(system.events)
    for call in (*system.store.reports, *system.store.orders):
        events.append((call.at, f"{call.holder} fence {call.fence}: {call.body}"))
    return "".join(f"{at - began_at:.2f} {text}\n" for at, text in sorted(events))


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seeds", type=int, default=1, help="Play so many seeds, one by one.")
@click.option("--minutes", type=float, default=1.0, show_default=True)
@click.option("--entries", type=int, default=4, show_default=True)
@click.option("--callers", type=int, default=24, show_default=True)
@click.option("--plant", default="", help="Play a build that breaks a promise.")
@click.option("--favoured", default="", help="Inject this fault more often.")
@click.option("--beside", default="", help="Let entries be of this commit, too.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON, a line a seed.")
def main(
    seed: int,
    seeds: int,
    minutes: float,
    entries: int,
    callers: int,
    plant: str,
    favoured: str,
    beside: str,
    as_json: bool,
):
    """Play seeds against real entries and say which promises were broken."""
    # On SIGTERM, exit as usual, so that the started processes are ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    other_build = builds.check_out(beside) if beside else None
    failed_count = 0
    for current_seed in range(seed, seed + seeds):
        result = asyncio.run(
            soak(
                current_seed,
                minutes * 60,
                entries=entries,
                callers=callers,
                plant=plant,
                favoured=favoured,
                other_build=other_build,
            )
        )
        failed_count += bool(result["violations"])
        if as_json:
            click.echo(json.dumps(result))
            continue
        click.echo(
            f"seed {current_seed}: {result['faults']} faults, {result['served']} of "
            f"{result['requests']} served, {result['went_on']} of "
            f"{result['taken_up']} streams taken up went on, "
            f"{len(result['violations'])} violations"
        )
        for line in result["violations"]:
            click.echo(f"  {line}")
        if result["violations"]:
            options = f" --favoured {favoured}" if favoured else ""
            options += f" --beside {beside}" if beside else ""
            click.echo(
                f"  again: python -m soak --seed {current_seed} --minutes {minutes}"
                f"{options}"
            )
    sys.exit(1 if failed_count else 0)


if __name__ == "__main__":
    main()
