"""A TCP relay that can cut connections, drop their data or delay it."""

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
        """Whether the relay drops all data of the connection."""
        return self._silent

    def silence(self) -> None:
        """Drop all data from now on; the connection still ends when either side closes it."""
        self._silent = True

    def cut(self) -> None:
        """Abort both sides of the connection."""
        for writer in self._writers:
            writer.transport.abort()


class Relay:
    """Forwards TCP connections from a port of its own to an address.

    ``delay`` holds back each chunk by that many seconds. ``drop_to_server`` and
    ``drop_to_client`` drop the data of all connections in one direction.
    """

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
        """Cut the next ``count`` connections whose client sends a pattern, before forwarding it."""
        self._cut_pattern, self._cuts_left = pattern, count

    def silence_at(self, pattern: bytes, count: int) -> None:
        """Drop data of the next ``count`` connections, from the chunk with the pattern on."""
        self._silence_pattern, self._silences_left = pattern, count

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        try:
            server_reader, server_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        connection = Connection(client=writer, server=server_writer)
        self._connections.add(connection)
        copies = {
            asyncio.create_task(self._copy(connection, reader, server_writer, True)),
            asyncio.create_task(self._copy(connection, server_reader, writer, False)),
        }
        self._tasks |= copies
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        connection.cut()
        self._connections.discard(connection)
        for copy in copies:
            copy.cancel()
        self._tasks -= copies

    async def _copy(
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
        """Apply the patterns to client data; return whether the connection must be cut."""
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
    """Start a relay for each address; the exit stack stops them."""
    relays = {}
    for address in addresses:
        relays[address] = Relay(address=address)
        await relays[address].start()
        stack.push_async_callback(relays[address].stop)
    return relays


async def start_before_primary(
    start_fleet: abc.Callable[..., abc.Awaitable[fleet_module.Fleet]],
    prepared: configurations.PreparedConfiguration,
    stack: contextlib.AsyncExitStack,
    **options: object,
) -> tuple[fleet_module.Fleet, Relay]:
    """Start a fleet whose proxies reach the first group's primary through a relay."""
    relays = {}

    async def start_relays(layout: layout_module.Layout) -> dict[str, str]:
        group = layout.groups[0]
        addresses = [group.target(group.primary).address]
        relays.update(await relay_all(addresses, stack))
        return {address: started.address for address, started in relays.items()}

    fleet = await start_fleet(prepared.configuration, relays=start_relays, **options)
    return fleet, next(iter(relays.values()))
