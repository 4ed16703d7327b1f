"""
Others' first token while one organisation sends ten times its share.

The flood has long prompts, is sent again at once when refused, and breaks off
half of its streams. The same requests of the others run with and without it.
"""

import asyncio
import random
import typing

from bench import load, options as bench_options, overload, policy, sender

PHASE_S = 14.0
QUICK_PHASE_S = 5.0
PAUSE_S = 3.0
FLOODER = "org-1"
OTHERS = ("org-2", "org-3")
OTHERS_PER_S = 12.0
# Ten times a third of the capacity of ``overload``.
FLOOD_PER_S = 10 * overload.CAPACITY_PER_S / 3
FLOOD_SHAPES = (
    load.Shape("urgent", 0.5, 400, 16, 1.0),
    load.Shape("short", 0.3, 800, 48, 4.0),
    load.Shape("long", 0.2, 800, 120, 12.0),
)
RESENDS = 2
LEAVE_AFTER = 3


def make_schedules(
    seed: int, duration_s: float
) -> tuple[list[load.Planned], list[load.Planned]]:
    """Return the others' requests and the flood."""
    others = load.Profile(
        policy.SHAPES,
        OTHERS,
        (overload.DEPLOYMENT,),
        low=OTHERS_PER_S,
        high=OTHERS_PER_S,
    )
    flood = load.Profile(
        FLOOD_SHAPES,
        (FLOODER,),
        (overload.DEPLOYMENT,),
        low=FLOOD_PER_S,
        high=FLOOD_PER_S,
    )
    chooser = random.Random(seed)
    return (
        load.make_schedule(chooser, others, duration_s=duration_s),
        load.make_schedule(chooser, flood, duration_s=duration_s),
    )


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Run the others alone, then again beside the flood."""
    duration_s = QUICK_PHASE_S if options.quick else PHASE_S
    others, flood = make_schedules(options.seed, duration_s)
    running = await overload.start_cluster(*overload.make_document())
    sending = sender.EntrySender(running.entry_addresses, running.keys)
    flooding = sender.EntrySender(running.entry_addresses, running.keys)
    chooser = random.Random(options.seed)

    async def send_flood(planned: load.Planned) -> load.Outcome:
        leave_after = LEAVE_AFTER if chooser.random() < 0.5 else None
        for _ in range(RESENDS + 1):
            outcome = await flooding.send(planned, leave_after=leave_after)
            if outcome.refused_s is None:
                break
        return outcome

    try:
        alone = await load.run_schedule(others, sending.send)
        await asyncio.sleep(PAUSE_S)
        beside, flooded = await asyncio.gather(
            load.run_schedule(others, sending.send),
            load.run_schedule(flood, send_flood),
        )
    finally:
        await sending.close()
        await flooding.close()
        await running.stop()
    before_s, after_s = (_p95_first_token(phase) for phase in (alone, beside))
    return {
        "seed": options.seed,
        "p95_ratio": round(after_s / before_s, 3) if before_s else None,
        "p95_alone_s": round(before_s, 4),
        "p95_beside_s": round(after_s, 4),
        "p95_by_class_s": {
            shape.service_class: round(
                _p95_first_token(
                    [
                        o
                        for o in beside
                        if o.planned.service_class == shape.service_class
                    ]
                ),
                4,
            )
            for shape in policy.SHAPES
        },
        "others_answered": _answered_share(beside),
        "others_answered_alone": _answered_share(alone),
        "flood_answered": _answered_share(flooded),
        "flood_requests": len(flooded),
    }


def _p95_first_token(outcomes: list[load.Outcome]) -> float:
    # A request that got no token counts as long as it waited.
    waits = [
        outcome.first_token_s or outcome.planned.deadline_s for outcome in outcomes
    ]
    return load.percentile(waits, 0.95)


def _answered_share(outcomes: list[load.Outcome]) -> float:
    return round(sum(outcome.in_time for outcome in outcomes) / len(outcomes), 4)
