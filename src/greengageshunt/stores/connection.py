"""HTTP/1.1 client with a connection for each call, with ``h11`` as the codec.

A response carries nothing that names its request. On a connection that is used again, a repeated
response would count as that to the next request, such as the success of a write that failed.
"""

import asyncio
import dataclasses
import socket
from collections import abc

import h11

READ_SIZE = 65536  # bytes

# Milliseconds after which the kernel closes a connection whose sent data is not acknowledged.
TCP_USER_TIMEOUT_MS = 2000

CONNECT_TIMEOUT = 1.0  # seconds


class CallError(Exception):
    """A call got no complete response.

    Attributes:
        sent: Whether the request may have reached the server.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """Response to a call.

    Attributes:
        status: HTTP status.
        headers: Headers by name in lower case.
        body: Body.
    """

    status: int
    headers: abc.Mapping[str, str]
    body: bytes


async def _exchange(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: h11.Request, body: bytes
) -> Response:
    """Send the only request of a connection and return its response."""
    protocol = h11.Connection(h11.CLIENT)
    data = protocol.send(request) or b""
    if body:
        data += protocol.send(h11.Data(data=body)) or b""
    data += protocol.send(h11.EndOfMessage()) or b""
    writer.write(data)
    await writer.drain()
    status, headers, chunks = 0, {}, []
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await reader.read(READ_SIZE))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
        elif isinstance(event, h11.Data):
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return Response(status=status, headers=headers, body=b"".join(chunks))
        elif isinstance(event, h11.ConnectionClosed):
            raise ConnectionResetError("connection closed before the end of the response")


class HttpClient:
    """Client of one HTTP server."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)

    @property
    def address(self) -> str:
        """``host:port`` of the server."""
        return self._address

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: abc.Mapping[str, str] | None = None,
        timeout: float,
        may_send: abc.Callable[[], bool] = lambda: True,
    ) -> Response:
        """Send a request and return the response.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Body, sent as JSON.
            headers: Further headers, sent as UTF-8.
            timeout: Seconds for the whole call, including the connection set-up.
            may_send: Whether the request may still be sent; called right before it is.

        Raises:
            CallError: The call timed out, the connection failed, a header cannot be sent, or the
                request may no longer be sent.
        """
        header_lines = [
            ("Host", self._address.encode()),
            ("Connection", b"close"),
            ("Content-Length", str(len(body)).encode()),
        ]
        if body:
            header_lines.append(("Content-Type", b"application/json"))
        header_lines.extend((name, text.encode()) for name, text in (headers or {}).items())
        writer: asyncio.StreamWriter | None = None
        sent = False
        try:
            request = h11.Request(method=method, target=path, headers=header_lines)
            async with asyncio.timeout(timeout):
                reader, writer = await self._connect()
                if not may_send():
                    raise CallError(f"{method} {path}: may no longer be sent", sent=False)
                sent = True
                return await _exchange(reader, writer, request, body)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            reason = str(error) or type(error).__name__
            raise CallError(f"{method} {path.partition('?')[0]}: {reason}", sent=sent) from error
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        tcp_socket = writer.get_extra_info("socket")
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        return reader, writer
