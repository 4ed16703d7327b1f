"""Messages with which entries get the configuration from each other."""

import typing


class ConfigurationRequest(typing.TypedDict):
    """Asks for the configuration in force at a peer."""

    sender: str


class ConfigurationAnswer(typing.TypedDict):
    """The operator's record as the store had it, compressed; None without one."""

    version: int
    data: bytes | None


MESSAGE_TYPES: dict[str, type] = {
    "configuration_record": ConfigurationRequest,
    "configuration_record_answer": ConfigurationAnswer,
}
