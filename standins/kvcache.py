"""
The prefix cache and the KV blobs of a stand-in engine.

A prompt is cut into blocks of ``BLOCK_TOKENS`` tokens. Each block is named by a
hash over the salt and everything up to its end, so two salts never share one.
"""

import collections
import hashlib
import json
import time
import typing
import uuid

BLOCK_TOKENS = 16


def block_names(prompt: str, salt: str) -> list[str]:
    """Return the names of the whole blocks of a prompt, from the front."""
    words = prompt.split()
    digest = hashlib.sha256(salt.encode())
    names = []
    for end in range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS):
        digest.update(" ".join(words[end - BLOCK_TOKENS : end]).encode())
        names.append(digest.hexdigest()[:16])
    return names


def make_blob(salt: str, length: int, bytes_per_token: int) -> bytes:
    """Return a KV blob of ``length`` tokens: one JSON line and padding."""
    head = json.dumps({"salt": salt, "length": length}).encode() + b"\n"
    return head + bytes(length * bytes_per_token)


class KvCache:
    """Blocks in least-recently-used order, imported blobs and cache events."""

    def __init__(self):
        self._blocks: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._events: collections.deque = collections.deque(maxlen=20000)
        self._event_number = 0
        self._imports: dict[str, dict[str, typing.Any]] = {}

    def admit_prompt(self, prompt: str, salt: str, *, capacity: int, gap: int) -> int:
        """Return how many tokens of the prompt are cached; cache the rest."""
        names = block_names(prompt, salt)
        hits = 0
        while hits < len(names) and names[hits] in self._blocks:
            self._blocks.move_to_end(names[hits])
            hits += 1
        for name in names[hits:]:
            self._blocks[name] = None
            self._note_event(name, stored=True, gap=gap)
        while len(self._blocks) > capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._note_event(evicted, stored=False, gap=gap)
        return hits * BLOCK_TOKENS

    def _note_event(self, block: str, *, stored: bool, gap: int) -> None:
        offset = self._event_number
        self._event_number += 1
        if gap and offset % gap == gap - 1:
            return
        event = {"offset": offset, "block": block, "stored": stored}
        self._events.append((time.monotonic(), event))

    def events_from(self, offset: int, shown: float) -> list[dict[str, typing.Any]]:
        """Return the events from an offset on that are older than ``shown``."""
        return [
            event
            for moment, event in self._events
            if event["offset"] >= offset and moment <= shown
        ]

    def add_import(self, blob: bytes) -> str:
        """Keep an imported blob and return its handle."""
        head, _, _ = blob.partition(b"\n")
        fields = json.loads(head)
        if not isinstance(fields, dict) or "length" not in fields:
            raise ValueError("not a KV blob")
        handle = uuid.uuid4().hex
        self._imports[handle] = fields
        return handle

    def take_import(self, handle: str | None, salt: str) -> int | None:
        """Return the cached length of a handle of this salt and forget it."""
        if handle is None or self._imports.get(handle, {}).get("salt") != salt:
            return None
        return self._imports.pop(handle)["length"]
