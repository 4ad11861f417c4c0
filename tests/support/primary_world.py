"""Entry VMs in virtual time before one group of targets, whose leases are checked all the time."""

import asyncio
import collections
import dataclasses
import types

from greengageshunt import errors, model
from greengageshunt.coordination import (
    eras,
    lease,
    orders,
    promotion,
    recall,
    records,
    succession,
    view,
)
from support import store_fleet

GROUP = "g"
DOMAINS = ("a", "b", "c")
TARGETS = ("t-1", "t-2", "t-3")

CHECK_INTERVAL = 0.02  # seconds between two looks at all leases


class Platform:
    """Targets of one group, and the platform's order that changes their primary."""

    def __init__(self) -> None:
        self.primary = "t-1"
        self.term = 1
        self.down: set[str] = set()
        self.stepped_down = False
        self.tokens: dict[int, str] = {}
        self.tokens_used_twice: list[int] = []
        self.replaced: list[str] = []

    async def make_primary(self, group, target, holder, token, *, may_send, timeout):
        """Change the primary unless the token is older than one that was used."""
        if not may_send():
            raise errors.PlatformError("late", step="order", peer="p", effect_unknown=False)
        await asyncio.sleep(0.01)
        if token < max(self.tokens, default=0) or target in self.down:
            return False
        if self.tokens.setdefault(token, holder) != holder:
            self.tokens_used_twice.append(token)
        if target != self.primary:
            self.replaced.append(self.primary)
            self.primary, self.term = target, self.term + 1
        self.stepped_down = False
        return True

    async def connect(self, entry, account, timeout):
        """Return a connection to a target without statements."""
        await asyncio.sleep(0.002)
        if entry.target in self.down:
            raise errors.TargetError("down", step="connect", peer=entry.target, sent=False)

        async def status(timeout):
            return types.SimpleNamespace(
                primary=entry.target == self.primary and not self.stepped_down,
                term=self.term,
                position=model.Position(term=self.term, offset=10),
            )

        async def step_down(term, timeout):
            self.stepped_down = self.stepped_down or entry.target == self.primary

        return types.SimpleNamespace(status=status, step_down=step_down, close=lambda: None)


class Executor:
    """Executor without statements."""

    async def wait_for_writes(self, group) -> None:
        """Return at once; no writes are in progress."""


class Detector:
    """Detector that knows which targets are down."""

    def __init__(self, *, platform: Platform) -> None:
        self._platform = platform

    async def is_lost(self, record, entry) -> bool:
        """Return whether the primary is down."""
        return record.primary in self._platform.down


def entry(target: str) -> records.TargetEntry:
    """Return the entry of a target."""
    return records.TargetEntry(
        target=target,
        group=GROUP,
        address="127.0.0.1:1",
        failure_domain="a",
        slots=2,
        draining=False,
        primary=target == "t-1",
    )


class World:
    """A fleet of six entry VMs before one group, whose leases are checked all the time."""

    def __init__(self, *, sparse: bool = False) -> None:
        self.platform = Platform()
        self.fleet = store_fleet.Fleet(
            size=6,
            domains=DOMAINS,
            sparse=sparse,
            groups=(GROUP,),
            add_parts=self._add_parts,
            services=(
                *store_fleet.SERVICES,
                ("coordination", "promoter"),
                ("coordination", "eras"),
            ),
        )
        self.store = self.fleet.store
        # Looks at which a running entry VM had no lease, by second of the loop's clock.
        self.without_lease: collections.Counter[int] = collections.Counter()
        self.former_primaries: list[tuple[float, str, str]] = []

    def _add_parts(self, app) -> None:
        platform = self.platform
        pool = types.SimpleNamespace(close_idle=lambda: None)
        pools = types.SimpleNamespace(pool=lambda entry: pool)
        for plugin in (lease, eras, orders, recall, succession, promotion):
            plugin.setup(app)
        app.add_part("duty", "failover", lambda app: platform)
        app.add_part("driver", "fake", lambda app: platform)
        app.add_part("pooling", "pools", lambda app: pools)
        app.add_part("pooling", "executor", lambda app: Executor())
        app.add_part("coordination", "detector", lambda app: Detector(platform=platform))

    async def start(self) -> None:
        """Start all entry VMs, and wait until they all have a lease."""
        for target in TARGETS:
            self.store.put_target(entry(target))
        for member in self.fleet.listed:
            self.fleet.start(member)
        await asyncio.sleep(5.0)
        assert all(self.lease(vm).valid for vm in self.fleet.running.values())
        self._watcher = asyncio.create_task(self._check())

    async def stop(self) -> None:
        """Kill all entry VMs."""
        self._watcher.cancel()
        await self.fleet.stop()

    async def write_for(self, seconds: float) -> None:
        """Raise the version by changes of the configuration and of the target list."""
        for number in range(round(seconds / 0.25)):
            self.store.change_configuration()
            self.store.put_target(dataclasses.replace(entry("t-3"), slots=number + 1))
            await asyncio.sleep(0.25)

    async def restore(self, copy: store_fleet.Copy, away: float = 1.0) -> None:
        """Take the store away for some seconds, and return it from an older copy."""
        self.store.down = True
        await asyncio.sleep(away)
        self.store.restore(copy)
        self.store.down = False

    def view(self, name: str) -> view.StoreView:
        """Return the copies of one entry VM."""
        return self.fleet.running[name].app.part("coordination", "view")

    def lease(self, vm: store_fleet.EntryVm) -> lease.Lease:
        """Return the lease of one entry VM."""
        return vm.app.part("coordination", "leases").lease(GROUP, vm.app.clock())

    async def watch_lease(self, vm: store_fleet.EntryVm) -> None:
        """Record each use of a former primary by an entry VM that is cut off, until cancelled."""
        while True:
            held = self.lease(vm)
            if held.valid and held.target != self.platform.primary:
                self.former_primaries.append((vm.app.clock(), vm.app.name, held.target))
            await asyncio.sleep(CHECK_INTERVAL)

    async def _check(self) -> None:
        while True:
            for name, vm in self.fleet.running.items():
                now, held = vm.app.clock(), self.lease(vm)
                if not held.valid:
                    self.without_lease[int(now)] += 1
                elif held.target != self.platform.primary:
                    self.former_primaries.append((now, name, held.target))
            await asyncio.sleep(CHECK_INTERVAL)
