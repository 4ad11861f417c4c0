"""Changes of primary while the store does not answer the hub that the group is assigned to."""

import asyncio
import dataclasses

import pytest

from greengageshunt import codec
from greengageshunt.coordination import records
from greengageshunt.membership import ownership
from greengageshunt.standins import memory
from support import primary_world

# Seconds within which a primary is replaced. The platform allows 7 s for one that drains.
CHANGE_BOUND = 6.0

# Seconds after which the store answers the hubs again.
AWAY = 9.0


def _record(world: primary_world.World) -> records.PrimaryRecord:
    row = world.store.rows[f"groups/{primary_world.GROUP}"]
    return codec.from_json(row.value, records.PrimaryRecord)


async def _changed_after(world: primary_world.World, began_at: float) -> float:
    """Return the seconds until the record names another primary than t-1."""
    now = asyncio.get_running_loop().time
    while now() < began_at + 3 * CHANGE_BOUND:
        record = _record(world)
        if not record.changing and record.primary != "t-1":
            break
        await asyncio.sleep(primary_world.CHECK_INTERVAL)
    return now() - began_at


async def _change(
    fault: str, *, unserved: int, cut_at: str, silent: bool
) -> tuple[primary_world.World, float]:
    """Replace the primary while the store turns hubs away; return the seconds that it took.

    Args:
        fault: The primary ``drains`` or ``crashes``.
        unserved: Number of hubs that the store does not answer, first those that come first for
            the group.
        cut_at: ``before`` the fault, or once the change has ``begun``.
        silent: Whether the store leaves their calls without an answer, or rejects them at once.
    """
    world = primary_world.World()
    await world.start()
    loop = asyncio.get_running_loop()
    ranked = ownership.rank(primary_world.GROUP, world.fleet.listed)
    clients = [world.fleet.running[hub.vm].client for hub in ranked[:unserved]]

    def cut(away: bool) -> None:
        for client in clients:
            client.cut, client.silent = away, silent

    if cut_at == "before":
        cut(True)
    began_at = loop.time()
    if fault == "drains":
        draining = dataclasses.replace(primary_world.entry("t-1"), draining=True)
        world.store.put_target(draining)
    else:
        world.platform.down.add("t-1")
    while cut_at == "begun":
        await asyncio.sleep(0.001)
        if _record(world).changing:
            break
    cut(True)
    loop.call_later(AWAY, cut, False)
    seconds = await _changed_after(world, began_at)
    # The hubs that the store answers again must not change the primary once more.
    await asyncio.sleep(AWAY + 5.0)
    await world.stop()
    return world, seconds


@pytest.mark.parametrize("fault", ["drains", "crashes"])
@pytest.mark.parametrize("unserved", [1, 2])
@pytest.mark.parametrize("cut_at", ["before", "begun"])
@pytest.mark.parametrize("silent", [False, True])
def test_primary_is_replaced_while_the_store_turns_its_hub_away(fault, unserved, cut_at, silent):
    """Guards against a primary that drains, or is dead, until the store answers one hub again.

    That hub still answered the heartbeats of its peers, so the group stayed assigned to it. The
    hub that acts in its place must not change the primary beside it.
    """
    world, seconds = memory.run(_change(fault, unserved=unserved, cut_at=cut_at, silent=silent))
    assert seconds < CHANGE_BOUND
    assert world.platform.replaced == ["t-1"]
    assert not world.platform.tokens_used_twice
    assert not world.former_primaries
