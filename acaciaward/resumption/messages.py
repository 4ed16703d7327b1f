"""Messages with which entries tell and ask each other where streams began."""

import typing


class StreamBegan(typing.TypedDict):
    """The first event of a stream came from this version of a service's software."""

    sender: str
    stream: str
    service: str
    version: str


class OriginRequest(typing.TypedDict):
    """Asks where a stream began."""

    sender: str
    stream: str


class OriginAnswer(typing.TypedDict):
    """Where a stream began; both are None if the entry doesn't know."""

    service: str | None
    version: str | None


class VersionServes(typing.TypedDict):
    """Asks the recorder to record in the store that a version may begin streams."""

    sender: str
    service: str
    version: str


class VersionServesAnswer(typing.TypedDict):
    """Whether the store has that record."""

    is_recorded: bool


MESSAGE_TYPES: dict[str, type] = {
    "version_serves": VersionServes,
    "version_serves_answer": VersionServesAnswer,
    "stream_began": StreamBegan,
    "stream_origin": OriginRequest,
    "stream_origin_answer": OriginAnswer,
}
