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
    """Sent at a fixed interval by the side that opened the link."""

    vm: str
    configuration_version: int
    leaving: bool


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
    """

    vm: str
    configuration_version: int
    leaving: bool
    statuses: tuple[StatusReport, ...]
    groups: tuple[model.GroupRecord, ...]
    extras: dict[str, Any]


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
        transaction: Id of the open transaction, or an empty string.
        trace: Request id for log lines.
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
    """

    answer: model.Answer
    row_count: int
    grant_after_receipt: float


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


_KINDS: dict[str, type] = {}


def register(kind: type) -> None:
    """Add a message's data class to the known kinds.

    Raises:
        RegistryError: Another data class has the same name.
    """
    if _KINDS.setdefault(kind.__name__, kind) is not kind:
        raise errors.RegistryError(f"message {kind.__name__!r} is already registered")


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
    except (cbor2.CBORDecodeError, EOFError, TypeError, ValueError) as error:
        raise ValueError(f"not a message frame: {error}") from error
    if not isinstance(correlation, int) or kind not in _KINDS:
        raise ValueError(f"unknown message kind {kind!r}")
    return correlation, codec.from_plain(body, _KINDS[kind])


def _register_all(kinds: abc.Iterable[type]) -> None:
    for kind in kinds:
        register(kind)


_register_all(
    (
        Heartbeat,
        HeartbeatAck,
        Execute,
        Executed,
        Failed,
        Leaving,
        GroupChanged,
        ConfigurationRequest,
        ConfigurationOffer,
        Acknowledged,
    )
)
