"""A TCP relay that can silence, cut and delay connections."""

import asyncio
import contextlib
from collections import abc

from greengageshunt.standins import fleet as fleet_module
from greengageshunt.standins import layout as layout_module
from support import configurations

CHUNK = 2**16  # bytes


class Connection:
    """One relayed connection."""

    def __init__(self, *, client: asyncio.StreamWriter, server: asyncio.StreamWriter) -> None:
        self._writers = (client, server)
        self._silent = False

    @property
    def silent(self) -> bool:
        """Whether the connection forwards nothing."""
        return self._silent

    def silence(self) -> None:
        """Drop all data from now on; a side that closes still ends the connection."""
        self._silent = True

    def cut(self) -> None:
        """Close both sides at once."""
        for writer in self._writers:
            writer.transport.abort()


class Relay:
    """Forwards TCP connections from an own port to an address."""

    def __init__(self, *, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._server: asyncio.Server | None = None
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._cut_pattern = b""
        self._cuts_left = 0
        self._silence_pattern = b""
        self._silences_left = 0
        self.delay = 0.0
        self.drop_to_server = False
        self.drop_to_client = False
        self.accepted = 0
        self.cuts = 0
        self.silenced = 0

    @property
    def address(self) -> str:
        """Address on which the relay listens."""
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    @property
    def connections(self) -> frozenset[Connection]:
        """Open connections."""
        return frozenset(self._connections)

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Close all connections and the port."""
        self._server.close()
        for connection in self._connections:
            connection.cut()
        for task in self._tasks:
            task.cancel()

    def cut_at(self, pattern: bytes, count: int) -> None:
        """Cut the next connections that send a pattern, before it is forwarded."""
        self._cut_pattern, self._cuts_left = pattern, count

    def silence_at(self, pattern: bytes, count: int) -> None:
        """Silence the next connections that send a pattern, before it is forwarded."""
        self._silence_pattern, self._silences_left = pattern, count

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        try:
            far_reader, far_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        connection = Connection(client=writer, server=far_writer)
        self._connections.add(connection)
        pumps = {
            asyncio.create_task(self._pump(connection, reader, far_writer, True)),
            asyncio.create_task(self._pump(connection, far_reader, writer, False)),
        }
        self._tasks |= pumps
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        connection.cut()
        self._connections.discard(connection)
        for pump in pumps:
            pump.cancel()
        self._tasks -= pumps

    async def _pump(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_server: bool,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK):
                if to_server and self._matches(connection, data):
                    return
                if self.delay:
                    await asyncio.sleep(self.delay)
                dropped = self.drop_to_server if to_server else self.drop_to_client
                if connection.silent or dropped:
                    continue
                writer.write(data)
                await writer.drain()

    def _matches(self, connection: Connection, data: bytes) -> bool:
        """Apply the patterns; return whether the connection is cut."""
        if self._silences_left and self._silence_pattern in data:
            self._silences_left -= 1
            self.silenced += 1
            connection.silence()
        if self._cuts_left and self._cut_pattern in data:
            self._cuts_left -= 1
            self.cuts += 1
            return True
        return False


async def relay_all(
    addresses: abc.Iterable[str], stack: contextlib.AsyncExitStack
) -> dict[str, Relay]:
    """Start a relay for each address; they stop with the stack."""
    relays = {}
    for address in addresses:
        relays[address] = Relay(address=address)
        await relays[address].start()
        stack.push_async_callback(relays[address].stop)
    return relays


async def start_before_primary(
    start_fleet: abc.Callable[..., abc.Awaitable[fleet_module.Fleet]],
    prepared: configurations.Prepared,
    stack: contextlib.AsyncExitStack,
    **options: object,
) -> tuple[fleet_module.Fleet, Relay]:
    """Start a fleet that reaches the primary of its first group through a relay."""
    relays = {}

    async def start_relays(layout: layout_module.Layout) -> dict[str, str]:
        group = layout.groups[0]
        addresses = [group.target(group.primary).address]
        relays.update(await relay_all(addresses, stack))
        return {address: started.address for address, started in relays.items()}

    fleet = await start_fleet(prepared.configuration, relays=start_relays, **options)
    return fleet, next(iter(relays.values()))
