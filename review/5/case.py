"""A planned stop cuts requests of sessions that were opened late in it.

The entry VMs of a zone of three are stopped and started in turn, so that the ingress at times has
only one of them in rotation and sends new connections to all.
"""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import fleet, ingress

SESSIONS_PER_SECOND = 60.0  # new sessions of the zone, each for one read
GAP_SECONDS = 1.3  # pause between two stops
ROUNDS = 8
ROUND_SECONDS = 12.0
GRACE_SECONDS = 6.0
WORK_SECONDS = 0.04


class Clients:
    """Clients of one zone that open a session for each read."""

    def __init__(self, *, started: fleet.Fleet, entry: ingress.Ingress) -> None:
        self._started = started
        self._entry = entry
        self._tasks: set[asyncio.Task[None]] = set()
        self.stopped_at: dict[str, float] = {}
        self.lost: list[str] = []
        self.served = 0

    async def run(self) -> None:
        """Start reads at random times until cancelled."""
        while True:
            await asyncio.sleep(random.expovariate(SESSIONS_PER_SECOND))
            task = asyncio.create_task(self._read())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Wait for the reads that have begun."""
        await asyncio.gather(*self._tasks)

    async def _read(self) -> None:
        vm = self._entry.select()
        if vm is None:
            return
        try:
            caller = await fleet.Caller.open(vm, "db-bounded_staleness", self._started.record)
        except (OSError, TimeoutError):
            return
        try:
            lines = await caller.run("READ item")
            self.served += lines[-1].startswith("COMPLETE")
        except (OSError, TimeoutError) as error:
            self._note_failure(vm, caller, error)
        caller.close()

    def _note_failure(self, vm: fleet.EntryVm, caller: fleet.Caller, error: Exception) -> None:
        """Count a request as lost if an instance had it, and its entry VM was being stopped."""
        since_stop = time.monotonic() - self.stopped_at.get(vm.name, 0.0)
        reached = caller.last_id in self._started.service.arrived
        self._started.record.write(
            "failed",
            id=caller.last_id,
            vm=vm.name,
            since_sigterm=round(since_stop, 3),
            reached_instance=reached,
            reason=repr(error),
        )
        if reached and since_stop < GRACE_SECONDS + 1.0:
            self.lost.append(caller.last_id)


async def case(record: fleet.Record, trouble: bool) -> bool:
    """Return whether no request was cut during a planned stop."""
    async with fleet.Fleet(record=record, zones="aaabbbcc", work_seconds=WORK_SECONDS) as started:
        await started.wait_ready()
        zone = [vm for vm in started.vms if vm.zone == "a"]
        entry = ingress.Ingress(vms=zone, record=record)
        entry.start()
        clients = Clients(started=started, entry=entry)
        load = asyncio.create_task(clients.run())
        await asyncio.sleep(2.0)
        for _ in range(ROUNDS if trouble else 1):
            next_round = asyncio.get_running_loop().time() + ROUND_SECONDS
            for vm in zone if trouble else ():
                vm.signal(signal.SIGTERM)
                clients.stopped_at[vm.name] = time.monotonic()
                record.write("platform", what="SIGTERM", vm=vm.name)
                await asyncio.sleep(GAP_SECONDS)
            await asyncio.sleep(max(0.0, next_round - asyncio.get_running_loop().time()))
        load.cancel()
        await clients.finish()
        entry.stop()
        record.write("result", served=clients.served, lost=len(clients.lost), ids=clients.lost)
        return not clients.lost


if __name__ == "__main__":
    fleet.main(pathlib.Path(__file__).parent, case)
