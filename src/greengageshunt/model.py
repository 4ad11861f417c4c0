"""Frozen data types of the domain."""

import dataclasses
import enum
import functools
import math
from collections import abc
from typing import Any

# A value of a statement parameter or of an answer's column.
Value = str | int | float | bool | None


class Role(enum.StrEnum):
    """Role of a target in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class RouteKind(enum.StrEnum):
    """Whether a route reads or writes."""

    READ = "read"
    WRITE = "write"


class Action(enum.StrEnum):
    """What the owner of a primary does with a request id.

    ``RUN`` runs the statement at most once; ``REFUSE`` makes sure that it never
    runs, unless it already did; ``LOOK_UP`` only reads the stored outcome.
    """

    RUN = "run"
    REFUSE = "refuse"
    LOOK_UP = "look_up"


class Priority(enum.IntEnum):
    """Priority of a statement that waits for a slot of a target; the lowest value runs first."""

    BOOKING = 0
    NORMAL = 1
    BROWSE = 2


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Position:
    """A position in the log of a group: the term, and the number of committed transactions."""

    term: int
    offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TermStart:
    """Where a term begins in the log: the offset of its first entry."""

    term: int
    first_offset: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """One database instance.

    Attributes:
        name: Unique name.
        failure_domain: Failure domain that holds the target.
        address: ``host:port`` of the PostgreSQL protocol.
        replication_address: ``host:port`` from which replicas copy the log.
        connection_limit: Number of connections that the target accepts.
        slots: Number of statements that the target runs at once.
    """

    name: str
    failure_domain: str
    address: str
    replication_address: str
    connection_limit: int
    slots: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Intent:
    """Announcement of a promotion that a failover daemon is about to try.

    Attributes:
        term: Term that it will ask the targets to accept.
        promoter: Name of the failover daemon.
    """

    term: int
    promoter: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupRecord:
    """One database: its targets, its term and its primary.

    Attributes:
        group: Name of the group.
        term: Term of the primary.
        primary: Name of the primary target.
        targets: All targets.
        history: Start of each term, in rising order.
        draining: Names of targets that get no new work.
        intent: Promotion that was announced last and is not complete, or None.
        requested_primary: Target that an operator requested as primary, or an empty string.
        revision: Number that rises with each change of the record within the term.
    """

    group: str
    term: int
    primary: str
    targets: tuple[Target, ...]
    history: tuple[TermStart, ...]
    draining: tuple[str, ...] = ()
    intent: Intent | None = None
    requested_primary: str = ""
    revision: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Term and revision; of two records of a group, the one with the higher order is newer."""
        return (self.term, self.revision)

    def changed(self, **fields: Any) -> "GroupRecord":
        """Return the next revision of the record, with other fields.

        Every writer of a group row uses this, so that a reader detects a stale copy
        of the row by its lower revision.
        """
        return dataclasses.replace(self, revision=self.revision + 1, **fields)

    def target(self, name: str) -> Target | None:
        """Return the target of this name, or None."""
        return next((target for target in self.targets if target.name == name), None)

    @property
    def majority(self) -> int:
        """Number of targets that form a majority."""
        return len(self.targets) // 2 + 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class TargetStatus:
    """Response of a target to a status query.

    Attributes:
        target: Name of the target.
        term: Highest term that the target accepted.
        promoter: Failover daemon from which it accepted that term.
        role: Role of the target.
        offset: Last offset of its log.
        history: Start of each term in its log, in rising order.
        observed_at: Monotonic seconds at which the status query was sent.
        upstream: Replication address from which the target copies the log in its term, or
            an empty string.
        upstream_age: Seconds since the target last received a message from its upstream;
            infinite if it received none.
    """

    target: str
    term: int
    promoter: str
    role: Role
    offset: int
    history: tuple[TermStart, ...]
    observed_at: float
    upstream: str = ""
    upstream_age: float = math.inf

    @property
    def open(self) -> bool:
        """Whether the target is the promoted primary of the term that it accepted.

        A promotion writes the first log entry of its term, so a primary that a
        higher term has fenced lacks the start of that term.
        """
        return (
            self.role is Role.PRIMARY and bool(self.history) and self.history[-1].term == self.term
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClientAccount:
    """A client account.

    Attributes:
        name: Unique name.
        weight: Weight in fair queues.
        rate: Limit in requests a second, over all entry VMs together.
        burst: Capacity of the token bucket: requests above the rate that may arrive at once.
    """

    name: str
    weight: float
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Key:
    """A key of a client account; only the digest of its secret is stored.

    Attributes:
        key_id: Public part of the key.
        account: Name of the client account.
        digest: SHA-256 digest of the secret, in hexadecimal.
        withdrawn: Whether the key was revoked; requests with it are rejected.
    """

    key_id: str
    account: str
    digest: str
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """A named statement that callers may run.

    Attributes:
        name: Unique name.
        group: Group whose targets run the statement.
        kind: Whether the statement reads or writes.
        statement: SQL with ``%(name)s`` placeholders; ``%(account)s`` is bound by the proxy.
        staleness: Seconds by which a read may lag behind the primary; 0 for none.
        open: Whether callers need no key.
        repeatable: Whether the statement may run more than once for one request.
        priority: Priority among queued statements.
        require_replicated: Whether the outcome of an unreplicated commit is reported as
            unknown.
    """

    name: str
    group: str
    kind: RouteKind
    statement: str
    staleness: float = 0.0
    open: bool = False
    repeatable: bool = False
    priority: Priority = Priority.NORMAL
    require_replicated: bool = False


class Consistency(enum.StrEnum):
    """Which commits a read of a database must see.

    ``PRIMARY``: all commits acknowledged before the read. ``BOUNDED_STALENESS``: those
    acknowledged longer ago than the staleness. ``READ_YOUR_WRITES``: the same as
    ``BOUNDED_STALENESS``, and all commits of the read's session.
    """

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    READ_YOUR_WRITES = "read_your_writes"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Database:
    """A database that sessions open by name.

    Attributes:
        name: Name that callers give when they open a session.
        group: Group whose targets hold the database.
        consistency: Which commits a read must see.
        staleness: Seconds by which a read may lag behind the primary.
        statement_timeout: Seconds that one statement may take.
        latency_goal: Seconds within which a whole operation should end.
        priority: Priority among waiting operations; the lowest value runs first.
        open: Whether callers need no key.
    """

    name: str
    group: str
    consistency: Consistency
    staleness: float
    statement_timeout: float
    latency_goal: float
    priority: int
    open: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class GroupLimits:
    """Limits of the targets of a group.

    Attributes:
        group: Name of the group.
        connection_limit: Connections that each target accepts from all callers.
        sync_replicas: Replicas that have received a commit before it is acknowledged.
    """

    group: str
    connection_limit: int
    sync_replicas: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the configuration that operators load.

    Attributes:
        version: Number that rises with each accepted change.
        accounts: Client accounts.
        keys: Keys, including withdrawn ones.
        routes: Routes.
        token_secret: Key with which session tokens are signed, in hexadecimal.
        databases: Databases that sessions open by name.
        groups: Limits of groups.
        idle_transaction_limit: Seconds after which the proxy may end an idle transaction.
    """

    version: int
    accounts: tuple[ClientAccount, ...]
    keys: tuple[Key, ...]
    routes: tuple[Route, ...]
    token_secret: str
    databases: tuple[Database, ...] = ()
    groups: tuple[GroupLimits, ...] = ()
    idle_transaction_limit: float = 0.0

    @functools.cached_property
    def accounts_by_name(self) -> abc.Mapping[str, ClientAccount]:
        """Client accounts by name."""
        return {account.name: account for account in self.accounts}

    @functools.cached_property
    def keys_by_id(self) -> abc.Mapping[str, Key]:
        """Keys by key id."""
        return {key.key_id: key for key in self.keys}

    @functools.cached_property
    def accounts_by_digest(self) -> abc.Mapping[str, str]:
        """Names of client accounts by the digests of their keys, without withdrawn keys."""
        return {key.digest: key.account for key in self.keys if not key.withdrawn}

    @functools.cached_property
    def databases_by_name(self) -> abc.Mapping[str, Database]:
        """Databases by name."""
        return {database.name: database for database in self.databases}

    @functools.cached_property
    def groups_by_name(self) -> abc.Mapping[str, GroupLimits]:
        """Limits by group."""
        return {limits.group: limits for limits in self.groups}

    @functools.cached_property
    def routes_by_name(self) -> abc.Mapping[str, Route]:
        """Routes by name."""
        return {route.name: route for route in self.routes}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """An entry VM in the membership list.

    Attributes:
        vm: Unique name.
        failure_domain: Failure domain that holds the entry VM.
        peer_address: ``host:port`` of its peer server.
        leaving: Whether the entry VM is about to leave and takes no new work.
        http_address: ``host:port`` on which it serves callers and its status, or
            an empty string if the platform's list does not contain it.
    """

    vm: str
    failure_domain: str
    peer_address: str
    leaving: bool = False
    http_address: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """One statement for a target.

    Attributes:
        statement: SQL with placeholders.
        parameters: Values of the placeholders.
        write: Whether the statement writes.
        account: Client account for which the statement runs; empty on open routes.
        request_id: Id under which the outcome is stored; empty to store none.
        term: Term in which a write must run; 0 for reads.
        route: Route of the request; part of the fingerprint stored with the outcome.
        action: What to do with the request id of a write.
        after: Position that the log of the target must contain first, or None.
    """

    statement: str
    parameters: abc.Mapping[str, Value]
    write: bool
    account: str
    request_id: str = ""
    term: int = 0
    route: str = ""
    action: Action = Action.RUN
    after: Position | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """The whole answer of a target to one statement.

    Attributes:
        columns: Column names; empty without a result set.
        rows: Rows of column values.
        row_count: Number of rows returned or changed.
        position: Position of the target after the statement, or of the commit.
        target: Name of the target.
        replicated: Whether a second target has the commit; True for reads.
        repeated: Whether this is the stored answer of an earlier run.
        refused: Whether the target stores a refusal, so that the request never runs.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[Value, ...], ...]
    row_count: int
    position: Position
    target: str
    replicated: bool = True
    repeated: bool = False
    refused: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request in the form in which every front end passes it to the proxy.

    Attributes:
        route: Name of the route.
        parameters: Values of the statement's placeholders.
        key: Caller's key, or an empty string.
        token: Session token, or an empty string.
        request_id: Caller's id of this request, or an empty string.
        transaction: Id of the open transaction, or an empty string.
        deadline: Monotonic seconds after which the caller no longer waits.
    """

    route: str
    parameters: abc.Mapping[str, Value]
    key: str
    token: str
    request_id: str
    transaction: str
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerAnswer:
    """The answer to a caller's request, which a front end encodes.

    Attributes:
        answer: Answer of the target.
        token: New session token.
    """

    answer: Answer
    token: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransactionRequest:
    """A request to open or to end a transaction.

    Attributes:
        group: Group of a transaction to open, or an empty string.
        transaction: Id of the transaction to end, or an empty string.
        commit: Whether to commit rather than to roll back.
        key: Caller's key.
        token: Session token, or an empty string.
        request_id: Caller's id of a commit, or an empty string.
        deadline: Monotonic seconds after which the caller no longer waits.
    """

    group: str
    transaction: str
    commit: bool
    key: str
    token: str
    request_id: str
    deadline: float
