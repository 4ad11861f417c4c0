"""Marks of planned stops, whose writes may be performed after the next process has started."""

import asyncio

import pytest

from greengageshunt import codec
from greengageshunt.coordination import records
from greengageshunt.standins import memory
from support import primary_world, store_fleet

# Seconds of a restart; shorter than the delay of a late write.
RESTART_SECONDS = 0.5


async def _stop(world: primary_world.World, name: str, lost: int) -> None:
    """Stop one entry VM in order; the answer of one of its next writes is lost."""
    vm = world.fleet.running[name]
    vm.client.lost_writes = {vm.client._writes + lost}
    await vm.app.part("coordination", "members").stop()
    await world.fleet.kill(name)


async def _use_after_a_stop(lost: int) -> primary_world.World:
    world = primary_world.World()
    await world.start()
    member = world.fleet.listed[1]
    await _stop(world, member.vm, lost)
    await asyncio.sleep(RESTART_SECONDS)
    world.fleet.start(member)
    await asyncio.sleep(store_fleet.LATE_SECONDS - RESTART_SECONDS - 0.1)
    assert world.lease(world.fleet.running[member.vm]).valid
    # The late write is performed while the entry VM cannot notice it.
    vm = world.fleet.cut(member.vm)
    watched = asyncio.create_task(world.watch_lease(vm))
    await asyncio.sleep(0.2)
    world.platform.down.add("t-1")
    await asyncio.sleep(12.0)
    watched.cancel()
    world.fleet.running[member.vm] = vm
    await world.stop()
    return world


@pytest.mark.parametrize("lost", [1, 2, 0])
def test_late_mark_of_a_stop_does_not_hide_the_next_process(lost):
    """Guards against a change of primary that does not wait for a running entry VM.

    The write that marks the stopped process got no answer and was performed seconds later. On the
    review's day, reads then ran on a former primary.

    Args:
        lost: Number of the write of the stop whose answer is lost; 0 for none.
    """
    world = memory.run(_use_after_a_stop(lost))
    assert world.platform.replaced == ["t-1"]
    assert not world.former_primaries


async def _change_after_a_stop() -> primary_world.World:
    world = primary_world.World()
    await world.start()
    await _stop(world, world.fleet.listed[1].vm, 0)
    await asyncio.sleep(RESTART_SECONDS)
    world.platform.down.add("t-1")
    await asyncio.sleep(2.0)
    replaced = list(world.platform.replaced)
    await world.stop()
    assert replaced == ["t-1"]
    return world


def test_change_does_not_wait_for_a_stopped_entry_vm():
    """Guards against changes of primary that take 6 s longer after each planned stop."""
    memory.run(_change_after_a_stop())


async def _read_from_an_old_copy() -> bool:
    world = primary_world.World()
    await world.start()
    member = world.fleet.listed[1]
    held = world.view(world.fleet.listed[0].vm).copy(records.Section.CONTROL)
    await _stop(world, member.vm, 0)
    world.fleet.start(member)
    vm = world.fleet.cut(member.vm)
    changes = records.Changes(
        is_snapshot=True,
        rows=tuple(held.rows.values()),
        removed=(),
        version=held.version,
        as_of=held.as_of,
    )
    vm.app.part("coordination", "view").apply(records.Section.CONTROL, changes, "peer")
    stored = codec.from_json(held.rows[f"members/{member.vm}"].value, records.MemberEntry)
    assert not stored.stopped
    valid = world.lease(vm).valid
    world.fleet.running[member.vm] = vm
    await world.stop()
    return valid


def test_copy_of_before_the_start_gives_no_lease():
    """Guards against the use of a primary by a process that counts as stopped.

    A peer's copy may lack the mark that the predecessor wrote.
    """
    assert not memory.run(_read_from_an_old_copy())
