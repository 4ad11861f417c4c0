"""Stand-in of the platform's ingress: selects the entry VM of each new connection of a zone."""

import asyncio
import random
from collections import abc

from standins import fleet

PROBE_SECONDS = 1.0
PROBE_TIMEOUT = 1.0
MISSES = 2  # failed probes after which an entry VM gets no new connections


class Ingress:
    """Probes the entry VMs of one zone, and selects one for each new connection.

    An entry VM is in rotation unless its last two probes failed. If fewer than half of them are in
    rotation, new connections go to all.
    """

    def __init__(self, *, vms: abc.Sequence[fleet.EntryVm], record: fleet.Record) -> None:
        self._vms = vms
        self._record = record
        self._misses = dict.fromkeys((vm.name for vm in vms), 0)
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the probes."""
        self._tasks = [asyncio.create_task(self._probe(vm)) for vm in self._vms]

    def stop(self) -> None:
        """End the probes."""
        for task in self._tasks:
            task.cancel()

    def select(self) -> fleet.EntryVm | None:
        """Return the entry VM for a new connection, or None if none is in rotation."""
        ready = [vm for vm in self._vms if self._misses[vm.name] < MISSES]
        if not ready:
            return None
        return random.choice(ready if 2 * len(ready) >= len(self._vms) else list(self._vms))

    async def _probe(self, vm: fleet.EntryVm) -> None:
        while True:
            before = self._misses[vm.name]
            self._misses[vm.name] = 0 if await self._is_ready(vm) else before + 1
            if (before < MISSES) != (self._misses[vm.name] < MISSES):
                rotation = [name for name, misses in self._misses.items() if misses < MISSES]
                self._record.write("ingress", in_rotation=rotation)
            await asyncio.sleep(PROBE_SECONDS)

    @staticmethod
    async def _is_ready(vm: fleet.EntryVm) -> bool:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT):
                reader, writer = await asyncio.open_connection(vm.host, vm.ready)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.split()[1:2] == [b"200"]
