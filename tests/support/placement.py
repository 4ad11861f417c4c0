"""Finds the entry VM that owns the primary of a fleet's first group."""

import asyncio
import uuid

from greengageshunt.membership import ownership
from greengageshunt.standins import fleet as fleet_module
from greengageshunt.standins import layout
from support import callers, database

POLL_INTERVAL = 0.05  # seconds
AGREEMENT_TIMEOUT = 10.0  # seconds


def owner_of_primary(fleet: fleet_module.Fleet) -> layout.EntryVm:
    """Return the entry VM that owns the primary when all entry VMs are live."""
    group = fleet.layout.groups[0]
    members = tuple(vm.member for vm in fleet.layout.vms)
    owner = ownership.owner(group.target(group.primary), members)
    return next(vm for vm in fleet.layout.vms if vm.member == owner)


async def wait_agreed(fleet: fleet_module.Fleet, key: str, route: str = "booking.list") -> None:
    """Wait until all proxies route the primary's requests to its expected owner."""
    expected = owner_of_primary(fleet).member.vm
    caller = callers.Caller(session=fleet.session, key=key)
    async with asyncio.timeout(AGREEMENT_TIMEOUT):
        for vm in fleet.layout.vms:
            owner = await _owner(fleet, caller, vm, route)
            while owner != expected:
                await asyncio.sleep(POLL_INTERVAL)
                owner = await _owner(fleet, caller, vm, route)


async def _owner(
    fleet: fleet_module.Fleet, caller: callers.Caller, vm: layout.EntryVm, route: str
) -> str:
    request = f"placement-{uuid.uuid4().hex}"
    reply = await caller.call(vm.http_address, route, request_id=request)
    if reply.status != 200:
        return ""
    return (await database.route_line(fleet, vm.member.vm, request))["owner"]
