"""Stand-in for one target: a small PostgreSQL server with terms and replication.

Besides SQL it serves these set-returning functions, which a real target offers
as an extension or through its own views; ``docs/platform.md`` lists them:

* ``ggs_status()``: term, promoter, role, log_offset, history (JSON), upstream,
  upstream_age_ms (NULL if it never heard from there).
* ``ggs_raise_term(term, 'promoter')``: accepted, previous_term, then the columns of
  ``ggs_status()``.
* ``ggs_promote(term, 'promoter')``: the columns of ``ggs_status()``.
* ``ggs_follow(term, 'replication address')``: the columns of ``ggs_status()``.
* ``ggs_wait_replicated(offset, timeout_ms)``: highest offset that a replica has,
  as soon as it reaches the given one, or after the timeout.
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

STATEMENTS_KEPT = 100  # newest statements that the control interface shows


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Sizes of a target.

    Attributes:
        slots: Statements that run at once.
        connections: Connections that are accepted.
        connect_time: Seconds to open a connection.
        service_time: Seconds that a statement occupies a slot.
    """

    slots: int
    connections: int
    connect_time: float
    service_time: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Faults in force.

    Attributes:
        stall: Whether statements wait until the fault ends.
        refuse: Whether new connections are refused.
        lag: Seconds by which log entries reach this replica late.
        drop_answers: Number of next commits whose connection closes without an answer.
    """

    stall: bool = False
    refuse: bool = False
    lag: float = 0.0
    drop_answers: int = 0


class TargetStandin:
    """State of one target."""

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
        self._statements: collections.deque[str] = collections.deque(maxlen=STATEMENTS_KEPT)
        self._statement_count = 0
        self._log_changed = asyncio.Condition()
        self._replicas: dict[tuple[str, int], int] = {}
        self._follower = replication.Follower(target=self)
        self._sessions: set[session_module.Session] = set()

    @property
    def name(self) -> str:
        """Name of the target."""
        return self._name

    @property
    def store(self) -> storage.Storage:
        """Log and data."""
        return self._store

    @property
    def limits(self) -> Limits:
        """Sizes."""
        return self._limits

    @property
    def faults(self) -> Faults:
        """Faults in force."""
        return self._faults

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self._connections

    @property
    def slots(self) -> asyncio.Semaphore:
        """Slots that statements occupy."""
        return self._slots

    @property
    def write_lock(self) -> asyncio.Lock:
        """Lock of the one transaction that writes."""
        return self._write_lock

    @property
    def log_changed(self) -> asyncio.Condition:
        """Notified of new log entries and of acknowledgements."""
        return self._log_changed

    @property
    def term(self) -> int:
        """Highest accepted term."""
        return int(self._store.meta("term", "0"))

    @property
    def promoter(self) -> str:
        """Promoter of the highest accepted term."""
        return self._store.meta("promoter", "")

    @property
    def role(self) -> model.Role:
        """Role of the target."""
        return model.Role(self._store.meta("role", model.Role.REPLICA))

    @property
    def writable(self) -> bool:
        """Whether the target is a primary that no higher term has fenced."""
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
        """Accept a term once, from one promoter, and stop writing and copying older terms."""
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
        """Become the primary of an accepted term.

        Raises:
            StatementError: The term was not accepted from this promoter.
        """
        if (term, promoter) != (self.term, self.promoter):
            raise wire.StatementError("55000", f"term {term} was not accepted from {promoter!r}")
        if not self.writable:
            self._follower.stop()
            self._replicas.clear()
            self._store.open_term(term)
        return self.status()

    def follow(self, term: int, address: str) -> wire.ResultSet:
        """Become a replica of the primary of a term.

        Raises:
            StatementError: A higher term was accepted.
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
        """Roll back the open transactions that have written."""
        for session in self._sessions:
            session.abort_write()

    async def wait_replicated(self, offset: int, timeout: float) -> wire.ResultSet:
        """Wait until a replica has an offset, or until the timeout in seconds."""

        def highest() -> int:
            return max(self._replicas.values(), default=0)

        async with self._log_changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._log_changed.wait_for(lambda: highest() >= offset), timeout
                )
        return wire.ResultSet(columns=("log_offset",), rows=((highest(),),), tag="SELECT 1")

    async def notify_log(self) -> None:
        """Wake those that wait for log entries or acknowledgements."""
        async with self._log_changed:
            self._log_changed.notify_all()

    async def call(self, name: str, arguments: list[Any]) -> wire.ResultSet:
        """Run one of the target's functions.

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
        await self.notify_log()
        return result

    def resume(self) -> None:
        """Follow the upstream that was stored before a restart."""
        upstream = self._store.meta("upstream", "")
        if self.role is model.Role.REPLICA and upstream:
            self._follower.start(upstream, self.term)

    def set_faults(self, faults: Faults) -> None:
        """Put faults into force."""
        self._faults = faults
        if faults.stall:
            self._not_stalled.clear()
        else:
            self._not_stalled.set()

    def take_dropped_answer(self) -> bool:
        """Return whether the next answer is to be dropped, and count it."""
        if not self._faults.drop_answers:
            return False
        remaining = self._faults.drop_answers - 1
        self._faults = dataclasses.replace(self._faults, drop_answers=remaining)
        return True

    async def wait_not_stalled(self) -> None:
        """Wait until no stall is in force."""
        await self._not_stalled.wait()

    def accepts(self, password: str) -> bool:
        """Return whether a password is that of the system."""
        return password == self._password

    @contextlib.contextmanager
    def connection(self) -> abc.Iterator[bool]:
        """Count a connection; yields whether it is within the limit."""
        self._connections += 1
        try:
            yield not self._faults.refuse and self._connections <= self._limits.connections
        finally:
            self._connections -= 1

    def add_session(self, session: session_module.Session) -> None:
        """Register a session, whose transaction ends when a term fences the target."""
        self._sessions.add(session)

    def remove_session(self, session: session_module.Session) -> None:
        """Forget a session that has ended."""
        self._sessions.discard(session)

    def count_statement(self, statement: str) -> None:
        """Record a statement for the control interface."""
        self._statement_count += 1
        self._statements.append(statement)

    def acknowledge(self, replica: tuple[str, int], offset: int) -> None:
        """Record the offset that a connection of a replica has applied."""
        self._replicas[replica] = offset

    def forget_replica(self, replica: tuple[str, int]) -> None:
        """Forget a connection of a replica."""
        self._replicas.pop(replica, None)

    def control(self) -> web.Application:
        """Return the HTTP application that sets faults and shows counts."""
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
            "seen_statements": list(self._statements),
        }
        return web.json_response(state)


def open_storage(directory: pathlib.Path, name: str, schema: tuple[str, ...]) -> storage.Storage:
    """Open the storage of a target in a directory."""
    return storage.Storage(path=directory / f"{name}.sqlite", schema=schema)
