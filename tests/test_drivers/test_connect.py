"""Cancelled attempts to connect to a target."""

import asyncio
import gc

import pytest

from greengageshunt import model
from greengageshunt.drivers import postgresql
from greengageshunt.standins import fleet, session, target


async def _wait_for_connections(standin: target.TargetStandin, connections: int) -> None:
    async with asyncio.timeout(10):
        while True:
            if standin.connections == connections:
                return
            await asyncio.sleep(0.01)


@pytest.fixture
def no_garbage_collection():
    """Prevent the garbage collector from closing sockets that the code leaves open."""
    gc.disable()
    yield
    gc.enable()


async def test_cancelled_attempt_leaves_no_connection(tmp_path, no_garbage_collection):
    """Guards against a former owner whose cancelled attempts occupy a target's connections."""
    port = fleet.free_base_port(1)
    standin = target.TargetStandin(
        name="a",
        store=target.open_storage(tmp_path, "a", ()),
        limits=target.Limits(slots=1, connections=15, connect_time=0.1, service_time=0.0),
        password="system",
    )
    server = await asyncio.start_server(
        lambda reader, writer: session.serve_client(standin, reader, writer), "127.0.0.1", port
    )
    address = f"127.0.0.1:{port}"
    server_target = model.Target(
        name="a",
        failure_domain="klang",
        address=address,
        replication_address=address,
        connection_limit=15,
        slots=1,
    )
    driver = postgresql.PostgresqlDriver(user="ggs", password="system")
    attempts = [asyncio.create_task(driver.connect(server_target)) for _ in range(8)]
    await _wait_for_connections(standin, len(attempts))
    for attempt in attempts:
        attempt.cancel()
    await asyncio.gather(*attempts, return_exceptions=True)

    await _wait_for_connections(standin, 0)
    server.close()
