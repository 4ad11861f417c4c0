"""An entry VM that returns after it was cut off from the store and from all other entry VMs."""

import asyncio
import json

from greengageshunt.standins import memory
from support import store_fleet

CUT_SECONDS = 12.0


async def _removed_after_a_cut() -> list[tuple[str, str]]:
    """Cut off one entry VM after the other; return who was marked as removed while who returned."""
    fleet = store_fleet.Fleet(size=8, domains=("a", "b", "c"), sparse=False)
    removed: list[tuple[str, str]] = []
    put, returned = fleet.store.put, ""

    def record(key, value, etag):
        if key.startswith("members/") and value["removed"]:
            removed.append((value["vm"], returned))
        return put(key, value, etag)

    fleet.store.put = record
    for member in fleet.listed:
        fleet.start(member)
    await asyncio.sleep(5.0)
    for member in fleet.listed:
        returned = member.vm
        vm = fleet.cut(member.vm)
        await asyncio.sleep(CUT_SECONDS)
        fleet.running[member.vm] = vm
        vm.client.cut = False
        vm.members.replace(vm.members.members)
        await asyncio.sleep(10.0)
        assert fleet.registered() == len(fleet.listed)
    rows = {key: json.loads(row.value) for key, row in fleet.store.rows.items()}
    assert not any(value["removed"] for value in rows.values())
    await fleet.stop()
    return removed


def test_entry_vm_that_returns_from_a_cut_removes_nobody():
    """Guards against a fleet without leases since one entry VM heard nobody during its own cut."""
    removed = memory.run(_removed_after_a_cut())
    assert {vm for vm, _ in removed} and all(vm == returned for vm, returned in removed)
