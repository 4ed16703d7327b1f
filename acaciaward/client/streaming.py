"""
One streamed answer on the caller's side, across every entry that sends part of it.

Keeps the tokens received, the latest resume token and the latest proof, with which
an entry signed the tokens that it delivered; together they let another entry continue
the answer. A token out of sequence, or a final event whose count or digest doesn't
match the tokens received, is treated as a lost connection.
"""

import hashlib
import typing
from collections import abc

from acaciaward import httpclient
from acaciaward.client import callererrors, sse

Address = tuple[str, int]


class MovedError(httpclient.HttpError):
    """The entry is stopping; the stream continues at ``entry``."""

    def __init__(self, entry: Address):
        super().__init__(f"the stream continues at {entry[0]}:{entry[1]}")
        self.entry = entry


class StreamState:
    """The part of one answer that a caller has received."""

    def __init__(self):
        self.texts: list[str] = []
        self.start_event_count = 0
        self.resume_token: str | None = None
        self.proof = ""
        self.request_id = ""
        self.usage: dict[str, int] = {}
        self.is_complete = False
        self._delivered_texts: list[str] = []

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(self.texts)

    def restart(self) -> None:
        """Start over; tokens that are received again must equal the earlier ones."""
        self._delivered_texts = (
            self.texts if not self._delivered_texts else self._delivered_texts
        )
        self.texts = []
        self.resume_token = None

    def resume_body(self, body: bytes) -> dict[str, typing.Any]:
        """Return the request body that resumes the answer at another entry."""
        return {
            "resume": self.resume_token,
            "last_index": len(self.texts) - 1,
            "texts": self.texts,
            "proof": self.proof,
            "body": body.decode(),
        }

    async def read(self, response: httpclient.Response) -> abc.AsyncIterator[str]:
        """
        Yield the texts of tokens that were not yielded before.

        Raises ``HttpError`` or ``CallerError`` if the answer doesn't become complete.
        """
        self.request_id = response.headers.get("x-request-id", self.request_id)
        async for event in sse.events(response):
            if "error" in event:
                raise callererrors.from_event(event["error"])
            text = self._handle_event(event)
            if text is not None:
                yield text
        if not self.is_complete:
            raise httpclient.ConnectionLostError("the answer ended without token count")

    def _handle_event(self, event: dict[str, typing.Any]) -> str | None:
        extra = event["acaciaward"]
        if "moved" in extra:
            raise MovedError((extra["moved"]["address"], extra["moved"]["port"]))
        self.proof = extra.get("proof", self.proof)
        if "count" in extra:
            self._handle_end(extra, event["usage"])
        elif event["choices"]:
            return self._handle_token(extra["index"], event["choices"][0]["text"])
        else:
            self.start_event_count += 1
            self.resume_token = extra.get("resume")
        return None

    def _handle_token(self, index: int, text: str) -> str | None:
        if index != len(self.texts):
            raise httpclient.ConnectionLostError(
                f"token out of sequence: got {index}, expected {len(self.texts)}"
            )
        self.texts.append(text)
        if index >= len(self._delivered_texts):
            return text
        if text != self._delivered_texts[index]:
            raise callererrors.answer_mismatch()
        return None

    def _handle_end(self, extra: dict[str, typing.Any], usage: dict[str, int]) -> None:
        digest = hashlib.sha256(self.text.encode()).hexdigest()
        if extra["count"] != len(self.texts) or extra["digest"] != digest:
            raise httpclient.ConnectionLostError(
                "the final count or digest doesn't match the tokens received"
            )
        self.usage = usage
        self.is_complete = True
