"""Target driver for the PostgreSQL protocol, over psycopg."""

import asyncio
import dataclasses
import json
from collections import abc
from typing import Any

import psycopg

from greengageshunt import application, codec, config, errors, model

CONNECT_TIMEOUT = 1.0  # seconds
STATUS_TIMEOUT = 0.4  # seconds

# Seconds that a cancelled statement has to cancel itself at the target. psycopg
# alone waits up to 10 s for this, which would keep a silent connection in use.
CANCEL_TIME = 0.05

# SQLSTATE class "data exception", for values that were rejected before the sending.
CLIENT_SIDE_REJECTION = "22000"

_STATUS = "SELECT * FROM ggs_status()"


@dataclasses.dataclass(frozen=True, kw_only=True)
class TermVote:
    """Answer of a target to a request to raise its term.

    Attributes:
        accepted: Whether the target accepted the term from this promoter.
        status: Status of the target after the request.
    """

    accepted: bool
    status: model.TargetStatus


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatementResult:
    """Result of one statement.

    Attributes:
        columns: Column names; empty without a result set.
        rows: Rows of column values.
        row_count: Number of rows returned or changed.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[model.Value, ...], ...]
    row_count: int


class Connection:
    """One connection to a target, with the system's own credentials."""

    def __init__(self, *, target: model.Target, raw: psycopg.AsyncConnection[Any]) -> None:
        self._target = target
        self._raw = raw
        self._ending: asyncio.Task[None] | None = None

    @property
    def target(self) -> model.Target:
        """The connected target."""
        return self._target

    async def run(
        self, step: str, sql: str, parameters: abc.Mapping[str, model.Value] | None = None
    ) -> tuple[StatementResult, ...]:
        """Run one simple query and return the result of each of its statements.

        Args:
            step: Step for errors.
            sql: One or more statements, separated by semicolons.
            parameters: Values of ``%(name)s`` placeholders; None without any.

        Raises:
            TargetError: The target rejected a statement or the connection failed.
        """
        statement = asyncio.ensure_future(self._execute(sql, parameters))
        try:
            return await asyncio.shield(statement)
        except asyncio.CancelledError:
            self._ending = asyncio.create_task(_end(statement))
            raise
        except (psycopg.Error, UnicodeError) as error:
            raise self._error(step, error) from error

    async def _execute(
        self, sql: str, parameters: abc.Mapping[str, model.Value] | None
    ) -> tuple[StatementResult, ...]:
        cursor = await self._raw.execute(sql, parameters)
        results = [await self._read(cursor)]
        while cursor.nextset():
            results.append(await self._read(cursor))
        return tuple(results)

    def _error(self, step: str, error: psycopg.Error | UnicodeError) -> errors.TargetError:
        sqlstate = getattr(error, "sqlstate", None) or ""
        rejected_here = not sqlstate and isinstance(
            error, psycopg.ProgrammingError | psycopg.DataError | UnicodeError
        )
        return errors.TargetError(
            str(error).strip(),
            step=step,
            peer=self._target.name,
            sent=not rejected_here,
            code=CLIENT_SIDE_REJECTION if rejected_here else sqlstate,
        )

    async def status(self, now: float) -> model.TargetStatus:
        """Return the status of the target.

        Args:
            now: Monotonic seconds at which the query is sent.

        Raises:
            TargetError: The target did not answer within the timeout.
        """
        (result,) = await self._bounded("status", _STATUS)
        return read_status(self._target.name, result, 0, now)

    async def run_after_status(
        self, step: str, sql: str, parameters: abc.Mapping[str, model.Value], now: float
    ) -> tuple[model.TargetStatus, StatementResult]:
        """Read the status and run one statement, in one round trip.

        Raises:
            TargetError: The target rejected the statement or the connection failed.
        """
        status, statement = await self.run(step, f"{_STATUS}; {sql}", parameters)
        return read_status(self._target.name, status, 0, now), statement

    async def commit(self, now: float) -> model.TargetStatus:
        """Commit the open transaction and read the status, in one round trip.

        Raises:
            TargetError: The target did not commit, or the connection failed, in
                which case the transaction may have committed.
        """
        _, status = await self.run("commit", f"COMMIT; {_STATUS}")
        return read_status(self._target.name, status, 0, now)

    async def raise_term(self, term: int, promoter: str, now: float) -> TermVote:
        """Ask the target to accept a term.

        Raises:
            TargetError: The target did not answer within the timeout.
        """
        sql = "SELECT * FROM ggs_raise_term(%(term)s, %(promoter)s)"
        (result,) = await self._bounded("raise-term", sql, {"term": term, "promoter": promoter})
        return TermVote(
            accepted=bool(result.rows[0][0]),
            status=read_status(self._target.name, result, 1, now),
        )

    async def promote(self, term: int, promoter: str, now: float) -> model.TargetStatus:
        """Make the target the primary of an accepted term.

        Raises:
            TargetError: The target refused or did not answer within the timeout.
        """
        sql = "SELECT * FROM ggs_promote(%(term)s, %(promoter)s)"
        (result,) = await self._bounded("promote", sql, {"term": term, "promoter": promoter})
        return read_status(self._target.name, result, 0, now)

    async def follow(self, term: int, address: str, now: float) -> model.TargetStatus:
        """Make the target a replica of the primary of a term.

        Raises:
            TargetError: The target refused or did not answer within the timeout.
        """
        sql = "SELECT * FROM ggs_follow(%(term)s, %(address)s)"
        (result,) = await self._bounded("follow", sql, {"term": term, "address": address})
        return read_status(self._target.name, result, 0, now)

    async def wait_replicated(self, offset: int, timeout: float) -> int:
        """Wait until a second target has an offset, for a timeout in seconds.

        Returns:
            Highest offset that a second target has.

        Raises:
            TargetError: The connection failed.
        """
        sql = "SELECT * FROM ggs_wait_replicated(%(offset)s, %(timeout)s)"
        parameters = {"offset": offset, "timeout": int(timeout * 1000)}
        (result,) = await self.run("wait-replicated", sql, parameters)
        return int(result.rows[0][0])

    async def close(self) -> None:
        """Close the connection."""
        if self._ending is not None:
            await self._ending
        await self._raw.close()

    async def _bounded(
        self, step: str, sql: str, parameters: abc.Mapping[str, model.Value] | None = None
    ) -> tuple[StatementResult, ...]:
        try:
            async with asyncio.timeout(STATUS_TIMEOUT):
                return await self.run(step, sql, parameters)
        except TimeoutError as error:
            raise errors.TargetError(
                f"no answer within {STATUS_TIMEOUT} s",
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


async def _end(statement: asyncio.Future[Any]) -> None:
    """Cancel a statement until it has let go of its connection."""
    while not statement.done():
        statement.cancel()
        await asyncio.wait({statement}, timeout=CANCEL_TIME)
    if not statement.cancelled():
        statement.exception()


def read_status(target: str, result: StatementResult, skip: int, now: float) -> model.TargetStatus:
    """Return the status that a row contains after ``skip`` other columns."""
    term, promoter, role, offset, history = result.rows[0][skip:]
    return model.TargetStatus(
        target=target,
        term=int(term),
        promoter=str(promoter),
        role=model.Role(role),
        offset=int(offset),
        history=codec.from_plain(json.loads(str(history)), tuple[model.TermStart, ...]),
        observed_at=now,
    )


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
            async with asyncio.timeout(CONNECT_TIMEOUT):
                raw = await psycopg.AsyncConnection.connect(
                    hostaddr=host,
                    port=int(port),
                    user=self._user,
                    password=self._password,
                    dbname="ggs",
                    sslmode="disable",
                    autocommit=True,
                    cursor_factory=psycopg.AsyncClientCursor,
                )
        except (psycopg.Error, OSError, TimeoutError) as error:
            raise errors.TargetError(
                f"cannot connect: {str(error).strip() or 'timeout'}",
                step="connect",
                peer=target.name,
                sent=False,
            ) from error
        return Connection(target=target, raw=raw)


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
