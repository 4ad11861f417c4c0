"""Rows of the store, and the peer messages that carry them or act on them."""

import dataclasses
import enum
from collections import abc

from greengageshunt import codec, model
from greengageshunt.peers import messages
from greengageshunt.stores import rows as store_rows


class Section(enum.StrEnum):
    """Part of the store that one watch call covers."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    CONTROL = "control"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetEntry:
    """Entry of a target in the target list, written by the target itself.

    Attributes:
        target: Unique name.
        group: Group that the target belongs to.
        address: ``host:port``.
        failure_domain: Failure domain that holds the target.
        slots: Number of statements that the target runs at once.
        draining: Whether the target accepts no new work and shuts down soon.
        primary: Whether the target takes itself for the primary of its group.
    """

    target: str
    group: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    primary: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class MemberEntry:
    """Entry of a registered entry VM in the control table, written by its own process.

    Attributes:
        vm: Unique name.
        failure_domain: Failure domain that holds the entry VM.
        peer_address: ``host:port`` of its peer server.
        incarnation: Random identifier of the process that wrote the row, new at each start.
        removed: Whether another entry VM marked this one as removed because it did not answer.
            The row is deleted after all leases that this entry VM held have expired.
        stopped: Whether the process shut down in order and no longer uses any primary.
        stopping: Whether the process of this incarnation is about to write ``stopped``. The row is
            valid for no other process, so its successor writes a row of its own first.
    """

    vm: str
    failure_domain: str
    peer_address: str
    incarnation: str
    removed: bool = False
    stopped: bool = False
    stopping: bool = codec.added_field(False)


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrimaryRecord:
    """Row of the control table that names the primary of a group.

    Attributes:
        group: Name of the group.
        primary: Name of the primary; while ``changing``, the primary that is being replaced.
        token: Fencing token of the newest promotion request to the platform.
        holder: Name of the entry VM that wrote the record last.
        incarnation: Incarnation of the process that started the change.
        changing: Whether a change of the primary is in progress. No entry VM may use the
            primary during a change.
        term: Term that the primary reported when it was recorded; 0 if unknown.
        era: Era of the store in which the record was written. In a later era, the record may be
            older than one that is lost, so it permits no use of the primary.
    """

    group: str
    primary: str
    token: int
    holder: str
    changing: bool
    incarnation: str = ""
    term: int = 0
    era: int = codec.added_field(store_rows.FIRST_ERA)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlRow:
    """One row of the control table.

    Attributes:
        key: Key of the row.
        version: Version of the row.
        value: JSON document; empty if the store's value is no text.
        era: Era of the store in which the row had this version.
    """

    key: str
    version: int
    value: str
    era: int = codec.added_field(store_rows.FIRST_ERA)

    @property
    def position(self) -> tuple[int, int]:
        """Era and version, which order all states of the row."""
        return self.era, self.version


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetRow:
    """One row of the target list; ``entry`` is None if the row could not be decoded."""

    key: str
    version: int
    entry: TargetEntry | None
    era: int = codec.added_field(store_rows.FIRST_ERA)

    @property
    def position(self) -> tuple[int, int]:
        """Era and version, which order all states of the row."""
        return self.era, self.version


Row = ControlRow | TargetRow


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
    """Rows of a section that the store or a peer returned.

    Attributes:
        is_snapshot: Whether ``rows`` holds all rows of the section rather than the changed ones.
        rows: All rows, or those that changed.
        removed: Keys of removed rows.
        version: Version of the store up to which the rows are complete.
        as_of: Time in monotonic seconds; the store was in this state then or later.
        era: Era of the store.
        configuration: Newest configuration, in the section of that name only, or None.
    """

    is_snapshot: bool
    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    version: int
    as_of: float
    era: int = store_rows.FIRST_ERA
    configuration: model.Configuration | None = None

    @property
    def position(self) -> tuple[int, int]:
        """Era and version, which order all states of the section."""
        return self.era, self.version


@dataclasses.dataclass(frozen=True, kw_only=True)
class CopyRequest:
    """Request for a peer's copy of the target list or the control table.

    Attributes:
        section: The section.
        after: Version above which rows are requested; 0 for all rows.
    """

    section: Section
    after: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class CopyAnswer:
    """Response to ``CopyRequest``.

    Attributes:
        section: The section.
        version: Version of the store up to which the copy is complete.
        digest: Digest of all rows of the copy, whichever the response carries.
        age: Seconds since the last time at which the store is known to have held nothing newer.
        control: Rows of the control table above the requested version.
        targets: Rows of the target list above the requested version.
        era: Era of the store to which the copy belongs.
    """

    section: Section
    version: int
    digest: str
    age: float
    control: tuple[ControlRow, ...] = ()
    targets: tuple[TargetRow, ...] = ()
    era: int = codec.added_field(store_rows.FIRST_ERA)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRecall:
    """Request to a peer to apply a row, and to stop using the primary if the row revokes it.

    Attributes:
        row: Row of the group's ``PrimaryRecord``. While the record is ``changing``, the peer has
            no lease. The row that ends a change is sent as well.
    """

    row: ControlRow


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRecalled:
    """Response to ``LeaseRecall``: its sender applied the row and has no lease during a change.

    Attributes:
        vm: Name of the sender.
        era: Era of the store that the sender knows. If it is above the row's era, the sender did
            not apply the row.
        remembers: Whether the sender knows all entry VMs that may have leases of ended eras.
        unlisted: Entry VMs of ended eras whose rows a restored store may lack.
    """

    vm: str
    era: int = codec.added_field(store_rows.FIRST_ERA)
    remembers: bool = codec.added_field(False)
    unlisted: tuple[MemberEntry, ...] = codec.added_field(())


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReachRequest:
    """Request to a peer to report whether it can reach a target."""

    target: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReachAnswer:
    """Response to ``ReachRequest``."""

    vm: str
    reached: bool


MESSAGES: abc.Mapping[type, type] = {
    CopyRequest: CopyAnswer,
    LeaseRecall: LeaseRecalled,
    ReachRequest: ReachAnswer,
}
for _request, _answer in MESSAGES.items():
    messages.register(_request, _answer)
    messages.register(_answer)
