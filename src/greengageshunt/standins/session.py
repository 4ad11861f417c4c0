"""Sessions of a target stand-in: statements and transactions of one connection."""

import asyncio
import logging
import re
import sqlite3
from typing import Any

from greengageshunt.standins import storage, wire
from greengageshunt.standins import target as target_module

logger = logging.getLogger(__name__)

WRITE_LOCK_TIMEOUT = 5.0  # seconds for which a statement waits for the write lock

_CALL = re.compile(r"SELECT \* FROM (ggs_\w+)\((.*)\)\s*$", re.IGNORECASE | re.DOTALL)
_ARGUMENT = re.compile(r"'((?:[^']|'')*)'|(-?\d+)")
_IDLE_TIMEOUT_SETTING = re.compile(r"idle_in_transaction_session_timeout\s*=\s*(\d+)")
_TRANSACTION_VERBS = ("BEGIN", "COMMIT", "ROLLBACK", "SET")
_READ_VERBS = ("SELECT", "WITH", "VALUES", "EXPLAIN")


def split_statements(text: str) -> list[str]:
    """Split the text of a simple query at the semicolons outside of literals."""
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
    """Return the name and arguments of a ``ggs_`` function call, or None for other SQL."""
    match = _CALL.match(statement)
    if match is None:
        return None
    arguments = [
        int(number) if number else text.replace("''", "'")
        for text, number in _ARGUMENT.findall(match.group(2))
    ]
    return match.group(1).lower(), arguments


def idle_limit(text: str) -> float | None:
    """Return the idle-in-transaction time-out that a text sets, in seconds, or None."""
    match = _IDLE_TIMEOUT_SETTING.search(text)
    return int(match.group(1)) / 1000 if match else None


class Session:
    """One client connection: its transaction, write lock and idle time-out."""

    def __init__(
        self, *, target: target_module.TargetStandin, idle_limit: float | None = None
    ) -> None:
        self._target = target
        self._session_idle_limit = idle_limit
        self._transaction_idle_limit = idle_limit
        self._connection = target.store.connect()
        self._in_transaction = False
        self._failed = False
        self._holds_write_lock = False
        self._written_statements: list[str] = []
        self._aborted = False
        target.add_session(self)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._in_transaction

    @property
    def idle_limit(self) -> float | None:
        """Seconds without a statement in a transaction that end the session, or None."""
        return self._transaction_idle_limit if self._in_transaction else None

    async def execute(self, statement: str) -> wire.ResultSet:
        """Run one statement of a simple query.

        Raises:
            StatementError: The statement failed.
        """
        call = parse_call(statement)
        if call is not None:
            return await self._target.call(*call)
        await self._target.wait_not_stalled()
        self._target.record_statement(statement)
        verb = statement.split(None, 1)[0].upper()
        if verb in _TRANSACTION_VERBS:
            return await self._control_transaction(verb, statement)
        if self._aborted:
            raise _not_primary()
        if self._failed:
            raise wire.StatementError("25P02", "current transaction is aborted")
        if verb not in _READ_VERBS:
            # The write lock is acquired before a slot. Otherwise statements that wait
            # for the lock could occupy all slots, and the transaction that holds the
            # lock would wait for a slot until their time-out.
            self._check_writable()
            await self._acquire_write_lock()
        async with self._target.slots:
            # Statements on the table of request records take no service time: they
            # access one row by key, which is far cheaper than callers' statements.
            if "ggs_requests" not in statement:
                await asyncio.sleep(self._target.limits.service_time)
            await self._target.wait_not_stalled()
            if verb in _READ_VERBS:
                return storage.run(self._connection, statement)
            return await self._write(statement)

    def fail(self) -> None:
        """Mark the open transaction as failed, so that its statements get SQLSTATE 25P02."""
        if self._in_transaction:
            self._failed = True

    def abort_write(self) -> None:
        """Roll back a transaction that holds the write lock, because the target is fenced.

        The next statement or the commit then fails with SQLSTATE 25006.
        """
        if not self._holds_write_lock:
            return
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK")
        self._written_statements = []
        self._aborted = True
        self._release_write_lock()

    def roll_back(self) -> None:
        """Roll back the open transaction, if any, and release the write lock."""
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK")
        self._reset_transaction()

    def close(self) -> None:
        """Roll back the open transaction and unregister the session."""
        self._target.remove_session(self)
        self.roll_back()
        self._connection.close()

    def _begin(self) -> wire.ResultSet:
        self._connection.execute("BEGIN")
        self._in_transaction = True
        return wire.ResultSet(columns=(), rows=(), tag="BEGIN")

    async def _control_transaction(self, verb: str, statement: str) -> wire.ResultSet:
        if verb == "BEGIN":
            return self._begin()
        if verb == "COMMIT":
            return await self._commit()
        if verb == "SET":
            return self._set_local(statement)
        self.roll_back()
        return wire.ResultSet(columns=(), rows=(), tag="ROLLBACK")

    def _set_local(self, statement: str) -> wire.ResultSet:
        limit = idle_limit(statement)
        if limit is None:
            raise wire.StatementError("0A000", f"{statement!r} is not supported")
        self._transaction_idle_limit = limit
        return wire.ResultSet(columns=(), rows=(), tag="SET")

    async def _write(self, statement: str) -> wire.ResultSet:
        self._check_writable()
        autocommit = not self._in_transaction
        if autocommit:
            self._begin()
        try:
            result = storage.run(self._connection, statement)
        except wire.StatementError:
            if autocommit:
                self.roll_back()
            raise
        self._written_statements.append(statement)
        if autocommit:
            await self._commit()
        return result

    async def _acquire_write_lock(self) -> None:
        if self._holds_write_lock:
            return
        try:
            await asyncio.wait_for(self._target.write_lock.acquire(), WRITE_LOCK_TIMEOUT)
        except TimeoutError:
            raise wire.StatementError("55P03", "lock not available") from None
        self._holds_write_lock = True

    async def _commit(self) -> wire.ResultSet:
        if self._aborted:
            self.roll_back()
            raise _not_primary()
        if self._failed or not self._written_statements:
            self.roll_back()
            return wire.ResultSet(columns=(), rows=(), tag="COMMIT")
        try:
            self._check_writable()
            self._target.store.append(self._connection, self._target.term, self._written_statements)
        except sqlite3.Error as error:
            self.roll_back()
            raise storage.translate_error(error) from error
        except wire.StatementError:
            self.roll_back()
            raise
        self._reset_transaction()
        await self._target.notify_log_changed()
        if self._target.consume_answer_drop():
            raise ConnectionResetError("answer dropped by a fault")
        return wire.ResultSet(columns=(), rows=(), tag="COMMIT")

    def _check_writable(self) -> None:
        if not self._target.writable:
            raise _not_primary()

    def _reset_transaction(self) -> None:
        self._transaction_idle_limit = self._session_idle_limit
        self._in_transaction = False
        self._failed = False
        self._aborted = False
        self._written_statements = []
        self._release_write_lock()

    def _release_write_lock(self) -> None:
        if self._holds_write_lock:
            self._target.write_lock.release()
            self._holds_write_lock = False


def _not_primary() -> wire.StatementError:
    return wire.StatementError("25006", "this target is not the primary of its term")


async def _answer_query(session: Session, text: str, writer: asyncio.StreamWriter) -> None:
    try:
        for statement in split_statements(wire.to_standard_literals(text)):
            writer.write(wire.result(await session.execute(statement)))
    except wire.StatementError as error:
        session.fail()
        writer.write(wire.error(error.code, str(error)))
    writer.write(wire.ready(session.in_transaction))
    await writer.drain()


async def _serve_queries(
    target: target_module.TargetStandin,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    options: str,
) -> None:
    session = Session(target=target, idle_limit=idle_limit(options))
    try:
        while True:
            try:
                async with asyncio.timeout(session.idle_limit):
                    kind, payload = await wire.read_message(reader)
            except TimeoutError:
                writer.write(wire.error("25P03", "the transaction was idle for too long"))
                return
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
    target: target_module.TargetStandin, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Serve one client connection from its startup message to its end."""
    try:
        with target.connection() as within_limit:
            await _serve_connection(target, reader, writer, within_limit)
    except (ConnectionError, asyncio.IncompleteReadError):
        logger.debug("client closed its connection", extra={"target": target.name})
    finally:
        writer.close()


async def _serve_connection(
    target: target_module.TargetStandin,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    within_limit: bool,
) -> None:
    parameters = await wire.read_startup(reader, writer)
    if parameters is None:
        return
    if not within_limit:
        writer.write(wire.error("53300", "too many connections"))
        return
    if not target.accepts(await wire.request_password(reader, writer)):
        writer.write(wire.error("28P01", "password authentication failed"))
        return
    await asyncio.sleep(target.limits.connect_time)
    writer.write(wire.startup_response())
    await _serve_queries(target, reader, writer, parameters.get("options", ""))
