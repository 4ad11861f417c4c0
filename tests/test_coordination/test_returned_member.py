"""Entry VMs that are cut off from others, from the store or both, and the rows of removed ones."""

import asyncio
import collections
import json

import pytest

from greengageshunt.coordination import members
from greengageshunt.membership import ownership
from greengageshunt.standins import memory
from support import primary_world, store_fleet

CUT_SECONDS = 12.0

# Seconds within which a crashed primary is replaced: 6.15 s for the leases of those behind the cut,
# and as much again if one of them began the change.
CHANGE_BOUND = 16.0


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


async def _change_beside_a_partition(seconds: float, size: int) -> tuple[primary_world.World, int]:
    """Cut entry VMs off from the others but not from the store, and let the primary crash.

    Args:
        seconds: Seconds from the cut to the crash.
        size: Number of entry VMs that are cut off, each from all others.

    Returns:
        The world, and the largest number of times that one entry VM was marked as removed.
    """
    world = primary_world.World()
    await world.start()
    marks: collections.Counter[str] = collections.Counter()
    put = world.store.put

    def record_put(key, value, etag):
        if key.startswith("members/") and value["removed"]:
            marks[key] += 1
        return put(key, value, etag)

    world.store.put = record_put
    ranked = ownership.rank(primary_world.GROUP, world.fleet.listed)
    world.fleet.partitioned.update(member.vm for member in ranked[-size:])
    await asyncio.sleep(seconds)
    world.platform.down.add("t-1")
    await asyncio.sleep(CHANGE_BOUND)
    await world.stop()
    return world, max(marks.values())


def test_entry_vm_that_only_the_store_reaches_is_not_removed_again_at_once():
    """Guards against a mark at each check, since the silence of before a mark went on."""
    world, marks = memory.run(_change_beside_a_partition(8.0, 1))
    assert marks <= 1 + (8.0 + CHANGE_BOUND) // members.REMOVE_AFTER
    assert not world.former_primaries


@pytest.mark.parametrize("seconds", [2.0, 8.0, 9.5, 10.0, 18.0])
@pytest.mark.parametrize("size", [1, 2])
def test_primary_is_replaced_beside_entry_vms_that_only_the_store_reaches(seconds, size):
    """Guards against two holders that take over each other's change until the partition ends.

    Each side sees the other as dead. The change must wait for the leases of those that it cannot
    recall, also while their rows are marked as removed.
    """
    world, _ = memory.run(_change_beside_a_partition(seconds, size))
    assert world.platform.replaced == ["t-1"]
    assert not world.former_primaries
