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

import asyncio
import contextlib
import dataclasses
import json
import logging
import pathlib
import re
import sqlite3
from collections import abc
from typing import Any

from aiohttp import web

from greengageshunt import codec, model
from greengageshunt.standins import replication, storage, wire

logger = logging.getLogger(__name__)

LOCK_TIMEOUT = 5.0  # seconds that a transaction waits for the writer's lock

_CALL = re.compile(r"SELECT \* FROM (ggs_\w+)\((.*)\)\s*$", re.IGNORECASE | re.DOTALL)
_ARGUMENT = re.compile(r"'((?:[^']|'')*)'|(-?\d+)")
_READ_VERBS = ("SELECT", "WITH", "VALUES", "EXPLAIN")


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
        self.name = name
        self.store = store
        self.limits = limits
        self.password = password
        self.slots = asyncio.Semaphore(limits.slots)
        self.write_lock = asyncio.Lock()
        self.faults = Faults()
        self.not_stalled = asyncio.Event()
        self.not_stalled.set()
        self.connections = 0
        self.statements = 0
        self.log_changed = asyncio.Condition()
        self.replicas: dict[tuple[str, int], int] = {}
        self.follower = replication.Follower(target=self)
        self.seen_statements: list[str] = []
        self.sessions: set[Session] = set()

    @property
    def term(self) -> int:
        """Highest accepted term."""
        return int(self.store.meta("term", "0"))

    @property
    def promoter(self) -> str:
        """Promoter of the highest accepted term."""
        return self.store.meta("promoter", "")

    @property
    def role(self) -> model.Role:
        """Role of the target."""
        return model.Role(self.store.meta("role", model.Role.REPLICA))

    @property
    def writable(self) -> bool:
        """Whether the target is a primary that no higher term has fenced."""
        return self.role is model.Role.PRIMARY and self.store.meta("open", "0") == "1"

    def status(self) -> wire.ResultSet:
        """Return the result of ``ggs_status()``."""
        history = json.dumps(codec.to_plain(self.store.history))
        upstream, age_ms = self.follower.upstream(self.term)
        values = (self.term, self.promoter, self.role.value, self.store.offset, history)
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
            self.store.set_meta(term=str(term), promoter=promoter, open="0")
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
            self.follower.stop()
            self.replicas.clear()
            self.store.open_term(term)
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
        self.store.set_meta(
            term=str(term),
            promoter=promoter,
            open="0",
            role=model.Role.REPLICA,
            upstream=address,
        )
        self.follower.start(address, term)
        return self.status()

    def abort_writers(self) -> None:
        """Roll back the open transactions that have written."""
        for session in self.sessions:
            session.abort_write()

    async def wait_replicated(self, offset: int, timeout: float) -> wire.ResultSet:
        """Wait until a replica has an offset, or until the timeout in seconds."""

        def highest() -> int:
            return max(self.replicas.values(), default=0)

        async with self.log_changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.log_changed.wait_for(lambda: highest() >= offset), timeout
                )
        return wire.ResultSet(columns=("log_offset",), rows=((highest(),),), tag="SELECT 1")

    async def notify_log(self) -> None:
        """Wake those that wait for log entries or acknowledgements."""
        async with self.log_changed:
            self.log_changed.notify_all()

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
        upstream = self.store.meta("upstream", "")
        if self.role is model.Role.REPLICA and upstream:
            self.follower.start(upstream, self.term)

    def control(self) -> web.Application:
        """Return the HTTP application that sets faults and shows counts."""
        app = web.Application()
        app.router.add_post("/control/faults", self._set_faults)
        app.router.add_get("/control/state", self._get_state)
        return app

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = dataclasses.replace(self.faults, **await request.json())
        if self.faults.stall:
            self.not_stalled.clear()
        else:
            self.not_stalled.set()
        return web.json_response(dataclasses.asdict(self.faults))

    async def _get_state(self, request: web.Request) -> web.Response:
        state = {
            "term": self.term,
            "role": self.role,
            "writable": self.writable,
            "offset": self.store.offset,
            "connections": self.connections,
            "statements": self.statements,
            "seen_statements": self.seen_statements,
        }
        return web.json_response(state)


def split_statements(text: str) -> list[str]:
    """Split a simple query at the semicolons outside of literals."""
    statements = []
    pending = ""
    for part in text.split(";"):
        pending += part
        if sqlite3.complete_statement(pending + ";"):
            statements.append(pending.strip())
            pending = ""
        else:
            pending += ";"
    return [statement for statement in [*statements, pending.strip("; \n")] if statement]


def parse_call(statement: str) -> tuple[str, list[Any]] | None:
    """Return the name and the arguments of a call of a target function, or None."""
    match = _CALL.match(statement)
    if match is None:
        return None
    arguments = [
        int(number) if number else text.replace("''", "'")
        for text, number in _ARGUMENT.findall(match.group(2))
    ]
    return match.group(1).lower(), arguments


class Session:
    """One connection of a client."""

    def __init__(self, *, target: TargetStandin) -> None:
        self._target = target
        self._connection = target.store.connect()
        self._in_transaction = False
        self._failed = False
        self._holds_lock = False
        self._written: list[str] = []
        self._aborted = False
        target.sessions.add(self)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._in_transaction

    async def execute(self, statement: str) -> wire.ResultSet:
        """Run one statement of a simple query.

        Raises:
            StatementError: The statement failed.
        """
        call = parse_call(statement)
        if call is not None:
            return await self._target.call(*call)
        await self._target.not_stalled.wait()
        self._target.statements += 1
        self._target.seen_statements = [*self._target.seen_statements[-99:], statement]
        verb = statement.split(None, 1)[0].upper()
        if verb == "BEGIN":
            return self._begin()
        if verb == "COMMIT":
            return await self._commit()
        if verb == "ROLLBACK":
            self.roll_back()
            return wire.ResultSet(columns=(), rows=(), tag="ROLLBACK")
        if self._aborted:
            raise _not_primary()
        if self._failed:
            raise wire.StatementError("25P02", "current transaction is aborted")
        if verb not in _READ_VERBS:
            # A statement that waits for a lock occupies no slot; otherwise the
            # holder of the lock could wait for a slot of those that wait for it.
            self._check_writable()
            await self._take_lock()
        async with self._target.slots:
            # Bookkeeping by key is far cheaper than the callers' statements.
            if "ggs_requests" not in statement:
                await asyncio.sleep(self._target.limits.service_time)
            await self._target.not_stalled.wait()
            if verb in _READ_VERBS:
                return storage.run(self._connection, statement)
            return await self._write(statement)

    def fail(self) -> None:
        """Mark the open transaction as aborted."""
        if self._in_transaction:
            self._failed = True

    def abort_write(self) -> None:
        """Undo an open transaction that has written, because the target is fenced."""
        if not self._holds_lock:
            return
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK")
        self._written = []
        self._aborted = True
        self._release_lock()

    def roll_back(self) -> None:
        """Undo the open transaction, if any."""
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK")
        self._end()

    def close(self) -> None:
        """End the session."""
        self._target.sessions.discard(self)
        self.roll_back()
        self._connection.close()

    def _begin(self) -> wire.ResultSet:
        self._connection.execute("BEGIN")
        self._in_transaction = True
        return wire.ResultSet(columns=(), rows=(), tag="BEGIN")

    async def _write(self, statement: str) -> wire.ResultSet:
        self._check_writable()
        single = not self._in_transaction
        if single:
            self._begin()
        try:
            result = storage.run(self._connection, statement)
        except wire.StatementError:
            if single:
                self.roll_back()
            raise
        self._written.append(statement)
        if single:
            await self._commit()
        return result

    async def _take_lock(self) -> None:
        if self._holds_lock:
            return
        try:
            await asyncio.wait_for(self._target.write_lock.acquire(), LOCK_TIMEOUT)
        except TimeoutError:
            raise wire.StatementError("55P03", "lock not available") from None
        self._holds_lock = True

    async def _commit(self) -> wire.ResultSet:
        if self._aborted:
            self.roll_back()
            raise _not_primary()
        if self._failed or not self._written:
            self.roll_back()
            return wire.ResultSet(columns=(), rows=(), tag="COMMIT")
        try:
            self._check_writable()
            self._target.store.append(self._connection, self._target.term, self._written)
        except sqlite3.Error as error:
            self.roll_back()
            raise storage.translate_error(error) from error
        except wire.StatementError:
            self.roll_back()
            raise
        self._end()
        await self._target.notify_log()
        faults = self._target.faults
        if faults.drop_answers > 0:
            remaining = faults.drop_answers - 1
            self._target.faults = dataclasses.replace(faults, drop_answers=remaining)
            raise ConnectionResetError("answer dropped by a fault")
        return wire.ResultSet(columns=(), rows=(), tag="COMMIT")

    def _check_writable(self) -> None:
        if not self._target.writable:
            raise _not_primary()

    def _end(self) -> None:
        self._in_transaction = False
        self._failed = False
        self._aborted = False
        self._written = []
        self._release_lock()

    def _release_lock(self) -> None:
        if self._holds_lock:
            self._target.write_lock.release()
            self._holds_lock = False


def _not_primary() -> wire.StatementError:
    return wire.StatementError("25006", "this target is not the primary of its term")


async def _answer_query(session: Session, text: str, writer: asyncio.StreamWriter) -> None:
    try:
        for statement in split_statements(wire.plain_literals(text)):
            writer.write(wire.result(await session.execute(statement)))
    except wire.StatementError as error:
        session.fail()
        writer.write(wire.error(error.code, str(error)))
    writer.write(wire.ready(session.in_transaction))
    await writer.drain()


async def _serve_queries(
    target: TargetStandin, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    session = Session(target=target)
    try:
        while True:
            kind, payload = await wire.read_message(reader)
            if kind == b"X":
                return
            if kind != b"Q":
                writer.write(wire.error("0A000", f"message {kind!r} is not supported"))
                writer.write(wire.ready(session.in_transaction))
                continue
            await _answer_query(session, payload[:-1].decode(), writer)
    finally:
        session.close()


async def serve_client(
    target: TargetStandin, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Serve one connection of a client, from startup to its end."""
    target.connections += 1
    try:
        if await wire.read_startup(reader, writer) is None:
            return
        if target.faults.refuse or target.connections > target.limits.connections:
            writer.write(wire.error("53300", "too many connections"))
            return
        if await wire.ask_password(reader, writer) != target.password:
            writer.write(wire.error("28P01", "password authentication failed"))
            return
        await asyncio.sleep(target.limits.connect_time)
        writer.write(wire.greeting())
        await _serve_queries(target, reader, writer)
    except (ConnectionError, asyncio.IncompleteReadError):
        logger.debug("client closed its connection", extra={"target": target.name})
    finally:
        target.connections -= 1
        writer.close()


def open_storage(directory: pathlib.Path, name: str, schema: tuple[str, ...]) -> storage.Storage:
    """Open the storage of a target in a directory."""
    return storage.Storage(path=directory / f"{name}.sqlite", schema=schema)
