"""
Counts the tokens of one answer that were moved or recomputed.

An attempt after one that had begun recomputes the prompt and the delivered tokens,
except for those that the engine reports as cached.
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


class RecomputedWork:
    """The recomputed tokens of one answer over all its attempts."""

    def __init__(self, request: requests.Request, *, has_begun: bool = False):
        self._request = request
        self._has_begun = has_begun
        self._recomputed_tokens = 0

    @property
    def has_begun(self) -> bool:
        """Whether an engine has begun to compute the answer."""
        return self._has_begun

    @property
    def recomputed_tokens(self) -> int:
        """Tokens recomputed so far."""
        return self._recomputed_tokens

    def record_start(
        self,
        started: endpoints_interfaces.StreamStarted,
        delivered_tokens: int,
        cause: evacuation_interfaces.RecomputeCause,
        *,
        is_import: bool,
    ) -> None:
        """Record that an attempt began."""
        if not self._has_begun:
            self._has_begun = True
            return
        context_tokens = self._request.prompt_tokens + delivered_tokens
        reused_tokens = min(context_tokens, started.cached_tokens)
        self._recomputed_tokens += context_tokens - reused_tokens
        RECOMPUTED_TOKENS.labels(cause.value).inc(context_tokens - reused_tokens)
        if is_import:
            MOVED_TOKENS.labels(cause.value).inc(reused_tokens)
