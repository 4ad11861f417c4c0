"""Target driver for the PostgreSQL protocol, based on psycopg."""

import asyncio
import dataclasses
import json
import math
from collections import abc
from typing import Any

import psycopg
from psycopg import waiting

from greengageshunt import application, codec, config, errors, model

CONNECT_TIMEOUT = 1.0  # seconds
CONTROL_QUERY_TIMEOUT = 0.4  # seconds for a status, term, promotion or follow query

# Seconds after which psycopg ends a connection attempt whose caller no longer waits. Two
# seconds is the minimum that psycopg accepts.
ABANDONED_CONNECT_TIMEOUT = 2

# Seconds without a statement after which a target ends a transaction. Otherwise, a paused
# owner would keep its locks, and the writes of the next owner would wait for them.
IDLE_IN_TRANSACTION_LIMIT = 0.75

# SQLSTATE of the class "data exception", for values that psycopg rejects before sending.
CLIENT_SIDE_ERROR_CODE = "22000"

_STATUS_QUERY = "SELECT * FROM ggs_status()"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TermVote:
    """Response of a target to a request to raise its term.

    Attributes:
        accepted: Whether the target accepted the term from this promoter.
        previous_term: Highest term that the target had accepted before the request.
        status: Status of the target after the request.
    """

    accepted: bool
    previous_term: int
    status: model.TargetStatus


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatementResult:
    """Result of one statement.

    Attributes:
        columns: Column names; empty if the statement returns no result set.
        rows: Rows of column values.
        row_count: Number of rows returned or changed.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[model.Value, ...], ...]
    row_count: int


class _CancellableConnection(psycopg.AsyncConnection[Any]):
    """A connection that closes immediately when its task is cancelled.

    The base class sends a cancel request and waits for its effect, without limit if
    the target does not respond. This class closes the connection instead, so that a
    later query cannot read the answer of the cancelled one.
    """

    async def wait(self, gen: Any, interval: float = 0.0) -> Any:
        """Run a generator of libpq operations."""
        try:
            return await waiting.wait_async(gen, self.pgconn.socket)
        except asyncio.CancelledError:
            self.pgconn.finish()
            raise


class Connection:
    """A connection to a target with the system's own credentials."""

    def __init__(self, *, target: model.Target, connection: psycopg.AsyncConnection[Any]) -> None:
        self._target = target
        self._connection = connection

    @property
    def target(self) -> model.Target:
        """Target of the connection."""
        return self._target

    async def run(
        self, step: str, sql: str, parameters: abc.Mapping[str, model.Value] | None = None
    ) -> tuple[StatementResult, ...]:
        """Run one simple query and return the result of each of its statements.

        Args:
            step: Name of the step in errors.
            sql: One or more statements, separated by semicolons.
            parameters: Values of ``%(name)s`` placeholders; None if there are none.

        Raises:
            TargetError: The target rejected a statement or the connection failed.
        """
        try:
            return await self._execute(sql, parameters)
        except (psycopg.Error, UnicodeError) as error:
            raise self._error(step, error) from error

    async def _execute(
        self, sql: str, parameters: abc.Mapping[str, model.Value] | None
    ) -> tuple[StatementResult, ...]:
        cursor = await self._connection.execute(sql, parameters)
        results = [await self._read(cursor)]
        while cursor.nextset():
            results.append(await self._read(cursor))
        return tuple(results)

    def _error(self, step: str, error: psycopg.Error | UnicodeError) -> errors.TargetError:
        sqlstate = getattr(error, "sqlstate", None) or ""
        rejected_by_client = not sqlstate and isinstance(
            error, psycopg.ProgrammingError | psycopg.DataError | UnicodeError
        )
        return errors.TargetError(
            str(error).strip(),
            step=step,
            peer=self._target.name,
            sent=not rejected_by_client,
            code=CLIENT_SIDE_ERROR_CODE if rejected_by_client else sqlstate,
        )

    async def status(self, now: float) -> model.TargetStatus:
        """Return the status of the target.

        Args:
            now: Monotonic seconds at which the query is sent.

        Raises:
            TargetError: The target did not answer within the timeout.
        """
        (result,) = await self._run_control_query("status", _STATUS_QUERY)
        return read_status(self._target.name, result, 0, now)

    async def run_after_status(
        self, step: str, sql: str, parameters: abc.Mapping[str, model.Value], now: float
    ) -> tuple[model.TargetStatus, StatementResult]:
        """Read the status and run one statement, in one round trip.

        Raises:
            TargetError: The target rejected the statement or the connection failed.
        """
        status, statement = await self.run(step, f"{_STATUS_QUERY}; {sql}", parameters)
        return read_status(self._target.name, status, 0, now), statement

    async def begin(self, idle_limit: float) -> None:
        """Begin a transaction.

        Args:
            idle_limit: Seconds without a statement after which the target ends it.

        Raises:
            TargetError: The target rejected the statement or the connection failed.
        """
        await self.run("begin", f"BEGIN; SET LOCAL {_idle_setting(idle_limit)}")

    async def commit(self, now: float) -> model.TargetStatus:
        """Commit the open transaction and read the status, in one round trip.

        Raises:
            TargetError: The target rejected the commit or the connection failed. If
                the connection failed, the transaction may have committed.
        """
        _, status = await self.run("commit", f"COMMIT; {_STATUS_QUERY}")
        return read_status(self._target.name, status, 0, now)

    async def raise_term(self, term: int, promoter: str, now: float) -> TermVote:
        """Request that the target accepts a term.

        Args:
            term: Term to accept.
            promoter: Name of the promoter's attempt.
            now: Monotonic seconds at which the query is sent.

        Raises:
            TargetError: The target did not answer within the timeout.
        """
        sql = "SELECT * FROM ggs_raise_term(%(term)s, %(promoter)s)"
        (result,) = await self._run_control_query(
            "raise-term", sql, {"term": term, "promoter": promoter}
        )
        return TermVote(
            accepted=bool(result.rows[0][0]),
            previous_term=int(str(result.rows[0][1])),
            status=read_status(self._target.name, result, 2, now),
        )

    async def promote(self, term: int, promoter: str, now: float) -> model.TargetStatus:
        """Make the target the primary of an accepted term.

        Raises:
            TargetError: The target refused or did not answer within the timeout.
        """
        sql = "SELECT * FROM ggs_promote(%(term)s, %(promoter)s)"
        (result,) = await self._run_control_query(
            "promote", sql, {"term": term, "promoter": promoter}
        )
        return read_status(self._target.name, result, 0, now)

    async def follow(self, term: int, address: str, now: float) -> model.TargetStatus:
        """Make the target a replica of the primary of a term.

        Raises:
            TargetError: The target refused or did not answer within the timeout.
        """
        sql = "SELECT * FROM ggs_follow(%(term)s, %(address)s)"
        (result,) = await self._run_control_query("follow", sql, {"term": term, "address": address})
        return read_status(self._target.name, result, 0, now)

    async def wait_replicated(self, offset: int, timeout: float) -> int:
        """Wait until a second target has the log up to an offset.

        Args:
            offset: Log offset.
            timeout: Longest wait in seconds.

        Returns:
            Highest offset that a second target has; lower than ``offset`` if the
            timeout passed.

        Raises:
            TargetError: The connection failed.
        """
        sql = "SELECT * FROM ggs_wait_replicated(%(offset)s, %(timeout)s)"
        parameters = {"offset": offset, "timeout": int(timeout * 1000)}
        (result,) = await self.run("wait-replicated", sql, parameters)
        return int(result.rows[0][0])

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()

    async def _run_control_query(
        self, step: str, sql: str, parameters: abc.Mapping[str, model.Value] | None = None
    ) -> tuple[StatementResult, ...]:
        try:
            async with asyncio.timeout(CONTROL_QUERY_TIMEOUT):
                return await self.run(step, sql, parameters)
        except TimeoutError as error:
            raise errors.TargetError(
                f"no answer within {CONTROL_QUERY_TIMEOUT} s",
                step=step,
                peer=self._target.name,
                sent=True,
            ) from error

    async def _read(self, cursor: psycopg.AsyncCursor[Any]) -> StatementResult:
        if cursor.description is None:
            return StatementResult(columns=(), rows=(), row_count=max(cursor.rowcount, 0))
        rows = tuple(await cursor.fetchall())
        columns = tuple(column.name for column in cursor.description)
        return StatementResult(columns=columns, rows=rows, row_count=len(rows))


def read_status(target: str, result: StatementResult, skip: int, now: float) -> model.TargetStatus:
    """Return the status that the first row contains after ``skip`` other columns."""
    term, promoter, role, offset, history, upstream, upstream_age = result.rows[0][skip:]
    return model.TargetStatus(
        target=target,
        term=int(term),
        promoter=str(promoter),
        role=model.Role(role),
        offset=int(offset),
        history=codec.from_plain(json.loads(str(history)), tuple[model.TermStart, ...]),
        observed_at=now,
        upstream=str(upstream),
        upstream_age=math.inf if upstream_age is None else float(upstream_age) / 1000,
    )


def _idle_setting(seconds: float) -> str:
    return f"idle_in_transaction_session_timeout={round(seconds * 1000)}"


async def _open_connection(**parameters: Any) -> psycopg.AsyncConnection[Any]:
    """Open a connection within ``CONNECT_TIMEOUT``.

    If psycopg's attempt were cancelled, its socket would stay open until garbage
    collection and would occupy one of the target's few connections. So the attempt
    runs in a task of its own, which is never cancelled.
    """
    attempt = asyncio.create_task(_CancellableConnection.connect(**parameters))
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            return await asyncio.shield(attempt)
    except (asyncio.CancelledError, TimeoutError):
        attempt.add_done_callback(_close_abandoned)
        raise


def _close_abandoned(attempt: asyncio.Task[psycopg.AsyncConnection[Any]]) -> None:
    if attempt.cancelled() or attempt.exception() is not None:
        return
    closing = asyncio.ensure_future(attempt.result().close())
    closing.add_done_callback(lambda done: done.cancelled() or done.exception())


class PostgresqlDriver:
    """Opens connections to targets."""

    def __init__(self, *, user: str, password: str) -> None:
        self._user = user
        self._password = password

    async def connect(self, target: model.Target) -> Connection:
        """Connect to a target.

        Raises:
            TargetError: The target refused or did not answer within the timeout.
        """
        host, _, port = target.address.rpartition(":")
        try:
            connection = await _open_connection(
                hostaddr=host,
                port=int(port),
                user=self._user,
                password=self._password,
                dbname="ggs",
                sslmode="disable",
                autocommit=True,
                cursor_factory=psycopg.AsyncClientCursor,
                connect_timeout=ABANDONED_CONNECT_TIMEOUT,
                options=f"-c {_idle_setting(IDLE_IN_TRANSACTION_LIMIT)}",
            )
        except (psycopg.Error, OSError, TimeoutError) as error:
            raise errors.TargetError(
                f"cannot connect: {str(error).strip() or 'timeout'}",
                step="connect",
                peer=target.name,
                sent=False,
            ) from error
        return Connection(target=target, connection=connection)


def setup(app: application.Application) -> None:
    """Register the PostgreSQL driver."""
    app.add_setting(
        config.Setting(key="target.user", kind=str, default="ggs", doc="User name at targets.")
    )
    app.add_setting(
        config.Setting(
            key="target.password", kind=str, default="system", doc="Password at targets."
        )
    )
    app.add_part(
        "driver",
        "postgresql",
        lambda app: PostgresqlDriver(
            user=app.settings["target.user"], password=app.settings["target.password"]
        ),
    )
