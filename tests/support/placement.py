"""Where a fleet places the work of its first group."""

import asyncio
import uuid

from greengageshunt.membership import ownership
from greengageshunt.standins import fleet as fleet_module
from greengageshunt.standins import layout
from support import callers, database

SETTLE = 0.05  # seconds between tries
DEADLINE = 10.0  # seconds


def owner_of_primary(fleet: fleet_module.Fleet) -> layout.EntryVm:
    """Return the entry VM that owns the primary when all entry VMs are live."""
    group = fleet.layout.groups[0]
    members = tuple(vm.member for vm in fleet.layout.vms)
    owner = ownership.owner(group.target(group.primary), members)
    return next(vm for vm in fleet.layout.vms if vm.member == owner)


async def wait_agreed(fleet: fleet_module.Fleet, key: str, route: str = "booking.list") -> None:
    """Wait until all proxies send the primary's work to the same, expected owner."""
    expected = owner_of_primary(fleet).member.vm
    caller = callers.Caller(session=fleet.session, key=key)
    async with asyncio.timeout(DEADLINE):
        for vm in fleet.layout.vms:
            owner = await _owner(fleet, caller, vm, route)
            while owner != expected:
                await asyncio.sleep(SETTLE)
                owner = await _owner(fleet, caller, vm, route)


async def _owner(
    fleet: fleet_module.Fleet, caller: callers.Caller, vm: layout.EntryVm, route: str
) -> str:
    request = f"placement-{uuid.uuid4().hex}"
    reply = await caller.call(vm.http_address, route, request_id=request)
    if reply.status != 200:
        return ""
    return (await database.route_line(fleet, vm.member.vm, request))["owner"]
