"""Lease of an entry VM on the primary of a group.

A former primary behind a network partition still answers, so no answer of a target proves that
it is the current primary. An entry VM therefore uses a primary only for ``LEASE_SECONDS`` after
the last time at which the store is known to have held no newer record of the group. The entry VM
that replaces a primary first writes that a change is in progress. It promotes the successor only
after every registered process has confirmed that it stopped using the old primary, or all leases
have expired.

After the store was restored from an older copy, a record that was written before permits no use of
its primary: a later one may be lost. The leases of the era before stay valid until they expire or
a record of the new era revokes them, and changes of primary wait for them as for all others.
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
        key=row.key,
        version=int(row.etag),
        value=json.dumps(row.value, sort_keys=True),
        era=row.era,
    )


def evaluate(
    record: records.PrimaryRecord | None,
    *,
    version: int,
    registered: bool,
    as_of: float,
    now: float,
    era: int = rows.FIRST_ERA,
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
        era: Era of the store to which ``as_of`` belongs.
    """
    expires_at = as_of + LEASE_SECONDS
    if record is None:
        reason = "no record of the group"
    elif record.changing:
        reason = "the primary is being changed"
    elif record.era != era:
        reason = "the record is of another era of the store"
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


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeptLease:
    """Lease of an era of the store that has ended, and the record on which it is based."""

    lease: Lease
    record: records.PrimaryRecord


def is_kept(kept: KeptLease, record: records.PrimaryRecord | None, now: float) -> bool:
    """Return whether a lease of an ended era is still valid.

    Args:
        kept: The lease.
        record: Record of the group in the present era, or None. One that was written before the
            restore does not count: it may be older than that of the lease.
        now: Monotonic seconds.
    """
    if now >= kept.lease.expires_at:
        return False
    if record is None or record.era <= kept.record.era:
        return True
    return not record.changing and record.primary == kept.lease.target


class Leases:
    """Evaluates the leases of this entry VM on the primaries of all groups."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._kept: dict[str, KeptLease] = {}
        app.events.connect("era-ended", self._keep_leases)
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("coordination", "members")

    def lease(self, group: str, now: float) -> Lease:
        """Return the lease of this entry VM on the primary of a group.

        Args:
            group: Name of the group.
            now: Monotonic seconds.
        """
        key = view.GROUP_PREFIX + group
        row = self._view.row(key)
        record = self._view.primary_record(group)
        copy = self._view.copy(records.Section.CONTROL)
        current = evaluate(
            record,
            version=row.version if row else 0,
            registered=self._members.registered,
            as_of=copy.as_of,
            now=now,
            era=copy.era,
        )
        kept = self._kept.get(group)
        if current.valid or kept is None or not is_kept(kept, record, now):
            return current
        if self._view.is_unreadable(key):
            # The row may be that of a change in the present era.
            return current
        age = now + LEASE_SECONDS - kept.lease.expires_at
        return dataclasses.replace(kept.lease, age=age)

    def kept_record(self, group: str, now: float) -> records.PrimaryRecord | None:
        """Return the record of a lease that is still valid although its era has ended, or None.

        Args:
            group: Name of the group.
            now: Monotonic seconds.
        """
        kept = self._kept.get(group)
        if kept is None or not is_kept(kept, self._view.primary_record(group), now):
            return None
        return kept.record

    def _keep_leases(self, era: int) -> None:
        """Keep the valid leases of an era that ends."""
        now = self._app.clock()
        kept = {}
        for group, record in self._view.primary_records.items():
            held = self.lease(group, now)
            if held.valid:
                basis = record if record.era == era else self._kept[group].record
                kept[group] = KeptLease(lease=held, record=basis)
        self._kept = kept


def setup(app: application.Application) -> None:
    """Register the leases."""
    app.add_part("coordination", "leases", lambda app: Leases(app=app))
