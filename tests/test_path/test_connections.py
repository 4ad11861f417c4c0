"""Connections that an idle fleet keeps at its targets."""

import asyncio

from greengageshunt.proxy import pool
from support import callers, configurations

DEADLINE = 10.0  # seconds
SETTLE = 0.1  # seconds between looks

WATCHERS = 3  # status checks of failover daemons
OWNER_CHECKS = 2  # status checks of the target's owner and of the primary's owner


async def test_replicas_keep_no_replication_watch(start_fleet):
    """Guards against a watch at each target, for which the limit of 15 has no room."""
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
            while opened < size + WATCHERS:
                await asyncio.sleep(SETTLE)
                opened = await connections(name)
        assert opened <= size + WATCHERS + OWNER_CHECKS
