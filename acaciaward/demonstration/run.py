"""
Sends requests to a running demonstration system and checks every answer.

Two organisations request streamed answers from a model and call a plain service.
Half-way through, one engine is reclaimed. Answers are compared with the text that
the stand-in engines generate for the prompt.
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
    """
    Counts of requests; each is answered, incomplete, wrong or refused.

    ``moved`` counts how often a stream changed its endpoint or entry.
    """

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
    # uvicorn logs an error when a stand-in aborts an answer on purpose, which would
    # only confuse the reader here.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    system = world.DemonstrationSystem(example)
    report(f"starting {len(system.entries)} entries for {example}")
    await system.start()
    report(f"{len(system.endpoints)} endpoints, configuration version 1 in force")
    try:
        return await _Load(system, request_count, seed, report).run()
    finally:
        await system.stop()


class _Load:
    """Sends the requests of a run, with at most ``CONCURRENCY`` at a time."""

    def __init__(
        self,
        system: world.DemonstrationSystem,
        request_count: int,
        seed: int,
        report: Report,
    ):
        self._system = system
        self._request_count = request_count
        self._random = random.Random(seed)
        self._report = report
        self._slots = asyncio.Semaphore(CONCURRENCY)
        self._callers = [
            caller.Caller(system.addresses, key=system.keys[organisation])
            for organisation in sorted(system.keys)[:2]
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
        requests = [
            self._choose_request(number) for number in range(self._request_count)
        ]
        async with asyncio.TaskGroup() as group:
            for number, request in enumerate(requests):
                await self._slots.acquire()
                group.create_task(self._send(request))
                if number == self._request_count // 2:
                    group.create_task(self._reclaim())
        for sender in self._callers:
            await sender.close()
        return self._summary

    def _choose_request(self, number: int) -> tuple[typing.Callable, caller.Caller]:
        sender = self._callers[number % len(self._callers)]
        if self._random.random() < SERVICE_SHARE:
            return lambda: self._call_service(sender, number), sender
        length = self._random.randint(MIN_TOKENS, MAX_TOKENS)
        return lambda: self._complete(sender, number, length), sender

    async def _send(self, request: tuple[typing.Callable, caller.Caller]) -> None:
        send_request, _ = request
        try:
            outcome = await send_request()
        except caller.CallerError as error:
            outcome = "refused" if error.status else "incomplete"
            self._report(f"request ended without its answer: {error}")
        finally:
            self._slots.release()
        self._summary[outcome] += 1

    async def _complete(self, sender: caller.Caller, number: int, length: int) -> str:
        prompt = f"request {number} asks for a text of {length} tokens"
        model = self._system.deployment("model")
        answer = await sender.complete(model, prompt, max_tokens=length)
        self._summary["moved"] += answer.moves
        is_right = answer.text == tokens.expected_text(prompt, length)
        return "answered" if is_right else "wrong"

    async def _call_service(self, sender: caller.Caller, number: int) -> str:
        body = json.dumps({"confirmation": number}).encode()
        reply = await sender.call(
            self._system.deployment("service"), "confirm", body, idempotent=False
        )
        fields = json.loads(reply.body)
        is_right = fields["echo"] == {"confirmation": number} and fields["runs"] == 1
        return "answered" if is_right else "wrong"

    async def _reclaim(self) -> None:
        deployment = self._system.document["deployments"][
            self._system.deployment("model")
        ]
        engine_name = sorted(deployment["endpoints"])[-1]
        self._report(f"reclaiming {engine_name} with {RECLAIM_NOTICE_S} s notice")
        self._system.endpoints[engine_name].is_leaving = True
        await self._system.cloud.reclaim([engine_name], RECLAIM_NOTICE_S)


def is_success(summary: Summary) -> bool:
    """Return whether every request got its complete, correct answer."""
    return summary["answered"] == summary["requests"]
