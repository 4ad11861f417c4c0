"""Stand-in of the platform's store, with one address for each entry VM, and of its cloud calls."""

import asyncio
import base64
import collections
import json
import time
import urllib.parse
from collections import abc
from typing import Any

TX_SECONDS = 0.006  # time that a transaction takes
READ_SECONDS = 0.004  # time that a read takes

# Status and JSON document of a response.
_Answer = tuple[int, dict[str, Any]]


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], bytes] | None:
    """Return method, target, headers and body of the next request; None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    return method, target, headers, body


class Store:
    """Versioned rows in memory.

    Args:
        record: Receives the fields of each event.
    """

    def __init__(self, *, record: abc.Callable[..., None]) -> None:
        self._record = record
        self._rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self._changes: list[tuple[int, str, str, bytes | None]] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._tokens: dict[str, int] = collections.defaultdict(int)
        self.promote: abc.Callable[[str, str], abc.Awaitable[bool]] | None = None

    async def listen(self, vm: str, port: int) -> None:
        """Serve one entry VM on a loopback port."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            self._tasks.add(task)
            try:
                await self._serve(vm, reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                writer.transport.abort()
            finally:
                self._tasks.discard(task)
                writer.close()

        self._servers.append(await asyncio.start_server(serve, "127.0.0.1", port))

    async def stop(self) -> None:
        """Close all ports and connections."""
        for server in self._servers:
            server.close()
        for task in tuple(self._tasks):
            task.cancel()

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator, an instance or another writer does."""
        self._version += 1
        self._rows[(table, key)] = (value, self._version)
        self._note(table, key, value)

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self._version += 1
        self._rows.pop((table, key), None)
        self._note(table, key, None)

    def _note(self, table: str, key: str, value: bytes | None) -> None:
        self._changes.append((self._version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, vm: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            status, document = await self._answer(vm, *request)
            body = json.dumps(document).encode()
            head = (
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nStore-Era: 1\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()

    async def _answer(
        self, vm: str, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> _Answer:
        if target == "/failover":
            return await self._failover(headers, json.loads(body))
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-tx":
            return await self._transact(vm, json.loads(body))
        if path == "/rows-get":
            return await self._get(fields)
        if path == "/rows-feed":
            return await self._feed(fields)
        return 404, {}

    def _document(self, rows: list[dict[str, Any]], **fields: Any) -> dict[str, Any]:
        now_ms = time.monotonic() * 1000
        return {"rows": rows, "row-version": self._version, "now-ms": now_ms, **fields}

    @staticmethod
    def _row(table: str, key: str, value: bytes | None, version: int) -> dict[str, Any]:
        row = {"table": table, "part": "", "key": key, "row-version": version}
        if value is None:
            return {**row, "tombstone": True}
        return {**row, "value": base64.b64encode(value).decode()}

    async def _get(self, fields: dict[str, str]) -> _Answer:
        await asyncio.sleep(READ_SECONDS)
        table, start = fields["table"], fields.get("from-rev", "")
        limit = min(500, int(fields.get("limit") or 500))
        keys = sorted(key for name, key in self._rows if name == table and key >= start)
        rows = [self._row(table, key, *self._rows[(table, key)]) for key in keys[:limit]]
        return 200, self._document(rows, **{"has-more": len(keys) > limit})

    async def _feed(self, fields: dict[str, str]) -> _Answer:
        table, after = fields["table"], int(fields["after"])
        until = time.monotonic() + int(fields["wait-ms"]) / 1000
        await asyncio.sleep(READ_SECONDS)
        while True:
            newer = [change for change in self._changes if change[0] > after and change[1] == table]
            left = until - time.monotonic()
            if newer or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
        rows = [self._row(table, key, value, version) for version, _, key, value in newer]
        return 200, self._document(rows)

    async def _transact(self, vm: str, document: dict[str, Any]) -> _Answer:
        await asyncio.sleep(TX_SECONDS)
        for row in document["expected"]:
            _, version = self._rows.get((row["table"], row["key"]), (b"", 0))
            if version != row["row-version"]:
                return 412, self._document([])
        self._version += 1
        for row in document["set-keys"]:
            value = base64.b64decode(row["value"])
            self._rows[(row["table"], row["key"])] = (value, self._version)
            self._note(row["table"], row["key"], value)
        for row in document["delete-keys"]:
            self._rows.pop((row["table"], row["key"]), None)
            self._note(row["table"], row["key"], None)
        keys = [row["key"] for row in document["set-keys"] + document["delete-keys"]]
        self._record("store", what="conditional write", by=vm, keys=keys)
        return 200, {"row-version": self._version, "now-ms": time.monotonic() * 1000}

    async def _failover(self, headers: dict[str, str], document: dict[str, Any]) -> _Answer:
        service, instance = document["service"], document["id"]
        token = int(headers["greengageshunt-fencing-token"])
        holder = headers["greengageshunt-duty-holder"]
        fields = {"service": service, "instance": instance, "holder": holder, "token": token}
        if token < self._tokens[service]:
            self._record("cloud", what="failover refused: token", **fields)
            return 409, {}
        self._tokens[service] = token
        done = self.promote is not None and await self.promote(service, instance)
        self._record("cloud", what="failover" if done else "failover refused", **fields)
        return (200, {}) if done else (409, {})
