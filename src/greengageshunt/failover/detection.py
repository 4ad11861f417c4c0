"""Decision of a watcher whether to replace the primary of a group.

A watcher is a failover daemon that checks the targets of a group. A group has
several watchers; each has a rank, and a higher rank acts later.
"""

import dataclasses
import enum
import secrets
from collections import abc

from greengageshunt import model

# Seconds since the last check that found the primary open, after which the watcher of
# rank 0 replaces the primary unless a majority of targets confirms it. If it is too short,
# a single late status answer causes a promotion.
FAILURE_TIMEOUT = 0.6

# Seconds added to the time-outs of a failure for each rank, so that usually only one
# watcher raises a term.
FAILURE_STAGGER = 0.25

# Seconds since the last check that found the primary open, after which the primary is
# replaced even if a majority of targets still replicates from it: the primary may have
# stopped responding on the port for statements only.
CONFIRMED_FAILURE_TIMEOUT = 2.4

# Highest age in seconds of a replica's last message from the primary with which the
# replica confirms the primary.
MAX_UPSTREAM_AGE = 0.45

# Highest age in seconds of a target's status with which the target counts as reachable.
MAX_STATUS_AGE = 0.5

# Seconds for which a target may keep a term above the record's while the primary
# serves. After that, the watcher raises a new term, because the target cannot follow
# a primary of a lower term.
UNRECORDED_TERM_TIMEOUT = 1.5

# Seconds that another promoter gets to open a primary after a majority of targets
# accepted its term. It spends most of them waiting for the write grants to expire. If the
# time-out is too short, promoters fence the targets of each other's promotions.
PROMOTION_TIMEOUT = 1.3

# Seconds for each rank by which a watcher delays a planned change, so that the watcher
# of the next lower rank can complete it first.
PLANNED_STAGGER = 1.0


class Reason(enum.StrEnum):
    """Reason of a change of primary."""

    FAILED = "primary-failed"
    REQUESTED = "requested"
    DRAINING = "primary-draining"
    UNRECORDED_TERM = "term-raised-without-promotion"


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupView:
    """State of a group as one watcher observes it.

    Attributes:
        record: Newest record.
        statuses: Newest status of each target, as checked by this watcher.
        vm: Entry VM of this watcher.
        rank: Rank of this watcher among the group's watchers, from 0.
        served_at: Monotonic seconds of the newest check that found the record's
            primary open for the record's term.
        unrecorded_since: Monotonic seconds at which this watcher first saw the highest
            term that a target has accepted above the record's; None if no target has
            a term above the record's.
        change_due_since: Monotonic seconds since which a planned change has been due,
            or None.
        back_off_until: Monotonic seconds until which this watcher raises no term.
    """

    record: model.GroupRecord
    statuses: tuple[model.TargetStatus, ...]
    vm: str
    rank: int
    served_at: float
    unrecorded_since: float | None
    change_due_since: float | None
    back_off_until: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """One attempt to change the primary.

    Attributes:
        term: Term to raise.
        reason: Reason of the change.
        preferred: Target to promote if no other target has a longer log; may be empty.
        planned: Whether the old primary is serving, so that the new primary can copy
            its whole log before the change.
        promoter: Name under which the term is raised; see ``new_promoter_name``.
    """

    term: int
    reason: Reason
    preferred: str
    planned: bool
    promoter: str


def new_promoter_name(vm: str) -> str:
    """Return a promoter name that is unique to one attempt.

    A target accepts a term from one promoter only, but accepts a repeated request
    of that promoter. If two attempts of an entry VM shared a name and the answer
    to the first attempt was lost, the second attempt could open another target in
    the same term.
    """
    return f"{vm}#{secrets.token_hex(8)}"


def promoter_vm(promoter: str) -> str:
    """Return the entry VM of a promoter."""
    return promoter.rpartition("#")[0]


def reachable(view: GroupView, now: float) -> tuple[model.TargetStatus, ...]:
    """Return the statuses that are at most ``MAX_STATUS_AGE`` old."""
    return tuple(status for status in view.statuses if now - status.observed_at <= MAX_STATUS_AGE)


def is_primary_confirmed(view: GroupView, now: float) -> bool:
    """Return whether a majority of targets recently received data from the primary."""
    primary = view.record.target(view.record.primary)
    if primary is None:
        return False
    confirming = [
        status
        for status in reachable(view, now)
        if status.upstream == primary.replication_address
        and status.term == view.record.term
        and status.upstream_age + now - status.observed_at <= MAX_UPSTREAM_AGE
    ]
    return len(confirming) >= view.record.majority


def next_term(view: GroupView) -> int:
    """Return a term above all terms that this watcher has seen for the group."""
    intent = view.record.intent.term if view.record.intent else 0
    return max([view.record.term, intent, *(status.term for status in view.statuses)]) + 1


def has_failed(view: GroupView, now: float) -> bool:
    """Return whether the primary counts as failed for a watcher of this rank."""
    unserved_seconds = now - view.served_at - view.rank * FAILURE_STAGGER
    if unserved_seconds <= FAILURE_TIMEOUT:
        return False
    return unserved_seconds > CONFIRMED_FAILURE_TIMEOUT or not is_primary_confirmed(view, now)


def unrecorded_term(
    record: model.GroupRecord, statuses: abc.Iterable[model.TargetStatus]
) -> tuple[int, str] | None:
    """Return the highest term above the record's that a target accepted, and its promoter.

    Such a term belongs to a promotion that is still in progress, or that failed.
    """
    higher = [(status.term, status.promoter) for status in statuses if status.term > record.term]
    return max(higher, default=None)


def has_other_promoter_won(view: GroupView) -> bool:
    """Return whether a majority of targets accepted a newer term of another entry VM."""
    unrecorded = unrecorded_term(view.record, view.statuses)
    if unrecorded is None or promoter_vm(unrecorded[1]) == view.vm:
        return False
    votes = [status for status in view.statuses if (status.term, status.promoter) == unrecorded]
    return len(votes) >= view.record.majority


def is_change_planned(record: model.GroupRecord) -> bool:
    """Return whether an operator requested another primary or drains the current one."""
    return record.requested_primary not in ("", record.primary) or record.primary in record.draining


def successor(view: GroupView, now: float) -> str:
    """Return the replica that replaces a serving primary, or an empty string.

    The primary that an operator requested has precedence. If the primary drains
    without such a request, the replica with the longest log replaces it.
    """
    record = view.record
    replica_offsets = {
        status.target: status.offset
        for status in reachable(view, now)
        if status.target != record.primary
        and status.target not in record.draining
        and status.term == record.term
        and status.upstream
    }
    if record.requested_primary in replica_offsets:
        return record.requested_primary
    if record.primary not in record.draining or not replica_offsets:
        return ""
    return max(replica_offsets, key=lambda name: replica_offsets[name])


def _plan(view: GroupView, reason: Reason, preferred: str, *, planned: bool = False) -> Plan:
    return Plan(
        term=next_term(view),
        reason=reason,
        preferred=preferred,
        planned=planned,
        promoter=new_promoter_name(view.vm),
    )


def _plan_failed(view: GroupView, now: float) -> Plan | None:
    if has_other_promoter_won(view) and view.unrecorded_since is not None:
        timeout = PROMOTION_TIMEOUT + view.rank * FAILURE_STAGGER
        if now - view.unrecorded_since <= timeout:
            return None
    return _plan(view, Reason.FAILED, view.record.requested_primary)


def _plan_serving(view: GroupView, now: float) -> Plan | None:
    if view.unrecorded_since is not None:
        if now - view.unrecorded_since <= UNRECORDED_TERM_TIMEOUT + view.rank * FAILURE_STAGGER:
            return None
        return _plan(view, Reason.UNRECORDED_TERM, view.record.primary)
    if view.change_due_since is None or now - view.change_due_since < view.rank * PLANNED_STAGGER:
        return None
    target = successor(view, now)
    if not target:
        return None
    requested = view.record.requested_primary == target
    reason = Reason.REQUESTED if requested else Reason.DRAINING
    return _plan(view, reason, target, planned=True)


def plan(view: GroupView, now: float) -> Plan | None:
    """Return the change of primary that is due, or None.

    Args:
        view: State of the group as this watcher observes it.
        now: Monotonic seconds.
    """
    if now < view.back_off_until or len(reachable(view, now)) < view.record.majority:
        # Without a majority, a raised term would fence targets although the promotion
        # cannot succeed.
        return None
    if has_failed(view, now):
        return _plan_failed(view, now)
    if now - view.served_at <= MAX_STATUS_AGE:
        return _plan_serving(view, now)
    return None


def needs_follow_request(status: model.TargetStatus, record: model.GroupRecord) -> bool:
    """Return whether a target needs a request to follow the record's primary."""
    primary = record.target(record.primary)
    if primary is None or status.target == record.primary or status.term > record.term:
        return False
    return status.term < record.term or status.upstream != primary.replication_address
