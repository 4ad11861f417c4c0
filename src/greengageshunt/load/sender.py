"""Sends arrivals to a fleet, as callers behind the platform's load balancer do."""

import asyncio
import dataclasses
import json
from collections import abc

import aiohttp

from greengageshunt import model
from greengageshunt.load import arrivals as arrivals_module
from greengageshunt.load import traces
from greengageshunt.standins import layout as layout_module

# Seconds in which a proxy must answer a request; sent in the ``Timeout-Ms`` header.
REQUEST_TIMEOUT = 5.0

# Seconds beyond the request time-out after which a caller closes the connection. At 0
# callers would not receive the time-out responses of the proxy.
CONNECTION_GRACE = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """Response to a request, or the reason why there is none.

    Attributes:
        code: ``ok``, the error code of the response, or ``connection_lost``,
            ``no_entry_vm`` or ``http_<status>`` if there is no valid response.
        outcome: ``committed``, ``not_run`` or ``unknown``.
        target: Name of the target that ran the statement, or an empty string.
        value: First value of the first row, or None.
        token: New session token, or an empty string.
    """

    code: str
    outcome: str
    target: str = ""
    value: model.Value = None
    token: str = ""


def read_reply(status: int, body: bytes, token: str) -> Reply:
    """Return the reply that an HTTP response contains."""
    try:
        document = json.loads(body)
    except ValueError:
        # Each response of the HTTP interface is JSON; another body is a fault of the proxy.
        return Reply(code=f"http_{status}", outcome="unknown")
    if status != 200:
        return Reply(code=document["code"], outcome=document["outcome"])
    value = document["rows"][0][0] if document["rows"] else None
    return Reply(
        code="ok", outcome="committed", target=document["target"], value=value, token=token
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Session:
    """State that a caller keeps of a session.

    Requests of a session may overlap. Each successful response replaces the state,
    and its token covers only the writes that the request's token covered and the
    request itself. Writes of overlapping requests are not among them.

    Attributes:
        token: Session token of the newest successful response.
        writes: Number of acknowledged writes that the token covers, by group.
    """

    token: str = ""
    writes: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)


def session_after_response(
    before: Session, arrival: arrivals_module.Arrival, token: str
) -> Session:
    """Return the state of a session after a successful response.

    Args:
        before: State with whose token the request was sent.
        arrival: The request.
        token: Session token of the response.
    """
    writes = dict(before.writes)
    if arrival.kind is model.RouteKind.WRITE:
        writes[arrival.group] = writes.get(arrival.group, 0) + 1
    return Session(token=token, writes=writes)


class Sender:
    """Sends requests and keeps the session state of all callers."""

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
        self._one_way_latency = layout.profile.caller_latency_ms / 1000
        self._sessions: dict[tuple[str, int], Session] = {}

    def reference(self, number: int) -> str:
        """Return the request id of an arrival, which a write also stores in its row."""
        return f"{self._seed}-{number}"

    async def run(
        self, planned: abc.Iterable[arrivals_module.Arrival], started_at: float
    ) -> tuple[traces.Sample, ...]:
        """Send each arrival when it is due, without waiting for earlier responses.

        Args:
            planned: Arrivals in order of time.
            started_at: Start of the run on the clock of the event loop, in seconds.
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
        await asyncio.sleep(self._one_way_latency)
        before = self._sessions.get(key, Session())
        due = started_at + arrival.at + self._one_way_latency
        sent_late = max(0.0, asyncio.get_running_loop().time() - due)
        reply = await self._call_any(arrival, before.token)
        await asyncio.sleep(self._one_way_latency)
        latency = asyncio.get_running_loop().time() - started_at - arrival.at
        own_write_missing = False
        if reply.code == "ok":
            self._sessions[key] = session_after_response(before, arrival, reply.token)
            is_read = arrival.kind is model.RouteKind.READ
            own_write_missing = is_read and int(reply.value or 0) < before.writes.get(
                arrival.group, 0
            )
        return traces.Sample(
            arrival=arrival,
            latency=latency,
            code=reply.code,
            outcome=reply.outcome,
            target=reply.target,
            own_writes_missing=own_write_missing,
            sent_late=sent_late,
        )

    async def _call_any(self, arrival: arrivals_module.Arrival, token: str) -> Reply:
        """Send a request to its planned entry VM, and to the next if no connection opens.

        The platform's load balancer does the same. A request whose connection fails
        later is not repeated, since its outcome is unknown.
        """
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
            "Timeout-Ms": str(int(REQUEST_TIMEOUT * 1000)),
        }
        parameters: dict[str, model.Value] = {"session": f"session-{arrival.session}"}
        if arrival.kind is model.RouteKind.WRITE:
            parameters["ref"] = reference
        async with self._session.post(
            f"http://{address}/v1/routes/{arrival.route}",
            json={"parameters": parameters},
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT + CONNECTION_GRACE),
        ) as response:
            body = await response.read()
            return read_reply(response.status, body, response.headers.get("Session-Token", ""))
