"""Entry VMs whose registration a restored store lacks, and changes of primary by others."""

import asyncio
import json

import pytest

from greengageshunt import codec
from greengageshunt.coordination import eras, lease, records
from greengageshunt.standins import memory
from support import primary_world

# Seconds within which a change of primary ends that need not wait for any lease.
CHANGE_BOUND = 2.0


async def _lose_a_registration(restarted: str, *, stopped_before: bool) -> primary_world.World:
    """Lose the row of an entry VM that is cut off, restart others, and change the primary.

    Args:
        restarted: ``all`` other entry VMs restart, ``some`` or ``none``.
        stopped_before: Whether the restored row marks the entry VM as stopped, since it restarted
            in the lost seconds, or is missing, since it is new.
    """
    world = primary_world.World()
    newest = world.fleet.listed[-1]
    if not stopped_before:
        world.fleet.listed = world.fleet.listed[:-1]
    await world.start()
    if stopped_before:
        await world.fleet.running[newest.vm].app.part("coordination", "members").stop()
        await world.fleet.kill(newest.vm)
    copy = world.store.copy()
    await world.write_for(1.0)
    world.fleet.start(newest)
    await asyncio.sleep(2.0)
    others = [member for member in world.fleet.listed if member.vm != newest.vm]
    if restarted == "some":
        others = [member for member in others if member.vm != "c-2"]
    elif restarted == "none":
        others = []
    for member in others:
        await world.fleet.kill(member.vm)
    peer = world.fleet.cut(newest.vm)
    assert world.lease(peer).valid
    watched = asyncio.create_task(world.watch_lease(peer))
    await world.restore(copy)
    for member in others:
        world.fleet.start(member)
    await asyncio.sleep(0.5)
    world.platform.down.add("t-1")
    await asyncio.sleep(14.0)
    watched.cancel()
    world.fleet.running[newest.vm] = peer
    await world.stop()
    return world


@pytest.mark.parametrize("restarted", ["all", "some", "none"])
@pytest.mark.parametrize("stopped_before", [False, True])
def test_change_waits_for_an_entry_vm_that_the_restored_store_does_not_list(
    restarted, stopped_before
):
    """Guards against a promotion while an entry VM uses the former primary.

    On the review's day, restarted hubs did not know an entry VM whose row was lost. Its reads ran
    on the former primaries for three seconds.
    """
    world = memory.run(_lose_a_registration(restarted, stopped_before=stopped_before))
    assert world.platform.replaced == ["t-1"]
    assert not world.former_primaries


async def _change_after(seconds: float, *, restart: str) -> list[str]:
    """Return the primaries that are replaced soon after a restore and a restart.

    Args:
        seconds: Seconds from the restore to the restart.
        restart: ``all`` entry VMs restart, or ``some``.
    """
    world = primary_world.World()
    await world.start()
    copy = world.store.copy()
    await world.write_for(1.0)
    await world.restore(copy)
    await asyncio.sleep(seconds)
    members = world.fleet.listed if restart == "all" else world.fleet.listed[:-1]
    for member in members:
        await world.fleet.kill(member.vm)
    for member in members:
        world.fleet.start(member)
    await asyncio.sleep(1.0)
    world.platform.down.add("t-1")
    await asyncio.sleep(CHANGE_BOUND)
    replaced = list(world.platform.replaced)
    await world.stop()
    assert not world.former_primaries
    return replaced


@pytest.mark.parametrize(("seconds", "restart"), [(1.0, "some"), (20.0, "some"), (20.0, "all")])
def test_change_does_not_wait_when_leases_of_ended_eras_are_known(seconds, restart):
    """Guards against 6 s without a primary after each start in a store that was once restored.

    A process that was there before the restore says whom it knows. After the leases have expired,
    the store says so.
    """
    assert memory.run(_change_after(seconds, restart=restart)) == ["t-1"]


async def _expired_row_of_an_ended_era() -> tuple[str, float]:
    world = primary_world.World()
    await world.start()
    await world.restore(world.store.copy())
    await asyncio.sleep(10.0)
    value = world.store.rows[eras.EXPIRED_KEY].value
    await world.restore(world.store.copy())
    for name in tuple(world.fleet.running):
        await world.fleet.kill(name)
    world.fleet.start(world.fleet.listed[0])
    await asyncio.sleep(1.0)
    vm = world.fleet.running[world.fleet.listed[0].vm]
    left = vm.app.part("coordination", "eras").unknown_until - vm.app.clock()
    await world.stop()
    return value, left


def test_row_of_an_ended_era_says_nothing_about_the_newest():
    """Guards against a process that takes the end of older leases for that of the last ones."""
    value, left = memory.run(_expired_row_of_an_ended_era())
    assert json.loads(value) == 2
    assert lease.LEASE_SECONDS - 1.5 < left <= lease.LEASE_SECONDS


def test_answers_of_older_builds_claim_no_memory():
    """Guards against an upgrade in which an answer without the field counts as a memory."""
    answer = codec.from_plain({"vm": "a-0", "era": 2}, records.LeaseRecalled)
    assert not answer.remembers and not answer.unlisted
