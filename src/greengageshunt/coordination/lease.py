"""Lease of an entry VM on the primary of a group.

A former primary behind a network partition still answers, so no answer of a target proves that
it is the current primary. An entry VM therefore uses a primary only for ``LEASE`` seconds after
the last time at which the store is known to have held no newer record of the group. The entry VM
that replaces a primary first writes that a change is in progress. It promotes the successor only
after every registered process has confirmed that it stopped using the old primary, or all leases
have expired.
"""

import dataclasses
import json

from greengageshunt import application
from greengageshunt.coordination import records, view
from greengageshunt.stores import rows

# Duration of a lease, in seconds. With less, writes would stop during most outages of the store.
# With more, a change of primary waits longer for a process that does not answer.
LEASE = 6.0

# Seconds added to ``LEASE`` by an entry VM that waits for the leases of others to expire: its
# clock may run up to 2% faster than theirs. With less, two primaries could be in use at once.
DRIFT = 0.15


@dataclasses.dataclass(frozen=True, kw_only=True)
class Permission:
    """Lease of this entry VM on the primary of a group, at one point in time.

    Attributes:
        target: Name of the primary, or an empty string if the group has no record.
        granted: Whether this entry VM may use the primary.
        reason: Why the lease is granted or denied.
        age: Seconds since the last time at which the store is known to have held no newer
            record.
        version: Version of the record's row.
        until: Time at which the lease expires, in monotonic seconds.
        changing: Whether a change of the primary is in progress.
    """

    target: str
    granted: bool
    reason: str
    age: float
    version: int
    until: float
    changing: bool


def control_row(row: rows.Row) -> records.ControlRow:
    """Convert a row from the store's client to a row of the control table's copy."""
    return records.ControlRow(
        key=row.key, version=int(row.etag), value=json.dumps(row.value, sort_keys=True)
    )


def evaluate(
    record: records.PrimaryRecord | None,
    *,
    version: int,
    registered: bool,
    as_of: float,
    now: float,
) -> Permission:
    """Return the lease of this entry VM on the primary of a record.

    Args:
        record: Newest known record of the group, or None.
        version: Version of its row.
        registered: Whether this process is registered. A change of the primary does not wait
            for an unregistered process, so that process gets no lease.
        as_of: Last time, in monotonic seconds, at which the store is known to have held no
            newer record.
        now: Monotonic seconds.
    """
    until = as_of + LEASE
    if record is None:
        reason = "no record of the group"
    elif record.changing:
        reason = "the primary is being changed"
    elif not registered:
        reason = "this process is not registered"
    elif now >= until:
        reason = "the record is not confirmed"
    else:
        reason = "confirmed"
    return Permission(
        target=record.primary if record else "",
        granted=reason == "confirmed",
        reason=reason,
        age=now - as_of,
        version=version,
        until=until,
        changing=record is not None and record.changing,
    )


class Leases:
    """Evaluates the leases of this entry VM on the primaries of all groups."""

    def __init__(self, *, app: application.Application) -> None:
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("coordination", "members")

    def permission(self, group: str, now: float) -> Permission:
        """Return the lease of this entry VM on the primary of a group.

        Args:
            group: Name of the group.
            now: Monotonic seconds.
        """
        row = self._view.row(view.GROUP_PREFIX + group)
        return evaluate(
            self._view.primary_record(group),
            version=row.version if row else 0,
            registered=self._members.registered,
            as_of=self._view.copy(records.Section.CONTROL).as_of,
            now=now,
        )


def setup(app: application.Application) -> None:
    """Register the leases."""
    app.add_part("coordination", "leases", lambda app: Leases(app=app))
