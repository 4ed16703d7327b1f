"""
Reads callers' requests to resume a stream, and makes the resume tokens.

A resume token is enough while the engine still has the stream: the entry reads the
stream from its first token and forwards what the caller lacks. A caller that also
sends the texts that it has, and their proof, gets its answer even when the stream is
lost. Every token or proof that doesn't fit is refused with the same message.
"""

import typing

import msgspec

from acaciaward import errors, requests
from acaciaward.callers import answers
from acaciaward.configuration import interfaces as configuration_interfaces
from acaciaward.dispatch import streams
from acaciaward.identity import resumetokens

PATHS = {
    answers.COMPLETION: "/v1/completions",
    answers.CHAT: "/v1/chat/completions",
}
RESUME_PATH = "/v1/resume"


class ResumeBody(typing.TypedDict, total=False):
    """
    What a caller posts to ``/v1/resume``.

    ``resume`` and ``proof`` are the latest that it received, ``last_index`` is the
    index of the last token received, or -1, ``body`` the original request as sent,
    ``chat`` whether that was a chat. ``texts`` are the tokens' texts in order.
    """

    resume: typing.Required[str]
    body: str
    chat: bool
    last_index: int
    texts: list[str]
    proof: str


_decoder = msgspec.json.Decoder(ResumeBody)


def read_body(raw: bytes) -> ResumeBody:
    """Return the checked body of a request to resume a stream."""
    try:
        body = _decoder.decode(raw)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.InvalidRequestError(f"malformed body: {error}") from error
    if "body" not in body:
        raise errors.InvalidRequestError("malformed body: body is missing")
    return body


class Resumer:
    """Makes and checks resume tokens."""

    def __init__(
        self,
        configuration: configuration_interfaces.Configuration,
        *,
        lifetime_s: float,
    ):
        self._configuration = configuration
        self._lifetime_s = lifetime_s

    @property
    def lifetime_s(self) -> float:
        """Seconds for which a resume token is valid."""
        return self._lifetime_s

    @property
    def _keys(self) -> list[str]:
        return self._configuration.view.document.get("resume_keys", [])

    def make_token(
        self, request: requests.Request, opened: streams.StreamOpened | None
    ) -> resumetokens.ResumeToken | None:
        """Return the token of a stream, or None if it can't be signed or isn't open."""
        if opened is None or not self._keys:
            return None
        return resumetokens.ResumeToken(
            request.organisation,
            request.request_id,
            request.deployment,
            request.digest,
            opened.endpoint,
            opened.stream,
        )

    def sign(self, token: resumetokens.ResumeToken) -> str:
        """Return the signed form of a token."""
        return resumetokens.sign(self._keys, token)

    def prove(
        self, token: resumetokens.ResumeToken | None, count: int, digest: str
    ) -> str | None:
        """Return the proof of the delivered tokens, or None without a token."""
        if token is None or not self._keys:
            return None
        return resumetokens.make_delivery_proof(self._keys, token, count, digest)

    def locate(
        self, body: ResumeBody, request: requests.Request
    ) -> tuple[str, streams.ResumedStream]:
        """Return the original request's id and the stream to resume."""
        token = resumetokens.verify(
            self._keys,
            body["resume"],
            organisation=request.organisation,
            lifetime_s=self._lifetime_s,
        )
        if (token.deployment, token.digest) != (request.deployment, request.digest):
            raise errors.PermissionDeniedError(resumetokens.INVALID_TOKEN_MESSAGE)
        texts = body.get("texts", [])
        last_index = body.get("last_index", len(texts) - 1)
        if texts:
            resumetokens.verify_delivery_proof(
                self._keys, token, texts, body.get("proof", "")
            )
        is_consistent = not texts or last_index == len(texts) - 1
        if not is_consistent or not -1 <= last_index < request.max_tokens:
            raise errors.InvalidRequestError("last_index doesn't fit the texts")
        endpoint = self._find_endpoint(token)
        resumed = streams.ResumedStream(
            endpoint, token.stream, last_index, tuple(texts)
        )
        return token.request_id, resumed

    def _find_endpoint(
        self, token: resumetokens.ResumeToken
    ) -> requests.Endpoint | None:
        for endpoint in self._configuration.endpoints(token.deployment):
            if endpoint.name == token.endpoint:
                return endpoint
        return None
