"""
Sends real requests through a world and checks every answer.

Two organisations ask a model for streamed answers and call a plain service. One
engine is reclaimed half-way. The answers are checked against the text that the
stand-in engines must give.
"""

import asyncio
import json
import logging
import random
import typing

from acaciaward.client import caller
from acaciaward.demonstration import world
from standins import tokens

CONCURRENCY = 16
RECLAIM_NOTICE_S = 0.05
MIN_TOKENS = 8
MAX_TOKENS = 96
SERVICE_SHARE = 0.25


class Summary(typing.TypedDict):
    """What happened; every request is answered, incomplete, wrong or refused."""

    requests: int
    answered: int
    incomplete: int
    wrong: int
    refused: int
    moved: int


Report = typing.Callable[[str], None]


async def run(
    example: str, *, request_count: int, seed: int, report: Report
) -> Summary:
    """Run the demonstration and return its summary."""
    # A stand-in that breaks off an answer on purpose shows up in the server's
    # log as an error, which would only confuse the reader here.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    running = world.World(example)
    report(f"starting {len(running.entries)} entries for {example}")
    await running.start()
    report(f"{len(running.endpoints)} endpoints, configuration version 1 in force")
    try:
        return await _Load(running, request_count, seed, report).run()
    finally:
        await running.stop()


class _Load:
    def __init__(
        self, running: world.World, request_count: int, seed: int, report: Report
    ):
        self._world = running
        self._count = request_count
        self._random = random.Random(seed)
        self._report = report
        self._turns = asyncio.Semaphore(CONCURRENCY)
        self._callers = [
            caller.Caller(running.addresses, key=running.keys[organisation])
            for organisation in sorted(running.keys)[:2]
        ]
        self._summary: Summary = {
            "requests": request_count,
            "answered": 0,
            "incomplete": 0,
            "wrong": 0,
            "refused": 0,
            "moved": 0,
        }

    async def run(self) -> Summary:
        orders = [self._draw(number) for number in range(self._count)]
        async with asyncio.TaskGroup() as group:
            for number, order in enumerate(orders):
                await self._turns.acquire()
                group.create_task(self._send(order))
                if number == self._count // 2:
                    group.create_task(self._reclaim())
        for one in self._callers:
            await one.close()
        return self._summary

    def _draw(self, number: int) -> tuple[typing.Callable, caller.Caller]:
        sender = self._callers[number % len(self._callers)]
        if self._random.random() < SERVICE_SHARE:
            return lambda: self._call_service(sender, number), sender
        length = self._random.randint(MIN_TOKENS, MAX_TOKENS)
        return lambda: self._complete(sender, number, length), sender

    async def _send(self, order: tuple[typing.Callable, caller.Caller]) -> None:
        work, _ = order
        try:
            outcome = await work()
        except caller.CallerError as error:
            outcome = "refused" if error.status else "incomplete"
            self._report(f"request ended without its answer: {error}")
        finally:
            self._turns.release()
        self._summary[outcome] += 1

    async def _complete(self, sender: caller.Caller, number: int, length: int) -> str:
        prompt = f"request {number} asks for a text of {length} tokens"
        model = self._world.deployment("model")
        answer = await sender.complete(model, prompt, max_tokens=length)
        self._summary["moved"] += answer.moves
        is_right = answer.text == tokens.expected_text(prompt, length)
        return "answered" if is_right else "wrong"

    async def _call_service(self, sender: caller.Caller, number: int) -> str:
        body = json.dumps({"confirmation": number}).encode()
        reply = await sender.call(
            self._world.deployment("service"), "confirm", body, idempotent=False
        )
        fields = json.loads(reply.body)
        is_right = fields["echo"] == {"confirmation": number} and fields["runs"] == 1
        return "answered" if is_right else "wrong"

    async def _reclaim(self) -> None:
        names = self._world.document["deployments"][self._world.deployment("model")]
        victim = sorted(names["endpoints"])[-1]
        self._report(f"reclaiming {victim} with {RECLAIM_NOTICE_S} s notice")
        self._world.endpoints[victim].is_leaving = True
        await self._world.cloud.reclaim([victim], RECLAIM_NOTICE_S)


def is_success(summary: Summary) -> bool:
    """Return whether every answer was whole and its own."""
    return summary["answered"] == summary["requests"]
