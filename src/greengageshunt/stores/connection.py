"""HTTP/1.1 client with persistent connections, with ``h11`` as the codec."""

import asyncio
import dataclasses
import socket
from collections import abc

import h11

READ_SIZE = 65536  # bytes

# Idle connections that an ``HttpClient`` keeps open for later calls.
IDLE_CONNECTION_LIMIT = 6

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


class _Connection:
    """One connection and the state of its ``h11`` codec."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.CLIENT)

    @property
    def reusable(self) -> bool:
        return (
            self._protocol.our_state is h11.IDLE
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    async def exchange(self, request: h11.Request, body: bytes) -> Response:
        data = self._protocol.send(request) or b""
        if body:
            data += self._protocol.send(h11.Data(data=body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        self._writer.write(data)
        await self._writer.drain()
        status, headers, chunks = 0, {}, []
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                self._protocol.receive_data(await self._reader.read(READ_SIZE))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {name.decode(): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("connection closed before the end of the response")
        if self._protocol.our_state is h11.DONE and self._protocol.their_state is h11.DONE:
            self._protocol.start_next_cycle()
        return Response(status=status, headers=headers, body=b"".join(chunks))

    def abort(self) -> None:
        self._writer.transport.abort()


class HttpClient:
    """Client of one HTTP server, which reuses its connections."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle_connections: list[_Connection] = []

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
            headers: Further headers.
            timeout: Seconds for the whole call, including the connection set-up.
            may_send: Whether the request may still be sent; called right before it is.

        Raises:
            CallError: The call timed out, the connection failed, or the request may no longer be
                sent.
        """
        header_lines = [("Host", self._address), ("Content-Length", str(len(body)))]
        if body:
            header_lines.append(("Content-Type", "application/json"))
        header_lines.extend((headers or {}).items())
        request = h11.Request(method=method, target=path, headers=header_lines)
        connection: _Connection | None = None
        sent = False
        try:
            async with asyncio.timeout(timeout):
                connection = await self._get_connection()
                if not may_send():
                    connection.abort()
                    raise CallError(f"{method} {path}: may no longer be sent", sent=False)
                sent = True
                response = await connection.exchange(request, body)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            if connection is not None:
                connection.abort()
            # The server may have stopped answering on the other connections, too.
            self._abort_idle_connections()
            reason = str(error) or type(error).__name__
            raise CallError(f"{method} {path.partition('?')[0]}: {reason}", sent=sent) from error
        except asyncio.CancelledError:
            if connection is not None:
                connection.abort()
            raise
        if connection.reusable and len(self._idle_connections) < IDLE_CONNECTION_LIMIT:
            self._idle_connections.append(connection)
        else:
            connection.abort()
        return response

    def _abort_idle_connections(self) -> None:
        while self._idle_connections:
            self._idle_connections.pop().abort()

    async def _get_connection(self) -> _Connection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.reusable:
                return connection
            connection.abort()
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        tcp_socket = writer.get_extra_info("socket")
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        return _Connection(reader=reader, writer=writer)
