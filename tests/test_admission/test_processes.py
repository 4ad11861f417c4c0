"""Rate limits of real processes that are killed, restarted and paused."""

import asyncio
import contextlib
import dataclasses
import signal
import time

import aiohttp

from support import callers, configurations

RATE = 60.0
BURST = 6.0
CALLERS = 6
ACCOUNT = "account-1"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admitted:
    """An admitted request, with the monotonic seconds that its caller measured."""

    sent_at: float
    answered_at: float


class Flood:
    """Callers of one account that send requests continuously."""

    def __init__(self, *, fleet, key: str) -> None:
        self._fleet = fleet
        self._key = key
        self.admitted: list[Admitted] = []

    async def run(self, vms, seconds: float) -> int:
        """Send requests through the given VMs; return how many were admitted in this time."""
        before = len(self.admitted)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds), asyncio.TaskGroup() as group:
                for vm in vms:
                    for _ in range(CALLERS):
                        group.create_task(self._send(vm.http_address))
        return len(self.admitted) - before

    async def _send(self, address: str) -> None:
        caller = callers.Caller(session=self._fleet.session, key=self._key)
        while True:
            sent_at = time.monotonic()
            try:
                reply = await caller.call(address, "booking.list")
            except aiohttp.ClientError:
                await asyncio.sleep(0.05)
                continue
            if reply.status != 429:
                self.admitted.append(Admitted(sent_at=sent_at, answered_at=time.monotonic()))
            await asyncio.sleep(0.005)

    def worst_excess(self) -> float:
        """Return the largest excess over the limit in any window.

        A request counts for a window that contains both its sending and its response.
        """
        worst = 0.0
        for start in self.admitted:
            ends = sorted(
                request.answered_at for request in self.admitted if request.sent_at >= start.sent_at
            )
            for count, end in enumerate(ends, start=1):
                worst = max(worst, count - RATE * (end - start.sent_at) - BURST)
        return worst


async def test_no_excess_while_vms_are_killed_restarted_and_paused(start_fleet):
    """Guards against two VMs that use the same share after a pause or a restart.

    In the first phase, all connections are on one VM, which must admit more than an
    even split of the rate. Then a lender is paused, so that its loans end.
    """
    prepared = configurations.prepare(rate=RATE, burst=BURST)
    fleet = await start_fleet(prepared.configuration)
    first, second, third = fleet.layout.vms
    flood = Flood(fleet=fleet, key=prepared.keys[ACCOUNT])

    began = time.monotonic()
    alone = await flood.run([first], 1.5)
    even_split = (RATE * (time.monotonic() - began) + BURST) / 3
    fleet.signal(second.member.vm, signal.SIGSTOP)
    await flood.run([first], 1.5)
    fleet.signal(second.member.vm, signal.SIGCONT)
    await flood.run([first, second], 1.5)
    fleet.kill(third.member.vm)
    await flood.run([first, second], 0.5)
    fleet.start_proxy(third)
    await flood.run([first, second, third], 2.0)

    assert flood.worst_excess() <= 0.0
    assert alone > 1.5 * even_split
    for vm in fleet.layout.vms:
        log = fleet.log_path(vm.member.vm).read_text()
        assert "invariant violated" not in log
