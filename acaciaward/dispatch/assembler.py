"""
Assembles the numbered tokens of one answer from all its attempts.

Each index is delivered once and in order. A repeated index is dropped, a gap is
an error of the attempt, and the answer is complete only when the engine's final
frame agrees with the number of tokens delivered.
"""

import hashlib
import typing

from acaciaward import errors, requests, verdicts

COMPLETE_REASONS = frozenset({"length", "stop"})


class StreamAssembler:
    """
    The tokens of one answer that were delivered so far.

        assembler = StreamAssembler()
        assembler.accept(requests.TokenFrame(0, "box"))  # True: deliver it
        assembler.accept(requests.TokenFrame(0, "box"))  # False: a repetition
    """

    def __init__(self, delivered: typing.Iterable[str] = ()):
        self._texts: list[str] = []
        self._digest = hashlib.sha256()
        for text in delivered:
            self._append(text)

    @property
    def texts(self) -> list[str]:
        """The delivered tokens, in order."""
        return self._texts

    @property
    def count(self) -> int:
        """Number of delivered tokens."""
        return len(self._texts)

    @property
    def digest(self) -> str:
        """Hexadecimal SHA-256 over the delivered text."""
        return self._digest.hexdigest()

    def accept(self, frame: requests.TokenFrame) -> bool:
        """Return whether the token is the next one and must be delivered."""
        if frame.index < self.count:
            return False
        if frame.index > self.count:
            raise errors.EndpointError(
                f"token {frame.index} came where {self.count} was due",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        self._append(frame.text)
        return True

    def finish(self, completion: requests.Completion) -> requests.Completion:
        """
        Return the completion with its digest, or raise if the answer is incomplete.

        An engine also sends a final frame for a stream that was cancelled, exported
        or given up. Its finish reason shows that the answer is incomplete.
        """
        if completion.finish_reason not in COMPLETE_REASONS:
            raise errors.EndpointError(
                f"stream was ended at its engine: {completion.finish_reason}",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        if completion.count != self.count:
            raise errors.EndpointError(
                f"answer ended at {completion.count} of {self.count} tokens",
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        return completion._replace(digest=self.digest)

    def _append(self, text: str) -> None:
        self._texts.append(text)
        self._digest.update(text.encode())
