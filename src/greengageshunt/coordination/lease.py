"""Lease of an entry VM on the primary of a group.

A former primary behind a network partition still answers, so no answer of a target proves that
it is the current primary. An entry VM therefore uses a primary only for ``LEASE_SECONDS`` after
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
LEASE_SECONDS = 6.0

# Seconds added to ``LEASE_SECONDS`` by an entry VM that waits for the leases of others to expire:
# its clock may run up to 2% faster than theirs. With less, two primaries could be in use at once.
CLOCK_DRIFT_MARGIN_SECONDS = 0.15


@dataclasses.dataclass(frozen=True, kw_only=True)
class Lease:
    """Lease of this entry VM on the primary of a group, at one point in time.

    Attributes:
        target: Name of the primary, or an empty string if the group has no record.
        valid: Whether this entry VM may use the primary.
        reason: Why the lease is valid or not.
        age: Seconds since the last time at which the store is known to have held no newer
            record.
        version: Version of the record's row.
        expires_at: Time at which the lease expires, in monotonic seconds.
        changing: Whether a change of the primary is in progress.
    """

    target: str
    valid: bool
    reason: str
    age: float
    version: int
    expires_at: float
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
) -> Lease:
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
    expires_at = as_of + LEASE_SECONDS
    if record is None:
        reason = "no record of the group"
    elif record.changing:
        reason = "the primary is being changed"
    elif not registered:
        reason = "this process is not registered"
    elif now >= expires_at:
        reason = "the record is not confirmed"
    else:
        reason = "confirmed"
    return Lease(
        target=record.primary if record else "",
        valid=reason == "confirmed",
        reason=reason,
        age=now - as_of,
        version=version,
        expires_at=expires_at,
        changing=record is not None and record.changing,
    )


class Leases:
    """Evaluates the leases of this entry VM on the primaries of all groups."""

    def __init__(self, *, app: application.Application) -> None:
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("coordination", "members")

    def lease(self, group: str, now: float) -> Lease:
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
