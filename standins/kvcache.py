"""
The prefix cache and the KV blobs of a stand-in engine.

A prompt is split into blocks of ``BLOCK_TOKENS`` tokens. A block's name is a hash
of the salt and the prompt up to the block's end, so blocks are never shared
between salts. A KV blob is the exported KV cache of one stream.
"""

import collections
import hashlib
import json
import time
import typing
import uuid

BLOCK_TOKENS = 16


def block_names(prompt: str, salt: str) -> list[str]:
    """Return the names of a prompt's full blocks, in order."""
    words = prompt.split()
    digest = hashlib.sha256(salt.encode())
    names = []
    for end in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
        digest.update(" ".join(words[end - BLOCK_TOKENS : end]).encode())
        names.append(digest.hexdigest()[:16])
    return names


def make_blob(salt: str, length_tokens: int, bytes_per_token: int) -> bytes:
    """Return a KV blob of ``length_tokens`` tokens: one JSON line and padding."""
    head = json.dumps({"salt": salt, "length": length_tokens}).encode() + b"\n"
    return head + bytes(length_tokens * bytes_per_token)


class KvCache:
    """Blocks in least-recently-used order, imported blobs and cache events."""

    def __init__(self):
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._events: collections.deque = collections.deque(maxlen=20000)
        self._next_event_offset = 0
        self._imports: dict[str, dict[str, typing.Any]] = {}

    def admit_prompt(
        self, prompt: str, salt: str, *, capacity_blocks: int, drop_every: int
    ) -> int:
        """
        Return how many tokens of the prompt are cached, and cache the others.

        Every ``drop_every``-th cache event is lost, none with 0.
        """
        names = block_names(prompt, salt)
        hits = 0
        while hits < len(names) and names[hits] in self._blocks:
            self._blocks.move_to_end(names[hits])
            hits += 1
        for name in names[hits:]:
            self._blocks[name] = None
            self._record_event(name, is_stored=True, drop_every=drop_every)
        while len(self._blocks) > capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event(evicted, is_stored=False, drop_every=drop_every)
        return hits * BLOCK_TOKENS

    def _record_event(self, block: str, *, is_stored: bool, drop_every: int) -> None:
        offset = self._next_event_offset
        self._next_event_offset += 1
        if drop_every and offset % drop_every == drop_every - 1:
            return
        event = {"offset": offset, "block": block, "stored": is_stored}
        self._events.append((time.monotonic(), event))

    def events_from(
        self, offset: int, visible_until: float
    ) -> list[dict[str, typing.Any]]:
        """Return the events from an offset on, recorded by ``visible_until``."""
        return [
            event
            for recorded_at, event in self._events
            if event["offset"] >= offset and recorded_at <= visible_until
        ]

    def add_import(self, blob: bytes) -> str:
        """Store an imported blob and return its handle."""
        head, _, _ = blob.partition(b"\n")
        fields = json.loads(head)
        if not isinstance(fields, dict) or "length" not in fields:
            raise ValueError("not a KV blob")
        handle = uuid.uuid4().hex
        self._imports[handle] = fields
        return handle

    def consume_import(self, handle: str | None, salt: str) -> int | None:
        """
        Remove an import and return its length in tokens.

        Return None for no handle, an unknown one or one of another salt.
        """
        if handle is None or self._imports.get(handle, {}).get("salt") != salt:
            return None
        return self._imports.pop(handle)["length"]
