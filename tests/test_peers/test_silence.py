"""Connections that stay open but carry no more data, and invalid messages; real processes."""

import asyncio
import contextlib

import cbor2
from websockets.asyncio import client

from greengageshunt.peers import messages
from support import callers, configurations, database, placement, relay

POOL_CLOSE_PERIOD = 1.0  # seconds in which former owners of targets close their pools
LINK_CLOSE_LIMIT = 5.0  # seconds from an invalid frame to the end of the connection
REPLACEMENT_LIMIT = 1.0  # seconds, the stated bound for unresponsive connections
INVALID_FRAMES = (
    b"",
    b"text",
    cbor2.dumps([["Execute"], 1, {}]),
    cbor2.dumps(["Execute", 1, {"group": 1}]),
    b"\x81" * 5000,
)


async def _wait_for(seconds, condition):
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - relays have no event
            await asyncio.sleep(0.01)


async def test_silent_connections_are_replaced(start_fleet):
    """Guards against requests that hang on an open connection which carries no more data."""
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
        # Waits until former owners have closed their pools, whose connections count at the target.
        await asyncio.sleep(POOL_CLOSE_PERIOD)
        owner = placement.owner_of_primary(fleet)
        entry = next(vm for vm in fleet.layout.vms if vm != owner)
        caller = callers.Caller(session=fleet.session, key=key)
        group = fleet.layout.groups[0]
        for address in (group.target(group.primary).address, owner.member.peer_address):
            relayed = relays[address]
            await _silence_and_write(entry, caller, relayed)
        assert database.booked_items(fleet) == {"pot": 2}
        assert not database.violations(fleet)


async def _silence_and_write(entry, caller, relayed):
    accepted_before = relayed.accepted
    open_before = len(relayed.connections)
    for connection in relayed.connections:
        connection.silence()
    writing = asyncio.create_task(
        caller.call(entry.http_address, "booking.place", timeout_ms=4000, item="pot")
    )
    # Each connection that was open is replaced by a new one.
    await _wait_for(REPLACEMENT_LIMIT, lambda: relayed.accepted >= accepted_before + open_before)
    reply = await writing
    assert reply.status == 200, reply.document
    assert reply.document["replicated"]


async def test_broken_peer_messages_close_only_their_link(start_fleet):
    """Guards against a process that exits or stops serving after a peer's invalid message."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    vm = fleet.layout.vms[0]
    heartbeat = messages.Heartbeat(vm="vm-9", configuration_version=1, leaving=False)

    for frame in INVALID_FRAMES:
        async with client.connect(f"ws://{vm.member.peer_address}", proxy=None) as connection:
            await connection.send(messages.encode(heartbeat, 1))
            assert messages.decode(await connection.recv())[0] == 1
            await connection.send(frame)
            async with asyncio.timeout(LINK_CLOSE_LIMIT):
                await connection.wait_closed()

    caller = callers.Caller(session=fleet.session, key=prepared.keys["account-1"])
    assert (await caller.call(vm.http_address, "booking.place", item="pot")).status == 200
