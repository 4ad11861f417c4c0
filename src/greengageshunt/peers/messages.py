"""Messages between the proxies of the entry VMs."""

import dataclasses
from collections import abc
from typing import Any

import cbor2

from greengageshunt import codec, errors, model


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusReport:
    """Status of a target as its observer passes it on.

    Attributes:
        status: Status; ``observed_at`` has no meaning on another machine.
        age: Seconds since the observer sent the status query.
    """

    status: model.TargetStatus
    age: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Sent at a fixed interval by the side that opened the link.

    Attributes:
        vm: Asking entry VM.
        configuration_version: Version in force there.
        leaving: Whether it takes no new work.
        extras: Values that plug-ins add for hubs, by plug-in name.
        echo: ``answered_at`` of the peer's last answer on the same connection, or None.
            The extras are newer than that.
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
        configuration_version: Version in force there.
        leaving: Whether it takes no new work.
        statuses: Targets that it checks itself.
        groups: Group records that it knows.
        extras: Values that plug-ins add, by plug-in name.
        answered_at: Monotonic seconds of the answering entry VM, to be echoed.
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
    """Payload of the event ``peer-answered``; not sent itself.

    Attributes:
        ack: Answer to a heartbeat.
        sent_at: Monotonic seconds at which the heartbeat was sent.
    """

    ack: HeartbeatAck
    sent_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Execute:
    """Asks the owner of a target to run a statement.

    Attributes:
        group: Group of the target.
        target: Name of the target.
        work: Statement with parameters.
        weight: Weight of the client account.
        priority: Priority of the route.
        timeout: Seconds that the caller still waits, from the sending.
        valid_for: Seconds from the sending after which the check of the caller's
            key no longer holds and the statement must not start; infinite
            without a key.
        transaction: Number of the open transaction at its owner, or an empty string.
        trace: Request id, repeated in the answer and in log lines.
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
        answer: Whole answer of the target.
        row_count: Number of rows in ``answer``, repeated as its end marker.
        grant_after_receipt: Seconds from the receipt of the request to the expiry
            of the write grant; infinite for reads.
        trace: The request's ``trace``, so that a crossed answer is noticed.
    """

    answer: model.Answer
    row_count: int
    grant_after_receipt: float
    trace: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransactionBegin:
    """Asks the owner of a primary to open a transaction.

    Attributes:
        group: Group of the transaction.
        target: Primary target.
        term: Term in which the transaction must commit.
        account: Client account to which it is bound.
        timeout: Seconds that the caller still waits, from the sending.
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
    """Asks the owner of an open transaction to end it; answered by ``Executed``.

    Attributes:
        number: Name of the transaction at its owner.
        commit: Whether to commit or to roll back.
        work: Client account, request id and fingerprint of the commit.
        timeout: Seconds that the caller still waits, from the sending.
        trace: Request id for log lines.
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
    """Announces that an entry VM takes no new work."""

    vm: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationRequest:
    """Asks a peer for its configuration if that is newer than a version."""

    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationOffer:
    """Hands a configuration to a peer, unasked or as the answer to a request.

    Attributes:
        vm: Offering entry VM.
        configuration: Configuration in force there.
        members: Entry VMs that it has listed; empty if it has no list.
    """

    vm: str
    configuration: model.Configuration
    members: tuple[model.Member, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupChanged:
    """Tells of a group's new record.

    Attributes:
        sender: Entry VM or failover daemon that decided the record.
        record: The record.
    """

    sender: str
    record: model.GroupRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acknowledged:
    """Answer to a message that has no result of its own."""


_MESSAGE_TYPES: dict[str, type] = {}


def register(kind: type, answer: type | None = None) -> None:
    """Add a message's data class to the known kinds.

    Args:
        kind: Data class of the message.
        answer: Data class of its answer, for requests.

    Raises:
        RegistryError: Another data class has the same name.
    """
    if _MESSAGE_TYPES.setdefault(kind.__name__, kind) is not kind:
        raise errors.RegistryError(f"message {kind.__name__!r} is already registered")
    if answer is not None:
        ANSWER_TYPES[kind] = answer


# Kind of the answer to each kind of request; any may also be answered by ``Failed``.
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
    """Return the frame of a message."""
    plain = [type(message).__name__, correlation, codec.to_plain(message)]
    return cbor2.dumps(plain)


def decode(frame: bytes) -> tuple[int, Any]:
    """Return the correlation id and the message of a frame.

    Raises:
        ValueError: The frame is not a known message.
    """
    try:
        kind, correlation, body = cbor2.loads(frame)
        known = _MESSAGE_TYPES.get(kind)
        if known is None or not isinstance(correlation, int):
            raise ValueError(f"unknown message kind {kind!r}")
        return correlation, codec.from_plain(body, known)
    except Exception as error:
        # Decoders meet hostile input with errors of many types, such as RecursionError.
        raise ValueError(f"not a message: {type(error).__name__}: {error}") from error


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
