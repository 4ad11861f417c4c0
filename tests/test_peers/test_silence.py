"""Connections that stop responding for good, with real processes."""

import asyncio
import contextlib

import cbor2
from websockets.asyncio import client

from greengageshunt.peers import messages
from support import callers, configurations, database, placement, relay

POOLS_CLOSED = 1.0  # seconds
DEADLINE = 5.0  # seconds
REPLACED = 1.0  # seconds, stated for unresponsive connections
BROKEN = (
    b"",
    b"text",
    cbor2.dumps([["Execute"], 1, {}]),
    cbor2.dumps(["Execute", 1, {"group": 1}]),
    b"\x81" * 5000,
)


async def _within(seconds, condition):
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - relays have no event
            await asyncio.sleep(0.01)


async def test_silent_connections_are_replaced(start_fleet):
    """Guards against requests that hang on a connection which went silent for good."""
    prepared = configurations.prepare()
    async with contextlib.AsyncExitStack() as stack:
        relays = {}

        async def start_relays(layout):
            group = layout.groups[0]
            addresses = [group.target(group.primary).address]
            addresses += [vm.member.peer_address for vm in layout.vms]
            relays.update(await relay.relay_all(addresses, stack))
            return {address: started.address for address, started in relays.items()}

        fleet = await start_fleet(prepared.configuration, relays=start_relays)
        key = prepared.keys["account-1"]
        await placement.wait_agreed(fleet, key)
        # The pools of earlier owners close, whose connections count at the target.
        await asyncio.sleep(POOLS_CLOSED)
        owner = placement.owner_of_primary(fleet)
        entry = next(vm for vm in fleet.layout.vms if vm != owner)
        caller = callers.Caller(session=fleet.session, key=key)
        group = fleet.layout.groups[0]
        for address in (group.target(group.primary).address, owner.member.peer_address):
            silenced = relays[address]
            await _silence_and_write(entry, caller, silenced)
        assert database.booked_items(fleet) == {"pot": 2}
        assert not database.violations(fleet)


async def _silence_and_write(entry, caller, silenced):
    before = silenced.accepted
    open_before = len(silenced.connections)
    for connection in silenced.connections:
        connection.silence()
    writing = asyncio.create_task(
        caller.call(entry.http_address, "booking.place", timeout_ms=4000, item="pot")
    )
    # All connections that were open are replaced, each by a new one.
    await _within(REPLACED, lambda: silenced.accepted >= before + open_before)
    reply = await writing
    assert reply.status == 200, reply.document
    assert reply.document["replicated"]


async def test_broken_peer_messages_close_only_their_link(start_fleet):
    """Guards against a process that ends, or stops serving, for a peer's broken message."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    vm = fleet.layout.vms[0]
    heartbeat = messages.Heartbeat(vm="vm-9", configuration_version=1, leaving=False)

    for frame in BROKEN:
        async with client.connect(f"ws://{vm.member.peer_address}", proxy=None) as connection:
            await connection.send(messages.encode(heartbeat, 1))
            assert messages.decode(await connection.recv())[0] == 1
            await connection.send(frame)
            async with asyncio.timeout(DEADLINE):
                await connection.wait_closed()

    caller = callers.Caller(session=fleet.session, key=prepared.keys["account-1"])
    assert (await caller.call(vm.http_address, "booking.place", item="pot")).status == 200
