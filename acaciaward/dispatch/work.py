"""
Counts the tokens of one answer that were moved or computed again.

An attempt after one that had begun computes prompt and delivered tokens again,
but for what the engine says that it had cached.
"""

import prometheus_client

from acaciaward import requests
from acaciaward.endpoints import interfaces as endpoints_interfaces
from acaciaward.evacuation import interfaces as evacuation_interfaces

RECOMPUTED_TOKENS = prometheus_client.Counter(
    "acaciaward_recomputed_tokens_total",
    "Tokens computed again after a move or a loss",
    ["cause"],
)
MOVED_TOKENS = prometheus_client.Counter(
    "acaciaward_moved_tokens_total",
    "Tokens whose KV cache was moved instead of computed again",
    ["cause"],
)


class WorkCount:
    """The work of one answer over all its attempts."""

    def __init__(self, request: requests.Request, *, has_begun: bool = False):
        self._request = request
        self._has_begun = has_begun
        self._recomputed = 0

    @property
    def has_begun(self) -> bool:
        """Whether an engine has begun to work on the answer."""
        return self._has_begun

    @property
    def recomputed_tokens(self) -> int:
        """Tokens computed again so far."""
        return self._recomputed

    def note_start(
        self,
        started: endpoints_interfaces.StreamStarted,
        delivered: int,
        cause: evacuation_interfaces.Cause,
        *,
        is_import: bool,
    ) -> None:
        """Take into account that an attempt began."""
        if not self._has_begun:
            self._has_begun = True
            return
        context = self._request.prompt_tokens + delivered
        cached = min(context, started.cached_tokens)
        self._recomputed += context - cached
        RECOMPUTED_TOKENS.labels(cause.value).inc(context - cached)
        if is_import:
            MOVED_TOKENS.labels(cause.value).inc(cached)
