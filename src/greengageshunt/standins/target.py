"""Stand-in for one target: a small PostgreSQL server with terms and replication.

Besides SQL it serves these set-returning functions, which a real target offers
as an extension or through its own views; ``docs/platform.md`` lists them:

* ``ggs_status()``: term, promoter, role, log_offset, history (JSON), upstream,
  upstream_age_ms (milliseconds since the last line from the upstream, NULL before
  the first).
* ``ggs_raise_term(term, 'promoter')``: accepted, previous_term, then the columns of
  ``ggs_status()``.
* ``ggs_promote(term, 'promoter')``: the columns of ``ggs_status()``.
* ``ggs_follow(term, 'replication address')``: the columns of ``ggs_status()``.
* ``ggs_wait_replicated(offset, timeout_ms)``: highest offset that any replica has
  applied. Returns when it reaches the given offset, or after the timeout.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import json
import pathlib
from collections import abc
from typing import TYPE_CHECKING, Any

from aiohttp import web

from greengageshunt import codec, model
from greengageshunt.standins import replication, storage, wire

if TYPE_CHECKING:
    from greengageshunt.standins import session as session_module

RECENT_STATEMENT_LIMIT = 100  # newest statements that the control interface returns


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits and simulated times of a target.

    Attributes:
        slots: Number of statements that run concurrently.
        connections: Highest number of open client connections.
        connect_time: Seconds that opening a connection takes.
        service_time: Seconds for which a statement occupies a slot.
    """

    slots: int
    connections: int
    connect_time: float
    service_time: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Simulated faults that are in force.

    Attributes:
        stall: Whether statements wait until the fault ends.
        refuse: Whether new connections are refused.
        lag: Seconds between receipt and application of a log entry on this replica.
        drop_answers: Number of commits that still take effect without a response; the
            target closes their connections instead.
    """

    stall: bool = False
    refuse: bool = False
    lag: float = 0.0
    drop_answers: int = 0


class TargetStandin:
    """State of one target: terms, role, faults, open sessions and replication."""

    def __init__(self, *, name: str, store: storage.Storage, limits: Limits, password: str) -> None:
        self._name = name
        self._store = store
        self._limits = limits
        self._password = password
        self._slots = asyncio.Semaphore(limits.slots)
        self._write_lock = asyncio.Lock()
        self._faults = Faults()
        self._not_stalled = asyncio.Event()
        self._not_stalled.set()
        self._connections = 0
        self._recent_statements: collections.deque[str] = collections.deque(
            maxlen=RECENT_STATEMENT_LIMIT
        )
        self._statement_count = 0
        self._log_changed = asyncio.Condition()
        self._applied_offsets: dict[tuple[str, int], int] = {}
        self._follower = replication.Follower(target=self)
        self._sessions: set[session_module.Session] = set()

    @property
    def name(self) -> str:
        """Name of the target."""
        return self._name

    @property
    def store(self) -> storage.Storage:
        """Storage of the log and the data."""
        return self._store

    @property
    def limits(self) -> Limits:
        """Limits and simulated times."""
        return self._limits

    @property
    def faults(self) -> Faults:
        """Simulated faults that are in force."""
        return self._faults

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self._connections

    @property
    def slots(self) -> asyncio.Semaphore:
        """Semaphore of the slots that running statements occupy."""
        return self._slots

    @property
    def write_lock(self) -> asyncio.Lock:
        """Lock that a transaction holds from its first write to its end."""
        return self._write_lock

    @property
    def log_changed(self) -> asyncio.Condition:
        """Condition that is notified of new log entries and of replicas' acknowledgements."""
        return self._log_changed

    @property
    def term(self) -> int:
        """Highest accepted term, the fencing token of writes and replication."""
        return int(self._store.meta("term", "0"))

    @property
    def promoter(self) -> str:
        """Name of the promoter from which the highest term was accepted."""
        return self._store.meta("promoter", "")

    @property
    def role(self) -> model.Role:
        """Role of the target, which a restart keeps."""
        return model.Role(self._store.meta("role", model.Role.REPLICA))

    @property
    def writable(self) -> bool:
        """Whether the target is the primary of the highest term that it has accepted."""
        return self.role is model.Role.PRIMARY and self._store.meta("open", "0") == "1"

    def status(self) -> wire.ResultSet:
        """Return the result of ``ggs_status()``."""
        history = json.dumps(codec.to_plain(self._store.history))
        upstream, age_ms = self._follower.upstream(self.term)
        values = (self.term, self.promoter, self.role.value, self._store.offset, history)
        return wire.ResultSet(
            columns=(
                "term",
                "promoter",
                "role",
                "log_offset",
                "history",
                "upstream",
                "upstream_age_ms",
            ),
            rows=((*values, upstream, age_ms),),
            tag="SELECT 1",
        )

    def raise_term(self, term: int, promoter: str) -> wire.ResultSet:
        """Accept a term that is higher than all terms accepted before.

        The target then rejects writes and log entries of older terms. A term is
        accepted from one promoter only; a repeated call by that promoter succeeds.
        """
        previous_term = self.term
        repeated = term == previous_term and promoter == self.promoter
        accepted = term > previous_term or repeated
        if term > previous_term:
            self.abort_writers()
            self._store.set_meta(term=str(term), promoter=promoter, open="0")
        status = self.status()
        return wire.ResultSet(
            columns=("accepted", "previous_term", *status.columns),
            rows=((accepted, previous_term, *status.rows[0]),),
            tag="SELECT 1",
        )

    def promote(self, term: int, promoter: str) -> wire.ResultSet:
        """Become the primary of a term that this target has accepted from the promoter.

        Raises:
            StatementError: The highest accepted term, or its promoter, is another one.
        """
        if (term, promoter) != (self.term, self.promoter):
            raise wire.StatementError("55000", f"term {term} was not accepted from {promoter!r}")
        if not self.writable:
            self._follower.stop()
            self._applied_offsets.clear()
            self._store.open_term(term)
        return self.status()

    def follow(self, term: int, address: str) -> wire.ResultSet:
        """Become a replica of the primary of a term.

        Args:
            term: Term of the primary.
            address: Replication address of the primary.

        Raises:
            StatementError: A higher term was accepted, or this target is the primary of
                the term.
        """
        if term < self.term:
            raise wire.StatementError("55000", f"term {self.term} was accepted, not {term}")
        if self.writable and term == self.term:
            raise wire.StatementError("55000", f"this target is the primary of term {term}")
        self.abort_writers()
        promoter = "" if term > self.term else self.promoter
        self._store.set_meta(
            term=str(term),
            promoter=promoter,
            open="0",
            role=model.Role.REPLICA,
            upstream=address,
        )
        self._follower.start(address, term)
        return self.status()

    def abort_writers(self) -> None:
        """Roll back the open transactions that hold the write lock."""
        for session in self._sessions:
            session.abort_write()

    async def wait_replicated(self, offset: int, timeout: float) -> wire.ResultSet:
        """Wait up to ``timeout`` seconds until a replica has applied an offset."""

        def highest() -> int:
            return max(self._applied_offsets.values(), default=0)

        async with self._log_changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._log_changed.wait_for(lambda: highest() >= offset), timeout
                )
        return wire.ResultSet(columns=("log_offset",), rows=((highest(),),), tag="SELECT 1")

    async def notify_log_changed(self) -> None:
        """Wake the tasks that wait for log entries or acknowledgements."""
        async with self._log_changed:
            self._log_changed.notify_all()

    async def call(self, name: str, arguments: list[Any]) -> wire.ResultSet:
        """Run one of the set-returning functions.

        Raises:
            StatementError: The function is unknown, or it failed.
        """
        functions: dict[str, abc.Callable[..., wire.ResultSet]] = {
            "ggs_status": self.status,
            "ggs_raise_term": self.raise_term,
            "ggs_promote": self.promote,
            "ggs_follow": self.follow,
        }
        if name == "ggs_wait_replicated":
            offset, timeout_ms = arguments
            return await self.wait_replicated(offset, timeout_ms / 1000)
        if name not in functions:
            raise wire.StatementError("42883", f"function {name} does not exist")
        result = functions[name](*arguments)
        await self.notify_log_changed()
        return result

    def resume_replication(self) -> None:
        """Resume replication after a restart if the target was a replica."""
        upstream = self._store.meta("upstream", "")
        if self.role is model.Role.REPLICA and upstream:
            self._follower.start(upstream, self.term)

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults that are in force."""
        self._faults = faults
        if faults.stall:
            self._not_stalled.clear()
        else:
            self._not_stalled.set()

    def consume_answer_drop(self) -> bool:
        """Return whether to drop the next response, and decrement the number of drops left."""
        if not self._faults.drop_answers:
            return False
        remaining = self._faults.drop_answers - 1
        self._faults = dataclasses.replace(self._faults, drop_answers=remaining)
        return True

    async def wait_not_stalled(self) -> None:
        """Wait until the ``stall`` fault is not in force."""
        await self._not_stalled.wait()

    def accepts(self, password: str) -> bool:
        """Return whether a password is the one that clients of this target must send."""
        return password == self._password

    @contextlib.contextmanager
    def connection(self) -> abc.Iterator[bool]:
        """Count a connection as open while the context lasts.

        Yields whether to accept the connection: it is within the limit, and the
        ``refuse`` fault is not in force.
        """
        self._connections += 1
        try:
            yield not self._faults.refuse and self._connections <= self._limits.connections
        finally:
            self._connections -= 1

    def add_session(self, session: session_module.Session) -> None:
        """Register a session, so that a higher term can abort its transaction."""
        self._sessions.add(session)

    def remove_session(self, session: session_module.Session) -> None:
        """Unregister a session that has ended."""
        self._sessions.discard(session)

    def record_statement(self, statement: str) -> None:
        """Count a statement and record its text for the control interface."""
        self._statement_count += 1
        self._recent_statements.append(statement)

    def acknowledge(self, replica: tuple[str, int], offset: int) -> None:
        """Record the highest offset that a replica has acknowledged on a connection."""
        self._applied_offsets[replica] = offset

    def remove_replica_connection(self, replica: tuple[str, int]) -> None:
        """Remove the offset of a replica connection that has closed."""
        self._applied_offsets.pop(replica, None)

    def control(self) -> web.Application:
        """Return the HTTP application of the control interface: set faults, get the state."""
        app = web.Application()
        app.router.add_post("/control/faults", self._set_faults)
        app.router.add_get("/control/state", self._get_state)
        return app

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.set_faults(dataclasses.replace(self._faults, **await request.json()))
        return web.json_response(dataclasses.asdict(self._faults))

    async def _get_state(self, request: web.Request) -> web.Response:
        state = {
            "term": self.term,
            "role": self.role,
            "writable": self.writable,
            "offset": self._store.offset,
            "connections": self._connections,
            "statements": self._statement_count,
            "seen_statements": list(self._recent_statements),
        }
        return web.json_response(state)


def open_storage(directory: pathlib.Path, name: str, schema: tuple[str, ...]) -> storage.Storage:
    """Open the storage of a target in ``<directory>/<name>.sqlite``."""
    return storage.Storage(path=directory / f"{name}.sqlite", schema=schema)
