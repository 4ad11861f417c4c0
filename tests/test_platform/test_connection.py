"""HTTP client with persistent connections."""

import asyncio

import pytest

from greengageshunt.stores import connection


class _Server:
    """Answers each request, except on connections that a test silences."""

    def __init__(self) -> None:
        self.silent: set[int] = set()
        self.opened = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.opened += 1
        number = self.opened
        while line := await reader.readline():
            if line == b"\r\n" and number not in self.silent:
                # The delay lets concurrent calls open a connection each.
                await asyncio.sleep(0.01)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def test_a_missing_answer_closes_the_idle_connections():
    """Guards against calls on further connections that fell silent together with the first."""
    served = _Server()
    server = await asyncio.start_server(served.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = connection.HttpClient(address=f"{host}:{port}")
    await asyncio.gather(*(client.call("GET", "/", timeout=2.0) for _ in range(3)))
    assert served.opened == 3
    served.silent = {1, 2, 3}
    with pytest.raises(connection.CallError):
        await client.call("GET", "/", timeout=0.1)
    answer = await client.call("GET", "/", timeout=2.0)
    assert answer.status == 200
    server.close()
