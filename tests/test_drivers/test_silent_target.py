"""Time-outs of the target driver for a target that stops responding."""

import asyncio
import signal

import pytest

from greengageshunt import errors
from greengageshunt.drivers import postgresql
from greengageshunt.standins import fleet as fleet_module
from greengageshunt.standins import layout
from support import configurations

STATUS_BOUND = 1.0  # seconds within which a status query to a stopped target must fail


async def test_status_of_a_stopped_target_ends_in_time(tmp_path):
    """Guards against a status query whose cancellation waits for the unresponsive target."""
    base_port = fleet_module.free_base_port(layout.ports_needed(layout.SMALL))
    fleet = fleet_module.Fleet(
        layout=layout.build(layout.SMALL, base_port),
        directory=tmp_path,
        schema=configurations.SCHEMA,
    )
    group = fleet.layout.groups[0]
    target = group.targets[0]
    driver = postgresql.PostgresqlDriver(user="ggs", password="system")
    try:
        fleet.start_target(group, target)
        async with asyncio.timeout(10.0):
            while True:
                try:
                    connection = await driver.connect(target)
                    break
                except errors.TargetError:
                    await asyncio.sleep(0.05)
        fleet.signal(target.name, signal.SIGSTOP)
        with pytest.raises(errors.TargetError, match="no answer"):
            async with asyncio.timeout(STATUS_BOUND):
                await connection.status(0.0)
    finally:
        await fleet.stop()
