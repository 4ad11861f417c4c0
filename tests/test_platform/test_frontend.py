"""The front end of callers in one process, with sessions that need no targets."""

import asyncio
import contextlib
import socket
import time
import types

import pytest
from returns import result

from greengageshunt import application, config
from greengageshunt.platform import frontend
from greengageshunt.pooling import statements
from support import entry_fleet

# Bytes of an answer that the socket of a caller who does not read takes in part. The transport
# buffers the rest without making its writer wait.
ANSWER_SIZE = 50_000
SEND_BUFFER = 4096

GRACE = 8.0  # seconds from SIGTERM until the platform kills the entry VM


# Seconds that a statement takes. It begins before the stop and ends while sessions are closed.
STATEMENT_SECONDS = frontend.ROTATION_DELAY + 0.2


class _Session:
    """A session that answers each statement with one long row."""

    state = statements.TransactionState.NONE
    holds_connection = False

    async def run_statement(self, statement, received_at):
        await asyncio.sleep(STATEMENT_SECONDS)
        return statements.CallerAnswer(rows=(b"ROW " + b"x" * ANSWER_SIZE,), signature="signature")

    async def close(self):
        pass


@pytest.fixture
async def app():
    """An application with the parts that the front end uses."""
    app = application.Application(name="test", clock=time.monotonic)
    sessions = types.SimpleNamespace(
        open=lambda database, key: result.Success(_Session()), idle_transaction_limit=0.0
    )
    parts = {
        ("pooling", "sessions"): sessions,
        ("coordination", "isolation"): types.SimpleNamespace(isolated_seconds=lambda now: 0.0),
        ("membership", "view"): types.SimpleNamespace(own_interval_factor=1.0),
        ("frontend", "readiness"): types.SimpleNamespace(consecutive_unready_responses=0),
    }
    for (role, name), part in parts.items():
        app.add_part(role, name, lambda app, part=part: part)
    app.configure(
        config.Settings(
            values={
                "sessions.address": f"127.0.0.1:{entry_fleet.free_port()}",
                "stop.grace": GRACE,
            },
            source="test",
        )
    )
    return app


@contextlib.asynccontextmanager
async def _running(app):
    started = frontend.LineFrontend(app=app)
    task = asyncio.create_task(started.run())
    while not started.listening:  # noqa: ASYNC110 - the front end has no event for its start
        await asyncio.sleep(0.01)
    try:
        yield started
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def test_stop_waits_until_the_last_answer_is_sent(app, monkeypatch):
    """Guards against a stop that ends while a slow caller has received half of its answer."""
    start_server = asyncio.start_server

    async def start_with_small_buffer(*args, **options):
        server = await start_server(*args, **options)
        for listener in server.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        return server

    monkeypatch.setattr(asyncio, "start_server", start_with_small_buffer)
    async with _running(app) as started:
        host, _, port = app.settings["sessions.address"].rpartition(":")
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SEND_BUFFER)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=client, limit=2 * ANSWER_SIZE)
        with contextlib.closing(writer):
            writer.write(b"STARTUP database key\r\n")
            assert await reader.readline() == b"READY I -\r\n"
            writer.transport.pause_reading()
            writer.write(b"QUERY 1 READ item\r\n")
            app.request_stop()
            stopping = asyncio.create_task(started.stop())
            # Longer than the stop takes with a caller who has read the answer.
            await asyncio.sleep(STATEMENT_SECONDS + 1.5)
            assert not stopping.done()
            writer.transport.resume_reading()
            lines = [await reader.readline() for _ in range(3)]
            assert lines[1:] == [b"COMPLETE signature\r\n", b"READY I -\r\n"]
            await asyncio.wait_for(stopping, GRACE)


async def test_address_that_becomes_available_during_a_stop_is_not_used(app):
    """Guards against sessions that are accepted after a stop has ended, and are cut by the exit."""
    address = app.settings["sessions.address"]
    host, _, port = address.rpartition(":")
    started = frontend.LineFrontend(app=app)
    with socket.socket() as taken:
        taken.bind((host, int(port)))
        taken.listen()
        task = asyncio.create_task(started.run())
        await asyncio.sleep(0.1)
        app.request_stop()
        await started.stop()
    await asyncio.wait_for(task, 2.0)
    assert not started.listening
