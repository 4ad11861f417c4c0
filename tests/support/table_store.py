"""Stand-in for the platform's store: versioned rows, a change feed, and failover orders."""

import asyncio
import base64
import dataclasses
import json
import time
from collections import abc

from aiohttp import web


@dataclasses.dataclass(frozen=True, kw_only=True)
class Copy:
    """Copy of a store.

    Attributes:
        version: Version of the store.
        rows: Value and version of each row, by table and key.
        changes: Version, table, key and value of each change; the value is None for a removal.
    """

    version: int
    rows: abc.Mapping[tuple[str, str], tuple[bytes, int]]
    changes: tuple[tuple[int, str, str, bytes | None], ...]


class TableStore:
    """Serves rows over HTTP; tests change its state directly.

    While ``down``, it rejects each request with 503. The next ``lose_answers`` transactions take
    effect, but the connection is aborted before the response. Feed requests for changes after a
    version below ``lost_history_before`` get 410. ``tokens`` holds the highest fencing token
    of each group. All responses carry the era, which rises with each ``restore``.
    """

    def __init__(self) -> None:
        self.down = False
        self.refused: set[str] = set()
        self.lost_history_before = 0
        self.lose_answers = 0
        self.version = 0
        self.era = 1
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.changes: list[tuple[int, str, str, bytes | None]] = []
        self.orders: list[tuple[str, str, str, int]] = []
        self.tokens: dict[str, int] = {}
        self.promote: abc.Callable[[str, str], abc.Awaitable[bool]] | None = None
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, port: int) -> None:
        """Serve on a loopback port."""
        app = web.Application(middlewares=[self._reject_while_down])
        app.router.add_get("/rows-get", self._get)
        app.router.add_get("/rows-feed", self._feed)
        app.router.add_post("/rows-tx", self._transact)
        app.router.add_post("/failover", self._failover)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port).start()

    async def stop(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a target does."""
        self.put_raw(table, key, json.dumps(value).encode())

    def put_raw(self, table: str, key: str, value: bytes) -> None:
        """Write bytes to a row, even if they are not JSON."""
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self._record_change(table, key, value)

    def delete(self, table: str, key: str) -> None:
        """Delete a row."""
        self.version += 1
        self.rows.pop((table, key), None)
        self._record_change(table, key, None)

    def copy(self) -> Copy:
        """Return a copy from which the store can be restored."""
        return Copy(version=self.version, rows=dict(self.rows), changes=tuple(self.changes))

    def restore(self, copy: Copy) -> None:
        """Return to a copy, and lose everything that was written since, but not the era."""
        self.version, self.rows = copy.version, dict(copy.rows)
        self.changes = list(copy.changes)
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _record_change(self, table: str, key: str, value: bytes | None) -> None:
        self.changes.append((self.version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _reject_while_down(
        self, request: web.Request, handler: abc.Callable
    ) -> web.StreamResponse:
        era = self.era
        if self.down:
            response: web.StreamResponse = web.json_response({}, status=503)
        else:
            response = await handler(request)
        if self.era != era and request.transport is not None:
            # A restore ends the calls that the store holds.
            request.transport.abort()
        response.headers["Store-Era"] = str(self.era)
        return response

    def _row(self, table: str, key: str, value: bytes, version: int) -> dict[str, object]:
        encoded = base64.b64encode(value).decode()
        return {"table": table, "part": "", "key": key, "value": encoded, "row-version": version}

    def _answer(self, rows: list[dict[str, object]], **fields: object) -> web.Response:
        now_ms = time.monotonic() * 1000
        return web.json_response(
            {"rows": rows, "row-version": self.version, "now-ms": now_ms, **fields}
        )

    async def _get(self, request: web.Request) -> web.Response:
        table = request.query["table"]
        matching = sorted((key, entry) for (name, key), entry in self.rows.items() if name == table)
        rows = [self._row(table, key, value, version) for key, (value, version) in matching]
        return self._answer(rows, **{"has-more": False})

    async def _feed(self, request: web.Request) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        deadline = time.monotonic() + int(request.query["wait-ms"]) / 1000
        if after < self.lost_history_before or after > self.version:
            return web.json_response({}, status=410)
        while True:
            newer = [change for change in self.changes if change[0] > after and change[1] == table]
            left = deadline - time.monotonic()
            if newer or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
        rows = []
        for version, name, key, value in newer:
            row = self._row(name, key, value or b"", version)
            rows.append(row if value is not None else {**row, "tombstone": True})
        return self._answer(rows)

    async def _transact(self, request: web.Request) -> web.Response:
        document = await request.json()
        for row in document["expected"]:
            _, version = self.rows.get((row["table"], row["key"]), (b"", 0))
            if version != row["row-version"]:
                return web.json_response({"rows": [], "row-version": self.version}, status=412)
        self.version += 1
        for row in document["set-keys"]:
            value = base64.b64decode(row["value"])
            self.rows[(row["table"], row["key"])] = (value, self.version)
            self._record_change(row["table"], row["key"], value)
        for row in document["delete-keys"]:
            self.rows.pop((row["table"], row["key"]), None)
            self._record_change(row["table"], row["key"], None)
        if self.lose_answers:
            self.lose_answers -= 1
            request.transport.abort()
        return web.json_response({"row-version": self.version, "now-ms": 1})

    async def _failover(self, request: web.Request) -> web.Response:
        document = await request.json()
        group, target = document["service"], document["id"]
        token = int(request.headers["Greengageshunt-Fencing-Token"])
        holder = request.headers["Greengageshunt-Duty-Holder"]
        if token < self.tokens.get(group, 0):
            return web.json_response({}, status=409)
        self.tokens[group] = token
        self.orders.append((group, target, holder, token))
        if self.promote is not None and not await self.promote(group, target):
            return web.json_response({}, status=409)
        return web.json_response({})
