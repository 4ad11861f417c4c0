"""Copies of the store's sections on one entry VM.

A copy carries the version of the store up to which it is complete, and the last time at which the
store is known to have held nothing newer. Peers that hold the same rows send each other that time,
so the copy of an entry VM stays confirmed while the store rejects the entry VM's own calls.

A store that is restored from an older copy gives out versions a second time, and its era rises.
Eras come before versions in the order of all states, and a copy holds the rows of one era.
"""

import dataclasses
import functools
import hashlib
import logging
import math
from collections import abc
from typing import Any

from greengageshunt import application, codec, logs, model, unreadable
from greengageshunt.coordination import records
from greengageshunt.stores import rows as store_rows

logger = logging.getLogger(__name__)

# Sections of which copies are kept and exchanged.
COPIED_SECTIONS = (records.Section.CONTROL, records.Section.TARGETS)

GROUP_PREFIX = "groups/"
MEMBER_PREFIX = "members/"

# Seconds for which a target stays listed after its entry disappeared from the store. Entries that
# expire during an outage of the store return about 2 s after it; with a shorter time, each
# outage would remove all targets.
MISSING_TARGET_GRACE = 2.5

# Seconds for which an entry VM stays a member after the store was restored from a copy that lacks
# its row. A live one registers again before. Any other may use a primary until its lease, of 6 s
# and a margin, has expired, so a change of primary must still wait for it.
MISSING_MEMBER_GRACE = 6.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class SectionCopy:
    """Copy of the rows of one section.

    Attributes:
        rows: Rows by key.
        version: Version of the store up to which the copy is complete; 0 before the first read.
        as_of: Last time, in monotonic seconds, at which the store is known to have held nothing
            newer.
        era: Era of the store.
    """

    rows: abc.Mapping[str, Any]
    version: int = 0
    as_of: float = -math.inf
    era: int = store_rows.FIRST_ERA

    @property
    def position(self) -> tuple[int, int]:
        """Era and version, which order all states of the section."""
        return self.era, self.version

    @functools.cached_property
    def digest(self) -> str:
        """Hash of all keys and row versions, equal for copies with equal rows."""
        lines = "\n".join(f"{key} {row.version}" for key, row in sorted(self.rows.items()))
        return hashlib.blake2b(lines.encode(), digest_size=8).hexdigest()


EMPTY_COPY = SectionCopy(rows={})


def apply(copy: SectionCopy, changes: records.Changes) -> SectionCopy:
    """Return a copy with changes applied; changes older than the copy leave it as it is.

    Changes of a newer era apply only if they hold all rows, since the copy's rows are of another.
    """
    is_new_era = changes.era > copy.era
    if changes.position < copy.position or (is_new_era and not changes.is_snapshot):
        return copy
    # Rows newer than the changes came from peers or from writes of this entry VM.
    newer = {key: row for key, row in copy.rows.items() if row.position > changes.position}
    rows = {} if changes.is_snapshot else dict(copy.rows)
    rows.update((row.key, row) for row in changes.rows)
    for key in changes.removed:
        rows.pop(key, None)
    rows.update(newer)
    if rows == copy.rows:
        rows = copy.rows
    as_of = changes.as_of if is_new_era else max(copy.as_of, changes.as_of)
    return SectionCopy(rows=rows, version=changes.version, as_of=as_of, era=changes.era)


def confirm(
    copy: SectionCopy, digest: str, version: int, as_of: float, era: int = store_rows.FIRST_ERA
) -> SectionCopy:
    """Return a copy confirmed by a peer; a peer with other rows leaves it as it is.

    Args:
        copy: Copy of this entry VM.
        digest: Digest of the peer's copy.
        version: Version of the store up to which the peer's copy is complete.
        as_of: Last time, in monotonic seconds of this entry VM, at which the peer knows that the
            store held nothing newer.
        era: Era of the peer's copy.
    """
    if era != copy.era or digest != copy.digest or not copy.version:
        return copy
    return dataclasses.replace(
        copy, version=max(copy.version, version), as_of=max(copy.as_of, as_of)
    )


class StoreView:
    """Holds the copies of the control table and of the target list."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._copies = {section: EMPTY_COPY for section in records.Section}
        self._primary_records: dict[str, records.PrimaryRecord] = {}
        self._members: dict[str, records.MemberEntry] = {}
        self._targets: dict[str, records.TargetEntry] = {}
        self._by_group: dict[str, tuple[records.TargetEntry, ...]] = {}
        self._missing_targets: dict[str, tuple[records.TargetEntry, float]] = {}
        self._missing_members: dict[str, tuple[records.MemberEntry, float]] = {}
        self._newest_records: dict[str, records.PrimaryRecord] = {}
        self._newest_era = 0
        self._unreadable: unreadable.UnreadableValues = app.part("decoding", "unreadable")
        self._unreadable_keys: set[str] = set()

    @property
    def members(self) -> abc.Mapping[str, records.MemberEntry]:
        """Registered entry VMs by name, including those marked as removed or stopped.

        They include, for a while, those whose rows a restored store lacks or marks as stopped.
        """
        if not self._missing_members:
            return self._members
        missing = {vm: entry for vm, (entry, _) in self._missing_members.items()}
        return {**self._members, **missing}

    def member(self, vm: str) -> records.MemberEntry | None:
        """Return the entry in the row of an entry VM, or None."""
        return self._members.get(vm)

    @property
    def members_of_ended_eras(self) -> tuple[records.MemberEntry, ...]:
        """Entry VMs that may have leases of an ended era, and whose rows the store may lack."""
        missing = tuple(entry for entry, _ in self._missing_members.values())
        if self.copy(records.Section.CONTROL).era >= self._newest_era:
            return missing
        return (*missing, *(entry for entry in self._members.values() if not entry.stopped))

    @property
    def primary_records(self) -> abc.Mapping[str, records.PrimaryRecord]:
        """Records of the groups' primaries by group name."""
        return self._primary_records

    @property
    def newest_era(self) -> int:
        """Newest known era of the store, or 0; the copies may still be of an earlier one."""
        return self._newest_era

    def note_era(self, era: int) -> None:
        """Record that the store has reached an era."""
        known, self._newest_era = self._newest_era, max(era, self._newest_era)
        if era > known:
            self._app.events.emit("era-noted", era)
        if known and era > known:
            self._app.events.emit("era-rose", era)

    def copy(self, section: records.Section) -> SectionCopy:
        """Return the copy of a section."""
        return self._copies[section]

    def row(self, key: str) -> records.ControlRow | None:
        """Return a row of the control table, or None."""
        return self._copies[records.Section.CONTROL].rows.get(key)

    def is_unreadable(self, key: str) -> bool:
        """Return whether the control table has a row of this key that cannot be decoded."""
        return key in self._unreadable_keys

    def primary_record(self, group: str) -> records.PrimaryRecord | None:
        """Return the record of a group's primary, or None if it is missing or unreadable."""
        return self._primary_records.get(group)

    def newest_record(self, group: str) -> records.PrimaryRecord | None:
        """Return the record with the highest token that this process has seen, in any era."""
        return self._newest_records.get(group)

    def target(self, name: str) -> records.TargetEntry | None:
        """Return the entry of a target, or None."""
        return self._targets.get(name)

    def targets_of(self, group: str) -> tuple[records.TargetEntry, ...]:
        """Return the listed targets of a group."""
        return self._by_group.get(group, ())

    def apply(self, section: records.Section, changes: records.Changes, source: str) -> None:
        """Apply changes of a section from the store or from a peer.

        Args:
            section: The section.
            changes: The changes.
            source: Origin of the changes for the log: ``store`` or the name of the peer.
        """
        before = self._copies[section]
        after = apply(before, changes)
        if after is before:
            logs.log_decision(
                logger,
                "ignore-changes",
                section=section,
                source=source,
                version=changes.version,
                era=changes.era,
                copied=before.version,
                copied_era=before.era,
            )
            return
        self.note_era(changes.era)
        era_ended = section is records.Section.CONTROL and after.era > before.era
        if era_ended and before.version:
            self._app.events.emit("era-ended", before.era)
        members = tuple(self.members.values()) if era_ended else ()
        self._copies[section] = after
        if after.rows is not before.rows:
            self._decode(section, before, after, source)
        if era_ended:
            self.keep_members(members, self._app.clock())

    def confirm(
        self, section: records.Section, digest: str, version: int, as_of: float, era: int
    ) -> None:
        """Apply a peer's confirmation of a section, if its rows are equal."""
        self._copies[section] = confirm(self._copies[section], digest, version, as_of, era)

    def apply_row(self, row: records.ControlRow) -> None:
        """Apply one newer row of the control table, from a peer or a write of this entry VM.

        The copy may lack other rows up to the row's version, so the copy's version stays.
        """
        copy = self._copies[records.Section.CONTROL]
        known = copy.rows.get(row.key)
        if row.era < copy.era or (known is not None and known.position >= row.position):
            return
        self.note_era(row.era)
        after = dataclasses.replace(copy, rows={**copy.rows, row.key: row})
        self._copies[records.Section.CONTROL] = after
        self._decode(records.Section.CONTROL, copy, after, "row")

    def keep_members(self, members: abc.Iterable[records.MemberEntry], now: float) -> None:
        """Keep entry VMs of an ended era for a while if their rows are lost, or say they stopped.

        Args:
            members: Entry VMs of that era; those that stopped have no leases and are ignored.
            now: Monotonic seconds.
        """
        for entry in members:
            listed = self._members.get(entry.vm)
            if not entry.stopped and (listed is None or listed.stopped):
                self._missing_members.setdefault(entry.vm, (entry, now))

    def remove_missing(self, now: float) -> None:
        """Remove targets and entry VMs that have been missing for longer than the grace period.

        Args:
            now: Monotonic seconds.
        """
        self._remove_missing_targets(now)
        expired = [
            vm
            for vm, (_, since) in self._missing_members.items()
            if now - since > MISSING_MEMBER_GRACE
        ]
        for vm in expired:
            del self._missing_members[vm]
            logs.log_decision(logger, "drop-member", vm=vm, age=MISSING_MEMBER_GRACE)
        if expired:
            self._app.events.emit("control-changed", self._copies[records.Section.CONTROL].version)

    def _remove_missing_targets(self, now: float) -> None:
        expired = [
            name
            for name, (_, since) in self._missing_targets.items()
            if now - since > MISSING_TARGET_GRACE
        ]
        for name in expired:
            del self._missing_targets[name]
            self._targets.pop(name, None)
            logs.log_decision(logger, "drop-target", target=name, age=MISSING_TARGET_GRACE)
        if expired:
            self._index_targets()

    def _decode(
        self, section: records.Section, before: SectionCopy, after: SectionCopy, source: str
    ) -> None:
        if section is records.Section.TARGETS:
            self._decode_targets(after, source)
            return
        changed = {key: row for key, row in after.rows.items() if before.rows.get(key) is not row}
        for key, row in changed.items():
            self._decode_control(key, row, source)
        for key in set(before.rows) - set(after.rows):
            self._primary_records.pop(key.removeprefix(GROUP_PREFIX), None)
            self._members.pop(key.removeprefix(MEMBER_PREFIX), None)
            self._unreadable_keys.discard(key)
        self._app.events.emit("control-changed", after.version)

    def _decode_control(self, key: str, row: records.ControlRow, source: str) -> None:
        now = self._app.clock()
        decode = functools.partial(_decode_control_row, row)
        value = self._unreadable.decode("control", key, decode, now).value_or(None)
        if value is not None:
            self._unreadable_keys.discard(key)
        else:
            self._unreadable_keys.add(key)
            # The unreadable row may replace a record that this process has not seen, in which a
            # change of the primary began. The last known record therefore permits no use of it.
            self._primary_records.pop(key.removeprefix(GROUP_PREFIX), None)
        if isinstance(value, records.PrimaryRecord):
            self._primary_records[value.group] = value
            newest = self._newest_records.get(value.group)
            if newest is None or value.token >= newest.token:
                self._newest_records[value.group] = value
            fields = codec.to_plain(value)
            logs.log_decision(logger, "adopt-lead", version=row.version, source=source, **fields)
        elif isinstance(value, records.MemberEntry):
            self._members[value.vm] = value
            if not value.stopped:
                self._missing_members.pop(value.vm, None)

    def _decode_targets(self, after: SectionCopy, source: str) -> None:
        now = self._app.clock()
        listed = {row.entry.target: row.entry for row in after.rows.values() if row.entry}
        for name, entry in listed.items():
            if self._targets.get(name) != entry:
                logs.log_decision(logger, "adopt-target", source=source, **codec.to_plain(entry))
            self._missing_targets.pop(name, None)
        for name, entry in self._targets.items():
            if name not in listed and name not in self._missing_targets:
                self._missing_targets[name] = (entry, now)
        self._targets = {
            **{name: entry for name, (entry, _) in self._missing_targets.items()},
            **listed,
        }
        self._index_targets()

    def _index_targets(self) -> None:
        by_group: dict[str, tuple[records.TargetEntry, ...]] = {}
        for entry in self._targets.values():
            by_group[entry.group] = (*by_group.get(entry.group, ()), entry)
        self._by_group = by_group
        self._app.events.emit("targets-changed", tuple(self._targets.values()))


def _decode_control_row(
    row: records.ControlRow,
) -> records.PrimaryRecord | records.MemberEntry | str:
    """Return the value of a row of the control table; of an unknown kind, its text.

    Raises:
        ValueError: The value cannot be decoded, or is one of another key.
    """
    value: records.PrimaryRecord | records.MemberEntry
    if row.key.startswith(GROUP_PREFIX):
        value = codec.from_json(row.value, records.PrimaryRecord)
        key = GROUP_PREFIX + value.group
    elif row.key.startswith(MEMBER_PREFIX):
        value = codec.from_json(row.value, records.MemberEntry)
        key = MEMBER_PREFIX + value.vm
    else:
        return row.value
    if key != row.key:
        raise ValueError(f"expected the value of {row.key!r}, got that of {key!r}")
    return value


def to_member(entry: records.MemberEntry) -> model.Member:
    """Convert the row of a registered entry VM to a member of the member view."""
    return model.Member(
        vm=entry.vm, failure_domain=entry.failure_domain, peer_address=entry.peer_address
    )


def setup(app: application.Application) -> None:
    """Register the copies of the store's sections."""
    app.setup_extension("greengageshunt.unreadable")
    app.add_event("control-changed")
    app.add_event("targets-changed")
    # Emitted with the number of the newest era as soon as it is known, the first one included.
    app.add_event("era-noted")
    # The same, without the first era that this process learns of.
    app.add_event("era-rose")
    # Emitted with the number of the era while the copy of the control table is still of that era.
    app.add_event("era-ended")
    app.add_part("coordination", "view", lambda app: StoreView(app=app))
