"""Sends arrivals to a fleet as callers behind the platform's balancer."""

import asyncio
import collections
import dataclasses
import json
from collections import abc

import aiohttp

from greengageshunt import model
from greengageshunt.load import arrivals as arrivals_module
from greengageshunt.load import traces
from greengageshunt.standins import layout as layout_module

TIMEOUT = 5.0  # seconds that a caller waits
GRACE = 1.0  # seconds beyond the timeout until the caller gives up the connection


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """What a caller got: code, outcome, target, first value and session token."""

    code: str
    outcome: str
    target: str = ""
    value: model.Value = None
    token: str = ""


def read_reply(status: int, body: bytes, token: str) -> Reply:
    """Return the reply of an HTTP answer."""
    document = json.loads(body)
    if status != 200:
        return Reply(code=document["code"], outcome=document["outcome"])
    value = document["rows"][0][0] if document["rows"] else None
    return Reply(
        code="ok", outcome="committed", target=document["target"], value=value, token=token
    )


class Sender:
    """Sessions of all callers, with their tokens and acknowledged writes."""

    def __init__(
        self,
        *,
        layout: layout_module.Layout,
        session: aiohttp.ClientSession,
        keys: abc.Mapping[str, str],
        seed: int,
    ) -> None:
        self._layout = layout
        self._session = session
        self._keys = keys
        self._seed = seed
        self._one_way = layout.profile.caller_latency_ms / 1000
        self._tokens: dict[tuple[str, int], str] = {}
        self._written: collections.Counter[tuple[str, int, str]] = collections.Counter()

    def reference(self, number: int) -> str:
        """Return the request id of an arrival, under which a write stores its row."""
        return f"{self._seed}-{number}"

    async def run(
        self, planned: abc.Iterable[arrivals_module.Arrival], started_at: float
    ) -> tuple[traces.Sample, ...]:
        """Send each arrival at its time, whatever the answers to earlier ones.

        Args:
            planned: Arrivals in order of time.
            started_at: Time of the event loop at which the run starts.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            tasks = []
            for arrival in planned:
                await asyncio.sleep(max(0.0, started_at + arrival.at - loop.time()))
                tasks.append(group.create_task(self._send(arrival, started_at)))
        return tuple(task.result() for task in tasks)

    async def _send(self, arrival: arrivals_module.Arrival, started_at: float) -> traces.Sample:
        seen = self._written[(arrival.account, arrival.session, arrival.group)]
        await asyncio.sleep(self._one_way)
        reply = await self._call_any(arrival)
        await asyncio.sleep(self._one_way)
        latency = asyncio.get_running_loop().time() - started_at - arrival.at
        missing = False
        if reply.code == "ok":
            self._tokens[(arrival.account, arrival.session)] = reply.token
            if arrival.kind is model.RouteKind.WRITE:
                self._written[(arrival.account, arrival.session, arrival.group)] += 1
            else:
                missing = int(reply.value or 0) < seen
        return traces.Sample(
            arrival=arrival,
            latency=latency,
            code=reply.code,
            outcome=reply.outcome,
            target=reply.target,
            own_writes_missing=missing,
        )

    async def _call_any(self, arrival: arrivals_module.Arrival) -> Reply:
        """Try the planned entry VM, then the others, as the balancer does."""
        vms = self._layout.vms
        for offset in range(len(vms)):
            vm = vms[(arrival.vm + offset) % len(vms)]
            try:
                return await self._call(arrival, vm.http_address)
            except aiohttp.ClientConnectorError:
                continue
            except (aiohttp.ClientError, TimeoutError):
                return Reply(code="connection_lost", outcome="unknown")
        return Reply(code="no_entry_vm", outcome="not_run")

    async def _call(self, arrival: arrivals_module.Arrival, address: str) -> Reply:
        reference = self.reference(arrival.number)
        headers = {
            "Authorization": f"Bearer {self._keys[arrival.account]}",
            "Session-Token": self._tokens.get((arrival.account, arrival.session), ""),
            "Request-Id": reference,
            "Timeout-Ms": str(int(TIMEOUT * 1000)),
        }
        parameters: dict[str, model.Value] = {"session": f"session-{arrival.session}"}
        if arrival.kind is model.RouteKind.WRITE:
            parameters["ref"] = reference
        async with self._session.post(
            f"http://{address}/v1/routes/{arrival.route}",
            json={"parameters": parameters},
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=TIMEOUT + GRACE),
        ) as response:
            body = await response.read()
            return read_reply(response.status, body, response.headers.get("Session-Token", ""))
