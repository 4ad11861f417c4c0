"""Messages between the proxies of the entry VMs, and their encoding as frames."""

import dataclasses
from collections import abc
from typing import Any

import cbor2

from greengageshunt import codec, errors, model


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusReport:
    """Status of a target, as the entry VM that queried it reports it to peers.

    Attributes:
        status: Status. Its ``observed_at`` is on the sender's monotonic clock, so a receiver
            uses ``age`` instead.
        age: Seconds from the status query to the sending of this report.
    """

    status: model.TargetStatus
    age: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Request that the side which opened the link sends at a fixed interval.

    Attributes:
        vm: Sending entry VM.
        configuration_version: Version in force on the sender.
        leaving: Whether the sender takes no new work.
        extras: Values that plug-ins add where the links are no full mesh, by name of the value.
        echo: ``answered_at`` of the receiver's last answer on the same connection, or None
            before the first. The sender produced ``extras`` after it received that answer.
    """

    vm: str
    configuration_version: int
    leaving: bool
    extras: dict[str, Any] = dataclasses.field(default_factory=dict)
    echo: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeartbeatAck:
    """Answer to a heartbeat.

    Attributes:
        vm: Answering entry VM.
        configuration_version: Version in force on it.
        leaving: Whether it takes no new work.
        statuses: Status of each target that it checks itself.
        groups: Group records that it knows.
        extras: Values that plug-ins add, by name of the value.
        answered_at: Time of the answer, in monotonic seconds of the answering entry VM. The
            next heartbeat returns it as ``echo``.
    """

    vm: str
    configuration_version: int
    leaving: bool
    statuses: tuple[StatusReport, ...]
    groups: tuple[model.GroupRecord, ...]
    extras: dict[str, Any]
    answered_at: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerAnswered:
    """Payload of the event ``peer-answered``; never sent to a peer.

    Attributes:
        ack: Answer to a heartbeat.
        sent_at: Monotonic seconds of the own clock at which the heartbeat was sent.
    """

    ack: HeartbeatAck
    sent_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Execute:
    """Request to the owner of a target to run a statement.

    Attributes:
        group: Group of the target.
        target: Name of the target.
        work: Statement with parameters.
        weight: Weight of the client account.
        priority: Priority of the route.
        timeout: Seconds that the caller still waits, measured from the sending.
        valid_for: Seconds from the sending for which the check of the caller's key is
            valid; the owner must not start the statement after them. Infinite without a key.
        transaction: Number of the open transaction at its owner, or an empty string.
        trace: Request id, which the answer and the log lines repeat.
    """

    group: str
    target: str
    work: model.Work
    weight: float
    priority: model.Priority
    timeout: float
    valid_for: float
    transaction: str
    trace: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Executed:
    """Answer to ``Execute``.

    Attributes:
        answer: Complete answer of the target.
        row_count: Number of rows in ``answer``; an answer with another number is incomplete.
        grant_after_receipt: Seconds from the receipt of the request to the expiry
            of the write grant; infinite for reads.
        trace: The request's ``trace``, by which the caller detects the answer to another request.
    """

    answer: model.Answer
    row_count: int
    grant_after_receipt: float
    trace: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransactionBegin:
    """Request to the owner of a primary to open a transaction.

    Attributes:
        group: Group of the transaction.
        target: Primary target.
        term: Term in which the transaction must commit.
        account: Client account to which the transaction is bound.
        timeout: Seconds that the caller still waits, measured from the sending.
    """

    group: str
    target: str
    term: int
    account: str
    timeout: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransactionBegun:
    """Answer to ``TransactionBegin``.

    Attributes:
        number: Name of the transaction at its owner.
    """

    number: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransactionEnd:
    """Request to the owner of an open transaction to end it; the answer is ``Executed``.

    Attributes:
        number: Name of the transaction at its owner.
        commit: True to commit, False to roll back.
        work: Client account, request id and fingerprint of the commit.
        timeout: Seconds that the caller still waits, measured from the sending.
        trace: Request id, which the answer and the log lines repeat.
    """

    number: str
    commit: bool
    work: model.Work
    timeout: float
    trace: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failed:
    """Answer to a request that was refused or failed."""

    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leaving:
    """Announcement that the sending entry VM takes no new work."""

    vm: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationRequest:
    """Request for a peer's configuration; ``version`` is the version in force on the sender."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationOffer:
    """Configuration in force on the sender: the answer to a request, or sent without one.

    Attributes:
        vm: Sending entry VM.
        configuration: Configuration in force on the sender.
        members: Member list of the sender; empty if it has not read one yet.
    """

    vm: str
    configuration: model.Configuration
    members: tuple[model.Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupChanged:
    """Announcement of a group's new record.

    Attributes:
        sender: Entry VM or failover daemon that decided the record.
        record: The record.
    """

    sender: str
    record: model.GroupRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acknowledged:
    """Answer to a message that returns no data."""


_MESSAGE_TYPES: dict[str, type] = {}


def register(kind: type, answer: type | None = None) -> None:
    """Register the data class of a message, so that its frames can be decoded.

    Args:
        kind: Data class of the message.
        answer: Data class of its answer if the message is a request.

    Raises:
        RegistryError: Another data class has the same name.
    """
    if _MESSAGE_TYPES.setdefault(kind.__name__, kind) is not kind:
        raise errors.RegistryError(f"message {kind.__name__!r} is already registered")
    if answer is not None:
        ANSWER_TYPES[kind] = answer


# Data class of the answer to each data class of a request. ``Failed`` may answer any request.
ANSWER_TYPES: dict[type, type] = {
    Heartbeat: HeartbeatAck,
    Execute: Executed,
    TransactionBegin: TransactionBegun,
    TransactionEnd: Executed,
    Leaving: Acknowledged,
    ConfigurationRequest: ConfigurationOffer,
    ConfigurationOffer: Acknowledged,
}


def encode(message: Any, correlation: int) -> bytes:
    """Return the frame of a message: the CBOR list of class name, correlation id and fields."""
    plain = [type(message).__name__, correlation, codec.to_plain(message)]
    return cbor2.dumps(plain)


def decode(frame: bytes) -> tuple[int, Any]:
    """Return the correlation id and the message of a frame.

    Raises:
        ValueError: The frame is not a valid message of a registered data class.
    """
    try:
        kind, correlation, body = cbor2.loads(frame)
        message_type = _MESSAGE_TYPES.get(kind)
        if message_type is None or not isinstance(correlation, int):
            raise ValueError(f"unknown message kind {kind!r}")
        return correlation, codec.from_plain(body, message_type)
    except Exception as error:
        # Malformed input raises errors of many types in the decoders, such as RecursionError.
        raise ValueError(f"invalid message: {type(error).__name__}: {error}") from error


def _register_all(kinds: abc.Iterable[type]) -> None:
    for kind in kinds:
        register(kind)


_register_all(
    (
        Heartbeat,
        HeartbeatAck,
        Execute,
        Executed,
        TransactionBegin,
        TransactionBegun,
        TransactionEnd,
        Failed,
        Leaving,
        GroupChanged,
        ConfigurationRequest,
        ConfigurationOffer,
        Acknowledged,
    )
)
