"""Versions, adoption and confirmation under any order of messages, with an explicit clock."""

import dataclasses
import math
from typing import Any

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from greengageshunt import application, model
from greengageshunt.commands import vms
from greengageshunt.configuration import exchange, state
from greengageshunt.configuration import status as status_module
from greengageshunt.membership import confirmation, view
from greengageshunt.peers import messages

NAMES = ("vm-1", "vm-2", "vm-3")
MEMBERS = tuple(
    model.Member(vm=name, failure_domain="klang", peer_address="127.0.0.1:1") for name in NAMES
)


def _members(*names: str) -> tuple[model.Member, ...]:
    return tuple(dataclasses.replace(MEMBERS[0], vm=name) for name in names)


class Links:
    """Takes the heartbeat values and handlers that the parts register."""

    def __init__(self) -> None:
        self.extras: dict[str, Any] = {}

    def add_extra(self, name: str, source: Any, sink: Any) -> None:
        """Remember a heartbeat value."""
        self.extras[name] = (source, sink)

    def add_handler(self, kind: type, handler: Any) -> None:
        """Ignore a handler; tests hand over offers themselves."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ack:
    """Answer of a peer to a heartbeat, on its way."""

    vm: str
    to: tuple[str, int]
    report: Any
    offer: messages.ConfigurationOffer
    sent_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Read:
    """Answer of the platform, on its way."""

    to: tuple[str, int]
    version: int
    sent_at: float


class Vm:
    """One incarnation of an entry VM, with the parts under test."""

    def __init__(self, *, name: str, incarnation: int, world: "World") -> None:
        self.identity = (name, incarnation)
        self.app = application.Application(name=name, clock=lambda: world.now)
        for event in ("configuration-read", "configuration-changed", "members-changed"):
            self.app.add_event(event)
        self.app.add_event("peer-answered")
        self.links = Links()
        me = next(member for member in MEMBERS if member.vm == name)
        self.view = view.MemberView(me=me)
        self.app.add_part("membership", "view", lambda app: self.view)
        self.app.add_part("peers", "links", lambda app: self.links)
        self.app.add_part("peers", "server", lambda app: self.links)
        self.app.add_part("configuration", "state", lambda app: state.ConfigurationState(app=app))
        self.state = self.app.part("configuration", "state")
        self.confirmation = confirmation.Confirmation(app=self.app)
        self.exchange = exchange.ConfigurationExchange(app=self.app)

    def status(self) -> status_module.VmStatus:
        """Return the status that operators see."""
        return status_module.VmStatus(
            vm=self.identity[0],
            failure_domain="klang",
            incarnation=str(self.identity),
            version=self.state.version,
            settled=self.confirmation.caught_up,
            confirmed=True,
            confirmation_age=None,
            leaving=False,
            members=self.view.members if self.view.list_read else (),
            groups=(),
        )

    def offer(self) -> messages.ConfigurationOffer:
        """Return what this entry VM hands to peers."""
        members = self.view.members if self.view.list_read else ()
        return messages.ConfigurationOffer(
            vm=self.identity[0], configuration=self.state.current, members=members
        )


class World:
    """Entry VMs, a platform, messages on their way, and what operators saw."""

    def __init__(self) -> None:
        self.now = 0.0
        self.stored = 1
        self.acks: list[Ack] = []
        self.reads: list[Read] = []
        self.round: dict[str, Any] = {}
        self.accepted: dict[int, float] = {}
        self.vms = {name: Vm(name=name, incarnation=0, world=self) for name in NAMES}

    def restart(self, name: str) -> None:
        """Replace an entry VM by a new incarnation that knows nothing."""
        incarnation = self.vms[name].identity[1] + 1
        self.vms[name] = Vm(name=name, incarnation=incarnation, world=self)

    def read(self, name: str) -> None:
        """Let an entry VM ask the platform; the answer is on its way."""
        self.reads.append(Read(to=self.vms[name].identity, version=self.stored, sent_at=self.now))

    def deliver_read(self, read: Read) -> None:
        """Hand over an answer of the platform, as the poller does."""
        vm = self.vms[read.to[0]]
        if vm.identity != read.to:
            return
        vm.view.replace(MEMBERS)
        vm.state.adopt(dataclasses.replace(state.EMPTY, version=read.version), "platform")
        if read.version == vm.state.version:
            vm.app.events.emit("configuration-read", read.sent_at)

    def beat(self, name: str, peer: str) -> None:
        """Let an entry VM send a heartbeat that the peer answers; the answer is on its way."""
        answering = self.vms[peer]
        report = answering.links.extras["confirmation"][0]()
        self.acks.append(
            Ack(
                vm=peer,
                to=self.vms[name].identity,
                report=report,
                offer=answering.offer(),
                sent_at=self.now,
            )
        )

    def deliver_ack(self, ack: Ack, fetched: bool = True) -> None:
        """Hand over an answer to a heartbeat and, if fetched, a newer configuration."""
        vm = self.vms[ack.to[0]]
        if vm.identity != ack.to:
            return
        vm.links.extras["confirmation"][1](ack.vm, ack.report, ack.sent_at)
        if fetched and ack.offer.configuration.version > vm.state.version:
            vm.exchange.take(ack.offer)

    def look(self, reached: frozenset[str]) -> None:
        """Let an operator ask the reachable entry VMs, and note what is accepted."""
        later = {name: self.vms[name].status() if name in reached else None for name in NAMES}
        for version in range(1, self.stored + 1):
            held = vms.is_accepted(self.round, later, lambda s, v=version: s.version >= v)
            if held:
                self.accepted.setdefault(version, self.now)
        self.round = later

    def check(self) -> None:
        """Check that nobody relies on a version that was replaced too long ago."""
        for vm in self.vms.values():
            if vm.confirmation.valid_until(self.now) <= self.now:
                continue
            limit = self.now - confirmation.KEY_CONFIRMATION_LIFETIME
            for version, accepted_at in self.accepted.items():
                assert accepted_at >= limit or vm.state.version >= version, (
                    f"{vm.identity} serves version {vm.state.version}; {version} was accepted"
                )


names = st.sampled_from(NAMES)


class Confirmations(stateful.RuleBasedStateMachine):
    """Random orders of reads, heartbeats, restarts, versions and time."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()

    @stateful.initialize()
    def start(self) -> None:
        """Let all entry VMs adopt the first version."""
        for name in NAMES:
            self.world.read(name)
            self.world.deliver_read(self.world.reads.pop())

    @stateful.rule(seconds=st.sampled_from((0.1, 1.0, 3.0, 5.0)))
    def pass_time(self, seconds: float) -> None:
        """Let time pass, for some entry VMs in a pause."""
        self.world.now += seconds

    @stateful.rule()
    def store(self) -> None:
        """Store a version."""
        self.world.stored += 1

    @stateful.rule(name=names)
    def restart(self, name: str) -> None:
        """Restart an entry VM."""
        self.world.restart(name)

    @stateful.rule(name=names)
    def send_read(self, name: str) -> None:
        """Ask the platform."""
        self.world.read(name)

    @stateful.rule(name=names)
    def read(self, name: str) -> None:
        """Ask the platform and get the answer at once."""
        self.world.read(name)
        self.world.deliver_read(self.world.reads.pop())

    @stateful.precondition(lambda self: self.world.reads)
    @stateful.rule(data=st.data(), lost=st.booleans())
    def deliver_read(self, data: st.DataObject, lost: bool) -> None:
        """Deliver or lose any answer of the platform."""
        index = data.draw(st.integers(0, len(self.world.reads) - 1))
        read = self.world.reads.pop(index)
        if not lost:
            self.world.deliver_read(read)

    @stateful.rule(name=names, peer=names)
    def send_beat(self, name: str, peer: str) -> None:
        """Send a heartbeat."""
        if name != peer:
            self.world.beat(name, peer)

    @stateful.rule(name=names, peer=names, fetched=st.booleans())
    def beat(self, name: str, peer: str, fetched: bool) -> None:
        """Send a heartbeat and get the answer at once; fetching a newer version may fail."""
        if name != peer:
            self.world.beat(name, peer)
            self.world.deliver_ack(self.world.acks.pop(), fetched)

    @stateful.precondition(lambda self: self.world.acks)
    @stateful.rule(data=st.data(), lost=st.booleans(), fetched=st.booleans())
    def deliver_ack(self, data: st.DataObject, lost: bool, fetched: bool) -> None:
        """Deliver or lose any answer of a peer."""
        index = data.draw(st.integers(0, len(self.world.acks) - 1))
        ack = self.world.acks.pop(index)
        if not lost:
            self.world.deliver_ack(ack, fetched)

    @stateful.rule(name=names, peer=names)
    def push(self, name: str, peer: str) -> None:
        """Offer the configuration to a peer that did not ask."""
        if name != peer:
            before = self.world.vms[peer].state.version
            self.world.vms[peer].exchange.take(self.world.vms[name].offer())
            assert self.world.vms[peer].state.version >= before

    @stateful.rule(adopting=st.frozensets(names, min_size=2))
    def accept(self, adopting: frozenset[str]) -> None:
        """Store a version, let some entry VMs adopt it, and let an operator see that."""
        self.world.stored += 1
        for name in sorted(adopting):
            self.world.read(name)
            self.world.deliver_read(self.world.reads.pop())
        self.world.look(frozenset(NAMES))
        self.world.look(frozenset(NAMES))

    @stateful.rule(pair=st.lists(names, min_size=2, max_size=2, unique=True))
    def meet(self, pair: list[str]) -> None:
        """Let two entry VMs that reach nobody else exchange heartbeats for a while."""
        first, second = pair
        self.world.now += 5.0
        for name, peer in ((first, second), (second, first)) * 2:
            self.world.vms[peer].exchange.take(self.world.vms[name].offer())
            self.world.beat(name, peer)
            self.world.deliver_ack(self.world.acks.pop())

    @stateful.rule(name=names, peer=names, adopting=st.frozensets(names, min_size=2))
    def pause(self, name: str, peer: str, adopting: frozenset[str]) -> None:
        """Pause an entry VM between its heartbeat and the answer, past an acceptance."""
        if name == peer:
            return
        self.world.beat(name, peer)
        self.accept(adopting - {name})
        self.world.now += 5.0
        self.world.deliver_ack(self.world.acks.pop(), False)

    @stateful.rule(reached=st.frozensets(names, min_size=2))
    def look(self, reached: frozenset[str]) -> None:
        """Let an operator ask the entry VMs."""
        self.world.look(reached)

    @stateful.invariant()
    def no_replaced_version_is_relied_on(self) -> None:
        """Guards against a withdrawn key that works after the bound."""
        self.world.check()


Confirmations.TestCase.settings = settings(
    max_examples=120, stateful_step_count=60, deadline=None, derandomize=True
)
TestConfirmations = Confirmations.TestCase


@pytest.fixture
def accepted_by_two() -> World:
    """Return a world in which vm-1 and vm-2 adopted version 2 and vm-3 did not."""
    world = World()
    for name in NAMES:
        world.read(name)
        world.deliver_read(world.reads.pop())
    world.stored = 2
    for name in ("vm-1", "vm-2"):
        world.read(name)
        world.deliver_read(world.reads.pop())
    world.look(frozenset(NAMES))
    world.look(frozenset(NAMES))
    assert world.accepted[2] == 0.0
    return world


def _beat(world: World, name: str, peer: str) -> None:
    world.beat(name, peer)
    world.deliver_ack(world.acks.pop())


def test_restarted_peer_does_not_confirm_an_older_version(accepted_by_two):
    """Guards against a restart that loses an accepted version while the platform is down."""
    world = accepted_by_two
    world.restart("vm-2")
    # vm-1 is cut off; vm-2 learns version 1 from vm-3, which is behind.
    world.now = 10.0
    for _ in range(3):
        world.vms["vm-2"].exchange.take(world.vms["vm-3"].offer())
        _beat(world, "vm-2", "vm-3")
        _beat(world, "vm-3", "vm-2")
    assert world.vms["vm-2"].state.version == 1
    assert world.vms["vm-3"].confirmation.confirmed_at(world.now) == 0.0
    assert world.vms["vm-2"].confirmation.confirmed_at(world.now) == -math.inf
    world.check()


def test_restarted_vm_serves_once_a_majority_of_others_answered(accepted_by_two):
    """Guards against a restart during a platform outage that never serves keys again."""
    world = accepted_by_two
    world.restart("vm-2")
    world.now = 10.0
    world.vms["vm-2"].exchange.take(world.vms["vm-3"].offer())
    _beat(world, "vm-2", "vm-3")
    _beat(world, "vm-2", "vm-1")
    assert world.vms["vm-2"].state.version == 2
    assert not world.vms["vm-2"].confirmation.caught_up
    _beat(world, "vm-2", "vm-1")
    assert world.vms["vm-2"].confirmation.confirmed_at(world.now) == 10.0


def test_vm_without_a_list_is_no_majority_of_one():
    """Guards against a fresh entry VM that confirms itself because it knows no other."""
    world = World()
    vm = world.vms["vm-1"]
    vm.state.adopt(dataclasses.replace(state.EMPTY, version=1), "platform")
    vm.app.events.emit("configuration-read", 0.0)
    assert vm.confirmation.confirmed_at(100.0) == 0.0


def test_answer_after_a_pause_counts_from_its_request(accepted_by_two):
    """Guards against a paused entry VM that takes an old answer for a fresh one."""
    world = accepted_by_two
    world.beat("vm-1", "vm-2")
    world.now = 60.0
    world.deliver_ack(world.acks.pop())
    assert (
        world.vms["vm-1"].confirmation.valid_until(60.0) == confirmation.KEY_CONFIRMATION_LIFETIME
    )


def test_acceptance_needs_the_same_incarnation_in_both_rounds():
    """Guards against counting an entry VM that forgot the version before another adopted it."""
    world = World()
    adopted = dataclasses.replace(world.vms["vm-1"].status(), version=2)
    restarted = dataclasses.replace(adopted, incarnation="other")
    holds = lambda found: found.version >= 2  # noqa: E731
    earlier = {"vm-1": adopted, "vm-2": adopted, "vm-3": None}
    assert vms.is_accepted(earlier, earlier, holds)
    assert not vms.is_accepted(earlier, {**earlier, "vm-2": restarted}, holds)


def test_acceptance_needs_a_majority_of_each_list_in_use():
    """Guards against an acceptance that entry VMs with an older list cannot notice."""
    world = World()
    status = world.vms["vm-1"].status()
    old = ("vm-1", "vm-2", "vm-8", "vm-9")
    held = {
        "vm-1": dataclasses.replace(status, version=2, members=MEMBERS),
        "vm-2": dataclasses.replace(status, vm="vm-2", version=2, members=_members(*old)),
        "vm-3": None,
    }
    assert not vms.is_accepted(held, held, lambda found: found.version >= 2)
    held["vm-2"] = dataclasses.replace(held["vm-2"], members=_members("vm-1", "vm-2", "vm-8"))
    assert vms.is_accepted(held, held, lambda found: found.version >= 2)
