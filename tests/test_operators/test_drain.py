"""Draining of targets and requested changes of primary, with real processes."""

import asyncio

from greengageshunt.commands import command
from greengageshunt.membership import ownership
from greengageshunt.peers import messages
from greengageshunt.standins import fleet as fleet_module
from support import callers, configurations, operators, peers

DRAIN_BOUND = 3.0  # seconds, guarantee G11
OBSERVATION_TIME = 1.5  # seconds in which a drained target must get no statement
TRANSIT_TIME = 0.2  # seconds for statements sent before the drain to reach the target
CALLERS = 12
QUEUED = 150  # reads; a queue of 1.5 s, short enough that none is refused as overloaded


async def _browse(fleet: fleet_module.Fleet, key: str, codes: list[str]) -> None:
    caller = callers.Caller(session=fleet.session, key=key)
    vms = fleet.layout.vms
    number = 0
    while True:
        address = vms[number % len(vms)].http_address
        if number % 5:
            reply = await caller.call(address, "booking.browse")
        else:
            reply = await caller.call(address, "booking.place", item="pot")
        codes.append(reply.document.get("code", ""))
        number += 1


async def _statement_count(fleet: fleet_module.Fleet, target: str) -> int:
    return len((await fleet.target_state(target))["seen_statements"])


async def _gets_statements(fleet: fleet_module.Fleet, target: str) -> bool:
    before = await _statement_count(fleet, target)
    await asyncio.sleep(0.2)
    return await _statement_count(fleet, target) > before


async def _queued_codes(fleet: fleet_module.Fleet, target: str) -> set[str]:
    """Queue reads at the owner of a target and return their refusal codes, empty if served."""
    group = fleet.layout.groups[0]
    message = peers.read(group, target, valid_for=10.0)
    live = [vm.member for vm in fleet.layout.vms]
    async with peers.connect(ownership.owner(group.target(target), live)) as send:
        answers = await asyncio.gather(*(send(message) for _ in range(QUEUED)))
    return {
        answer.refusal.code if isinstance(answer, messages.Failed) else "" for answer in answers
    }


async def test_draining_target_gets_no_statement_after_the_bound(start_fleet):
    """Guards against statements for a draining target.

    They may come from the queue of its owner, or from an entry VM that has lost its
    connection to the platform and so learns of the drain only from its peers.
    """
    prepared = configurations.prepare()
    # Slow statements fill the queues of the targets.
    fleet = await start_fleet(prepared.configuration, service_ms=20.0)
    group = fleet.layout.groups[0]
    replica = group.targets[1].name
    codes: list[str] = []
    browsing = [
        asyncio.create_task(_browse(fleet, prepared.keys["account-1"], codes))
        for _ in range(CALLERS)
    ]
    await operators.wait_for(lambda: _gets_statements(fleet, replica))
    await fleet.set_platform_faults(cut_vms=["vm-3"])

    drained = await operators.run(fleet, "target", "drain", replica)
    assert drained.exit is command.Exit.DONE, drained.lines
    assert drained.document["seconds"] < DRAIN_BOUND
    # No entry VM sends a statement once it has the record; earlier ones may be in transit.
    await asyncio.sleep(TRANSIT_TIME)
    before = await _statement_count(fleet, replica)
    await asyncio.sleep(OBSERVATION_TIME)
    assert await _statement_count(fleet, replica) == before

    assert await _queued_codes(fleet, replica) == {"target_draining"}
    await operators.run(fleet, "target", "undrain", replica)
    await operators.wait_for(lambda: _gets_statements(fleet, replica))

    # Requests that wait in the owner's queue when the drain begins do not start after it.
    queued = asyncio.create_task(_queued_codes(fleet, replica))
    await operators.wait_for(lambda: _gets_statements(fleet, replica))
    await operators.run(fleet, "target", "drain", replica)
    await asyncio.sleep(TRANSIT_TIME)
    before = await _statement_count(fleet, replica)
    assert await queued == {"", "target_draining"}
    assert await _statement_count(fleet, replica) == before
    await operators.run(fleet, "target", "undrain", replica)

    primary = group.primary
    drained = await operators.run(fleet, "target", "drain", primary)
    assert drained.exit is command.Exit.DONE, drained.lines
    await asyncio.sleep(TRANSIT_TIME)
    before = await _statement_count(fleet, primary)
    await asyncio.sleep(OBSERVATION_TIME)
    assert await _statement_count(fleet, primary) == before

    for task in browsing:
        task.cancel()
    await asyncio.gather(*browsing, return_exceptions=True)
    assert set(codes) == {""}


async def test_promote_asks_the_failover_daemons(start_fleet):
    """Guards against an ignored promotion request, and against lost concurrent changes."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    group = fleet.layout.groups[0]
    successor, other = group.targets[1].name, group.targets[2].name

    promoted, drained = await asyncio.gather(
        operators.run(fleet, "group", "promote", group.group, successor),
        operators.run(fleet, "target", "drain", other),
    )
    assert promoted.exit is command.Exit.DONE, promoted.lines
    assert drained.exit is command.Exit.DONE, drained.lines
    status = await operators.run(fleet, "group", "status")
    (record,) = status.document["groups"]
    assert (record["primary"], record["draining"]) == (successor, [other])

    refused = await operators.run(fleet, "group", "promote", group.group, other)
    assert refused.exit is command.Exit.REFUSED
    unknown = await operators.run(fleet, "target", "drain", "nowhere")
    assert unknown.exit is command.Exit.REFUSED
