"""Scripts of endpoints for the forwarding features, by the words of their steps."""

import asyncio
import re

from acaciaward.catalogue import endpoints
from acaciaward.gateway.features import scripted


def fail_and_lose_record(front, name):
    async def script(head, reader, writer):
        front.directory.remove_now(name, "test")
        writer.write(scripted.complete_answer(head, b"", b"500 Failed"))
        await writer.drain()

    return script


def leave_and_die(front, name):
    async def script(head, reader, writer):
        known = front.directory.get(name)
        front.directory.update(known._replace(state=endpoints.EndpointState.LEAVING))
        scripted.reset(writer)

    return script


SCRIPTS = {
    "die, then answer": lambda: [scripted.die(), scripted.answer()],
    "refuse, then answer": lambda: [scripted.refuse(), scripted.answer()],
    "refuse, then refuse": lambda: [scripted.refuse() for _ in range(4)],
    "answer unsigned": lambda: [scripted.answer(signed=False)],
    "hang, then answer": lambda: [scripted.hang(), scripted.answer()],
    "hang": lambda: [scripted.hang()],
    "stream 1 to 3 and reset, then 4 to 5 and reset, then 6 and end": lambda: [
        scripted.stream(1, 3, then="reset"),
        scripted.stream(4, 5, then="reset"),
        scripted.stream(6, 6),
    ],
    "stream 1 to 3 and trickle, then 4 to 6 and end": lambda: [
        scripted.stream(1, 3, then="trickle"),
        scripted.stream(4, 6),
    ],
    "stream 1 to 3 and one large event slowly": lambda: [
        scripted.stream(1, 3, then="send one large event slowly"),
    ],
    "hang, then answer a stream": lambda: [scripted.hang(), scripted.stream(1, 6)],
    "answer another request first": lambda: [answer_other_first],
    "answer another request first, saying that they leave": lambda: [
        answer_other_first_with(b"200 OK", b"Server-Leaving: 1\r\n")
    ],
    "answer another request first, refusing it for 3 s": lambda: [
        answer_other_first_with(
            b"503 Service Unavailable", b"Not-Executed: 1\r\nRetry-After: 3\r\n"
        )
    ],
    "begin a stream without chunks and close": lambda: [unframed_stream(0)],
    "stream 1 to 6 without chunks and close": lambda: [unframed_stream(6)],
    "answer without a length": lambda: [answer_unframed],
    "reset an answer without a length": lambda: [reset_unframed],
}


def unframed_stream(last):
    async def script(head, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n" + scripted.echo(head) + scripted.SIGNATURE)
        writer.write(b"\r\n")
        for number in range(1, last + 1):
            writer.write(scripted.event(number))
        await writer.drain()
        writer.close()

    return script


def answer_other_first_with(status, lines):
    async def script(head, reader, writer):
        other = head.replace(b"a1", b"zz")
        writer.write(
            scripted.complete_answer(other, b"not mine", status, lines=lines)
            + scripted.complete_answer(head, b"mine")
        )
        await writer.drain()

    return script


answer_other_first = answer_other_first_with(b"200 OK", b"")


async def answer_unframed(head, reader, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\n" + scripted.echo(head) + scripted.SIGNATURE + b"\r\n"
    )
    writer.write(b"unframed")
    await writer.drain()
    writer.close()


async def reset_unframed(head, reader, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\n" + scripted.echo(head) + scripted.SIGNATURE + b"\r\n"
    )
    writer.write(b"unfr")
    await writer.drain()
    await asyncio.sleep(0.05)
    scripted.reset(writer)


def parse_ids(text):
    scripts = []
    for part in text.removeprefix("send the ids ").split(", then "):
        listed, then = part.split(" and ")
        numbers = [int(number) for number in listed.split()]
        scripts.append(scripted.stream_numbers(numbers, numbers[-1] + 1, then=then))
    return scripts


def parse_streams(text):
    scripts = []
    for part in text.removeprefix("stream ").split(", then "):
        found = re.fullmatch(r"(?:(\d+) to (\d+)|nothing) and (.*)", part)
        first, last = (int(found[1]), int(found[2])) if found[1] else (1, 0)
        if found[3] == "half an event":
            half = b"id: %d\nda" % (last + 1)
            scripts.append(scripted.stream(first, last, then="reset", rest=half))
        else:
            scripts.append(scripted.stream(first, last, then=found[3]))
    return scripts


def bodiless(status):
    async def script(head, reader, writer):
        writer.write(b"HTTP/1.1 " + status + b"\r\n" + scripted.echo(head))
        writer.write(scripted.SIGNATURE + b"\r\n")
        await writer.drain()
        writer.close()

    return script


UNNUMBERED = b"event: error\ndata: overloaded\n\n"

FAILURE_HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\n"

CHUNKED = b"Transfer-Encoding: chunked\r\n"

JSON = b"Content-Type: application/json\r\n"

COMMENT = b": waiting\n\n"

FINAL = b"data: [DONE]\n\n"


def write_answer(status, lines, *pieces):
    """Return a script that answers with chunks, or without a length, and closes."""

    async def script(head, reader, writer):
        writer.write(b"HTTP/1.1 " + status + b"\r\n" + scripted.echo(head))
        writer.write(scripted.SIGNATURE + lines + b"\r\n")
        for piece in pieces:
            if CHUNKED in lines:
                scripted.write_chunk(writer, piece)
            else:
                writer.write(piece)
        if CHUNKED in lines:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        writer.close()

    return script


EVENTS_4_TO_6 = [scripted.event(number) for number in (4, 5, 6)]

NEXT_ANSWERS = {
    "a failure": scripted.answer(b"overloaded\n\n", b"500 Internal Server Error"),
    "a failure without a length": write_answer(b"500 Failed", b"", UNNUMBERED),
    "a success of another media type": scripted.answer(
        b'{"error": "overloaded"}\n\n', lines=JSON
    ),
    "a success of another type, in chunks": write_answer(
        b"200 OK", JSON + CHUNKED, b'{"error": "overloaded"}\n\n'
    ),
    "an event without an id": write_answer(b"200 OK", CHUNKED, UNNUMBERED),
    "an event without an id, and an end": write_answer(
        b"200 OK", CHUNKED, UNNUMBERED, FINAL
    ),
    "the head of a failure as text": write_answer(b"200 OK", CHUNKED, FAILURE_HEAD),
    "comments and 4 to 6 and an end": write_answer(
        b"200 OK",
        b"Content-Type: text/event-stream; charset=utf-8\r\n" + CHUNKED,
        COMMENT,
        b"retry: 500\n\n",
        *EVENTS_4_TO_6,
        FINAL,
    ),
}
