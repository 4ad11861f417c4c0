"""What an entry VM knows of groups and of their targets."""

import collections
import dataclasses
import logging
import math
from collections import abc

from greengageshunt import application, logs, model
from greengageshunt.groups import decide
from greengageshunt.routing import history

logger = logging.getLogger(__name__)


# Number of observations of a primary; at one each 150 ms they cover 30 s.
OBSERVATIONS = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """Position of a primary at a time.

    Attributes:
        observed_at: Monotonic seconds at which the status query was sent.
        position: Last position of the primary's log.
    """

    observed_at: float
    position: model.Position


def lag(status: model.TargetStatus, log: abc.Reversible[Observation], now: float) -> float:
    """Return the seconds by which a target may lag behind its primary.

    A target that contains the position that the primary had when a query was
    sent lacks only transactions that were committed later.

    Args:
        status: Status of the target.
        log: Observations of the primary, in rising order of time.
        now: Monotonic seconds.

    Returns:
        Seconds, or infinity if no observation tells.
    """
    # A target that keeps up contains one of the newest, so the search is short.
    newest_first = reversed(log)
    contained = (s.observed_at for s in newest_first if history.contains(status, s.position))
    return now - next(contained, -math.inf)


class GroupDirectory:
    """Holds the newest record of each group and the newest status of each target."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._records: dict[str, model.GroupRecord] = {}
        self._groups: dict[str, str] = {}
        self._statuses: dict[str, model.TargetStatus] = {}
        self._own: dict[str, model.TargetStatus] = {}
        self._primary_log: dict[str, collections.deque[Observation]] = {}
        self._invariants = app.part("invariants", "default")

    @property
    def records(self) -> tuple[model.GroupRecord, ...]:
        """Newest record of each group."""
        return tuple(self._records.values())

    @property
    def statuses(self) -> tuple[model.TargetStatus, ...]:
        """Newest status of each target."""
        return tuple(self._statuses.values())

    @property
    def own_statuses(self) -> tuple[model.TargetStatus, ...]:
        """Statuses that this entry VM checked itself, not through a peer."""
        return tuple(self._own.values())

    def record(self, group: str) -> model.GroupRecord | None:
        """Return the newest record of a group, or None."""
        return self._records.get(group)

    def group_of(self, target: str) -> model.GroupRecord | None:
        """Return the record of the group that has a target, or None."""
        record = self._records.get(self._groups.get(target, ""))
        return record if record and record.target(target) else None

    def status(self, target: str) -> model.TargetStatus | None:
        """Return the newest status of a target, or None."""
        return self._statuses.get(target)

    def learn_record(self, record: model.GroupRecord, source: str) -> bool:
        """Take over a record if it is newer than the known one; return whether it is.

        The order is the term, then the revision, whatever the source: a stale
        read of the platform cannot undo a change, and a change within a term
        also reaches entry VMs that learn of it from a peer only.
        """
        known = self._records.get(record.group)
        consistent = known is None or known.term != record.term or known.primary == record.primary
        self._invariants.check(
            "one-primary-per-term",
            consistent,
            group=record.group,
            term=record.term,
            primary=record.primary,
            source=source,
        )
        if not consistent or (known and record.order <= known.order):
            return False
        self._records[record.group] = record
        self._groups.update({target.name: record.group for target in record.targets})
        logs.log_decision(
            logger,
            "adopt-group",
            group=record.group,
            term=record.term,
            revision=record.revision,
            primary=record.primary,
            draining=list(record.draining),
            source=source,
        )
        self._app.events.emit("group-changed", record)
        return True

    def learn_own_status(self, status: model.TargetStatus) -> None:
        """Take over a status that this entry VM checked itself."""
        known = self._own.get(status.target)
        self._invariants.check(
            "accepted-term-never-reverts",
            known is None or known.term <= status.term or status.observed_at < known.observed_at,
            target=status.target,
            known=known and known.term,
            term=status.term,
        )
        self._own[status.target] = status
        self._learn(status)
        decided = self._decide(status.target)
        if decided is not None:
            self._app.events.emit("group-decided", decided)

    def learn_peer_status(self, status: model.TargetStatus, observed_at: float) -> None:
        """Take over a status that a peer checked.

        Args:
            status: Status as the peer sent it.
            observed_at: Earliest monotonic seconds of the check on the own clock.
        """
        self._learn(dataclasses.replace(status, observed_at=observed_at))
        self._decide(status.target)

    def forget_own_status(self, target: str) -> None:
        """Stop passing on the status of a target that is no longer checked here."""
        self._own.pop(target, None)

    def _decide(self, target: str) -> model.GroupRecord | None:
        """Take over the record of a later term that the statuses show, and return it."""
        record = self.group_of(target)
        if record is None:
            return None
        statuses = [status for each in record.targets if (status := self._statuses.get(each.name))]
        newer = decide.newer_record(record, statuses)
        if newer is None or not self.learn_record(newer, "statuses"):
            return None
        return newer

    def _learn(self, status: model.TargetStatus) -> None:
        known = self._statuses.get(status.target)
        if known is not None and status.observed_at <= known.observed_at:
            return
        self._statuses[status.target] = status
        record = self.group_of(status.target)
        if record is None or record.primary != status.target or status.term != record.term:
            return
        log = self._primary_log.setdefault(record.group, collections.deque(maxlen=OBSERVATIONS))
        if log and status.observed_at < log[-1].observed_at:
            return
        position = history.last_position(status)
        log.append(Observation(observed_at=status.observed_at, position=position))

    def lag(self, target: str, now: float) -> float:
        """Return the seconds by which a target may lag behind its primary."""
        status = self._statuses.get(target)
        record = self.group_of(target)
        if status is None or record is None:
            return math.inf
        return lag(status, self._primary_log.get(record.group, ()), now)


def setup(app: application.Application) -> None:
    """Register the group directory."""
    app.add_event("group-changed")
    app.add_event("group-decided")
    app.add_part("groups", "directory", lambda app: GroupDirectory(app=app))
