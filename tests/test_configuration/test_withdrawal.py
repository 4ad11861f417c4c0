"""Withdrawn keys, adoption and confirmation in a fleet of real processes."""

import asyncio
import time

from greengageshunt.commands import command
from greengageshunt.membership import confirmation
from greengageshunt.peers import messages
from greengageshunt.standins import fleet as fleet_module
from support import callers, configurations, operators, partition, peers

WITHDRAWAL_BOUND = 5.0  # seconds, guarantee G6
ADOPTION_BOUND = 3.0  # seconds, guarantee G13


async def _withdraw(fleet: fleet_module.Fleet, prepared, number: int, wait: str = "5"):
    """Withdraw a key while callers use it at each entry VM.

    Returns:
        The outcome of the command, and the seconds from the earliest time at which the
        version may have been accepted to the last request that was served with the key.
    """
    async with operators.connected(fleet, prepared.keys[f"account-{number}"]) as connected:
        await operators.wait_for(lambda: _all(caller.last_served for caller in connected))
        outcome = await operators.run(fleet, "key", "withdraw", f"key-{number}", "--wait", wait)
        accepted_at = time.monotonic() - outcome.document["seconds"]
        await operators.wait_for(lambda: _all(caller.code for caller in connected))
        await asyncio.sleep(0.3)
        assert {caller.code for caller in connected} <= {"key_withdrawn", "not_confirmed"}
        return outcome, max(caller.last_served for caller in connected) - accepted_at


async def _all(values) -> bool:
    return all(values)


async def test_withdrawn_key_is_refused_within_the_bound(start_fleet):
    """Guards against an entry VM that accepts a withdrawn key after the bound.

    The platform answers at once, then slowly, then not at all to one entry VM.
    """
    prepared = configurations.prepare(accounts=3)
    fleet = await start_fleet(prepared.configuration)

    plain, used_for = await _withdraw(fleet, prepared, 1)
    assert plain.exit is command.Exit.DONE
    assert plain.document["accepted"]
    assert used_for < WITHDRAWAL_BOUND
    print(f"withdrawn key used for {used_for:.2f} s")

    await fleet.set_platform_faults(delay=0.5)
    slow, used_for = await _withdraw(fleet, prepared, 2)
    assert slow.exit is command.Exit.DONE
    assert used_for < WITHDRAWAL_BOUND
    print(f"platform slow: withdrawn key used for {used_for:.2f} s")

    await fleet.set_platform_faults(delay=0.0, cut_vms=["vm-3"])
    cut, used_for = await _withdraw(fleet, prepared, 3)
    assert cut.exit is command.Exit.DONE
    assert used_for < WITHDRAWAL_BOUND
    print(f"platform cut off: withdrawn key used for {used_for:.2f} s")


async def test_cut_off_entry_vm_serves_open_routes_only(start_fleet):
    """Guards against a cut-off entry VM that serves a key which was withdrawn elsewhere."""
    prepared = configurations.prepare(accounts=2)
    fleet = await start_fleet(prepared.configuration)
    key = prepared.keys["account-1"]
    cut_off = fleet.layout.vms[2].http_address
    async with partition.between_peers(fleet) as links:
        await operators.wait_for(lambda: _settled_through_relays(fleet))
        async with operators.connected(fleet, key) as connected:
            await operators.wait_for(lambda: _all(caller.last_served for caller in connected))
            links.isolate("vm-3")
            await fleet.set_platform_faults(cut_vms=["vm-3"])
            outcome = await operators.run(fleet, "key", "withdraw", "key-1", "--wait", "1")
            accepted_at = time.monotonic() - outcome.document["seconds"]
            await fleet.set_platform_faults(down=True)
            assert outcome.exit is command.Exit.NOT_EVERYWHERE
            assert outcome.document["accepted"]
            assert [missing["vm"] for missing in outcome.document["not_in_force"]] == ["vm-3"]
            await operators.wait_for(lambda: _all(caller.code for caller in connected))
            await asyncio.sleep(0.3)
            used_for = max(caller.last_served for caller in connected) - accepted_at
            assert used_for < WITHDRAWAL_BOUND
            assert connected[2].code == "not_confirmed"
        print(f"entry VM cut off from all: withdrawn key used for {used_for:.2f} s")
        other = callers.Caller(session=fleet.session, key=prepared.keys["account-2"])
        anonymous = callers.Caller(session=fleet.session, key="")
        refused = await other.call(cut_off, "booking.list")
        assert (refused.status, refused.document["code"]) == (503, "not_confirmed")
        assert refused.document["outcome"] == "not_run"
        assert (await anonymous.call(cut_off, "catalogue")).status == 200
        # The majority confirms the configuration by itself while the platform is down.
        assert (await other.call(fleet.layout.vms[0].http_address, "booking.list")).status == 200

        links.heal()
        await operators.wait_for(lambda: _serves(other, cut_off))
        refused = await callers.Caller(session=fleet.session, key=key).call(cut_off, "booking.list")
        assert refused.document["code"] == "key_withdrawn"


async def _settled_through_relays(fleet: fleet_module.Fleet) -> bool:
    # Within two poll intervals, all entry VMs read the member list with the relays' addresses.
    await asyncio.sleep(1.5)
    statuses = [await operators.vm_status(fleet, number) for number in range(3)]
    return all(status is not None and status.confirmed for status in statuses)


async def _serves(caller: callers.Caller, address: str) -> bool:
    return (await caller.call(address, "booking.list")).status == 200


async def test_version_survives_a_restart_during_a_platform_outage(start_fleet):
    """Guards against a restarted proxy that adopts an older version or never serves keys again."""
    prepared = configurations.prepare(accounts=2)
    fleet = await start_fleet(prepared.configuration)
    outcome = await operators.run(fleet, "key", "withdraw", "key-1")
    assert outcome.document["version"] == 2
    vm = fleet.layout.vms[1]
    await fleet.set_platform_faults(down=True)
    fleet.kill(vm.member.vm)
    fleet.start_proxy(vm)
    seen_versions = set()

    async def is_confirmed() -> bool:
        status = await operators.vm_status(fleet, 1)
        if status is not None:
            seen_versions.add(status.version)
        return status is not None and status.confirmed

    await operators.wait_for(is_confirmed)
    assert seen_versions <= {0, 2}
    withdrawn = callers.Caller(session=fleet.session, key=prepared.keys["account-1"])
    refused = await withdrawn.call(vm.http_address, "booking.list")
    assert refused.document["code"] == "key_withdrawn"
    valid = callers.Caller(session=fleet.session, key=prepared.keys["account-2"])
    await operators.wait_for(lambda: _serves(valid, vm.http_address))


async def test_load_whose_answers_are_lost_and_planners_at_once(start_fleet, tmp_path):
    """Guards against a load that is lost or applied twice when its answers are lost.

    Also guards against a planner whose load or change overwrites that of another planner.
    """
    prepared = configurations.prepare(accounts=1)
    fleet = await start_fleet(prepared.configuration)
    exported = (await operators.run(fleet, "sheet", "export")).document["sheet"]
    first, second = tmp_path / "first.csv", tmp_path / "second.csv"
    first.write_text(exported + _account("north"))
    second.write_text(exported + _account("south"))

    # The write of the pointer row takes effect, but its answer and the answer to the HTTP
    # client's retry are dropped.
    await fleet.set_platform_faults(drop_answers=2, drop_prefix="/rows/configuration")
    load = await operators.run(fleet, "sheet", "load", str(first), "--base", "1")
    assert load.exit is command.Exit.DONE
    assert load.document["version"] == 2
    assert load.document["seconds"] < ADOPTION_BOUND
    print(f"version in force everywhere after {load.document['seconds']:.2f} s")

    late = await operators.run(fleet, "sheet", "load", str(second), "--base", "1")
    assert late.exit is command.Exit.REFUSED
    assert [change["name"] for change in late.document["changed_since_base"]] == ["north"]

    north, south = tmp_path / "a.csv", tmp_path / "b.csv"
    content = first.read_text()
    north.write_text(content + _account("east"))
    south.write_text(content + _account("west"))
    outcomes = await asyncio.gather(
        operators.run(fleet, "sheet", "load", str(north), "--base", "2"),
        operators.run(fleet, "sheet", "load", str(south), "--base", "2"),
    )
    assert sorted(outcome.exit for outcome in outcomes) == [
        command.Exit.DONE,
        command.Exit.REFUSED,
    ]
    # Small changes apply to the newest version, so that concurrent ones are all kept.
    issued = await asyncio.gather(
        *(operators.run(fleet, "key", "issue", "north", "--id", f"n{n}") for n in range(3))
    )
    assert all(outcome.exit is command.Exit.DONE for outcome in issued)
    stored = (await operators.run(fleet, "sheet", "export")).document
    assert stored["version"] == 6
    assert all(f"key,n{number},,,,north," in stored["sheet"] for number in range(3))
    caller = callers.Caller(session=fleet.session, key=issued[0].document["key"])
    for vm in fleet.layout.vms:
        assert (await caller.call(vm.http_address, "booking.list")).status == 200
    logs = "".join(fleet.log_path(name).read_text() for name in fleet.processes)
    assert not any(outcome.document["key"].partition(".")[2] in logs for outcome in issued)


def _account(name: str) -> str:
    # Columns: kind, name, rate, burst, weight, as `sheet export` orders them.
    return f"account,{name},100,100,1\n"


async def test_waiting_request_is_checked_again(start_fleet):
    """Guards against starting a statement whose key was withdrawn while the request waited."""
    prepared = configurations.prepare(accounts=1)
    fleet = await start_fleet(prepared.configuration)
    group = fleet.layout.groups[0]
    vm = fleet.layout.vms[0]

    # At the owner: the statement may not start once the entry VM's check has expired.
    async with peers.connect(vm.member) as send:
        expired = await send(peers.read(group, group.primary, valid_for=0.0))
        assert isinstance(expired, messages.Failed)
        assert expired.refusal.code == "check_expired"
        executed = await send(peers.read(group, group.primary, valid_for=4.0))
        assert isinstance(executed, messages.Executed)

    # At the entry VM: a write waits while its group has no primary. The primary restarts only
    # after the bound.
    for name in [name for name in fleet.processes if name.startswith("failover-")]:
        fleet.kill(name)
    fleet.kill(group.primary)
    # Without this delay, the owner may send the write on a connection whose loss it has not
    # detected yet.
    await asyncio.sleep(1.0)
    caller = callers.Caller(session=fleet.session, key=prepared.keys["account-1"])
    waiting = asyncio.create_task(
        caller.call(vm.http_address, "booking.place", item="held", timeout_ms=20_000)
    )
    await asyncio.sleep(0.3)
    assert not waiting.done()
    outcome = await operators.run(fleet, "key", "withdraw", "key-1")
    assert outcome.exit is command.Exit.DONE
    await asyncio.sleep(confirmation.KEY_CONFIRMATION_LIFETIME)
    fleet.start_target(group, group.target(group.primary))
    reply = await waiting
    assert (reply.document["code"], reply.document["outcome"]) == ("key_withdrawn", "not_run")
