"""Permission to use the primary of a group.

An old primary that is cut off goes on answering, so nothing that a target says proves that
it still leads. An entry VM uses a primary only within ``LEASE`` seconds of the time as of
which the store held no other record of the group. Who changes the primary writes first that
a change is in progress, and goes on once every registered process has confirmed that it
stopped, or the permissions have ended.
"""

import dataclasses
import json

from greengageshunt import application
from greengageshunt.coordination import records, view
from greengageshunt.stores import rows

# Seconds. Longer than an outage of the store usually lasts.
LEASE = 6.0

# Seconds added by who waits for the end of permissions; clocks may differ by 2% in speed.
DRIFT = 0.15


@dataclasses.dataclass(frozen=True, kw_only=True)
class Permission:
    """Whether the primary of a group may be used now.

    Attributes:
        target: Name of the primary, or an empty string.
        granted: Whether it may be used.
        reason: Why not, or why.
        age: Seconds since the store confirmed the record.
        version: Version of the record's row.
        until: Monotonic seconds at which the permission ends.
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
    """Return a row that a store's client returned as a row of the copy."""
    return records.ControlRow(
        key=row.key, version=int(row.etag), value=json.dumps(row.value, sort_keys=True)
    )


def decide(
    record: records.LeadRecord | None,
    *,
    version: int,
    registered: bool,
    as_of: float,
    now: float,
) -> Permission:
    """Return whether the primary of a record may be used.

    Args:
        record: Newest known record of the group.
        version: Version of its row.
        registered: Whether the own process is registered, so that a change of the
            primary waits for it.
        as_of: Monotonic seconds as of which the store held nothing newer.
        now: Monotonic seconds.
    """
    until = as_of + LEASE
    if record is None:
        reason = "no record of the group"
    elif record.changing:
        reason = "the primary is being changed"
    elif not registered:
        reason = "the own process is not registered"
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
    """Answers which primaries may be used."""

    def __init__(self, *, app: application.Application) -> None:
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("coordination", "members")

    def permission(self, group: str, now: float) -> Permission:
        """Return whether the primary of a group may be used now."""
        row = self._view.row(view.GROUP_PREFIX + group)
        return decide(
            self._view.lead(group),
            version=row.version if row else 0,
            registered=self._members.registered,
            as_of=self._view.copy(records.Section.CONTROL).as_of,
            now=now,
        )


def setup(app: application.Application) -> None:
    """Register the permissions."""
    app.add_part("coordination", "leases", lambda app: Leases(app=app))
