"""Requests and answers as the gateway sees them, independent of the header names."""

import typing

from acaciaward import verdicts

Headers = list[tuple[bytes, bytes]]


class Prompt(typing.NamedTuple):
    """
    The size of a model request, in tokens, and the parts of its prompt in order.

    Each part is an identifier with its number of tokens. The last part is the
    request's own; other requests may have the ones before it too.
    """

    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def shared(self) -> tuple[tuple[str, int], ...]:
        """The parts that other requests may have too."""
        return self.parts[:-1]

    @property
    def fresh_tokens(self) -> int:
        """The tokens of the prompt that no other request has."""
        return max(0, self.prompt_tokens - sum(size for _, size in self.shared))


class Detour(typing.NamedTuple):
    """
    What an entry tells the peer through which it sends a call.

    The peer sends it to ``service``, a stream that has begun to endpoints of
    ``version`` only. The call was written ``sends`` times before, and the peer may
    write it another ``limit`` times.
    """

    service: str
    version: str | None
    sends: int
    limit: int


class DetourReply(typing.NamedTuple):
    """
    What a peer tells of its answer to a call that another entry sent through it.

    ``sends`` are those before its first byte, of this entry and the peer, and
    ``version`` is that of the endpoint that began a stream. An answer of the peer's own
    has a ``verdict`` and its ``reason``; ``is_cut_off`` means that the peer is cut off
    from the service's endpoints itself. ``leaving`` names an endpoint, with its start,
    that says in its answer that it leaves.
    """

    sends: int
    version: str | None = None
    verdict: verdicts.Verdict | None = None
    reason: str = ""
    is_cut_off: bool = False
    leaving: tuple[str, int] | None = None


class Call(typing.NamedTuple):
    """
    One complete request as its caller sent it.

    ``received_at`` is the monotonic time at which its last byte arrived, ``timeout_s``
    the caller's timeout from then on and ``key`` the caller's API key. A caller that
    takes a stream up after ``last_event_id`` names the attempt that brought its first
    event, ``resumed_attempt_id``. A call that a peer sent through this entry has a
    ``detour``; that of a caller never has.
    """

    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    received_at: float
    attempt_id: str | None = None
    timeout_s: float | None = None
    key: str | None = None
    prompt: Prompt | None = None
    last_event_id: int | None = None
    resumed_attempt_id: str | None = None
    detour: Detour | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The identifiers of the prompt's parts that other requests may have too."""
        return tuple(name for name, _ in self.prompt.shared) if self.prompt else ()


class Forwarding(typing.NamedTuple):
    """What the gateway adds to a call that it forwards to an endpoint."""

    endpoint: str
    organisation: str | None
    rank: int
    timeout_s: float
    last_event_id: int | None = None


class ReplyHead(typing.NamedTuple):
    """
    The head of an endpoint's answer.

    ``attempt_id`` is the request that it answers, if it names one. ``is_refusal``
    means that the request was not run, ``is_misdirected`` that another endpoint now
    has the address, ``is_signed`` that the answer carries the endpoint's signature.
    ``limit_per_s`` is how many requests a second the endpoint takes from all entries
    together, None without a limit. ``retry_after_s`` of a 503 is how long it wants no
    requests from this entry, and ``says_leaving`` means that it is leaving.
    ``bears_rejections`` is how many requests a brittle endpoint can turn away in a
    second without falling over, None if it isn't brittle.
    ``media_type`` is that of the body without parameters. ``detour`` comes with the
    answers of peers.
    """

    status: int
    headers: Headers
    attempt_id: str | None
    is_signed: bool
    is_refusal: bool
    is_misdirected: bool
    ends_connection: bool
    keep_alive_s: float | None = None
    retry_after_s: float | None = None
    limit_per_s: float | None = None
    media_type: str | None = None
    says_leaving: bool = False
    bears_rejections: int | None = None
    detour: DetourReply | None = None
