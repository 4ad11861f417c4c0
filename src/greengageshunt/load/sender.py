"""Sends arrivals to a fleet as callers behind the platform's balancer."""

import asyncio
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
    try:
        document = json.loads(body)
    except ValueError:
        # The interface promises JSON; another body is a fault of the proxy.
        return Reply(code=f"http_{status}", outcome="unknown")
    if status != 200:
        return Reply(code=document["code"], outcome=document["outcome"])
    value = document["rows"][0][0] if document["rows"] else None
    return Reply(
        code="ok", outcome="committed", target=document["target"], value=value, token=token
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Session:
    """What a caller holds of a session.

    Requests of a session may overlap, and the newest answer's token replaces the
    one before; the writes that a token covers are those of its own chain of
    requests and answers.

    Attributes:
        token: Newest session token.
        writes: Number of acknowledged writes that the token covers, by group.
    """

    token: str = ""
    writes: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)


def follow(sent: Session, arrival: arrivals_module.Arrival, token: str) -> Session:
    """Return the session after an answer.

    Args:
        sent: Session with which the request was sent.
        arrival: The request.
        token: Session token of the answer.
    """
    writes = dict(sent.writes)
    if arrival.kind is model.RouteKind.WRITE:
        writes[arrival.group] = writes.get(arrival.group, 0) + 1
    return Session(token=token, writes=writes)


class Sender:
    """Sends requests and keeps the sessions of all callers."""

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
        self._sessions: dict[tuple[str, int], Session] = {}

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
        key = (arrival.account, arrival.session)
        await asyncio.sleep(self._one_way)
        sent = self._sessions.get(key, Session())
        due = started_at + arrival.at + self._one_way
        sent_late = max(0.0, asyncio.get_running_loop().time() - due)
        reply = await self._call_any(arrival, sent.token)
        await asyncio.sleep(self._one_way)
        latency = asyncio.get_running_loop().time() - started_at - arrival.at
        missing = False
        if reply.code == "ok":
            self._sessions[key] = follow(sent, arrival, reply.token)
            read = arrival.kind is model.RouteKind.READ
            missing = read and int(reply.value or 0) < sent.writes.get(arrival.group, 0)
        return traces.Sample(
            arrival=arrival,
            latency=latency,
            code=reply.code,
            outcome=reply.outcome,
            target=reply.target,
            own_writes_missing=missing,
            sent_late=sent_late,
        )

    async def _call_any(self, arrival: arrivals_module.Arrival, token: str) -> Reply:
        """Try the planned entry VM, then the others, as the balancer does."""
        vms = self._layout.vms
        for offset in range(len(vms)):
            vm = vms[(arrival.vm + offset) % len(vms)]
            try:
                return await self._call(arrival, vm.http_address, token)
            except aiohttp.ClientConnectorError:
                continue
            except (aiohttp.ClientError, TimeoutError):
                return Reply(code="connection_lost", outcome="unknown")
        return Reply(code="no_entry_vm", outcome="not_run")

    async def _call(self, arrival: arrivals_module.Arrival, address: str, token: str) -> Reply:
        reference = self.reference(arrival.number)
        headers = {
            "Authorization": f"Bearer {self._keys[arrival.account]}",
            "Session-Token": token,
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
