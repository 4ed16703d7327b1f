"""
Replays the quarantine stream into suspects, turns and quarantines.

When an endpoint dies, every request that ran on it becomes a suspect. A suspect
runs alone on an endpoint, in a turn that is granted by the order of the log: one
suspect at a time on an endpoint, and one endpoint at a time for a suspect. A
suspect is cleared when it completes. It is quarantined by a second death, if it ran
alone at one of the two.
"""

import typing

from acaciaward.provider import interfaces as provider_interfaces

MERGE_WINDOW_S = 2.0
MAX_TURN_S = 30.0
MAX_DEATHS = 200
MAX_SUBJECTS_PER_DEATH = 2000


class Death(typing.NamedTuple):
    """
    The death of one endpoint, at a time of the log's clock.

    ``subjects`` maps each subject that ran on it to whether it ran alone. A death
    with ``is_counted`` False is part of the loss of a data centre.
    """

    endpoint: str
    time: float
    subjects: dict[str, bool]
    is_counted: bool


class Turn(typing.NamedTuple):
    """
    A requested or granted turn to run a subject alone on an endpoint.

    It is granted if it is the first of its endpoint and of its subject.
    """

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
    """The state after the records before ``next_offset``, by the log's clock."""

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
        """The current quarantines, by subject."""
        return self._quarantined

    def restart(self, first_offset: int) -> None:
        """Continue at an offset; the state is kept, as it errs on the safe side."""
        self._next_offset = first_offset

    def apply_page(self, page: provider_interfaces.LogPage) -> None:
        """Replay consecutive records and drop expired state."""
        for record in page.records:
            self.apply(record)
        self._now = max(self._now, page.time)
        self._expire()

    def apply(self, record: provider_interfaces.LogRecord) -> None:
        """Replay the next record; records of another kind or form are skipped."""
        data = record.data
        kind = data.get("kind") if isinstance(data, dict) else None
        applier, fields = _APPLIERS.get(kind, (None, {}))
        if applier and all(
            isinstance(data.get(field), field_type)
            for field, field_type in fields.items()
        ):
            applier(self, record)
        self._next_offset = record.offset + 1
        self._now = max(self._now, record.time)

    def _apply_death(self, record: provider_interfaces.LogRecord) -> None:
        data = record.data
        endpoint = data["endpoint"]
        alone = set(data["alone"]) if data["counts"] else set()
        death = self._find_or_add_death(endpoint, record.time, data["counts"])
        for subject in data["suspects"][:MAX_SUBJECTS_PER_DEATH]:
            if isinstance(subject, str):
                is_alone = death.subjects.get(subject, False) or subject in alone
                death.subjects[subject] = is_alone
                self._quarantine_if_proven(subject, record.time)

    def _find_or_add_death(self, endpoint: str, time: float, is_counted: bool) -> Death:
        """
        Return the death that a record reports.

        Reports of the same endpoint within ``MERGE_WINDOW_S`` are about the same death.
        """
        for death in reversed(self._deaths):
            if death.endpoint == endpoint and time - death.time <= MERGE_WINDOW_S:
                return death
        death = Death(endpoint, time, {}, is_counted)
        self._deaths.append(death)
        del self._deaths[:-MAX_DEATHS]
        return death

    def _quarantine_if_proven(self, subject: str, time: float) -> None:
        subject_deaths = [death for death in self._deaths if subject in death.subjects]
        if len(subject_deaths) < 2 or not any(
            death.subjects[subject] for death in subject_deaths
        ):
            return
        endpoints = tuple(death.endpoint for death in subject_deaths)
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

    def _expire(self) -> None:
        now = self._now
        self._deaths = [
            death for death in self._deaths if death.time + self._suspect_s > now
        ]
        expired_turns = [
            turn.nonce for turn in self._turns.values() if turn.time + MAX_TURN_S < now
        ]
        for nonce in expired_turns:
            del self._turns[nonce]
        ended_subjects = [
            quarantined.subject
            for quarantined in self._quarantined.values()
            if quarantined.until <= now
        ]
        for subject in ended_subjects:
            del self._quarantined[subject]

    def has_turn(self, nonce: str) -> bool:
        """Return whether a turn is the first of its endpoint and of its subject."""
        own_turn = self._turns.get(nonce)
        if own_turn is None:
            return False
        for turn in self._turns.values():
            if turn.nonce == nonce:
                return True
            if turn.endpoint == own_turn.endpoint or turn.subject == own_turn.subject:
                return False
        return False

    def suspected_at(self, subject: str) -> float | None:
        """Return the time of the last death with this suspect, or None."""
        times = [death.time for death in self._deaths if subject in death.subjects]
        return max(times, default=None)

    def is_sole_common_suspect(self, subject: str) -> bool:
        """Return whether its counted deaths, at least 2, share no other subject."""
        subject_deaths = [
            death
            for death in self._deaths
            if subject in death.subjects and death.is_counted
        ]
        if len(subject_deaths) < 2:
            return False
        common = set.intersection(*(set(death.subjects) for death in subject_deaths))
        return common == {subject}

    def dead_endpoints(self) -> set[str]:
        """Return the endpoints with a death that hasn't expired."""
        return {death.endpoint for death in self._deaths}


_COMMON_FIELDS = {"nonce": str, "endpoint": str}
_APPLIERS: dict[str, tuple] = {
    "death": (
        QuarantineReplay._apply_death,
        _COMMON_FIELDS | {"suspects": list, "alone": list, "counts": bool},
    ),
    "turn": (QuarantineReplay._apply_turn, _COMMON_FIELDS | {"subject": str}),
    "turn_end": (QuarantineReplay._apply_turn_end, _COMMON_FIELDS),
    "clear": (QuarantineReplay._apply_clear, {"subject": str}),
}
