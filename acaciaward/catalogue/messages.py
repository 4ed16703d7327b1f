"""Messages with which entries get the configuration from each other."""

import typing


class ConfigurationRequest(typing.TypedDict):
    """
    Asks for the configuration in force at a peer.

    With ``newer_than``, a peer that has no newer version waits for one for a moment,
    and then answers without the record. Older builds neither send nor know it.
    """

    sender: str
    newer_than: typing.NotRequired[int]


class ConfigurationAnswer(typing.TypedDict):
    """The operator's record as the store had it, compressed; None without one."""

    version: int
    data: bytes | None


MESSAGE_TYPES: dict[str, type] = {
    "configuration_record": ConfigurationRequest,
    "configuration_record_answer": ConfigurationAnswer,
}
