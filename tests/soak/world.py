"""One run: the fleet behind relays, its clients, the injected faults, and the final checks."""

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

# Account of the reads that check whether an entry VM serves; no client uses it.
PROBE_ACCOUNT = {"probe": ["key-probe"]}
RATE = 60.0  # operations a second, and operations in a burst, of each account

CLIENTS = 8
MEAN_FAULT_INTERVAL = 1.0  # seconds between the starts of two faults
RECOVERY_TIMEOUT = 15.0  # seconds from the end of all faults until each entry VM serves reads
REPLICATION_WAIT = 1.0  # seconds after the last write, before the logs are checked


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Outcome of a run.

    Attributes:
        seed: Seed of the run's random numbers.
        faults: Start of each fault, in seconds of the fault phase, and its name.
        codes: Number of responses by error code, ``ok`` for successes.
        violations: Violations, each with a label for its kind.
    """

    seed: int
    faults: tuple[tuple[float, str], ...]
    codes: dict[str, int]
    violations: tuple[str, ...]


class World:
    """The fleet, clients and relays of one run, on which faults act.

    ``faulty_targets`` holds the names of targets on which a crash, partition or drain is in
    progress. Other faults of these kinds skip them. ``replaced_settings`` holds the names of entry
    VMs whose settings file is being written. With ``restores``, the store is also restored from
    older copies during the run. With ``planned``, all faults are planned work, and each statement
    that a target runs must be answered.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        seed: int,
        size: int,
        restores: bool = False,
        planned: bool = False,
    ) -> None:
        self._folder, self._size, self._seed = folder, size, seed
        self._restores, self._planned = restores, planned
        self._rng = random.Random(seed)
        self._version = 0
        self._started: list[tuple[float, str]] = []
        self.run_ledger = ledger.Ledger(rates=dict.fromkeys(ACCOUNTS, (RATE, RATE)))
        self.faulty_targets: set[str] = set()
        self.replaced_settings: set[str] = set()
        self.store_relays: list[relay_module.Relay] = []
        self.target_relays: dict[str, relay_module.Relay] = {}
        self.fleet: entry_fleet.Fleet

    @property
    def store(self):
        """Stand-in for the platform's store."""
        return self.fleet.store

    def configure(self) -> None:
        """Write the next configuration, which differs in its version only."""
        self._version += 1
        self.fleet.configure(self._version, keys={**ACCOUNTS, **PROBE_ACCOUNT}, rate=RATE)

    async def run(self, seconds: float) -> Report:
        """Run the clients and the faults, and check the outcome."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            client_tasks = [asyncio.create_task(client.run()) for client in self._clients()]
            try:
                await asyncio.gather(
                    self._inject(
                        seconds, self._rng, faults.PLANNED if self._planned else faults.ALL
                    ),
                    self._inject_answers(seconds),
                    self._restore(seconds),
                )
                await self._recover()
            finally:
                for task in client_tasks:
                    task.cancel()
                await asyncio.gather(*client_tasks, return_exceptions=True)
            await asyncio.sleep(REPLICATION_WAIT)
            self._check_processes()
            violations = self.run_ledger.violations(self.fleet.group, self.store.orders)
            if self._planned:
                violations.extend(self.run_ledger.cut(self.fleet.group))
            return Report(
                seed=self._seed,
                faults=tuple(self._started),
                codes=dict(self.run_ledger.codes),
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
                run_ledger=self.run_ledger,
                vms=self.fleet.vms,
                items=items,
            )
            for number in range(CLIENTS)
        ]

    async def _inject_answers(self, seconds: float) -> None:
        """Make targets repeat answers and refuse statements, unless all work is planned."""
        for target in self.fleet.group.targets.values():
            target.seed(self._seed)
        if not self._planned:
            await self._inject(seconds, random.Random(f"answers {self._seed}"), faults.ANSWERS)

    async def _inject(
        self, seconds: float, rng: random.Random, drawn: tuple[faults.Fault, ...]
    ) -> None:
        """Start faults at random times, and wait until all of them have ended."""
        began_at = time.monotonic()
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() - began_at < seconds:
            await asyncio.sleep(rng.expovariate(1 / MEAN_FAULT_INTERVAL))
            fault = rng.choice(drawn)
            self._started.append((round(time.monotonic() - began_at, 2), fault.__name__))
            running.add(asyncio.create_task(fault(self, random.Random(rng.random()))))
        await asyncio.gather(*running)

    async def _restore(self, seconds: float) -> None:
        """Restore the store from older copies, again and again.

        The moments have their own source, so that the other faults of a seed stay as they are.
        """
        rng = random.Random(f"restores {self._seed}")
        began_at = time.monotonic()
        while self._restores and time.monotonic() - began_at < seconds:
            await asyncio.sleep(rng.uniform(0.0, 4.0))
            await faults.restore_store(self, rng)
            self._started.append((round(time.monotonic() - began_at, 2), "restore_store"))

    async def _recover(self) -> None:
        """Check that each entry VM serves again once all faults have ended."""
        deadline = time.monotonic() + RECOVERY_TIMEOUT
        for vm in self.fleet.vms:
            while not await _serves(vm):
                if time.monotonic() > deadline:
                    self.run_ledger.failures.append(
                        f"RECOVER: {vm.name} serves no read after the end of all faults"
                    )
                    break
                await asyncio.sleep(0.1)

    def _check_processes(self) -> None:
        for vm in self.fleet.vms:
            code = vm.process.poll()
            if code not in (None, -signal.SIGKILL):
                self.run_ledger.failures.append(f"EXIT: {vm.name} ended with {code}")
            for line in vm.lines():
                if "exc_info" in line or line.get("message") in ("job failed", "stop step failed"):
                    self.run_ledger.failures.append(f"ERROR: {vm.name} logged {line}")


async def _serves(vm: entry_fleet.EntryVm) -> bool:
    """Return whether a read on the primary succeeds; the ledger does not record it."""
    try:
        async with asyncio.timeout(clients.OPEN_TIMEOUT):
            caller = await entry_fleet.Caller.open(vm, "db_primary", "key-probe")
            lines, _ = await caller.run("READ probe", ledger.PROBE_STATEMENT_ID)
            caller.close()
    except (OSError, TimeoutError, AssertionError):
        return False
    return lines[-1].startswith("COMPLETE")
