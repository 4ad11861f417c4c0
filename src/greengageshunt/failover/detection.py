"""Decision of a watcher whether to change the primary of a group."""

import dataclasses
import enum
import secrets
from collections import abc

from greengageshunt import model

SILENCE = 0.6  # seconds without an answer of the primary after which it is suspected

# Seconds by which each further watcher waits longer, so that usually one acts.
STAGGER = 0.25

# Seconds of silence after which the primary is replaced even if a majority of targets
# still hears from it: its port for statements may have stopped responding.
CONFIRMED_SILENCE = 2.4

# Seconds within which a replica must have heard from the primary to confirm it.
CONFIRMATION_AGE = 0.45

# Seconds within which a target must have answered to count as reachable.
REACHABLE_AGE = 0.5

# Seconds for which a target may have accepted a higher term than the primary's, while
# the primary serves, before a new term is raised to bring the target back.
STRAY_TERM_LIMIT = 1.5

# Seconds that another promoter gets after a majority accepted its term; it waits out
# the write grants for most of them.
PROMOTION_TIME = 1.3

# Seconds by which each further watcher leaves a planned change to the one before it.
PLANNED_STAGGER = 1.0


class Reason(enum.StrEnum):
    """Why the primary of a group is changed."""

    FAILED = "primary-failed"
    REQUESTED = "requested"
    DRAINING = "primary-draining"
    STRAY_TERM = "term-raised-without-promotion"


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupView:
    """What a watcher knows of a group.

    Attributes:
        record: Newest record.
        statuses: Newest status of each target, as checked by this watcher.
        vm: Entry VM of this watcher.
        rank: Place of this watcher among the group's watchers, from 0.
        served_at: Monotonic seconds of the newest check that found the record's
            primary open for the record's term.
        stray_since: Monotonic seconds at which this watcher first saw the highest term
            that a target has above the record's, or None.
        move_since: Monotonic seconds since which a planned change has been due, or None.
        yield_until: Monotonic seconds until which another promoter goes first.
    """

    record: model.GroupRecord
    statuses: tuple[model.TargetStatus, ...]
    vm: str
    rank: int
    served_at: float
    stray_since: float | None
    move_since: float | None
    yield_until: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """A change of primary that a watcher is about to try.

    Attributes:
        term: Term to raise.
        reason: Why the primary is changed.
        preferred: Target to promote if its log is not shorter than others; may be empty.
        planned: Whether the old primary serves and hands over its whole log first.
        promoter: Name under which the term is raised; see ``attempt_name``.
    """

    term: int
    reason: Reason
    preferred: str
    planned: bool
    promoter: str


def attempt_name(vm: str) -> str:
    """Return a promoter name that no other attempt has.

    A target accepts a term once from one promoter, and again from the same one.
    If two attempts of an entry VM shared a name, the second could open another
    target in the term of the first, whose answer was lost.
    """
    return f"{vm}#{secrets.token_hex(8)}"


def vm_of(promoter: str) -> str:
    """Return the entry VM of a promoter."""
    return promoter.partition("#")[0]


def reachable(view: GroupView, now: float) -> tuple[model.TargetStatus, ...]:
    """Return the statuses of the targets that answered recently."""
    return tuple(status for status in view.statuses if now - status.observed_at <= REACHABLE_AGE)


def is_confirmed(view: GroupView, now: float) -> bool:
    """Return whether a majority of targets heard from the primary just now."""
    primary = view.record.target(view.record.primary)
    if primary is None:
        return False
    hearing = [
        status
        for status in reachable(view, now)
        if status.upstream == primary.replication_address
        and status.term == view.record.term
        and status.upstream_age + now - status.observed_at <= CONFIRMATION_AGE
    ]
    return len(hearing) >= view.record.majority


def next_term(view: GroupView) -> int:
    """Return a term above all that this watcher has seen for the group."""
    intent = view.record.intent.term if view.record.intent else 0
    return max([view.record.term, intent, *(status.term for status in view.statuses)]) + 1


def has_failed(view: GroupView, now: float) -> bool:
    """Return whether this watcher should replace the primary."""
    silence = now - view.served_at - view.rank * STAGGER
    if silence <= SILENCE:
        return False
    return silence > CONFIRMED_SILENCE or not is_confirmed(view, now)


def stray_term(
    record: model.GroupRecord, statuses: abc.Iterable[model.TargetStatus]
) -> tuple[int, str] | None:
    """Return the highest term above the record's that a target accepted, and its promoter."""
    higher = [(status.term, status.promoter) for status in statuses if status.term > record.term]
    return max(higher, default=None)


def is_elected(view: GroupView) -> bool:
    """Return whether a majority of targets accepted a newer term of another promoter."""
    stray = stray_term(view.record, view.statuses)
    if stray is None or vm_of(stray[1]) == view.vm:
        return False
    votes = [status for status in view.statuses if (status.term, status.promoter) == stray]
    return len(votes) >= view.record.majority


def wants_move(record: model.GroupRecord) -> bool:
    """Return whether an operator wants another primary."""
    return record.requested_primary not in ("", record.primary) or record.primary in record.draining


def successor(view: GroupView, now: float) -> str:
    """Return the replica that takes over from a serving primary, or an empty string.

    An operator's request comes first; without one, the replica with the longest log.
    """
    record = view.record
    following = {
        status.target: status.offset
        for status in reachable(view, now)
        if status.target != record.primary
        and status.target not in record.draining
        and status.term == record.term
        and status.upstream
    }
    if record.requested_primary in following:
        return record.requested_primary
    if record.primary not in record.draining or not following:
        return ""
    return max(following, key=lambda name: following[name])


def _plan(view: GroupView, reason: Reason, preferred: str, *, planned: bool = False) -> Plan:
    return Plan(
        term=next_term(view),
        reason=reason,
        preferred=preferred,
        planned=planned,
        promoter=attempt_name(view.vm),
    )


def _plan_failed(view: GroupView, now: float) -> Plan | None:
    if is_elected(view) and view.stray_since is not None:
        others_time = PROMOTION_TIME + view.rank * STAGGER
        if now - view.stray_since <= others_time:
            return None
    return _plan(view, Reason.FAILED, view.record.requested_primary)


def _plan_serving(view: GroupView, now: float) -> Plan | None:
    if view.stray_since is not None:
        if now - view.stray_since <= STRAY_TERM_LIMIT + view.rank * STAGGER:
            return None
        return _plan(view, Reason.STRAY_TERM, view.record.primary)
    if view.move_since is None or now - view.move_since < view.rank * PLANNED_STAGGER:
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
        view: What this watcher knows of the group.
        now: Monotonic seconds.
    """
    if now < view.yield_until or len(reachable(view, now)) < view.record.majority:
        # Without a majority a raised term would fence targets for nothing.
        return None
    if has_failed(view, now):
        return _plan_failed(view, now)
    if now - view.served_at <= REACHABLE_AGE:
        return _plan_serving(view, now)
    return None


def needs_follow(status: model.TargetStatus, record: model.GroupRecord) -> bool:
    """Return whether a target should be told to follow the record's primary."""
    primary = record.target(record.primary)
    if primary is None or status.target == record.primary or status.term > record.term:
        return False
    return status.term < record.term or status.upstream != primary.replication_address
