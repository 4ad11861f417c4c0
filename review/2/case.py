"""A failover promotes a replica without an acknowledged commit, although `sync-replicas` is 1.

One replica receives nothing for some seconds, and the primary crashes meanwhile. The other replica
has all commits, and all its connections are in use by read transactions.
"""

import asyncio
import contextlib
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import fleet, instances

READERS = 4  # sessions on each entry VM that read in transactions
STATEMENTS = 10  # reads in a transaction
PAUSE = 0.25  # seconds between two of them

WARM_UP = 3.0  # seconds of load before the disruption
DEAF_BEFORE_CRASH = 2.5  # seconds from the start of the disruption until the primary crashes
DEAF_SECONDS = 6.5  # seconds for which the replica receives nothing


async def read_in_transactions(started: fleet.Fleet, vm: fleet.EntryVm) -> None:
    """Run read transactions with pauses until cancelled."""
    while True:
        try:
            caller = await fleet.Caller.open(vm, "db-bounded_staleness", started.record)
            while True:
                lines = await caller.run("BEGIN READ")
                for number in range(STATEMENTS):
                    lines = await caller.run(f"READ item{number}")
                    if lines[-1].startswith("ERROR"):
                        break
                    await asyncio.sleep(PAUSE)
                await caller.run("COMMIT")
                if lines[-1].startswith("ERROR"):
                    await asyncio.sleep(0.1)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.1)


async def write(started: fleet.Fleet, acknowledged: list[str]) -> None:
    """Run single writes, one after the other, and note those that succeeded."""
    number = 0
    while True:
        vm = started.vms[number % len(started.vms)]
        with contextlib.suppress(OSError, TimeoutError):
            caller = await fleet.Caller.open(vm, "db-primary", started.record)
            while True:
                number += 1
                lines = await caller.run(f"WRITE item{number % 10} data{number}")
                if lines[-1].startswith("ERROR"):
                    caller.close()
                    break
                acknowledged.append(f"data{number}")
                await asyncio.sleep(0.03)
        await asyncio.sleep(0.1)


async def await_leader(service: instances.Service, old: instances.Instance) -> bool:
    """Return whether another instance than the old one leads within 20 s."""
    until = time.monotonic() + 20.0
    while time.monotonic() < until:
        if service.primary is not None and service.primary is not old:
            return True
        await asyncio.sleep(0.002)
    return False


async def case(record: fleet.Record, trouble: bool) -> bool:
    """Return whether the promoted instance has all acknowledged commits."""
    acknowledged: list[str] = []
    async with fleet.Fleet(record=record, zones="aaabbcdd", sync_replicas=1) as started:
        await started.wait_ready()
        service = started.service
        old, _, deaf = service.instances
        load = [
            asyncio.create_task(read_in_transactions(started, vm))
            for vm in started.vms
            for _ in range(READERS)
        ]
        load.append(asyncio.create_task(write(started, acknowledged)))
        try:
            await asyncio.sleep(WARM_UP)
            if not trouble:
                await asyncio.sleep(10.0)
                return bool(acknowledged)
            deaf.deaf = True
            record.write("disruption", what="receives nothing", id=deaf.name)
            asyncio.get_running_loop().call_later(DEAF_SECONDS, setattr, deaf, "deaf", False)
            await asyncio.sleep(DEAF_BEFORE_CRASH)
            old.crash()
            record.write("disruption", what="primary crashes", id=old.name)
            if not await await_leader(service, old):
                raise fleet.CaseError("no instance was promoted")
            promoted = service.primary
            held = {data for _, _, data in promoted.log}
            lost = [data for data in acknowledged if data not in held]
            record.write("result", promoted=promoted.name, acknowledged=len(acknowledged))
            record.write("result", lost=len(lost), first=lost[:3], last=lost[-3:])
            return not lost
        finally:
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)


if __name__ == "__main__":
    fleet.main(pathlib.Path(__file__).parent, case)
