"""Frozen types of what the store holds, and of the messages that copy it."""

import dataclasses
import enum
from collections import abc

from greengageshunt import model
from greengageshunt.peers import messages


class Section(enum.StrEnum):
    """Part of the store that is watched as a whole."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    CONTROL = "control"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetEntry:
    """A target as it describes itself.

    Attributes:
        target: Unique name.
        group: Group that the target belongs to.
        address: ``host:port``.
        failure_domain: Failure domain that holds the target.
        slots: Number of statements that it runs at once.
        draining: Whether it takes no new work and ends soon.
        primary: Whether it sees itself as the primary of its group.
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
    """An entry VM as it registers itself.

    Attributes:
        vm: Unique name.
        failure_domain: Failure domain that holds the entry VM.
        peer_address: ``host:port`` of its peer server.
        incarnation: Random text that the process which wrote the row chose at its start.
        stopped: Whether the process stopped as planned and uses no primary any more.
        removed: Whether another entry VM took it for gone. The row is deleted when
            no permission that it held before can be valid any more.
    """

    vm: str
    failure_domain: str
    peer_address: str
    incarnation: str
    removed: bool = False
    stopped: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeadRecord:
    """Which target leads a group.

    Attributes:
        group: Name of the group.
        primary: Name of the primary; the target to be replaced while ``changing``.
        token: Fencing token of the newest order to the platform.
        holder: Entry VM that wrote the record last.
        incarnation: Process that began the change.
        changing: Whether a change of the primary is in progress. Nobody uses the
            primary meanwhile.
        term: Term that the primary reported when it was recorded; 0 if unknown.
    """

    group: str
    primary: str
    token: int
    holder: str
    changing: bool
    incarnation: str = ""
    term: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlRow:
    """One row of the control table.

    Attributes:
        key: Key of the row.
        version: Version of the row.
        value: JSON document.
    """

    key: str
    version: int
    value: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetRow:
    """One row of the target list; ``entry`` is None where it could not be decoded."""

    key: str
    version: int
    entry: TargetEntry | None


Row = ControlRow | TargetRow


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
    """What the store said of a section.

    Attributes:
        whole: Whether ``rows`` are all rows rather than the changed ones.
        rows: Rows, all or changed.
        removed: Keys of rows that no longer exist.
        version: Version of the store up to which this is complete.
        as_of: Monotonic seconds at or after which the store was in this state.
        configuration: Newest configuration, in that section, or None.
    """

    whole: bool
    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    version: int
    as_of: float
    configuration: model.Configuration | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CopyRequest:
    """Asks a peer for its copy of the target list or the control table.

    Attributes:
        section: The section.
        after: Version above which rows are asked for; 0 for all.
    """

    section: Section
    after: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class CopyAnswer:
    """A peer's copy of a section.

    Attributes:
        section: The section.
        version: Version of the store up to which the copy is complete.
        digest: Digest of all rows.
        age: Seconds since the store was in this state.
        control: Rows of the control table, all or those above the version asked for.
        targets: Rows of the target list, likewise.
    """

    section: Section
    version: int
    digest: str
    age: float
    control: tuple[ControlRow, ...] = ()
    targets: tuple[TargetRow, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRecall:
    """Asks a peer not to use the primary of a group until the record changes again.

    Attributes:
        row: Row of the group's record, which says that a change is in progress.
    """

    row: ControlRow


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaseRecalled:
    """Answer to ``LeaseRecall``: the answering entry VM no longer uses the primary."""

    vm: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReachRequest:
    """Asks a peer whether it reaches a target."""

    target: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReachAnswer:
    """Answer to ``ReachRequest``."""

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
