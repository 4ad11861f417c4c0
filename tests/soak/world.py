"""One run: the fleet behind relays, its clients, its faults, and the final checks."""

import asyncio
import contextlib
import dataclasses
import pathlib
import random
import signal
import time

from soak import clients, faults, ledger
from support import entry_fleet
from support import relay as relay_module

ACCOUNTS = {"one": ["key-one"], "two": ["key-two"]}

# Account of the reads that ask whether an entry VM serves; no client uses it.
PROBE = {"probe": ["key-probe"]}
RATE = 60.0  # operations a second, and burst, of each account

CLIENTS = 8
MEAN_GAP = 1.0  # seconds between the starts of two faults
RECOVERY_LIMIT = 15.0  # seconds until each entry VM serves again once all faults have ended
SETTLE = 1.0  # seconds for replicas to copy what was written last


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Outcome of a run.

    Attributes:
        seed: Its seed.
        faults: Names of the faults in the order of their starts, with their seconds.
        codes: Answers by code, ``ok`` for successes.
        violations: What did not hold.
    """

    seed: int
    faults: tuple[tuple[float, str], ...]
    codes: dict[str, int]
    violations: tuple[str, ...]


class World:
    """What faults act on."""

    def __init__(self, *, folder: pathlib.Path, seed: int, size: int) -> None:
        self._folder, self._size, self._seed = folder, size, seed
        self._rng = random.Random(seed)
        self._version = 0
        self._started: list[tuple[float, str]] = []
        self.book = ledger.Ledger(rates=dict.fromkeys(ACCOUNTS, (RATE, RATE)))
        self.away: set[str] = set()
        self.store_relays: list[relay_module.Relay] = []
        self.target_relays: dict[str, relay_module.Relay] = {}
        self.fleet: entry_fleet.Fleet

    @property
    def store(self):
        """The stand-in of the store."""
        return self.fleet.store

    def configure(self) -> None:
        """Write the next configuration; it changes nothing that clients use."""
        self._version += 1
        self.fleet.configure(self._version, keys={**ACCOUNTS, **PROBE}, rate=RATE)

    async def run(self, seconds: float) -> Report:
        """Play the run and check it."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            playing = [asyncio.create_task(client.run()) for client in self._clients()]
            try:
                await self._inject(seconds)
                await self._recover()
            finally:
                for task in playing:
                    task.cancel()
                await asyncio.gather(*playing, return_exceptions=True)
            await asyncio.sleep(SETTLE)
            self._check_processes()
            violations = self.book.violations(self.fleet.group, self.store.orders)
            return Report(
                seed=self._seed,
                faults=tuple(self._started),
                codes=dict(self.book.codes),
                violations=tuple(violations),
            )

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        """Start relays, stand-ins and processes, and wait until all are ready."""
        store_port = entry_fleet.free_port()
        for _ in range(self._size):
            self.store_relays.append(await self._relay(stack, store_port))
        ports = [int(relay.address.rpartition(":")[2]) for relay in self.store_relays]
        self.fleet = entry_fleet.Fleet(
            folder=self._folder, size=self._size, zones="abc", store_ports=ports
        )
        self.fleet.store_port = store_port
        for name, target in self.fleet.group.targets.items():
            target.port = entry_fleet.free_port()
            self.target_relays[name] = relay = await self._relay(stack, target.port)
            self.fleet.published[name] = int(relay.address.rpartition(":")[2])
        await stack.enter_async_context(self.fleet)
        self.configure()
        await self.fleet.wait_ready(30.0)

    async def _relay(self, stack: contextlib.AsyncExitStack, port: int) -> relay_module.Relay:
        relay = relay_module.Relay(address=f"127.0.0.1:{port}")
        await relay.start()
        stack.push_async_callback(relay.stop)
        return relay

    def _clients(self) -> list[clients.Client]:
        items: list[str] = []
        return [
            clients.Client(
                name=f"c{number}",
                account=sorted(ACCOUNTS)[number % len(ACCOUNTS)],
                rng=random.Random(self._rng.random()),
                book=self.book,
                vms=self.fleet.vms,
                items=items,
            )
            for number in range(CLIENTS)
        ]

    async def _inject(self, seconds: float) -> None:
        """Start faults at random times, and wait until all of them have ended."""
        began_at = time.monotonic()
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() - began_at < seconds:
            await asyncio.sleep(self._rng.expovariate(1 / MEAN_GAP))
            fault = self._rng.choice(faults.ALL)
            self._started.append((round(time.monotonic() - began_at, 2), fault.__name__))
            running.add(asyncio.create_task(fault(self, random.Random(self._rng.random()))))
        await asyncio.gather(*running)

    async def _recover(self) -> None:
        """Check that each entry VM serves again once all faults have ended."""
        until = time.monotonic() + RECOVERY_LIMIT
        for vm in self.fleet.vms:
            while not await _serves(vm):
                if time.monotonic() > until:
                    self.book.broken.append(f"RECOVER: {vm.name} serves no write")
                    break
                await asyncio.sleep(0.1)

    def _check_processes(self) -> None:
        for vm in self.fleet.vms:
            code = vm.process.poll()
            if code not in (None, -signal.SIGKILL):
                self.book.broken.append(f"EXIT: {vm.name} ended with {code}")
            for line in vm.lines():
                if "exc_info" in line or line.get("message") in ("job failed", "stop step failed"):
                    self.book.broken.append(f"ERROR: {vm.name} logged {line}")


async def _serves(vm: entry_fleet.EntryVm) -> bool:
    """Return whether a read on the primary succeeds; it is not in the books."""
    try:
        async with asyncio.timeout(clients.OPEN_TIMEOUT):
            caller = await entry_fleet.Caller.open(vm, "db_primary", "key-probe")
            lines, _ = await caller.run("READ probe", ledger.PROBE)
            caller.close()
    except (OSError, TimeoutError, AssertionError):
        return False
    return lines[-1].startswith("COMPLETE")
