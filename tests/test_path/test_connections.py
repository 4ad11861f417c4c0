"""Number of connections that an idle fleet has open to its targets."""

import asyncio

from greengageshunt.proxy import pool
from support import callers, configurations

DEADLINE = 10.0  # seconds
POLL_INTERVAL = 0.1  # seconds between reads of the number of connections

WATCHER_CONNECTIONS = 3  # connections for the status checks of the failover daemons
OWNER_CONNECTIONS = 2  # connections for the checks by the target's owner and the primary's owner


async def test_replicas_have_no_connection_that_watches_replication(start_fleet):
    """Guards against a replication watch at each target.

    With it, the connections of the fleet would exceed the limit of 15 for each target.
    """
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    caller = callers.Caller(session=fleet.session, key=prepared.keys["account-1"])
    await caller.call(fleet.layout.vms[0].http_address, "booking.place", item="pot")
    (group,) = fleet.layout.groups
    size = pool.pool_size(fleet.layout.profile.connections)

    async def connections(target: str) -> int:
        return (await fleet.target_state(target))["connections"]

    replicas = [target.name for target in group.targets if target.name != group.primary]
    for name in replicas:
        async with asyncio.timeout(DEADLINE):
            opened = await connections(name)
            while opened < size + WATCHER_CONNECTIONS:
                await asyncio.sleep(POLL_INTERVAL)
                opened = await connections(name)
        assert opened <= size + WATCHER_CONNECTIONS + OWNER_CONNECTIONS
