"""A store that is restored from an older copy: versions go back and are given out again."""

import asyncio
import dataclasses
import json
import random

import pytest

from greengageshunt import codec, model
from greengageshunt.coordination import lease, orders, promotion, records, succession, view, watch
from greengageshunt.standins import memory
from support import primary_world

# Seconds after the return of the store within which an entry VM must have read it.
RETURN_BOUND = 3.0


def test_copy_adopts_the_state_of_a_restored_store():
    """Guards against a copy that ignores the store until its versions pass those that are gone."""
    old = records.ControlRow(key="a", version=90, value='"lost"')
    new = records.ControlRow(key="a", version=40, value='"kept"')
    changes = records.Changes(is_snapshot=True, rows=(old,), removed=(), version=95, as_of=1.0)
    before = view.apply(view.EMPTY_COPY, changes)
    restored = dataclasses.replace(changes, rows=(new,), version=50, as_of=8.0, era=2)
    after = view.apply(before, restored)
    assert [row.value for row in after.rows.values()] == ['"kept"']
    assert (after.version, after.as_of) == (50, 8.0)
    assert view.apply(after, changes) is after


async def _serve_after_restore() -> primary_world.World:
    world = primary_world.World()
    await world.start()
    copy = world.store.copy()
    await world.write_for(4.0)
    await world.restore(copy)
    await asyncio.sleep(15.0)
    await world.stop()
    return world


def test_leases_outlast_a_store_that_returns_from_an_older_copy():
    """Guards against a fleet that stops using all primaries although none has changed.

    On the users' day, all statements that need a primary were refused from 3.5 s after the return
    of the store until its versions had passed those of the copies.
    """
    world = memory.run(_serve_after_restore())
    assert not world.without_lease
    assert not world.former_primaries


async def _change_under_a_version_given_out_again(sparse: bool) -> list[str]:
    world = primary_world.World(sparse=sparse)
    await world.start()
    copy = world.store.copy()
    await world.write_for(2.0)
    world.store.down = True
    await asyncio.sleep(0.5)
    world.store.restore(copy)
    # The versions pass those that were lost before any entry VM calls again.
    world.store.put_target(primary_world.entry("t-4"))
    for _ in range(10):
        world.store.change_configuration()
    for number in range(20):
        world.store.put_target(dataclasses.replace(primary_world.entry("t-3"), slots=number + 1))
    world.store.down = False
    await asyncio.sleep(RETURN_BOUND)
    lacking = [name for name in world.fleet.running if world.view(name).target("t-4") is None]
    lacking += [
        name
        for name, vm in world.fleet.running.items()
        if vm.configuration.version != world.store.configuration_version
    ]
    await world.stop()
    return lacking


@pytest.mark.parametrize("sparse", [False, True])
def test_change_under_a_version_given_out_again_is_not_missed(sparse):
    """Guards against a change that was acknowledged and never adopted by any entry VM.

    A watch call with a version of before the restore gets no 410 once the store has passed it.
    """
    assert not memory.run(_change_under_a_version_given_out_again(sparse))


async def _lose_a_change_of_primary() -> primary_world.World:
    world = primary_world.World()
    await world.start()
    copy = world.store.copy()
    world.platform.down.add("t-1")
    await asyncio.sleep(3.0)
    assert world.platform.primary != "t-1"
    world.platform.down.clear()
    await world.restore(copy)
    await asyncio.sleep(4.0)
    world.platform.down.add(world.platform.primary)
    await asyncio.sleep(8.0)
    await world.stop()
    return world


def test_lost_change_of_primary_is_not_reverted():
    """Guards against reads on a former primary that the restored record still names.

    The next change must also use a token above that of the change whose record was lost.
    """
    world = memory.run(_lose_a_change_of_primary())
    assert not world.former_primaries
    assert not world.platform.tokens_used_twice
    assert len(world.platform.replaced) == 2
    # The last change needs a few seconds without the primary; all others must not be noticed.
    assert sum(world.without_lease.values()) <= 6 * 4.0 / primary_world.CHECK_INTERVAL


async def _restart_beside_a_lost_change() -> primary_world.World:
    world = primary_world.World()
    await world.start()
    copy = world.store.copy()
    world.platform.down.add("t-1")
    await asyncio.sleep(3.0)
    world.platform.down.clear()
    names = tuple(world.fleet.running)
    for name in names:
        await world.fleet.kill(name)
    await world.restore(copy)
    for member in world.fleet.listed:
        world.fleet.start(member)
    await asyncio.sleep(10.0)
    assert all(world.lease(vm).valid for vm in world.fleet.running.values())
    await world.stop()
    return world


def test_restarted_fleet_does_not_use_the_primary_of_a_restored_record():
    """Guards against reads on a former primary by processes that know nothing of before."""
    assert not memory.run(_restart_beside_a_lost_change()).former_primaries


async def _lose_a_registration() -> primary_world.World:
    world = primary_world.World()
    newest = world.fleet.listed[-1]
    world.fleet.listed = world.fleet.listed[:-1]
    await world.start()
    copy = world.store.copy()
    await world.write_for(1.0)
    world.fleet.start(newest)
    await asyncio.sleep(2.0)
    # The new entry VM reaches the primary, but neither the store nor its peers.
    peer = world.fleet.cut(newest.vm)
    await world.restore(copy)
    world.platform.down.add("t-1")
    watched = asyncio.create_task(world.watch_lease(peer))
    await asyncio.sleep(12.0)
    watched.cancel()
    world.fleet.running[newest.vm] = peer
    await world.stop()
    return world


def test_change_waits_for_an_entry_vm_whose_registration_was_lost():
    """Guards against a promotion while a process that the store forgot uses the old primary."""
    world = memory.run(_lose_a_registration())
    assert world.platform.replaced == ["t-1"]
    assert not world.former_primaries


async def _registrations_after_restore() -> tuple[int, dict]:
    world = primary_world.World()
    await world.start()
    copy = world.store.copy()
    await world.fleet.kill("a-0")
    await world.write_for(1.0)
    world.fleet.start(world.fleet.listed[0])
    await asyncio.sleep(2.0)
    rows = {key: row for key, row in copy.rows.items() if not key.startswith("members/a-")}
    await world.restore(dataclasses.replace(copy, rows=rows))
    await asyncio.sleep(RETURN_BOUND)
    registered, listed = world.fleet.registered(), dict(world.store.rows)
    await world.stop()
    return registered, listed


def test_entry_vms_whose_rows_were_lost_register_again():
    """Guards against entry VMs that take themselves for registered while the store forgot them."""
    registered, listed = memory.run(_registrations_after_restore())
    assert registered == 6
    assert sum(key.startswith("members/") for key in listed) == 6


async def _restore_during_a_change() -> primary_world.World:
    world = primary_world.World()
    await world.start()
    copy = world.store.copy()
    world.platform.down.add("t-1")
    while not any(json.loads(row.value).get("changing") for row in world.store.rows.values()):  # noqa: ASYNC110
        await asyncio.sleep(0.005)
    await world.restore(copy, away=0.3)
    await asyncio.sleep(12.0)
    assert all(world.lease(vm).valid for vm in world.fleet.running.values())
    await world.stop()
    return world


def test_change_whose_start_was_lost_is_completed():
    """Guards against a group without a primary after a change that the store forgot."""
    world = memory.run(_restore_during_a_change())
    assert world.platform.primary != "t-1"
    assert not world.former_primaries


RECORD = records.PrimaryRecord(
    group=primary_world.GROUP, primary="t-1", token=4, holder="a-0", changing=False
)


def test_token_after_a_restore_is_above_all_that_may_be_lost():
    """Guards against two holders that use one fencing token, as the first one's row is lost."""
    assert promotion.next_token(4, 1) == 5
    assert promotion.next_token(4, 2) > 4 + 1000
    assert promotion.next_token(promotion.next_token(4, 2), 2) == promotion.next_token(4, 2) + 1
    assert promotion.next_token(promotion.next_token(4, 2), 3) > promotion.next_token(9000, 2)


def _status(target: str, *, term: int, primary: bool) -> succession.Status:
    position = model.Position(term=term, offset=1)
    entry = dataclasses.replace(primary_world.entry(target), primary=primary)
    return succession.Status(entry=entry, primary=primary, term=term, position=position)


def test_primary_of_an_earlier_term_has_been_replaced():
    """Guards against a change that returns to a former primary and loses its successor's commits.

    The restored record names the former primary, which still takes itself for one.
    """
    former = _status("t-1", term=3, primary=True)
    replica = _status("t-3", term=4, primary=False)
    assert succession.newest_primary((former, replica)) is None
    assert succession.newest_primary((former,), recorded_term=4) is None
    assert succession.newest_primary((former,), recorded_term=3) is former


def test_kept_lease_ends_with_a_change_in_the_new_era():
    """Guards against an entry VM that goes on using the primary that the new era replaces."""
    held = lease.evaluate(RECORD, version=9, registered=True, as_of=100.0, now=101.0)
    kept = lease.KeptLease(lease=held, record=RECORD)
    renewed = dataclasses.replace(RECORD, era=2)
    before_restore = dataclasses.replace(RECORD, primary="t-2", changing=True)
    assert lease.is_kept(kept, before_restore, 105.0)
    assert lease.is_kept(kept, renewed, 105.0)
    assert not lease.is_kept(kept, renewed, 100.0 + lease.LEASE_SECONDS)
    assert not lease.is_kept(kept, dataclasses.replace(renewed, changing=True), 105.0)
    assert not lease.is_kept(kept, dataclasses.replace(renewed, primary="t-2"), 105.0)


def test_missing_members_are_kept_for_longer_than_a_lease():
    """Guards against a change of primary that does not wait for a process the store forgot."""
    assert view.MISSING_MEMBER_GRACE > lease.LEASE_SECONDS + lease.CLOCK_DRIFT_MARGIN_SECONDS


def test_order_of_an_ended_era_is_not_sent():
    """Guards against an order whose token the restored store no longer holds."""
    given = {"newest_version": 9, "version": 9, "registered": True, "as_of": 100.0, "now": 101.0}
    assert orders.may_send(**given)
    assert not orders.may_send(**given, era_ended=True)


async def _recall_of_an_ended_era(read: bool) -> tuple[records.LeaseRecalled, bool]:
    world = primary_world.World()
    await world.start()
    vm = world.fleet.running["a-0"]
    if read:
        await world.restore(world.store.copy())
        await asyncio.sleep(1.0)
    else:
        world.view("a-0").note_era(2)
    intent = dataclasses.replace(RECORD, changing=True, token=5)
    row = records.ControlRow(
        key=view.GROUP_PREFIX + primary_world.GROUP, version=999, value=codec.to_json(intent)
    )
    answer = await vm.links.handlers[records.LeaseRecall](records.LeaseRecall(row=row), 0.0)
    held = world.lease(vm).valid
    await world.stop()
    return answer, held


@pytest.mark.parametrize("read", [True, False])
def test_recall_of_an_ended_era_is_rejected(read):
    """Guards against a change that began before the restore and ends after a record was renewed.

    Its record is lost, so nobody else would know of the new primary. The process may have read the
    restored store, or know of the restore from a peer only.
    """
    answer, held = memory.run(_recall_of_an_ended_era(read))
    assert answer.era == 2
    assert held


def test_messages_of_a_store_that_was_never_restored_have_no_era():
    """Guards against messages and rows that processes of an older build reject in an upgrade."""
    row = records.ControlRow(key="k", version=1, value="{}")
    values = [
        RECORD,
        row,
        records.LeaseRecall(row=row),
        records.LeaseRecalled(vm="a-0"),
        records.CopyAnswer(
            section=records.Section.CONTROL, version=1, digest="", age=0.0, control=(row,)
        ),
    ]
    for value in values:
        assert "era" not in json.dumps(codec.to_plain(value))
    restored = dataclasses.replace(RECORD, era=2)
    assert codec.from_json(codec.to_json(restored), records.PrimaryRecord) == restored


async def _confirm_by_an_older_build() -> tuple[float, float]:
    world = primary_world.World()
    await world.start()
    await world.restore(world.store.copy())
    await asyncio.sleep(1.0)
    exchange = world.fleet.running["a-0"].app.part("coordination", "copies")
    copy = world.view("a-0").copy(records.Section.CONTROL)
    later = copy.as_of + 50.0
    # A process of an older build sends the same value, but no era.
    exchange._apply_heartbeat_value("old", {"control": [copy.version, copy.digest, 0.0]}, later)
    as_of = world.view("a-0").copy(records.Section.CONTROL).as_of
    await world.stop()
    return as_of, later


def test_peer_that_sends_no_era_confirms_nothing_after_a_restore():
    """Guards against a lease on the word of an older build whose copy predates the restore."""
    as_of, later = memory.run(_confirm_by_an_older_build())
    assert as_of < later


async def _confirmed_versions(all_restart: bool) -> list[int]:
    """Return the versions that a restarted process takes for the newest, in a restored store."""
    world = primary_world.World()
    await world.start()
    copy = world.store.copy()
    world.store.change_configuration()
    await asyncio.sleep(2.0)
    names = tuple(world.fleet.running) if all_restart else ("a-0",)
    for name in names:
        await world.fleet.kill(name)
    await world.restore(copy)
    for member in world.fleet.listed:
        if member.vm in names:
            world.fleet.start(member)
    restarted = world.fleet.running["a-0"]
    confirmed: list[int] = []
    restarted.app.events.connect(
        "configuration-read", lambda as_of: confirmed.append(restarted.configuration.version)
    )
    await asyncio.sleep(watch.PEER_REPORT_WAIT + RETURN_BOUND)
    await world.stop()
    return confirmed


def test_restarted_process_does_not_rely_on_an_older_configuration():
    """Guards against a withdrawn key that is in use again after a restart.

    The restored store lacks the version that withdrew it, which the peers still have in force.
    """
    assert not memory.run(_confirmed_versions(all_restart=False))


def test_restart_of_all_processes_in_a_restored_store_confirms_what_is_left():
    """Guards against a fleet that waits forever for a version that nobody has any more."""
    assert 1 in memory.run(_confirmed_versions(all_restart=True))


async def _restore_among_faults(world: primary_world.World, rng: random.Random) -> None:
    copy = world.store.copy()
    await asyncio.sleep(rng.uniform(0.0, 8.0))
    newest = world.store.configuration_version
    await world.restore(copy, away=rng.choice((0.0, 0.3, 2.0, 7.0)))
    await asyncio.sleep(rng.choice((0.0, 1.0)))
    # The operator and the targets write again what was lost.
    while world.store.configuration_version < newest:
        world.store.change_configuration()
    for target in primary_world.TARGETS:
        world.store.put_target(primary_world.entry(target))


async def _lose_the_primary(world: primary_world.World, rng: random.Random) -> None:
    primary = world.platform.primary
    world.platform.down.add(primary)
    await asyncio.sleep(rng.uniform(0.2, 6.0))
    world.platform.down.discard(primary)


async def _restart(world: primary_world.World, rng: random.Random) -> None:
    member = rng.choice(world.fleet.listed)
    if member.vm in world.fleet.running:
        await world.fleet.kill(member.vm)
        await asyncio.sleep(rng.uniform(0.1, 3.0))
        world.fleet.start(member)


async def _cut_from_the_store(world: primary_world.World, rng: random.Random) -> None:
    vm = rng.choice(list(world.fleet.running.values()))
    vm.client.cut = True
    await asyncio.sleep(rng.uniform(0.5, 8.0))
    vm.client.cut = False


async def _change_the_configuration(world: primary_world.World, rng: random.Random) -> None:
    world.store.change_configuration()


_FAULTS = (_lose_the_primary, _restart, _cut_from_the_store, _change_the_configuration)


async def _play(seed: int) -> primary_world.World:
    """Play restores and other faults that overlap, and check that the fleet recovers."""
    rng = random.Random(seed)
    world = primary_world.World(sparse=seed % 3 == 0)
    await world.start()
    running = [asyncio.create_task(_restore_among_faults(world, rng))]
    for _ in range(12):
        await asyncio.sleep(rng.uniform(0.0, 2.5))
        fault = _restore_among_faults if rng.random() < 0.2 else rng.choice(_FAULTS)
        running.append(asyncio.create_task(fault(world, rng)))
    await asyncio.gather(*running)
    await asyncio.sleep(16.0)
    for name, vm in world.fleet.running.items():
        assert world.lease(vm).valid, (name, world.lease(vm))
        assert vm.configuration.version >= world.store.configuration_version, name
    assert world.fleet.registered() == len(world.fleet.listed)
    await world.stop()
    return world


@pytest.mark.parametrize("seed", range(24))
def test_restores_among_other_faults(seed):
    """Guards against a former primary in use, a token used twice, or a fleet that stays without."""
    world = memory.run(_play(seed))
    assert not world.former_primaries
    assert not world.platform.tokens_used_twice
