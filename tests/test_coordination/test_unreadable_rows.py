"""Rows of the control table that cannot be decoded."""

import asyncio
import dataclasses
import json

import pytest

from greengageshunt import application, codec
from greengageshunt.coordination import promotion, records, view
from greengageshunt.standins import memory
from support import primary_world

# The decoder raises a RecursionError, a TypeError, an OverflowError and ValueErrors.
UNREADABLE = (
    "[" * 20_000,
    "[1]",
    '{"group": "g", "primary": "t-2", "token": 1e999, "holder": "b-1", "changing": false}',
    "",
    '{"group": "other", "primary": "t-2", "token": 9, "holder": "b-1", "changing": false}',
)

# Seconds within which a group whose record was overwritten has a primary again. A hub checks its
# groups each 0.2 s, and the change waits for no lease while all entry VMs answer.
REPAIR_BOUND = 2.0


def _view_with(record: records.PrimaryRecord) -> view.StoreView:
    app = application.Application(name="test")
    view.setup(app)
    known = app.part("coordination", "view")
    known.apply_row(records.ControlRow(key="groups/g", version=5, value=codec.to_json(record)))
    return known


@pytest.mark.parametrize("value", UNREADABLE)
def test_unreadable_record_permits_no_use_of_the_primary(value):
    """Guards against an end of the process, and against the use of a replaced primary.

    The row may have replaced one that this process has not seen, in which a change began.
    """
    record = records.PrimaryRecord(group="g", primary="t-1", token=3, holder="a-0", changing=False)
    known = _view_with(record)
    known.apply_row(records.ControlRow(key="groups/g", version=8, value=value))
    assert known.primary_record("g") is None
    assert known.newest_record("g") == record
    assert known.is_unreadable("groups/g")
    assert known.primary_record("other") is None


@pytest.mark.parametrize("value", UNREADABLE)
def test_unreadable_member_row_keeps_the_known_member(value):
    """Guards against a change of primary that no longer waits for a registered entry VM."""
    entry = records.MemberEntry(
        vm="a-0", failure_domain="a", peer_address="127.0.0.1:1", incarnation="x"
    )
    app = application.Application(name="test")
    view.setup(app)
    known = app.part("coordination", "view")
    known.apply_row(records.ControlRow(key="members/a-0", version=5, value=codec.to_json(entry)))
    known.apply_row(records.ControlRow(key="members/a-0", version=6, value=value))
    assert known.members == {"a-0": entry}
    assert known.is_unreadable("members/a-0")


@pytest.mark.parametrize("kept", [True, False])
def test_overwritten_rows_are_written_again(kept):
    """Guards against a group or entry VM that stays without its row, also after a restart.

    Args:
        kept: Whether some process still knows the record that was overwritten.
    """

    async def play() -> None:
        world = primary_world.World()
        await world.start()
        used = max(world.platform.tokens, default=0)
        if not kept:
            for name in tuple(world.fleet.running):
                await world.fleet.kill(name)
        for key in ("groups/g", "members/a-0"):
            world.store.put_text(key, "[" * 20_000)
        if not kept:
            for member in world.fleet.listed:
                world.fleet.start(member)
            await asyncio.sleep(REPAIR_BOUND)
        await asyncio.sleep(REPAIR_BOUND)
        assert all(world.lease(vm).valid for vm in world.fleet.running.values())
        assert world.fleet.registered() == len(world.fleet.listed)
        record = json.loads(world.store.rows["groups/g"].value)
        assert record["token"] > used and record["primary"] == world.platform.primary
        assert not world.former_primaries and not world.platform.tokens_used_twice
        await world.stop()

    memory.run(play())


def test_token_after_an_unreadable_record_is_above_all_of_its_era():
    """Guards against a fencing token that another entry VM used in a record nobody read."""
    record = records.PrimaryRecord(group="g", primary="t-1", token=3, holder="a-0", changing=False)
    known = _view_with(record)
    row = records.ControlRow(key="groups/g", version=40, value="[", era=2)
    known.apply_row(row)
    promoter = promotion.Promoter.__new__(promotion.Promoter)
    promoter._view = known
    newest = promoter._newest_record("g", row)
    assert newest.token > promotion.TOKENS_PER_ERA + 40
    assert dataclasses.replace(newest, token=3) == record
