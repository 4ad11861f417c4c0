"""Front end for callers that speak the line protocol: one task for each connection."""

import asyncio
import logging

from returns import result

from greengageshunt import application, config
from greengageshunt.platform import wire
from greengageshunt.pooling import host as host_module
from greengageshunt.pooling import session as session_module
from greengageshunt.pooling import statements

logger = logging.getLogger(__name__)

STARTUP_TIMEOUT = 5.0  # seconds

BACKLOG = 1024  # connections

# Seconds after SIGTERM until the balancer sends no new connections: two questions a
# second apart, and the time for the second one.
ROTATION_DELAY = 2.3

# Refusals after which the balancer sends no new connections.
ROTATION_REFUSALS = 2

# Seconds between looks at sessions that may be closed.
CLOSE_INTERVAL = 0.05

ISOLATION_INTERVAL = 0.25  # seconds between looks at whether this entry VM is cut off

# Part of the grace for which open transactions may go on.
TRANSACTION_SHARE = 0.5

# Seconds before the end of the grace at which all sessions are closed.
CLOSE_MARGIN = 0.8


class _Client:
    """One connection of a caller."""

    def __init__(self, *, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.session: session_module.Session | None = None
        self.waiting = False

    def close_if_idle(self) -> None:
        """Close the connection if no statement is on its way and no transaction is open."""
        if self.waiting and (
            self.session is None or self.session.state is statements.TransactionState.NONE
        ):
            self.writer.close()


class LineFrontend:
    """Accepts callers and hands their statements to sessions."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._host: host_module.SessionHost = app.part("pooling", "sessions")
        self._grace = app.settings["stop.grace"]
        self._clients: set[_Client] = set()
        self._closing = False

    @property
    def connections(self) -> int:
        """Number of callers' connections."""
        return len(self._clients)

    async def run(self) -> None:
        """Accept callers until cancelled."""
        host, _, port = self._app.settings["sessions.address"].rpartition(":")
        server = await asyncio.start_server(
            self._serve, host, int(port), limit=wire.LINE_LIMIT, backlog=BACKLOG
        )
        async with server, asyncio.TaskGroup() as group:
            group.create_task(server.serve_forever())
            group.create_task(self._leave_callers())

    async def _leave_callers(self) -> None:
        """Close idle sessions while this entry VM is cut off; they open again elsewhere.

        The balancer sends them to other failure domains once it has seen that this
        entry VM is not ready.
        """
        isolation = self._app.part("coordination", "isolation")
        members = self._app.part("membership", "view")
        readiness = self._app.part("frontend", "readiness")
        while True:
            isolated_seconds = isolation.isolated_seconds(self._app.clock())
            rotated = readiness.refusals >= ROTATION_REFUSALS or isolated_seconds > ROTATION_DELAY
            if isolated_seconds and rotated:
                for client in tuple(self._clients):
                    client.close_if_idle()
            await asyncio.sleep(ISOLATION_INTERVAL * members.own_interval_factor)

    async def stop(self) -> None:
        """Let operations end, and close the sessions between them."""
        # The steps before this one may have waited for peers that do not answer.
        started_at = self._app.stop_requested_at
        await asyncio.sleep(max(0.0, started_at + ROTATION_DELAY - self._app.clock()))
        self._closing = True
        end = started_at + self._grace - CLOSE_MARGIN
        transactions_end = started_at + self._grace * TRANSACTION_SHARE
        while self._clients and self._app.clock() < end:
            for client in tuple(self._clients):
                client.close_if_idle()
            if self._app.clock() > transactions_end:
                await self._abort_idle_transactions()
            await asyncio.sleep(CLOSE_INTERVAL)
        logger.info("sessions closed", extra={"cut": len(self._clients)})
        for client in tuple(self._clients):
            client.writer.close()

    async def _abort_idle_transactions(self) -> None:
        for client in tuple(self._clients):
            if client.waiting and client.session is not None:
                if client.session.state is statements.TransactionState.OPEN:
                    await client.session.abort_transaction("the entry VM stops")
                client.writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        client = _Client(writer=writer)
        self._clients.add(client)
        try:
            session = await self._open(reader, writer)
            if session is not None:
                client.session = session
                await self._converse(client, session, reader)
        except (OSError, TimeoutError, ValueError, wire.WireError) as error:
            logger.debug("caller left", extra={"reason": str(error) or type(error).__name__})
        finally:
            self._clients.discard(client)
            if client.session is not None:
                await client.session.close()
            writer.close()

    async def _open(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> session_module.Session | None:
        async with asyncio.timeout(STARTUP_TIMEOUT):
            database, key = wire.decode_startup(await reader.readline())
        opened = self._host.open(database, key)
        if isinstance(opened, result.Failure):
            refused = opened.failure()
            writer.write(wire.encode_error(refused.code, refused.message))
            await writer.drain()
            return None
        writer.write(wire.encode_ready(statements.TransactionState.NONE))
        await writer.drain()
        return opened.unwrap()

    async def _converse(
        self,
        client: _Client,
        session: session_module.Session,
        reader: asyncio.StreamReader,
    ) -> None:
        while True:
            client.waiting = True
            line = await self._next_line(session, reader)
            client.waiting = False
            if not line:
                return
            statement = wire.decode_query(line)
            if statement is None:
                return
            answer = await session.run_statement(statement, self._app.clock())
            client.writer.write(wire.encode_answer(answer))
            await client.writer.drain()
            if self._closing and session.state is statements.TransactionState.NONE:
                return

    async def _next_line(
        self, session: session_module.Session, reader: asyncio.StreamReader
    ) -> bytes:
        """Return the next line; an idle transaction gives its connection back in between."""
        limit = self._host.idle_transaction_limit
        if session.holds_connection and limit > 0:
            try:
                async with asyncio.timeout(limit):
                    return await reader.readline()
            except TimeoutError:
                await session.abort_transaction("the transaction was idle")
        return await reader.readline()


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
