"""TCP relays on the links between entry VMs, with which a test partitions them."""

import asyncio
import contextlib
import dataclasses
from collections import abc

from greengageshunt import codec
from greengageshunt.standins import fleet as fleet_module

CHUNK = 2**16  # bytes


class Relay:
    """Forwards connections to one address; while cut, keeps them open and forwards nothing."""

    def __init__(self, *, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._cut = False
        self._healed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def cut(self) -> None:
        """Stop forwarding data."""
        self._cut = True
        self._healed.clear()

    def heal(self) -> None:
        """Accept and forward connections again; close those that were open."""
        self._cut = False
        self._healed.set()
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        # ``heal`` and ``stop`` cancel the tasks of connections; the server goes on.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._forward(reader, writer)
        self._tasks.discard(task)
        writer.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._cut:
            await self._healed.wait()
        server_reader, server_writer = await asyncio.open_connection(self._host, self._port)
        try:
            async with asyncio.TaskGroup() as group:
                forward = group.create_task(self._copy(reader, server_writer))
                backward = group.create_task(self._copy(server_reader, writer))
                await asyncio.wait((forward, backward), return_when=asyncio.FIRST_COMPLETED)
                forward.cancel()
                backward.cancel()
        except* OSError:
            pass
        finally:
            server_writer.close()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(CHUNK):
            if self._cut:
                await self._healed.wait()
            writer.write(data)
            await writer.drain()


class Partition:
    """Relays for each ordered pair of entry VMs of a fleet."""

    def __init__(self, *, relays: dict[tuple[str, str], Relay]) -> None:
        self._relays = relays

    def isolate(self, vm: str) -> None:
        """Cut an entry VM off from all others, in both directions."""
        for pair, relay in self._relays.items():
            if vm in pair:
                relay.cut()

    def heal(self) -> None:
        """End all cuts."""
        for relay in self._relays.values():
            relay.heal()

    async def stop(self) -> None:
        """Stop all relays."""
        for relay in self._relays.values():
            await relay.stop()


@contextlib.asynccontextmanager
async def between_peers(fleet: fleet_module.Fleet) -> abc.AsyncIterator[Partition]:
    """Route all peer links of a running fleet through relays until the block ends."""
    members = [vm.member for vm in fleet.layout.vms]
    relays = {}
    for member in members:
        relayed_peers = []
        for peer in members:
            if peer == member:
                relayed_peers.append(peer)
                continue
            relay = Relay(address=peer.peer_address)
            relays[member.vm, peer.vm] = relay
            relayed_peers.append(dataclasses.replace(peer, peer_address=await relay.start()))
        url = f"http://{fleet.layout.platform_address}/control/vms?vm={member.vm}"
        plain = [codec.to_plain(entry) for entry in relayed_peers]
        async with fleet.session.put(url, json=plain) as response:
            response.raise_for_status()
    partition = Partition(relays=relays)
    try:
        yield partition
    finally:
        await partition.stop()
