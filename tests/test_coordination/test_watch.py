"""Watch calls to the store, and copies of its sections from hubs to other entry VMs."""

import asyncio
import types

import pytest

from greengageshunt import application, config, errors, model
from greengageshunt.coordination import copies, records, view, watch
from greengageshunt.membership import view as member_view
from greengageshunt.platform import store
from greengageshunt.standins import memory

DOMAINS = "abcd"


class _Links:
    """Stands in for the peer links of one entry VM, and records its requests."""

    def __init__(self, *, exchanges: dict[str, copies.CopyExchange]) -> None:
        self._exchanges = exchanges
        self.requests: list[tuple[str, records.CopyRequest]] = []

    def add_heartbeat_value(self, name, source, sink, **options) -> None:
        """Ignore the heartbeat value; tests deliver it by ``Fleet.deliver_heartbeat``."""

    async def request(self, vm, message, timeout):
        """Return the response of the peer's handler."""
        self.requests.append((vm, message))
        return await self._exchanges[vm]._answer_copy(message, 0.0)


class _Server:
    def add_handler(self, kind, handler) -> None:
        """Accept a handler and ignore it."""


class _Store:
    """Store without rows that records the calls to it."""

    def __init__(self) -> None:
        self.down = False
        self.calls: list[tuple[str, records.Section]] = []

    async def read(self, section):
        """Return no rows, or fail like a store that is down."""
        self.calls.append(("read", section))
        if self.down:
            raise errors.PlatformError("down", step="read", peer="store", effect_unknown=False)
        return records.Changes(is_snapshot=True, rows=(), removed=(), version=1, as_of=100.0)

    async def changes(self, section, after, wait):
        """Hold the call until it is cancelled."""
        self.calls.append(("watch", section))
        await asyncio.Event().wait()


class _Registry:
    """The registration of one entry VM."""

    def __init__(self) -> None:
        self.row_written = asyncio.Event()
        self.registered = False


class _Configuration:
    version = 0
    current = types.SimpleNamespace(groups_by_name={})


class Fleet:
    """Sixty entry VMs, some of which watch the store and hold copies of it."""

    def __init__(self) -> None:
        self.now = 100.0
        self.members = tuple(
            model.Member(vm=f"{domain}-{index}", failure_domain=domain, peer_address="127.0.0.1:1")
            for domain in DOMAINS
            for index in range(15)
        )
        self.watches: dict[str, watch.StoreWatch] = {}
        self.exchanges: dict[str, copies.CopyExchange] = {}
        self.links: dict[str, _Links] = {}
        self.stores: dict[str, _Store] = {}
        self.views: dict[str, view.StoreView] = {}
        self.registries: dict[str, _Registry] = {}
        members_view = member_view.MemberView(me=self.members[0], clock=lambda: 0.0, sparse=True)
        members_view.replace(self.members)
        self.hubs = members_view.hubs
        self.plain = next(
            member
            for member in self.members
            if member.failure_domain == "a" and member not in self.hubs
        )

    def add(self, member: model.Member) -> view.StoreView:
        """Create the store watch of one entry VM; return its view of the store."""
        app = application.Application(name=member.vm, clock=lambda: self.now)
        members_view = member_view.MemberView(me=member, clock=app.clock, sparse=True)
        members_view.replace(self.members)
        store, links, registry = _Store(), _Links(exchanges=self.exchanges), _Registry()
        app.add_part("platform", "table", lambda app: store)
        app.add_part("membership", "view", lambda app: members_view)
        app.add_part("configuration", "state", lambda app: _Configuration())
        app.add_part("coordination", "members", lambda app: registry)
        app.add_part("peers", "links", lambda app: links)
        app.add_part("peers", "server", lambda app: _Server())
        view.setup(app)
        watch.setup(app)
        copies.setup(app)
        values = {
            "parts.platform": "table",
            "store.configuration_wait": 1.0,
            "store.targets_wait": 1.0,
            "store.control_wait": 1.0,
        }
        app.configure(config.Settings(values=values, source="test"))
        self.watches[member.vm] = app.part("coordination", "watch")
        self.exchanges[member.vm] = app.part("coordination", "copies")
        self.links[member.vm], self.stores[member.vm] = links, store
        self.registries[member.vm] = registry
        self.views[member.vm] = app.part("coordination", "view")
        return self.views[member.vm]

    def write(self, vm: str, version: int, *, rows=(), removed=()) -> None:
        """Apply changes to the copy of one entry VM as if the store had returned them."""
        changed = tuple(
            records.ControlRow(key=f"other/{key}", version=at, value="{}") for key, at in rows
        )
        changes = records.Changes(
            is_snapshot=False,
            rows=changed,
            removed=tuple(f"other/{key}" for key in removed),
            version=version,
            as_of=self.now,
        )
        self.views[vm].apply(records.Section.CONTROL, changes, "store")

    async def deliver_heartbeat(self, source: str, to: str) -> None:
        """Deliver a heartbeat value, and wait until the copies that it starts have ended."""
        self.exchanges[to]._apply_heartbeat_value(
            source, self.exchanges[source]._heartbeat_value(), self.now
        )
        while self.exchanges[to]._copying:  # noqa: ASYNC110 - copies have no event
            await asyncio.sleep(0)


def _versions(copy: view.SectionCopy) -> dict[str, int]:
    return {key: row.version for key, row in copy.rows.items()}


async def test_changed_rows_alone_are_copied():
    """Guards against responses that carry the whole control table, which has many rows."""
    fleet = Fleet()
    hub = next(hub for hub in fleet.hubs if hub.failure_domain == "a")
    hub_view, own_view = fleet.add(hub), fleet.add(fleet.plain)
    fleet.write(hub.vm, 5, rows=[("x", 4), ("y", 5)])
    await fleet.deliver_heartbeat(hub.vm, fleet.plain.vm)
    fleet.write(hub.vm, 9, rows=[("y", 9)])
    await fleet.deliver_heartbeat(hub.vm, fleet.plain.vm)
    requested = [message.after for _, message in fleet.links[fleet.plain.vm].requests]
    assert requested == [0, 5]
    control = records.Section.CONTROL
    assert (
        _versions(own_view.copy(control))
        == _versions(hub_view.copy(control))
        == {"other/x": 4, "other/y": 9}
    )


async def test_removed_rows_are_noticed():
    """Guards against removed rows that stay in a copy, since changed rows don't show removals."""
    fleet = Fleet()
    hub = next(hub for hub in fleet.hubs if hub.failure_domain == "a")
    fleet.add(hub)
    own_view = fleet.add(fleet.plain)
    fleet.write(hub.vm, 5, rows=[("x", 4), ("y", 5)])
    await fleet.deliver_heartbeat(hub.vm, fleet.plain.vm)
    fleet.write(hub.vm, 8, rows=[("z", 8)], removed=["x"])
    await fleet.deliver_heartbeat(hub.vm, fleet.plain.vm)
    assert _versions(own_view.copy(records.Section.CONTROL)) == {"other/y": 5, "other/z": 8}


async def test_copies_come_from_the_own_domain_while_a_hub_there_answers():
    """Guards against traffic between failure domains for rows that a local hub has."""
    fleet = Fleet()
    near = next(hub for hub in fleet.hubs if hub.failure_domain == "a")
    far = next(hub for hub in fleet.hubs if hub.failure_domain == "b")
    for member in (near, far, fleet.plain):
        fleet.add(member)
    fleet.write(far.vm, 5, rows=[("x", 5)])
    await fleet.deliver_heartbeat(far.vm, fleet.plain.vm)
    assert not fleet.links[fleet.plain.vm].requests
    fleet.now += 60.0
    await fleet.deliver_heartbeat(far.vm, fleet.plain.vm)
    assert fleet.links[fleet.plain.vm].requests


async def test_store_is_not_called_while_hubs_confirm():
    """Guards against calls of all entry VMs for each change, and no calls after hubs fail."""
    fleet = Fleet()
    hub = next(hub for hub in fleet.hubs if hub.failure_domain == "a")
    fleet.add(hub)
    fleet.add(fleet.plain)
    fleet.write(hub.vm, 5, rows=[("x", 5)])
    await fleet.deliver_heartbeat(hub.vm, fleet.plain.vm)
    own_watch = fleet.watches[fleet.plain.vm]
    # Only the store shows the entry VM's registration early enough.
    assert not own_watch._is_confirmed_by_hubs(records.Section.CONTROL)
    fleet.registries[fleet.plain.vm].registered = True
    own_watch._note_control_read()
    assert own_watch._is_confirmed_by_hubs(records.Section.CONTROL)
    assert not fleet.watches[hub.vm]._is_confirmed_by_hubs(records.Section.CONTROL)
    fleet.now += watch.HUB_CONFIRMATION_TIMEOUTS[records.Section.CONTROL] + 0.1
    assert not own_watch._is_confirmed_by_hubs(records.Section.CONTROL)


def test_configuration_is_read_once_hubs_no_longer_confirm_it():
    """Guards against withdrawn keys that stay in use behind hubs that cannot reach the store."""
    fleet = Fleet()
    fleet.add(fleet.plain)
    own_watch = fleet.watches[fleet.plain.vm]
    own_watch._configuration = types.SimpleNamespace(version=4)
    section = records.Section.CONFIGURATION
    assert not own_watch._is_confirmed_by_hubs(section)
    own_watch._confirm_configuration("a-1", [4, 1.0], fleet.now)
    assert own_watch._is_confirmed_by_hubs(section)
    fleet.now += 2.0
    # The hub has not reached the store since; what it passes on is no newer.
    own_watch._confirm_configuration("a-1", [4, 3.0], fleet.now)
    own_watch._confirm_configuration("a-1", [3, 0.0], fleet.now)
    fleet.now += 0.6
    assert not own_watch._is_confirmed_by_hubs(section)


async def _start(fleet: Fleet, member: model.Member, *, registers: bool) -> list:
    """Start the watch of one entry VM; return its calls after the first full reads.

    Args:
        fleet: The fleet.
        member: The entry VM.
        registers: Whether it registers, or the watch runs into the time-out.
    """
    fleet.add(member)
    registry = fleet.registries[member.vm]
    running = asyncio.create_task(fleet.watches[member.vm].run())
    await asyncio.wait_for(fleet.watches[member.vm].control_read.wait(), 1.0)
    await asyncio.sleep(0.05)
    before = list(fleet.stores[member.vm].calls)
    assert ("watch", records.Section.CONTROL) not in before
    if registers:
        registry.registered = True
        registry.row_written.set()
    await asyncio.sleep(0.05 if registers else watch.REGISTRATION_WAIT + 0.1)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return fleet.stores[member.vm].calls[len(before) :]


async def test_control_table_is_watched_once_the_own_row_is_written():
    """Guards against calls at a start that return for each row that another entry VM writes."""
    fleet = Fleet()
    calls = await _start(fleet, fleet.plain, registers=True)
    assert calls == [("watch", records.Section.CONTROL)]


async def test_sections_are_watched_although_the_registration_fails():
    """Guards against an entry VM that gets no changes while it cannot write to the store."""
    fleet = Fleet()
    calls = await _start(fleet, fleet.hubs[0], registers=False)
    assert sorted(calls) == [
        ("watch", records.Section.CONFIGURATION),
        ("watch", records.Section.CONTROL),
        ("watch", records.Section.TARGETS),
    ]


class _SilentStore:
    """Store that answers no call which is pending or arrives while it is silent.

    Args:
        clock: Returns monotonic seconds.
        silent_from: Seconds at which the store becomes silent.
        silent_until: Seconds at which it answers new calls again.
    """

    def __init__(self, *, clock, silent_from: float, silent_until: float) -> None:
        self._clock = clock
        self._silent_from = silent_from
        self._silent_until = silent_until
        self.calls: list[tuple[float, records.Section]] = []

    async def read(self, section):
        """Return no rows."""
        return await self._answer(section, 0.0)

    async def changes(self, section, after, wait):
        """Return no rows after the wait."""
        return await self._answer(section, wait)

    async def _answer(self, section, wait):
        sent_at = self._clock()
        self.calls.append((sent_at, section))
        await asyncio.sleep(wait + 0.001)
        if sent_at < self._silent_until and self._clock() > self._silent_from:
            await asyncio.sleep(store.CALL_TIMEOUT)
            raise errors.PlatformError("silent", step="read", peer="store", effect_unknown=False)
        return records.Changes(is_snapshot=True, rows=(), removed=(), version=1, as_of=sent_at)


async def _watch_silent_store(silent_from: float, silent_until: float) -> _SilentStore:
    """Run the watch of a hub for 60 s; the store is silent for a part of them."""
    fleet = Fleet()
    hub = fleet.hubs[0]
    fleet.add(hub)
    clock = asyncio.get_running_loop().time
    silent = _SilentStore(clock=clock, silent_from=silent_from, silent_until=silent_until)
    own_watch = fleet.watches[hub.vm]
    own_watch._store, own_watch._app._clock = silent, clock
    fleet.registries[hub.vm].registered = True
    fleet.registries[hub.vm].row_written.set()
    waits = {"configuration": 6.0, "targets": 10.0, "control": 2.0}
    values = {f"store.{name}_wait": seconds for name, seconds in waits.items()}
    own_watch._app._settings = config.Settings(values=values, source="test")
    running = asyncio.create_task(own_watch.run())
    await asyncio.sleep(60.0)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return silent


# Seconds after the store's return within which a hub must have sent a call for each section: the
# time within which a configuration that is acknowledged at the return must be in force.
RETURN_BOUND = 3.0


@pytest.mark.parametrize("silent_for", [0.5, 1.5, 3.0, 6.0, 9.0])
@pytest.mark.parametrize("silent_from", [20.0, 20.9, 22.3, 24.7])
def test_every_section_is_read_soon_after_the_store_returns(silent_from, silent_for):
    """Guards against a watch call that waits for a store that will never answer that call.

    A configuration acknowledged 0.9 s after the return of the store was adopted 5 s later, since
    the call that watched it had been sent while the store was silent.
    """
    silent_until = silent_from + silent_for
    silent = memory.run(_watch_silent_store(silent_from, silent_until))
    for section in records.Section:
        first = min(at for at, called in silent.calls if called is section and at >= silent_until)
        assert first - silent_until <= RETURN_BOUND, (section, first)


def test_a_store_that_answers_gets_no_further_calls():
    """Guards against calls, which cost money, that repeat watch calls of a store that answers."""
    silent = memory.run(_watch_silent_store(99.0, 99.0))
    counts = {
        section: sum(called is section for _, called in silent.calls) for section in records.Section
    }
    # The hub is the only one that is known to live, so it watches for all others.
    assert counts[records.Section.CONFIGURATION] <= 60.0 / watch.SHARED_CONFIGURATION_WAIT + 1
    assert counts[records.Section.TARGETS] <= 7
    assert counts[records.Section.CONTROL] <= 31
