"""Entry VMs in virtual time before one store, without a network.

The store keeps rows with one counter of versions. It can be restored from an older copy: its
version goes back, and its era rises.
"""

import asyncio
import collections
import dataclasses
import json
import types
from collections import abc

from greengageshunt import application, config, errors, model
from greengageshunt.coordination import copies, members, records, view, watch
from greengageshunt.membership import view as member_view
from greengageshunt.stores import rows

STORE_SECONDS = 0.004  # time that the store takes for a call

# Seconds until a write whose response was lost is performed; the platform names up to 6.
LATE_SECONDS = 3.0

CALL_TIMEOUT = 1.0  # seconds that a client waits for a store that does not answer


@dataclasses.dataclass(frozen=True, kw_only=True)
class Copy:
    """Copy of a store.

    Attributes:
        version: Version of the store.
        rows: Rows of the control table by key.
        targets: Rows of the target list by key.
        configuration: Version of the configuration, and of its row.
    """

    version: int
    rows: dict[str, records.ControlRow]
    targets: dict[str, records.TargetRow]
    configuration: tuple[int, int]


class Store:
    """Rows with one counter of versions, shared by all entry VMs."""

    def __init__(self) -> None:
        self.down = False
        self.version = 1
        self.era = rows.FIRST_ERA
        self.rows: dict[str, records.ControlRow] = {}
        self.targets: dict[str, records.TargetRow] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self.configuration_version = 1
        self._configuration_row = 1
        self._removed: dict[str, int] = {}
        self._changed = asyncio.Event()

    def change_configuration(self) -> None:
        """Publish another configuration, as the operator does."""
        self.version += 1
        self.configuration_version += 1
        self._configuration_row = self.version
        self._wake()

    def put(self, key: str, value: object, etag: str | None) -> rows.Row | rows.Conflict:
        """Write a row of the control table under the condition of its version."""
        if not self._matches(key, etag):
            return rows.Conflict(key=key)
        self.version += 1
        text = json.dumps(value, sort_keys=True)
        self.rows[key] = records.ControlRow(key=key, version=self.version, value=text)
        self._removed.pop(key, None)
        self._wake()
        return rows.Row(key=key, value=value, etag=str(self.version), era=self.era)

    def put_text(self, key: str, text: str) -> None:
        """Write any text to a row of the control table, as another writer does."""
        self.version += 1
        self.rows[key] = records.ControlRow(key=key, version=self.version, value=text)
        self._wake()

    def delete(self, key: str, etag: str) -> None:
        """Delete a row of the control table under the condition of its version."""
        if self._matches(key, etag):
            self.version += 1
            del self.rows[key]
            self._removed[key] = self.version
            self._wake()

    def put_target(self, entry: records.TargetEntry) -> None:
        """Write the entry of a target, as the target does."""
        self.version += 1
        row = records.TargetRow(key=entry.target, version=self.version, entry=entry)
        self.targets[entry.target] = row
        self._wake()

    def copy(self) -> Copy:
        """Return a copy from which the store can be restored."""
        return Copy(
            version=self.version,
            rows=dict(self.rows),
            targets=dict(self.targets),
            configuration=(self.configuration_version, self._configuration_row),
        )

    def restore(self, copy: Copy) -> None:
        """Return to a copy, and lose everything that was written since."""
        self.version = copy.version
        self.rows, self.targets = dict(copy.rows), dict(copy.targets)
        self.configuration_version, self._configuration_row = copy.configuration
        self._removed.clear()
        self.era += 1
        self._wake()

    def changes(
        self, section: records.Section, after: int, now: float, *, is_snapshot: bool
    ) -> records.Changes:
        """Return what changed after a version.

        Raises:
            HistoryLostError: The store has not reached this version in its era.
        """
        if after > self.version:
            raise errors.HistoryLostError("no such version", step="watch", peer="store")
        stored: dict[str, records.Row] = {}
        if section is records.Section.CONTROL:
            stored = dict(self.rows)
        elif section is records.Section.TARGETS:
            stored = dict(self.targets)
        control = section is records.Section.CONTROL and not is_snapshot
        removed = {key: version for key, version in self._removed.items() if control}
        newest = types.SimpleNamespace(version=self.configuration_version)
        return records.Changes(
            is_snapshot=is_snapshot,
            rows=tuple(
                dataclasses.replace(row, era=self.era)
                for row in stored.values()
                if row.version > after
            ),
            removed=tuple(key for key, version in removed.items() if version > after),
            version=self.version,
            as_of=now,
            era=self.era,
            configuration=newest if self._configuration_row > after else None,
        )

    async def wait_for_change(self, seconds: float) -> None:
        """Wait for the next change of any row."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def _matches(self, key: str, etag: str | None) -> bool:
        known = self.rows.get(key)
        return str(known.version if known else 0) == (etag or "0")

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class Client:
    """Client of the store on one entry VM.

    While ``cut``, its calls fail; those that wait for changes fail with the next change. If it is
    also ``silent``, they fail only after the time for which a client waits for an answer. Writes
    whose numbers are in ``lost_writes``, counted from 1, get no response and are performed
    ``LATE_SECONDS`` later if their condition still holds.
    """

    def __init__(self, *, store: Store, vm: str, clock: abc.Callable[[], float]) -> None:
        self.cut = False
        self.silent = False
        self.lost_writes: set[int] = set()
        self._writes = 0
        self._store = store
        self._vm = vm
        self._clock = clock

    async def read(self, section: records.Section) -> records.Changes:
        """Return all rows."""
        return await self._call(section, 0, is_snapshot=True)

    async def changes(self, section: records.Section, after: int, wait: float) -> records.Changes:
        """Return the rows that changed after a version, as soon as there is one."""
        until = self._clock() + wait
        watches_configuration = section is records.Section.CONFIGURATION
        while self._clock() < until:
            await self._check(until + CALL_TIMEOUT - self._clock())
            changed = self._store.changes(section, after, 0.0, is_snapshot=False)
            if changed.rows or changed.removed or (watches_configuration and changed.configuration):
                break
            await self._store.wait_for_change(until - self._clock())
        return await self._call(section, after, is_snapshot=not after)

    async def put_row(self, key: str, value: object, etag: str | None) -> rows.Row | rows.Conflict:
        """Write a row."""
        await self._count()
        self._writes += 1
        if self._writes in self.lost_writes:
            asyncio.get_running_loop().call_later(LATE_SECONDS, self._store.put, key, value, etag)
            raise errors.PlatformError("lost", step="write", peer="store", effect_unknown=True)
        return self._store.put(key, value, etag)

    async def delete_row(self, key: str, etag: str) -> None:
        """Delete a row."""
        await self._count()
        self._store.delete(key, etag)

    async def _call(
        self, section: records.Section, after: int, *, is_snapshot: bool
    ) -> records.Changes:
        now = self._clock()
        await self._count()
        return self._store.changes(section, after, now, is_snapshot=is_snapshot)

    async def _count(self) -> None:
        self._store.calls[self._vm] += 1
        await asyncio.sleep(STORE_SECONDS)
        await self._check(CALL_TIMEOUT)

    async def _check(self, patience: float) -> None:
        if self._store.down or self.cut:
            if self.silent:
                await asyncio.sleep(patience)
            raise errors.PlatformError("down", step="call", peer="store", effect_unknown=False)


class Configuration:
    """The version of the configuration in force on one entry VM.

    Args:
        groups: Names of the database groups.
    """

    def __init__(self, *, groups: tuple[str, ...] = ()) -> None:
        self.version = 0
        self.current = types.SimpleNamespace(groups_by_name=dict.fromkeys(groups))

    def adopt(self, configuration: types.SimpleNamespace, source: str, era: int) -> None:
        """Adopt a configuration."""
        self.version = max(self.version, configuration.version)


class Links:
    """Heartbeats and requests of one entry VM."""

    listening = True

    def __init__(self, *, fleet: "Fleet", vm: str) -> None:
        self._fleet = fleet
        self._vm = vm
        self.values: dict[str, tuple] = {}
        self.handlers: dict[type, object] = {}

    def add_heartbeat_value(self, name, source, sink, **options) -> None:
        """Register a value that heartbeats carry."""
        self.values[name] = (source, sink)

    def add_handler(self, kind, handler) -> None:
        """Register the handler of a request."""
        self.handlers[kind] = handler

    async def request(self, vm, message, timeout):
        """Return the answer of a peer."""
        peer = self._fleet.peer(self._vm, vm)
        if peer is None:
            raise errors.PeerError("down", step="request", peer=vm, sent=False)
        await asyncio.sleep(0.001)
        return await peer.links.handlers[type(message)](message, 0.0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntryVm:
    """One process of the fleet."""

    app: application.Application
    client: Client
    links: Links
    configuration: Configuration
    members: member_view.MemberView
    tasks: list[asyncio.Task]


SERVICES = (("coordination", "watch"), ("coordination", "copies"), ("coordination", "members"))


class Fleet:
    """Entry VMs in virtual time.

    Args:
        size: Number of entry VMs.
        domains: Names of the failure domains.
        sparse: Whether only hubs exchange heartbeats with all others.
        groups: Names of the database groups.
        add_parts: Adds the parts that a test needs beside the store's copies and the registry.
        services: Role and name of the parts that run.
    """

    def __init__(
        self,
        *,
        size: int,
        domains: tuple[str, ...],
        sparse: bool = True,
        groups: tuple[str, ...] = (),
        add_parts: abc.Callable[[application.Application], None] = lambda app: None,
        services: tuple[tuple[str, str], ...] = SERVICES,
    ) -> None:
        self.store = Store()
        self.running: dict[str, EntryVm] = {}
        self.partitioned: set[str] = set()  # entry VMs that no other one reaches, and vice versa
        self._sparse = sparse
        self._groups = groups
        self._add_parts = add_parts
        self._services = services
        self.listed = tuple(
            model.Member(
                vm=f"{domains[index % len(domains)]}-{index}",
                failure_domain=domains[index % len(domains)],
                peer_address="127.0.0.1:1",
            )
            for index in range(size)
        )

    def start(self, member: model.Member) -> None:
        """Start the process of one entry VM."""
        clock = asyncio.get_running_loop().time
        app = application.Application(name=member.vm, clock=clock)
        links = Links(fleet=self, vm=member.vm)
        configuration = Configuration(groups=self._groups)
        members_view = member_view.MemberView(me=member, clock=clock, sparse=self._sparse)
        client = Client(store=self.store, vm=member.vm, clock=clock)
        app.add_event("members-changed")
        app.add_part("platform", "table", lambda app: client)
        app.add_part("membership", "view", lambda app: members_view)
        app.add_part("configuration", "state", lambda app: configuration)
        app.add_part("peers", "links", lambda app: links)
        app.add_part("peers", "server", lambda app: links)
        for plugin in (view, watch, copies, members):
            plugin.setup(app)
        self._add_parts(app)
        values = {
            "parts.platform": "table",
            "parts.driver": "fake",
            "store.configuration_wait": 6.0,
            "store.targets_wait": 10.0,
            "store.control_wait": 2.0,
        }
        app.configure(config.Settings(values=values, source="test"))
        vm = EntryVm(
            app=app,
            client=client,
            links=links,
            configuration=configuration,
            members=members_view,
            tasks=[],
        )
        self.running[member.vm] = vm
        for role, name in self._services:
            vm.tasks.append(asyncio.create_task(app.part(role, name).run()))
        vm.tasks.append(asyncio.create_task(self._send_heartbeats(vm)))

    async def _send_heartbeats(self, vm: EntryVm) -> None:
        while True:
            sent_at = vm.app.clock()
            for neighbour in tuple(vm.members.neighbours):
                peer = self.peer(vm.app.name, neighbour.vm)
                if peer is None:
                    continue
                vm.members.record_response(neighbour.vm, sent_at, False)
                peer.members.record_request(vm.app.name, sent_at)
                for name, (_, sink) in vm.links.values.items():
                    sink(neighbour.vm, peer.links.values[name][0](), sent_at)
            await asyncio.sleep(0.5)

    def peer(self, vm: str, name: str) -> EntryVm | None:
        """Return the running process of an entry VM if another one reaches it, or None."""
        return None if {vm, name} & self.partitioned else self.running.get(name)

    def cut(self, name: str) -> EntryVm:
        """Cut one entry VM off from the store and from its peers, and return it."""
        vm = self.running.pop(name)
        vm.client.cut = True
        vm.members._neighbours = ()
        return vm

    def registered(self) -> int:
        """Return how many entry VMs are registered."""
        return sum(
            vm.app.part("coordination", "members").registered for vm in self.running.values()
        )

    async def kill(self, name: str) -> None:
        """Kill the process of one entry VM."""
        vm = self.running.pop(name)
        for task in vm.tasks:
            task.cancel()
        await asyncio.gather(*vm.tasks, return_exceptions=True)

    async def stop(self) -> None:
        """Kill all processes."""
        for name in tuple(self.running):
            await self.kill(name)
