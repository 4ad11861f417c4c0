"""Write grants: time-limited permission to acknowledge writes of one term."""

import dataclasses
import math
from collections import abc

from greengageshunt import application, model

GRANT_LENGTH = 0.8  # seconds from the sending of the checks


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """A write grant.

    Attributes:
        term: Term of the writes.
        expires_at: Monotonic seconds at which it ends.
    """

    term: int
    expires_at: float


def compute(record: model.GroupRecord, statuses: abc.Iterable[model.TargetStatus]) -> Grant:
    """Return the grant that the newest statuses of a group's targets give.

    Args:
        record: Record of the group.
        statuses: Newest status of each target, as checked by this entry VM itself. A
            status that a peer passed on has no place here: it may have been sent
            before the peer was paused.

    Returns:
        A grant of the record's term; it has expired if no majority was checked.
    """
    checked_at = sorted(
        (status.observed_at for status in statuses if status.term <= record.term), reverse=True
    )
    if len(checked_at) < record.majority:
        return Grant(term=record.term, expires_at=-math.inf)
    # The oldest check of the newest majority is the one that counts.
    return Grant(term=record.term, expires_at=checked_at[record.majority - 1] + GRANT_LENGTH)


def fresh_checks(
    term: int, statuses: abc.Iterable[model.TargetStatus], now: float
) -> tuple[model.TargetStatus, ...]:
    """Return the statuses that still support an acknowledgement of a term."""
    return tuple(
        status
        for status in statuses
        if status.term <= term and now < status.observed_at + GRANT_LENGTH
    )


class GrantKeeper:
    """Keeps the statuses that this entry VM checked itself."""

    def __init__(self, *, app: application.Application) -> None:
        self._directory = app.part("groups", "directory")
        self._invariants = app.part("invariants", "default")
        self._checked: dict[str, model.TargetStatus] = {}
        self._acknowledged: dict[str, int] = {}
        app.events.connect("target-checked", self._record)

    def _record(self, status: model.TargetStatus) -> None:
        known = self._checked.get(status.target)
        if known is None or known.observed_at <= status.observed_at:
            self._checked[status.target] = status

    def grant(self, group: str) -> Grant:
        """Return the write grant of a group; it may have expired."""
        record = self._directory.record(group)
        if record is None:
            return Grant(term=0, expires_at=-math.inf)
        return compute(record, self._statuses(record))

    def acknowledge(self, group: str, term: int, committed_in: int, now: float) -> Grant | None:
        """Return the grant under which a write may be acknowledged, or None.

        Args:
            group: Group of the write.
            term: Term in which the write had to run.
            committed_in: Term of the log position at which it was found committed.
            now: Monotonic seconds, read after the commit.
        """
        grant = self.grant(group)
        if grant.term != term or committed_in != term or grant.expires_at <= now:
            return None
        record = self._directory.record(group)
        fresh = fresh_checks(term, self._statuses(record), now)
        self._invariants.check(
            "acknowledged-within-grant",
            len(fresh) >= record.majority,
            group=group,
            term=term,
            checked=[status.target for status in fresh],
        )
        self._invariants.check(
            "acknowledged-terms-never-revert",
            self._acknowledged.get(group, 0) <= term,
            group=group,
            term=term,
            acknowledged=self._acknowledged.get(group, 0),
        )
        self._acknowledged[group] = term
        return grant

    def primary_checked_since(self, target: str, since: float) -> bool:
        """Return whether a check that was sent after a time found a target to be primary."""
        status = self._checked.get(target)
        return status is not None and status.open and status.observed_at >= since

    def _statuses(self, record: model.GroupRecord) -> tuple[model.TargetStatus, ...]:
        return tuple(
            self._checked[target.name] for target in record.targets if target.name in self._checked
        )


def setup(app: application.Application) -> None:
    """Register the write grants."""
    app.add_part("failover", "grants", lambda app: GrantKeeper(app=app))
