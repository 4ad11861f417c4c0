"""Records of the groups, statuses of their targets, and the lag of replicas."""

import collections
import dataclasses
import logging
import math
from collections import abc

from greengageshunt import application, logs, model
from greengageshunt.groups import decide
from greengageshunt.routing import history

logger = logging.getLogger(__name__)


# Maximum number of kept observations of each primary. With one every 150 ms they cover 30 s; the
# lag of a replica that is further behind counts as infinite.
MAX_OBSERVATIONS = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Observation:
    """Position of a primary at the time of a status query.

    Attributes:
        observed_at: Time at which the status query was sent, in monotonic seconds.
        position: Last position in the primary's log.
    """

    observed_at: float
    position: model.Position


def lag(status: model.TargetStatus, log: abc.Reversible[Observation], now: float) -> float:
    """Return the maximum replica lag of a target in seconds.

    A target that contains a position which the primary had when a status query was sent lacks
    at most the transactions that were committed after that time.

    Args:
        status: Status of the target.
        log: Observations of the primary, in rising order of time.
        now: Monotonic seconds.

    Returns:
        Seconds, or infinity if the target contains none of the observed positions.
    """
    # A target with little lag contains one of the newest positions, so the search is short.
    newest_first = reversed(log)
    contained_at = (
        observation.observed_at
        for observation in newest_first
        if history.contains(status, observation.position)
    )
    return now - next(contained_at, -math.inf)


class GroupDirectory:
    """Holds the newest record of each group and the newest status of each target."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._records: dict[str, model.GroupRecord] = {}
        self._group_names: dict[str, str] = {}
        self._statuses: dict[str, model.TargetStatus] = {}
        self._own_statuses: dict[str, model.TargetStatus] = {}
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
        """Statuses from the status checks of this entry VM, without those from peers."""
        return tuple(self._own_statuses.values())

    def record(self, group: str) -> model.GroupRecord | None:
        """Return the newest record of a group, or None."""
        return self._records.get(group)

    def group_of(self, target: str) -> model.GroupRecord | None:
        """Return the record of the group to which a target belongs, or None."""
        record = self._records.get(self._group_names.get(target, ""))
        return record if record and record.target(target) else None

    def status(self, target: str) -> model.TargetStatus | None:
        """Return the newest status of a target, or None."""
        return self._statuses.get(target)

    def apply_record(self, record: model.GroupRecord, source: str) -> bool:
        """Store a record if it is newer than the known one; return whether it is.

        Records are ordered by term, then by revision, whatever their source. A stale read of the
        platform therefore cannot undo a change, and an entry VM that receives a change within a
        term only from a peer applies it, too.

        Args:
            record: The record.
            source: Origin of the record for the log, such as ``platform`` or the name of a peer.
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
        self._group_names.update({target.name: record.group for target in record.targets})
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

    def apply_own_status(self, status: model.TargetStatus) -> None:
        """Store a status from a check of this entry VM; emit a record that it proves."""
        known = self._own_statuses.get(status.target)
        self._invariants.check(
            "accepted-term-never-reverts",
            known is None or known.term <= status.term or status.observed_at < known.observed_at,
            target=status.target,
            known=known and known.term,
            term=status.term,
        )
        self._own_statuses[status.target] = status
        self._store_status(status)
        newer = self._derive_record(status.target)
        if newer is not None:
            self._app.events.emit("group-decided", newer)

    def apply_peer_status(self, status: model.TargetStatus, observed_at: float) -> None:
        """Store a status from a check of a peer.

        Args:
            status: Status as the peer sent it.
            observed_at: Earliest possible time of the check, in monotonic seconds of this entry
                VM's clock.
        """
        self._store_status(dataclasses.replace(status, observed_at=observed_at))
        self._derive_record(status.target)

    def remove_own_status(self, target: str) -> None:
        """Remove a status from ``own_statuses`` when this entry VM stops checking the target."""
        self._own_statuses.pop(target, None)

    def _derive_record(self, target: str) -> model.GroupRecord | None:
        """Store and return the record of a later term that the statuses prove, or None."""
        record = self.group_of(target)
        if record is None:
            return None
        statuses = [
            status for member in record.targets if (status := self._statuses.get(member.name))
        ]
        newer = decide.newer_record(record, statuses)
        if newer is None or not self.apply_record(newer, "statuses"):
            return None
        return newer

    def _store_status(self, status: model.TargetStatus) -> None:
        known = self._statuses.get(status.target)
        if known is not None and status.observed_at <= known.observed_at:
            return
        self._statuses[status.target] = status
        record = self.group_of(status.target)
        if record is None or record.primary != status.target or status.term != record.term:
            return
        log = self._primary_log.setdefault(record.group, collections.deque(maxlen=MAX_OBSERVATIONS))
        if log and status.observed_at < log[-1].observed_at:
            return
        position = history.last_position(status)
        log.append(Observation(observed_at=status.observed_at, position=position))

    def lag(self, target: str, now: float) -> float:
        """Return the maximum replica lag of a target in seconds; infinity if it is unknown."""
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
