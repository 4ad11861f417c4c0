"""A row of another writer in the target list that is nested too deeply ends all processes."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import fleet

# The entry is 20 kB, below `max-row-bytes` of 65,536.
NESTED_ENTRY = b'{"service": "svc", "slots": ' + b"[" * 20000

WATCHED_SECONDS = 20.0

# The rule allows fewer than three ends of a process, on fewer than two machines.
ENDS = 3
MACHINES = 2


async def case(record: fleet.Record, trouble: bool) -> bool:
    """Return whether the processes ended by themselves less often than the rule allows."""
    async with fleet.Fleet(record=record, zones="abc") as started:
        await started.wait_ready()
        if trouble:
            started.store.put("servers", "another-writer", NESTED_ENTRY)
            record.write("store", what="entry of another writer", size=len(NESTED_ENTRY))
        served = []
        until = time.monotonic() + WATCHED_SECONDS
        while time.monotonic() < until:
            served += [await started.serves(vm) for vm in started.vms]
            await asyncio.sleep(0.2)
        ends = {vm.name: len(vm.own_exits) for vm in started.vms}
        record.write("result", served=sum(served), asked=len(served), own_ends=ends)
        if any(ends.values()):
            record.write("log", last=started.vms[0].log_tail(2))
        return sum(count >= ENDS for count in ends.values()) < MACHINES and any(served)


if __name__ == "__main__":
    fleet.main(pathlib.Path(__file__).parent, case)
