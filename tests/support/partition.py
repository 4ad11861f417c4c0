"""TCP relays between entry VMs, which a test can cut."""

import asyncio
import contextlib
import dataclasses
from collections import abc

from greengageshunt import codec
from greengageshunt.standins import fleet as fleet_module

CHUNK = 2**16  # bytes


class Relay:
    """Passes connections on to one address; while cut, keeps them open and silent."""

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
        """Stop passing on data."""
        self._cut = True
        self._healed.clear()

    def heal(self) -> None:
        """Pass on data again; connections from before are closed."""
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
        # Cancellation ends this connection only.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self._pass_on(reader, writer)
        self._tasks.discard(task)
        writer.close()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._cut:
            await self._healed.wait()
        other_reader, other_writer = await asyncio.open_connection(self._host, self._port)
        try:
            async with asyncio.TaskGroup() as group:
                there = group.create_task(self._pump(reader, other_writer))
                back = group.create_task(self._pump(other_reader, writer))
                await asyncio.wait((there, back), return_when=asyncio.FIRST_COMPLETED)
                there.cancel()
                back.cancel()
        except* OSError:
            pass
        finally:
            other_writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
    """Let all peer links of a running fleet go through relays."""
    members = [vm.member for vm in fleet.layout.vms]
    relays = {}
    for member in members:
        listed = []
        for peer in members:
            if peer == member:
                listed.append(peer)
                continue
            relay = Relay(address=peer.peer_address)
            relays[member.vm, peer.vm] = relay
            listed.append(dataclasses.replace(peer, peer_address=await relay.start()))
        url = f"http://{fleet.layout.platform_address}/control/vms?vm={member.vm}"
        plain = [codec.to_plain(entry) for entry in listed]
        async with fleet.session.put(url, json=plain) as response:
            response.raise_for_status()
    partition = Partition(relays=relays)
    try:
        yield partition
    finally:
        await partition.stop()
