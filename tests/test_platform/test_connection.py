"""HTTP clients with a connection for each call."""

import asyncio
import contextlib
import json
from collections import abc

import pytest

from greengageshunt.stores import connection, http


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


async def test_call_after_a_missing_answer_is_not_sent_on_a_silent_connection():
    """Guards against calls on further connections that fell silent together with the first."""
    served = _Server()
    server = await asyncio.start_server(served.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = connection.HttpClient(address=f"{host}:{port}")
    await asyncio.gather(*(client.call("GET", "/", timeout=2.0) for _ in range(3)))
    assert served.opened == 3
    served.silent = {1, 2, 3, 4}
    with pytest.raises(connection.CallError):
        await client.call("GET", "/", timeout=0.1)
    answer = await client.call("GET", "/", timeout=2.0)
    assert answer.status == 200
    server.close()


class _RepeatingServer:
    """Responds with the path of each request as JSON, and repeats the response on its connection.

    Args:
        moment: When a response is repeated: ``at once``, ``while idle`` or ``before the next``.
    """

    def __init__(self, moment: str) -> None:
        self._moment = moment

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        earlier = b""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                body = b'"%s"' % (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
                head = b'HTTP/1.1 200 OK\r\nETag: "1"\r\nContent-Length: %d\r\n\r\n' % len(body)
                response = head + body
                if self._moment == "before the next":
                    writer.write(earlier)
                    earlier = response
                writer.write(response * 2 if self._moment == "at once" else response)
                if self._moment == "while idle":
                    await asyncio.sleep(0.01)
                    writer.write(response)
        writer.close()


@contextlib.asynccontextmanager
async def _product_client(address: str) -> abc.AsyncIterator[abc.Callable]:
    client = connection.HttpClient(address=address)

    async def read(key: str) -> str:
        return json.loads((await client.call("GET", f"/rows/{key}", timeout=2.0)).body)

    yield read


@contextlib.asynccontextmanager
async def _library_client(address: str) -> abc.AsyncIterator[abc.Callable]:
    platform = http.HttpPlatform(address=address, vm="vm-1")

    async def read(key: str) -> str:
        row = await platform.get_row(key)
        return row.value

    yield read
    await platform.close()


@pytest.mark.parametrize("make_client", [_product_client, _library_client])
@pytest.mark.parametrize("moment", ["at once", "while idle", "before the next"])
async def test_repeated_response_is_not_taken_for_that_to_a_later_call(make_client, moment):
    """Guards against the response to an earlier write or read that decides a later one."""
    server = await asyncio.start_server(_RepeatingServer(moment).serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    values = []
    async with make_client(f"{host}:{port}") as read:
        for number in range(5):
            values.append(await read(str(number)))
            await asyncio.sleep(0.03)
    server.close()
    assert values == [f"/rows/{number}" for number in range(5)]


@pytest.mark.parametrize(
    ("value", "received"),
    [
        ("vm-\u00e9", "vm-\u00e9".encode()),
        ("vm-1\r\nX-Token: 9", None),
        ("vm-1\n", None),
        ("vm-1 ", None),
    ],
)
async def test_header_value_arrives_unchanged_or_the_call_is_not_sent(value, received):
    """Guards against a name that ends a header, and one that ends the task of its caller."""
    requests = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = connection.HttpClient(address=f"{host}:{port}")
    if received is None:
        with pytest.raises(connection.CallError) as raised:
            await client.call("POST", "/", headers={"Holder": value}, timeout=2.0)
        assert not raised.value.sent
        assert not requests
    else:
        await client.call("POST", "/", headers={"Holder": value}, timeout=2.0)
        assert b"\r\nHolder: " + received + b"\r\n" in requests[0]
    server.close()
