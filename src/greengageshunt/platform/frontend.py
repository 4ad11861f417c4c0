"""Front end for callers that use the line protocol: one task for each connection."""

import asyncio
import contextlib
import logging

from returns import result

from greengageshunt import application, config, listening, logs
from greengageshunt.platform import framing, wire
from greengageshunt.pooling import host as host_module
from greengageshunt.pooling import session as session_module
from greengageshunt.pooling import statements

logger = logging.getLogger(__name__)

STARTUP_TIMEOUT = 5.0  # seconds from the accepted connection to its STARTUP line

BACKLOG = 1024  # connections that the kernel queues until they are accepted

# Seconds from SIGTERM, or from the start of an isolation, until the balancer sends no new
# connections. It needs two failed health checks a second apart, and the time for the second.
# If sessions are closed earlier, it may send their callers to this entry VM again.
ROTATION_DELAY = 2.3

# Consecutive failed health checks after which the balancer sends no new connections.
ROTATION_UNREADY_RESPONSES = 2

# Seconds between checks, during a stop, for connections that can be closed.
CLOSE_INTERVAL = 0.05

# Seconds between checks for isolation. On an entry VM that is not a hub, they are multiplied
# by the interval factor of its periodic work.
ISOLATION_INTERVAL = 0.25

# Fraction of the grace period in which new connections are accepted although the balancer should
# send none. It does so while most entry VMs of a failure domain are out of rotation.
ACCEPT_GRACE_FRACTION = 0.5

# Fraction of the grace period in which open transactions may continue.
TRANSACTION_GRACE_FRACTION = 0.5

# Seconds before the end of the grace period at which all connections are closed. The process
# needs the rest to exit before it is killed.
CLOSE_MARGIN = 0.8

# Seconds for which a session must have been idle before its end is announced. A caller sends its
# first statement as soon as its session is open, so one may be on the way.
MIN_IDLE = 0.25

# Seconds from the announcement of a session's end until its connection is closed, if the caller
# has not closed it. Covers a round trip to a caller whose next statement is on the way.
ANNOUNCED_CLOSE_DELAY = 1.0

# Seconds for the last answers to be sent once all connections are closed.
FLUSH_TIMEOUT = 0.1

# Seconds for which further bytes of a caller are read after an invalid message.
DISCARD_TIMEOUT = 1.0

# Line that announces the end of a session. A caller that is idle closes the session when it reads
# the line. For one whose next statement is on the way, it is the answer: the statement doesn't run.
_ANNOUNCEMENT = wire.encode_error(statements.Code.BUSY, "this entry VM ends the session; not run")


class _CallerConnection:
    """One connection of a caller, and its session once it is open."""

    def __init__(self, *, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.session: session_module.Session | None = None
        self.idle_since: float | None = None
        self.runs_statement = False
        self._end_announced = False
        self._announcement_answers_next = False

    @property
    def end_announced(self) -> bool:
        """Whether the caller was told that the session ends, so that no statement runs any more."""
        return self._end_announced

    @property
    def _state(self) -> statements.TransactionState:
        if self.session is None:
            return statements.TransactionState.NONE
        return self.session.state

    def announce_end_if_idle(self, now: float) -> None:
        """Announce the end of the session if it has been idle for a while outside a transaction.

        Args:
            now: Monotonic seconds.
        """
        if self.idle_since is None or now - self.idle_since < MIN_IDLE:
            return
        if self._state is statements.TransactionState.NONE:
            self.announce_end()

    def announce_end(self) -> None:
        """Announce the end of the session to a caller that awaits no answer.

        The connection is closed later. If it were closed at once, a statement that is on the way
        would get no answer, and the caller of a write could not tell whether it ran.
        """
        if self._end_announced:
            return
        self._end_announced = self._announcement_answers_next = True
        self.writer.write(_ANNOUNCEMENT)
        asyncio.get_running_loop().call_later(ANNOUNCED_CLOSE_DELAY, self.writer.close)

    def refuse_after_announcement(self) -> None:
        """Answer a statement that arrived after the announcement; it does not run."""
        if not self._announcement_answers_next:
            self.writer.write(_ANNOUNCEMENT)
        self._announcement_answers_next = False
        self.writer.write(wire.encode_ready(self._state))

    def close(self) -> None:
        """Close the connection; a statement in progress is answered with an unknown outcome."""
        if self.runs_statement:
            self.runs_statement = False
            code, message = statements.Code.INDOUBT, "the entry VM stops before the answer"
            self.writer.write(wire.encode_error(code, message))
            self.writer.write(wire.encode_ready(statements.TransactionState.NONE))
        self.writer.close()


async def _end_invalid(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, reason: str
) -> None:
    """Tell a caller why its connection ends, and discard what else it has sent.

    If unread bytes were left, the kernel would reset the connection, and the caller might not
    receive the error.
    """
    writer.write(wire.encode_error(statements.Code.MALFORMED, reason))
    writer.write_eof()
    async with asyncio.timeout(DISCARD_TIMEOUT):
        while await reader.read(framing.LINE_LIMIT):
            pass


class LineFrontend:
    """Accepts connections of callers and runs their statements in sessions."""

    restartable = True

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._host: host_module.SessionHost = app.part("pooling", "sessions")
        self._grace_period = app.settings["stop.grace"]
        self._connections: set[_CallerConnection] = set()
        self._closing = False
        self._intake_ended = False
        self._server: asyncio.Server | None = None

    @property
    def listening(self) -> bool:
        """Whether callers can connect."""
        return self._server is not None

    @property
    def open_connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._connections)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        address = self._app.settings["sessions.address"]
        host, _, port = address.rpartition(":")
        server = await listening.listen(
            "sessions",
            address,
            lambda: asyncio.start_server(
                self._serve, host, int(port), limit=framing.LINE_LIMIT, backlog=BACKLOG
            ),
        )
        if self._intake_ended:
            # The address became available only after the stop had ended the intake.
            server.close()
            return
        try:
            async with server, asyncio.TaskGroup() as group:
                self._server = server
                group.create_task(server.serve_forever())
                group.create_task(self._close_while_isolated())
        finally:
            self._server = None

    async def _close_while_isolated(self) -> None:
        """Close idle sessions while this entry VM is isolated, so that callers reconnect.

        It closes them only once the balancer has taken this entry VM out of rotation, and
        sends the new connections to other failure domains.
        """
        isolation = self._app.part("coordination", "isolation")
        members = self._app.part("membership", "view")
        readiness = self._app.part("frontend", "readiness")
        while True:
            isolated_seconds = isolation.isolated_seconds(self._app.clock())
            out_of_rotation = (
                readiness.consecutive_unready_responses >= ROTATION_UNREADY_RESPONSES
                or isolated_seconds > ROTATION_DELAY
            )
            if isolated_seconds and out_of_rotation:
                for connection in tuple(self._connections):
                    connection.announce_end_if_idle(self._app.clock())
            await asyncio.sleep(ISOLATION_INTERVAL * members.own_interval_factor)

    async def stop(self) -> None:
        """Let statements and transactions end, and close each connection once it is idle."""
        # All times count from the request to stop, since earlier steps of the stop may
        # have waited for peers that did not answer.
        started_at = self._app.stop_requested_at
        await asyncio.sleep(max(0.0, started_at + ROTATION_DELAY - self._app.clock()))
        self._closing = True
        close_all_at = started_at + self._grace_period - CLOSE_MARGIN
        accept_until = started_at + self._grace_period * ACCEPT_GRACE_FRACTION
        transaction_deadline = started_at + self._grace_period * TRANSACTION_GRACE_FRACTION
        # A connection may be accepted at any moment before the listener closes, so the check for
        # open ones that ends the stop comes after that.
        while (self.listening or self._connections) and self._app.clock() < close_all_at:
            if not self._connections or self._app.clock() >= accept_until:
                self._stop_listening()
            for connection in tuple(self._connections):
                connection.announce_end_if_idle(self._app.clock())
            if self._app.clock() > transaction_deadline:
                await self._abort_idle_transactions()
            await asyncio.sleep(CLOSE_INTERVAL)
        self._stop_listening()
        logger.info("sessions closed", extra={"cut": len(self._connections)})
        if self._connections:
            for connection in tuple(self._connections):
                connection.close()
            await asyncio.sleep(FLUSH_TIMEOUT)

    def _stop_listening(self) -> None:
        self._intake_ended = True
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _abort_idle_transactions(self) -> None:
        for connection in tuple(self._connections):
            session = connection.session
            if connection.idle_since is None or session is None or connection.end_announced:
                continue
            if session.state is not statements.TransactionState.NONE:
                # The announcement comes first: a statement may arrive during the roll-back.
                connection.announce_end()
                await session.abort_transaction("the entry VM is stopping")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _CallerConnection(writer=writer)
        self._connections.add(connection)
        try:
            session = await self._open_session(reader, writer)
            if session is not None:
                connection.session = session
                await self._run_statements(connection, session, reader)
        except framing.WireError as error:
            logger.debug("caller sent an invalid message", extra={"reason": str(error)})
            if connection.session is not None:
                await connection.session.close()
            with contextlib.suppress(OSError, TimeoutError):
                await _end_invalid(reader, writer, str(error))
        except (OSError, TimeoutError) as error:
            logger.debug(
                "caller connection failed", extra={"reason": str(error) or type(error).__name__}
            )
        finally:
            if connection.session is not None:
                await connection.session.close()
            writer.close()
            # The stop waits for this connection until the caller has received the last answer.
            with contextlib.suppress(OSError):
                await writer.wait_closed()
            self._connections.discard(connection)

    async def _open_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> session_module.Session | None:
        async with asyncio.timeout(STARTUP_TIMEOUT):
            line = await framing.read_line(reader)
        if line is None:
            return None
        database, key = wire.decode_startup(line)
        opened = self._host.open(database, key)
        if isinstance(opened, result.Failure):
            refusal = opened.failure()
            writer.write(wire.encode_error(refusal.code, refusal.message))
            await writer.drain()
            return None
        writer.write(wire.encode_ready(statements.TransactionState.NONE))
        await writer.drain()
        return opened.unwrap()

    async def _run_statements(
        self,
        connection: _CallerConnection,
        session: session_module.Session,
        reader: asyncio.StreamReader,
    ) -> None:
        while True:
            connection.idle_since = self._app.clock()
            line = await self._read_line(session, reader)
            connection.idle_since = None
            if line is None:
                return
            statement = wire.decode_query(line)
            if statement is None:
                return
            if connection.end_announced:
                logs.log_decision(
                    logger,
                    "session-ended",
                    level=logging.WARNING,
                    request=statement.id,
                    statement=statement.kind.value,
                    outcome="BUSY",
                )
                connection.refuse_after_announcement()
                await connection.writer.drain()
                continue
            connection.runs_statement = True
            answer = await session.run_statement(statement, self._app.clock())
            if not connection.runs_statement:
                return  # the stop has answered it
            connection.runs_statement = False
            connection.writer.write(wire.encode_answer(answer))
            await connection.writer.drain()
            if self._closing and session.state is statements.TransactionState.NONE:
                connection.announce_end()

    async def _read_line(
        self, session: session_module.Session, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Return the next line, or None at the end of the connection.

        A transaction that is idle for longer than the limit is aborted meanwhile, which
        releases its connection to the target.
        """
        limit = self._host.idle_transaction_limit
        if session.holds_connection and limit > 0:
            try:
                async with asyncio.timeout(limit):
                    return await framing.read_line(reader)
            except TimeoutError:
                await session.abort_transaction(
                    "the transaction was idle for longer than its limit"
                )
        return await framing.read_line(reader)


def setup(app: application.Application) -> None:
    """Register the front end."""
    app.add_setting(
        config.Setting(
            key="sessions.address",
            kind=str,
            doc="Address on which callers open sessions.",
            check=config.is_address,
        )
    )
    app.add_setting(
        config.Setting(
            key="stop.grace",
            kind=float,
            default=20.0,
            doc="Seconds from SIGTERM until the process is killed.",
            check=config.is_positive,
        )
    )
    app.add_part("frontend", "lines", lambda app: LineFrontend(app=app))
    app.add_part("service", "sessions", lambda app: app.part("frontend", "lines"))
