"""Decodes the operator's orders of roll-outs, and writes their states to the store."""

import msgspec

from acaciaward.catalogue import storeview
from acaciaward.platform import documents, store, topics

ORDER_PREFIX = "rollout/"
STATUS_TOPIC = "keyed.status"
# The holder of the duties records its plans here; see ``acaciaward/rollouts/``.
PLANS_TOPIC = "keyed.acaciaward.rollouts"


def decode_rollout(key: str, data: bytes) -> tuple[str, str, float]:
    """Return service, target version and duration in seconds of an order."""
    fields = documents.decode_object(data)
    service = documents.read_name(fields, "Service")
    if key != ORDER_PREFIX + service:
        raise storeview.UnreadableError(f"Service: {service!r} isn't that of the key")
    target = documents.read_name(fields, "Target")
    duration_s = documents.read_number(fields, "DurationS")
    if not duration_s:
        raise storeview.UnreadableError("DurationS: expected more than 0")
    return service, target, duration_s


class StatusWriter:
    """Implements ``rollouts.duty.StatusWriter`` over the store."""

    def __init__(self, client: store.Store):
        self._topic = topics.KeyedTopic(client, STATUS_TOPIC)

    async def write(self, service: str, target: str, state: str) -> None:
        """Write the state of a service's roll-out."""
        body = msgspec.json.encode({"State": state, "Target": target})
        await self._topic.set(ORDER_PREFIX + service, body)
