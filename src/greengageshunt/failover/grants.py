"""Write grants: time-limited permissions to acknowledge the writes of one term."""

import dataclasses
import math
from collections import abc

from greengageshunt import application, model

# Seconds for which a grant lasts, counted from the sending of the checks. A shorter grant
# expires when checks are a little late; a longer one delays promotions that cannot fence
# the old primary.
GRANT_DURATION = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
    """A write grant.

    Attributes:
        term: Term of the writes.
        expires_at: Monotonic seconds at which the grant expires.
    """

    term: int
    expires_at: float


def compute(record: model.GroupRecord, statuses: abc.Iterable[model.TargetStatus]) -> Grant:
    """Return the grant that follows from the newest statuses of a group's targets.

    Args:
        record: Record of the group.
        statuses: Newest status of each target, as checked by this entry VM itself.
            Statuses that a peer forwarded must not be passed: the peer may have
            sent its check before it was paused.

    Returns:
        A grant of the record's term. It is already expired if fewer targets than a
        majority were checked in a term up to the record's.
    """
    checked_at = sorted(
        (status.observed_at for status in statuses if status.term <= record.term), reverse=True
    )
    if len(checked_at) < record.majority:
        return Grant(term=record.term, expires_at=-math.inf)
    # The grant lasts from the oldest of the newest checks that form a majority.
    return Grant(term=record.term, expires_at=checked_at[record.majority - 1] + GRANT_DURATION)


def valid_checks(
    term: int, statuses: abc.Iterable[model.TargetStatus], now: float
) -> tuple[model.TargetStatus, ...]:
    """Return the statuses on which an acknowledgement in a term may still be based."""
    return tuple(
        status
        for status in statuses
        if status.term <= term and now < status.observed_at + GRANT_DURATION
    )


class WriteGrants:
    """Write grants of the groups, based on this entry VM's own status checks."""

    def __init__(self, *, app: application.Application) -> None:
        self._directory = app.part("groups", "directory")
        self._invariants = app.part("invariants", "default")
        self._newest_checks: dict[str, model.TargetStatus] = {}
        self._acknowledged_terms: dict[str, int] = {}
        app.events.connect("target-checked", self._store_check)

    def _store_check(self, status: model.TargetStatus) -> None:
        known = self._newest_checks.get(status.target)
        if known is None or known.observed_at <= status.observed_at:
            self._newest_checks[status.target] = status

    def grant(self, group: str) -> Grant:
        """Return the write grant of a group; it may have expired."""
        record = self._directory.record(group)
        if record is None:
            return Grant(term=0, expires_at=-math.inf)
        return compute(record, self._statuses(record))

    def acknowledge(self, group: str, term: int, commit_term: int, now: float) -> Grant | None:
        """Return the grant under which a write may be acknowledged, or None.

        Args:
            group: Group of the write.
            term: Term of the group record under which the write was sent.
            commit_term: Term of the log position at which the write was committed.
            now: Monotonic seconds, read after the commit.
        """
        grant = self.grant(group)
        if grant.term != term or commit_term != term or grant.expires_at <= now:
            return None
        record = self._directory.record(group)
        checks = valid_checks(term, self._statuses(record), now)
        self._invariants.check(
            "acknowledged-within-grant",
            len(checks) >= record.majority,
            group=group,
            term=term,
            checked=[status.target for status in checks],
        )
        self._invariants.check(
            "acknowledged-terms-never-revert",
            self._acknowledged_terms.get(group, 0) <= term,
            group=group,
            term=term,
            acknowledged=self._acknowledged_terms.get(group, 0),
        )
        self._acknowledged_terms[group] = term
        return grant

    def primary_checked_since(self, target: str, since: float) -> bool:
        """Return whether a check sent at or after a time found the target open as primary.

        Args:
            target: Name of the target.
            since: Monotonic seconds.
        """
        status = self._newest_checks.get(target)
        return status is not None and status.open and status.observed_at >= since

    def _statuses(self, record: model.GroupRecord) -> tuple[model.TargetStatus, ...]:
        return tuple(
            self._newest_checks[target.name]
            for target in record.targets
            if target.name in self._newest_checks
        )


def setup(app: application.Application) -> None:
    """Register the write grants."""
    app.add_part("failover", "grants", lambda app: WriteGrants(app=app))
