"""Runs subcommands of greengageshuntctl in the test process, and polls proxies."""

import asyncio
import contextlib
import time
from collections import abc

import aiohttp

from greengageshunt import codec
from greengageshunt.commands import command
from greengageshunt.configuration import status
from greengageshunt.programs import ctl
from greengageshunt.standins import fleet as fleet_module
from support import callers


async def run(fleet: fleet_module.Fleet, *words: str) -> command.Outcome:
    """Run one subcommand against the platform of a fleet."""
    app = ctl.create()
    arguments = ["--platform", fleet.layout.platform_address, *words]
    parsed = ctl.build_parser(app).parse_args(arguments)
    return await ctl.execute(app, parsed, lambda line: None)


async def vm_status(fleet: fleet_module.Fleet, number: int) -> status.VmStatus | None:
    """Return the status of the entry VM with an index, or None if it does not respond."""
    url = f"http://{fleet.layout.vms[number].http_address}{status.PATH}"
    with contextlib.suppress(aiohttp.ClientError):
        async with fleet.session.get(url) as response:
            return codec.from_json(await response.read(), status.VmStatus)
    return None


async def wait_for(condition: abc.Callable[[], abc.Awaitable[bool]], seconds: float = 10.0) -> None:
    """Poll a condition until it holds; raise TimeoutError after ``seconds``."""
    async with asyncio.timeout(seconds):
        while True:
            if await condition():
                return
            await asyncio.sleep(0.05)


class ConnectedCaller:
    """Calls one route repeatedly over one persistent connection."""

    def __init__(self, *, address: str, key: str, route: str) -> None:
        self._address = address
        self._key = key
        self._route = route
        self._last_served = 0.0
        self._code = ""

    @property
    def last_served(self) -> float:
        """Monotonic seconds at which the newest successful request was sent, 0 before it."""
        return self._last_served

    @property
    def code(self) -> str:
        """Error code of the newest response, empty if the request succeeded."""
        return self._code

    async def run(self) -> None:
        """Call until cancelled."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            caller = callers.Caller(session=session, key=self._key)
            while True:
                began = time.monotonic()
                reply = await caller.call(self._address, self._route, timeout_ms=1000)
                self._code = reply.document.get("code", "")
                if reply.status == 200:
                    self._last_served = began
                await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def connected(
    fleet: fleet_module.Fleet, key: str, route: str = "booking.list"
) -> abc.AsyncIterator[list[ConnectedCaller]]:
    """Run one connected caller for each entry VM until the block ends."""
    started = [
        ConnectedCaller(address=vm.http_address, key=key, route=route) for vm in fleet.layout.vms
    ]
    tasks = [asyncio.create_task(caller.run()) for caller in started]
    try:
        yield started
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
