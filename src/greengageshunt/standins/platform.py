"""Stand-in for the platform: rows, objects and the list of entry VMs over HTTP.

``POST /control/faults`` with a JSON object sets faults:

* ``down``: respond to each request with status 503.
* ``delay``: seconds to wait before each response.
* ``drop_answers``: number of writes that still take effect without a response; the
  platform closes their connections instead.
* ``drop_prefix``: prefix of the paths to which ``drop_answers`` applies.
* ``cut_vms``: names of entry VMs that get no response before their time-outs.

``PUT /control/vms`` sets the list of entry VMs. With ``?vm=NAME`` it sets the list
that only this entry VM gets, which simulates an outdated list or puts a relay
between two peers.
"""

import asyncio
import dataclasses
from typing import Any

from aiohttp import web

# Seconds after which a request of a cut-off entry VM gets status 503. It is longer than the
# time-outs of the entry VMs, so that they see no response.
CUT_OFF_RESPONSE_DELAY = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Simulated faults that are in force; the module's description lists the fields."""

    down: bool = False
    delay: float = 0.0
    drop_answers: int = 0
    drop_prefix: str = "/"
    cut_vms: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredRow:
    """A row with its version number."""

    value: Any
    version: int


def vms_seen_by(viewer: str, vms: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the list of entry VMs that the platform sends to one of them.

    VMs of other failure domains get the ``relay_address`` of an entry, if it has
    one, as its peer address. So a relay can add the latency between the domains.
    """
    domains = {entry["vm"]: entry["failure_domain"] for entry in vms}
    listed = []
    for entry in vms:
        entry_for_viewer = {key: value for key, value in entry.items() if key != "relay_address"}
        if "relay_address" in entry and domains.get(viewer) != entry["failure_domain"]:
            entry_for_viewer["peer_address"] = entry["relay_address"]
        listed.append(entry_for_viewer)
    return listed


class PlatformStandin:
    """Stores rows, objects and the list of entry VMs in memory, and serves them."""

    def __init__(self) -> None:
        self._rows: dict[str, StoredRow] = {}
        self._objects: dict[str, bytes] = {}
        self._vms: list[dict[str, Any]] = []
        self._vms_for: dict[str, list[dict[str, Any]]] = {}
        self._faults = Faults()
        self._reads = 0
        self._writes = 0

    def application(self) -> web.Application:
        """Return the HTTP application of the platform and of its fault control."""
        app = web.Application(middlewares=[self._apply_faults], client_max_size=64 * 2**20)
        app.router.add_get("/rows", self._list_rows)
        app.router.add_get("/rows/{key:.+}", self._get_row)
        app.router.add_put("/rows/{key:.+}", self._put_row)
        app.router.add_get("/objects/{name:.+}", self._get_object)
        app.router.add_put("/objects/{name:.+}", self._put_object)
        app.router.add_get("/vms", self._get_vms)
        app.router.add_put("/control/vms", self._set_vms)
        app.router.add_post("/control/faults", self._set_faults)
        app.router.add_get("/control/counts", self._get_counts)
        return app

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path.startswith("/control/"):
            return await handler(request)
        if request.headers.get("Vm", "") in self._faults.cut_vms:
            await asyncio.sleep(CUT_OFF_RESPONSE_DELAY)
            return web.Response(status=503)
        if self._faults.delay:
            await asyncio.sleep(self._faults.delay)
        if self._faults.down:
            return web.Response(status=503)
        response = await handler(request)
        dropped = request.method == "PUT" and request.path.startswith(self._faults.drop_prefix)
        if dropped and self._faults.drop_answers > 0:
            remaining = self._faults.drop_answers - 1
            self._faults = dataclasses.replace(self._faults, drop_answers=remaining)
            request.transport.abort()
        return response

    async def _list_rows(self, request: web.Request) -> web.Response:
        self._reads += 1
        prefix = request.query.get("prefix", "")
        rows = [
            {"key": key, "value": row.value, "etag": f'"{row.version}"'}
            for key, row in sorted(self._rows.items())
            if key.startswith(prefix)
        ]
        return web.json_response(rows)

    async def _get_row(self, request: web.Request) -> web.Response:
        self._reads += 1
        row = self._rows.get(request.match_info["key"])
        if row is None:
            return web.Response(status=404)
        return web.json_response(row.value, headers={"ETag": f'"{row.version}"'})

    async def _put_row(self, request: web.Request) -> web.Response:
        self._writes += 1
        key = request.match_info["key"]
        value = await request.json()
        row = self._rows.get(key)
        expected_etag = request.headers.get("If-Match")
        must_not_exist = request.headers.get("If-None-Match") == "*"
        if must_not_exist and row is not None:
            return web.Response(status=412)
        if expected_etag is not None and (row is None or expected_etag != f'"{row.version}"'):
            return web.Response(status=412)
        version = row.version + 1 if row else 1
        self._rows[key] = StoredRow(value=value, version=version)
        return web.Response(status=200, headers={"ETag": f'"{version}"'})

    async def _get_object(self, request: web.Request) -> web.Response:
        self._reads += 1
        data = self._objects.get(request.match_info["name"])
        if data is None:
            return web.Response(status=404)
        return web.Response(body=data)

    async def _put_object(self, request: web.Request) -> web.Response:
        self._writes += 1
        self._objects[request.match_info["name"]] = await request.read()
        return web.Response(status=200)

    async def _get_vms(self, request: web.Request) -> web.Response:
        self._reads += 1
        viewer = request.headers.get("Vm", "")
        listed = self._vms_for.get(viewer, self._vms)
        return web.json_response(vms_seen_by(viewer, listed))

    async def _set_vms(self, request: web.Request) -> web.Response:
        listed = await request.json()
        if "vm" in request.query:
            self._vms_for[request.query["vm"]] = listed
        else:
            self._vms = listed
        return web.Response(status=200)

    async def _set_faults(self, request: web.Request) -> web.Response:
        changes = await request.json()
        if "cut_vms" in changes:
            changes["cut_vms"] = tuple(changes["cut_vms"])
        self._faults = dataclasses.replace(self._faults, **changes)
        return web.json_response(dataclasses.asdict(self._faults))

    async def _get_counts(self, request: web.Request) -> web.Response:
        return web.json_response({"reads": self._reads, "writes": self._writes})
