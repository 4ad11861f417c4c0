"""Time limits of idle transactions."""

import asyncio

import pytest

from greengageshunt import errors, model
from greengageshunt.drivers import postgresql
from greengageshunt.standins import fleet, session, target

# Longest permitted wait for the locks of a paused owner: a gap in writes may last 2.5 s, of
# which 0.75 s pass until a peer counts as dead.
MAX_LOCK_WAIT_SECONDS = 2.5 - 0.75

SCHEMA = ("CREATE TABLE IF NOT EXISTS bookings (id INTEGER PRIMARY KEY, item TEXT)",)


@pytest.fixture
async def primary(tmp_path):
    """Serve one primary and return its target record."""
    port = fleet.free_base_port(1)
    standin = target.TargetStandin(
        name="a",
        store=target.open_storage(tmp_path, "a", SCHEMA),
        limits=target.Limits(slots=2, connections=15, connect_time=0.0, service_time=0.0),
        password="system",
    )
    standin.raise_term(1, "initial")
    standin.promote(1, "initial")
    server = await asyncio.start_server(
        lambda reader, writer: session.serve_client(standin, reader, writer), "127.0.0.1", port
    )
    address = f"127.0.0.1:{port}"
    yield model.Target(
        name="a",
        failure_domain="klang",
        address=address,
        replication_address=address,
        connection_limit=15,
        slots=2,
    )
    server.close()


async def test_paused_owner_does_not_keep_its_locks(primary):
    """Guards against a paused owner whose open transaction blocks writes of the next owner."""
    driver = postgresql.PostgresqlDriver(user="ggs", password="system")
    paused, next_owner = await driver.connect(primary), await driver.connect(primary)
    await paused.run("write", "BEGIN; INSERT INTO bookings VALUES (1, 'a')")

    async with asyncio.timeout(MAX_LOCK_WAIT_SECONDS):
        await next_owner.run("write", "INSERT INTO bookings VALUES (2, 'b')")

    with pytest.raises(errors.TargetError):
        await paused.run("commit", "COMMIT")
    (rows,) = await next_owner.run("read", "SELECT id FROM bookings")
    assert rows.rows == ((2,),)


async def test_open_transaction_may_be_idle_for_its_own_limit(primary):
    """Guards against the rollback of a caller's transaction that pauses between statements."""
    driver = postgresql.PostgresqlDriver(user="ggs", password="system")
    connection = await driver.connect(primary)
    await connection.begin(3 * postgresql.IDLE_IN_TRANSACTION_LIMIT)
    await connection.run("write", "INSERT INTO bookings VALUES (1, 'a')")
    await asyncio.sleep(1.5 * postgresql.IDLE_IN_TRANSACTION_LIMIT)
    await connection.commit(0.0)
    (rows,) = await connection.run("read", "SELECT id FROM bookings")
    assert rows.rows == ((1,),)
