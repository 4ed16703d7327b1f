"""
Replays the quarantine stream: suspects, turns to run alone, and quarantines.

An endpoint's death makes every request that ran on it a suspect. A suspect runs
alone, in a turn that the log's order grants: one suspect at a time on an
endpoint, and one endpoint at a time for a suspect. Completing clears it, and a
second death under it quarantines it.
"""

import typing

from acaciaward.provider import interfaces as provider_interfaces

MERGE_S = 2.0
TURN_LIMIT_S = 30.0
MAX_DEATHS = 200
MAX_SUBJECTS_PER_DEATH = 2000


class Death(typing.NamedTuple):
    """One endpoint's death by the log's time; subjects map to "ran alone"."""

    endpoint: str
    time: float
    subjects: dict[str, bool]
    counts: bool


class Turn(typing.NamedTuple):
    """One wish to run a subject alone on an endpoint."""

    nonce: str
    endpoint: str
    subject: str
    time: float


class Quarantined(typing.NamedTuple):
    """A quarantine from ``since`` to ``until``, in Unix seconds of the log."""

    subject: str
    since: float
    until: float
    endpoints: tuple[str, ...]


class QuarantineReplay:
    """What the records up to ``next_offset`` say."""

    def __init__(self, *, suspect_s: float, duration_s: float):
        self._suspect_s = suspect_s
        self.duration_s = duration_s
        self._deaths: list[Death] = []
        self._turns: dict[str, Turn] = {}
        self._quarantined: dict[str, Quarantined] = {}
        self._next_offset = 0
        self._now = 0.0

    @property
    def next_offset(self) -> int:
        """The offset of the first record that hasn't been replayed."""
        return self._next_offset

    @property
    def quarantined(self) -> dict[str, Quarantined]:
        """The quarantines that aren't over, by subject."""
        return self._quarantined

    def restart(self, first_offset: int) -> None:
        """Go on at an offset; what is known stays, since it only errs on safety."""
        self._next_offset = first_offset

    def apply_page(self, page: provider_interfaces.LogPage) -> None:
        """Replay consecutive records and forget what is over."""
        for record in page.records:
            self.apply(record)
        self._now = max(self._now, page.time)
        self._forget()

    def apply(self, record: provider_interfaces.LogRecord) -> None:
        """Replay the next record; anything that isn't one of ours is skipped."""
        data = record.data
        kind = data.get("kind") if isinstance(data, dict) else None
        applier, fields = _APPLIERS.get(kind, (None, {}))
        if applier and all(isinstance(data.get(f), kind) for f, kind in fields.items()):
            applier(self, record)
        self._next_offset = record.offset + 1
        self._now = max(self._now, record.time)

    def _apply_death(self, record: provider_interfaces.LogRecord) -> None:
        data = record.data
        endpoint = data["endpoint"]
        alone = set(data["alone"]) if data["counts"] else set()
        death = self._death_of(endpoint, record.time, data["counts"])
        for subject in data["suspects"][:MAX_SUBJECTS_PER_DEATH]:
            if isinstance(subject, str):
                is_alone = death.subjects.get(subject, False) or subject in alone
                death.subjects[subject] = is_alone
                self._judge(subject, record.time)

    def _death_of(self, endpoint: str, time: float, counts: bool) -> Death:
        """Return the death that a report is about; several entries report one."""
        for death in reversed(self._deaths):
            if death.endpoint == endpoint and time - death.time <= MERGE_S:
                return death
        death = Death(endpoint, time, {}, counts)
        self._deaths.append(death)
        del self._deaths[:-MAX_DEATHS]
        return death

    def _judge(self, subject: str, time: float) -> None:
        under = [death for death in self._deaths if subject in death.subjects]
        if len(under) < 2 or not any(death.subjects[subject] for death in under):
            return
        endpoints = tuple(death.endpoint for death in under)
        self._quarantined[subject] = Quarantined(
            subject, time, time + self.duration_s, endpoints
        )

    def _apply_turn(self, record: provider_interfaces.LogRecord) -> None:
        data = record.data
        turn = Turn(data["nonce"], data["endpoint"], data["subject"], record.time)
        self._turns.setdefault(turn.nonce, turn)

    def _apply_turn_end(self, record: provider_interfaces.LogRecord) -> None:
        self._turns.pop(record.data["nonce"], None)

    def _apply_clear(self, record: provider_interfaces.LogRecord) -> None:
        subject = record.data["subject"]
        for death in self._deaths:
            death.subjects.pop(subject, None)

    def _forget(self) -> None:
        now = self._now
        self._deaths = [d for d in self._deaths if d.time + self._suspect_s > now]
        over = [t.nonce for t in self._turns.values() if t.time + TURN_LIMIT_S < now]
        for nonce in over:
            del self._turns[nonce]
        ended = [q.subject for q in self._quarantined.values() if q.until <= now]
        for subject in ended:
            del self._quarantined[subject]

    def has_turn(self, nonce: str) -> bool:
        """Return whether a turn is the first on its endpoint and of its subject."""
        own = self._turns.get(nonce)
        if own is None:
            return False
        for turn in self._turns.values():
            if turn.nonce == nonce:
                return True
            if turn.endpoint == own.endpoint or turn.subject == own.subject:
                return False
        return False

    def suspected_at(self, subject: str) -> float | None:
        """Return when the last death under a subject was, or None."""
        times = [death.time for death in self._deaths if subject in death.subjects]
        return max(times, default=None)

    def sole_suspect_of_two(self, subject: str) -> bool:
        """Return whether two deaths have this subject in common and no other."""
        under = [
            death
            for death in self._deaths
            if subject in death.subjects and death.counts
        ]
        if len(under) < 2:
            return False
        common = set.intersection(*(set(death.subjects) for death in under))
        return common == {subject}

    def dead_endpoints(self) -> set[str]:
        """Return the endpoints whose deaths are remembered."""
        return {death.endpoint for death in self._deaths}


_NAMES = {"nonce": str, "endpoint": str}
_APPLIERS: dict[str, tuple] = {
    "death": (
        QuarantineReplay._apply_death,
        _NAMES | {"suspects": list, "alone": list, "counts": bool},
    ),
    "turn": (QuarantineReplay._apply_turn, _NAMES | {"subject": str}),
    "turn_end": (QuarantineReplay._apply_turn_end, _NAMES),
    "clear": (QuarantineReplay._apply_clear, {"subject": str}),
}
