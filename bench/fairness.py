"""
Measures others' time to first token while one organisation floods the entries.

The flood is ten times that organisation's share, has long prompts, is resent at
once when refused, and aborts half of its streams. The same requests of the others
run with and without it.
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
OTHERS_REQUESTS_PER_S = 12.0
# Ten times one organisation's share, a third of the capacity of ``overload``.
FLOOD_REQUESTS_PER_S = 10 * overload.CAPACITY_REQUESTS_PER_S / 3
FLOOD_SHAPES = (
    load.Shape("urgent", 0.5, 400, 16, 1.0),
    load.Shape("short", 0.3, 800, 48, 4.0),
    load.Shape("long", 0.2, 800, 120, 12.0),
)
MAX_RESENDS = 2
ABORT_AFTER_TOKENS = 3


def make_schedules(
    seed: int, duration_s: float
) -> tuple[list[load.PlannedRequest], list[load.PlannedRequest]]:
    """Return the others' requests and the flood."""
    others = load.Profile(
        policy.SHAPES,
        OTHERS,
        (overload.DEPLOYMENT,),
        low_per_s=OTHERS_REQUESTS_PER_S,
        high_per_s=OTHERS_REQUESTS_PER_S,
    )
    flood = load.Profile(
        FLOOD_SHAPES,
        (FLOODER,),
        (overload.DEPLOYMENT,),
        low_per_s=FLOOD_REQUESTS_PER_S,
        high_per_s=FLOOD_REQUESTS_PER_S,
    )
    rng = random.Random(seed)
    return (
        load.make_schedule(rng, others, duration_s=duration_s),
        load.make_schedule(rng, flood, duration_s=duration_s),
    )


async def run(options: bench_options.Options) -> dict[str, typing.Any]:
    """Run the others alone, then again beside the flood."""
    duration_s = QUICK_PHASE_S if options.quick else PHASE_S
    others, flood = make_schedules(options.seed, duration_s)
    running_cluster = await overload.start_cluster(*overload.make_document())
    others_sender = sender.EntrySender(
        running_cluster.entry_addresses, running_cluster.keys
    )
    flood_sender = sender.EntrySender(
        running_cluster.entry_addresses, running_cluster.keys
    )
    rng = random.Random(options.seed)

    async def send_flood(planned: load.PlannedRequest) -> load.Outcome:
        abort_after_tokens = ABORT_AFTER_TOKENS if rng.random() < 0.5 else None
        for _ in range(MAX_RESENDS + 1):
            outcome = await flood_sender.send(
                planned, abort_after_tokens=abort_after_tokens
            )
            if outcome.refused_s is None:
                break
        return outcome

    try:
        alone = await load.run_schedule(others, others_sender.send)
        await asyncio.sleep(PAUSE_S)
        beside, flooded = await asyncio.gather(
            load.run_schedule(others, others_sender.send),
            load.run_schedule(flood, send_flood),
        )
    finally:
        await others_sender.close()
        await flood_sender.close()
        await running_cluster.stop()
    alone_s, beside_s = (_p95_first_token(phase) for phase in (alone, beside))
    return {
        "seed": options.seed,
        "p95_ratio": round(beside_s / alone_s, 3) if alone_s else None,
        "p95_alone_s": round(alone_s, 4),
        "p95_beside_s": round(beside_s, 4),
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
    # A request without any token counts with its whole deadline.
    waits = [
        outcome.first_token_s or outcome.planned.deadline_s for outcome in outcomes
    ]
    return load.percentile(waits, 0.95)


def _answered_share(outcomes: list[load.Outcome]) -> float:
    return round(sum(outcome.in_time for outcome in outcomes) / len(outcomes), 4)
