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
        statuses: Newest status of each target, as checked by this entry VM itself.

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


class GrantKeeper:
    """Keeps the statuses that this entry VM checked itself."""

    def __init__(self, *, app: application.Application) -> None:
        self._directory = app.part("groups", "directory")
        self._checked: dict[str, model.TargetStatus] = {}
        app.events.connect("target-checked", self._record)

    def _record(self, status: model.TargetStatus) -> None:
        self._checked[status.target] = status

    def grant(self, group: str) -> Grant:
        """Return the write grant of a group; it may have expired."""
        record = self._directory.record(group)
        if record is None:
            return Grant(term=0, expires_at=-math.inf)
        statuses = (
            self._checked[target.name] for target in record.targets if target.name in self._checked
        )
        return compute(record, statuses)


def setup(app: application.Application) -> None:
    """Register the write grants."""
    app.add_part("failover", "grants", lambda app: GrantKeeper(app=app))
