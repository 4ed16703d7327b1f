"""
One streamed answer on the caller's side, over all the entries that send it.

It keeps the tokens, the newest resume token and its proof, and refuses a token
out of turn and an end that doesn't fit what came.
"""

import hashlib
import typing
from collections import abc

from acaciaward import httpclient
from acaciaward.client import refusals, sse

Address = tuple[str, int]


class MovedError(httpclient.HttpError):
    """The entry stops: the answer goes on at ``entry``."""

    def __init__(self, entry: Address):
        super().__init__(f"the stream goes on at {entry[0]}:{entry[1]}")
        self.entry = entry


class StreamState:
    """What a caller has of one answer."""

    def __init__(self):
        self.texts: list[str] = []
        self.opened = 0
        self.resume: str | None = None
        self.proof = ""
        self.request_id = ""
        self.usage: dict[str, int] = {}
        self.is_whole = False
        self._expected: list[str] = []

    @property
    def text(self) -> str:
        """The text that came so far."""
        return "".join(self.texts)

    def restart(self) -> None:
        """Begin anew; the tokens that come must repeat those which came."""
        self._expected = self.texts if not self._expected else self._expected
        self.texts = []
        self.resume = None

    def resume_body(self, body: bytes) -> dict[str, typing.Any]:
        """Return what is posted to take the answer up at another entry."""
        return {
            "resume": self.resume,
            "last_index": len(self.texts) - 1,
            "texts": self.texts,
            "proof": self.proof,
            "body": body.decode(),
        }

    async def read(self, response: httpclient.Response) -> abc.AsyncIterator[str]:
        """Yield the tokens that are new; raise unless the answer gets whole."""
        self.request_id = response.headers.get("x-request-id", self.request_id)
        async for event in sse.events(response):
            if "error" in event:
                raise refusals.from_event(event["error"])
            text = self._take(event)
            if text is not None:
                yield text
        if not self.is_whole:
            raise httpclient.ConnectionLostError("the answer isn't whole")

    def _take(self, event: dict[str, typing.Any]) -> str | None:
        extra = event["acaciaward"]
        if "moved" in extra:
            raise MovedError((extra["moved"]["address"], extra["moved"]["port"]))
        self.proof = extra.get("proof", self.proof)
        if "count" in extra:
            self._take_end(extra, event["usage"])
        elif event["choices"]:
            return self._take_token(extra["index"], event["choices"][0]["text"])
        else:
            self.opened += 1
            self.resume = extra.get("resume")
        return None

    def _take_token(self, index: int, text: str) -> str | None:
        if index != len(self.texts):
            raise httpclient.ConnectionLostError("a token came out of turn")
        self.texts.append(text)
        if index >= len(self._expected):
            return text
        if text != self._expected[index]:
            raise refusals.changed_answer()
        return None

    def _take_end(self, extra: dict[str, typing.Any], usage: dict[str, int]) -> None:
        digest = hashlib.sha256(self.text.encode()).hexdigest()
        if extra["count"] != len(self.texts) or extra["digest"] != digest:
            raise httpclient.ConnectionLostError("the answer isn't whole")
        self.usage = usage
        self.is_whole = True
