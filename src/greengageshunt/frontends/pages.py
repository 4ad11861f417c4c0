"""HTTP server for the small pages of a daemon, with ``h11`` as the codec."""

import asyncio
import dataclasses
import logging
from collections import abc

import h11

from greengageshunt import listening

logger = logging.getLogger(__name__)

READ_SIZE = 4096  # bytes

# Seconds after which a connection is closed, however many requests it has served.
CONNECTION_LIFETIME = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Page:
    """Response to a request for a page."""

    status: int
    body: bytes
    content_type: str = "text/plain; charset=utf-8"


# Renders a page for one request.
Renderer = abc.Callable[[], Page]


async def serve(name: str, address: str, renderers: abc.Mapping[str, Renderer]) -> None:
    """Serve pages until cancelled.

    Args:
        name: What the pages show, for the log.
        address: ``host:port``.
        renderers: Functions that render the pages, by path.
    """
    host, _, port = address.rpartition(":")

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            async with asyncio.timeout(CONNECTION_LIFETIME):
                await _serve_connection(reader, writer, renderers)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            logger.debug(
                "page connection failed or reached its lifetime", extra={"reason": str(error)}
            )
        finally:
            writer.close()

    server = await listening.listen(
        name, address, lambda: asyncio.start_server(handle, host, int(port))
    )
    async with server:
        await server.serve_forever()


async def _serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    renderers: abc.Mapping[str, Renderer],
) -> None:
    connection = h11.Connection(h11.SERVER)
    path = ""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_SIZE))
        elif isinstance(event, h11.Request):
            path = event.target.decode().partition("?")[0]
        elif isinstance(event, h11.EndOfMessage):
            renderer = renderers.get(path)
            page = renderer() if renderer else Page(status=404, body=b"not found\n")
            writer.write(_encode(connection, page))
            await writer.drain()
            if connection.our_state is h11.MUST_CLOSE:
                return
            connection.start_next_cycle()
        elif isinstance(event, h11.ConnectionClosed):
            return


def _encode(connection: h11.Connection, page: Page) -> bytes:
    headers = [
        ("Content-Type", page.content_type),
        ("Content-Length", str(len(page.body))),
    ]
    data = connection.send(h11.Response(status_code=page.status, headers=headers)) or b""
    data += connection.send(h11.Data(data=page.body)) or b""
    return data + (connection.send(h11.EndOfMessage()) or b"")
