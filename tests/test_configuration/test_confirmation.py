"""Versions, adoption and confirmation under any order of messages, on a simulated clock."""

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
    """Replaces the peer links and the peer server, and stores the registered heartbeat values."""

    def __init__(self) -> None:
        self.extras: dict[str, Any] = {}

    def add_heartbeat_value(self, name: str, source: Any, sink: Any) -> None:
        """Store the source and the sink of a heartbeat value."""
        self.extras[name] = (source, sink)

    def add_handler(self, kind: type, handler: Any) -> None:
        """Ignore a handler; tests pass offers to the exchange directly."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ack:
    """Answer of a peer to a heartbeat, not delivered yet.

    Attributes:
        vm: Answering entry VM.
        to: Name and incarnation of the entry VM that sent the heartbeat.
        report: Value of the confirmation in the answer.
        offer: Offer that the peer sends if it is asked for its configuration.
        sent_at: Time at which the heartbeat was sent.
    """

    vm: str
    to: tuple[str, int]
    report: Any
    offer: messages.ConfigurationOffer
    sent_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Read:
    """Answer of the platform, not delivered yet.

    Attributes:
        to: Name and incarnation of the entry VM that read.
        version: Stored version at the time of the read.
        sent_at: Time at which the read was sent.
    """

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
        """Return the offer that this entry VM sends to peers."""
        members = self.view.members if self.view.list_read else ()
        return messages.ConfigurationOffer(
            vm=self.identity[0], configuration=self.state.current, members=members
        )


class World:
    """Entry VMs, a platform, undelivered answers, and the observations of an operator.

    Attributes:
        now: Time in seconds.
        stored: Newest version on the platform.
        acks: Undelivered answers to heartbeats.
        reads: Undelivered answers of the platform.
        statuses: Status of each entry VM in the operator's last round, None if unreachable.
        accepted: Time at which the operator first saw each version as accepted.
        vms: Current incarnation of each entry VM.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.stored = 1
        self.acks: list[Ack] = []
        self.reads: list[Read] = []
        self.statuses: dict[str, Any] = {}
        self.accepted: dict[int, float] = {}
        self.vms = {name: Vm(name=name, incarnation=0, world=self) for name in NAMES}

    def restart(self, name: str) -> None:
        """Replace an entry VM by a new incarnation without a configuration or a member list."""
        incarnation = self.vms[name].identity[1] + 1
        self.vms[name] = Vm(name=name, incarnation=incarnation, world=self)

    def read(self, name: str) -> None:
        """Let an entry VM read from the platform; the answer is delivered later."""
        self.reads.append(Read(to=self.vms[name].identity, version=self.stored, sent_at=self.now))

    def deliver_read(self, read: Read) -> None:
        """Deliver an answer of the platform, as the poller does."""
        vm = self.vms[read.to[0]]
        if vm.identity != read.to:
            return
        vm.view.replace(MEMBERS)
        vm.state.adopt(
            dataclasses.replace(state.EMPTY_CONFIGURATION, version=read.version), "platform"
        )
        if read.version == vm.state.version:
            vm.app.events.emit("configuration-read", read.sent_at)

    def beat(self, name: str, peer: str) -> None:
        """Let an entry VM send a heartbeat to a peer; the answer is delivered later."""
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
        """Deliver an answer to a heartbeat and, if ``fetched``, the peer's newer configuration."""
        vm = self.vms[ack.to[0]]
        if vm.identity != ack.to:
            return
        vm.links.extras["confirmation"][1](ack.vm, ack.report, ack.sent_at)
        if fetched and ack.offer.configuration.version > vm.state.version:
            vm.exchange.adopt_offer(ack.offer)

    def query_status(self, reached: frozenset[str]) -> None:
        """Let an operator query the reachable entry VMs, and record the accepted versions."""
        later = {name: self.vms[name].status() if name in reached else None for name in NAMES}
        for version in range(1, self.stored + 1):
            version_accepted = vms.is_accepted(
                self.statuses, later, lambda s, v=version: s.version >= v
            )
            if version_accepted:
                self.accepted.setdefault(version, self.now)
        self.statuses = later

    def check(self) -> None:
        """Check that no entry VM with a valid confirmation misses an accepted version too long.

        The bound is the limit of the confirmation, counted from the acceptance.
        """
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
        """Let time pass without deliveries."""
        self.world.now += seconds

    @stateful.rule()
    def store(self) -> None:
        """Store a new version on the platform."""
        self.world.stored += 1

    @stateful.rule(name=names)
    def restart(self, name: str) -> None:
        """Restart an entry VM."""
        self.world.restart(name)

    @stateful.rule(name=names)
    def send_read(self, name: str) -> None:
        """Read from the platform; the answer is delivered later."""
        self.world.read(name)

    @stateful.rule(name=names)
    def read(self, name: str) -> None:
        """Read from the platform; the answer arrives at once."""
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
        """Send a heartbeat; the answer is delivered later."""
        if name != peer:
            self.world.beat(name, peer)

    @stateful.rule(name=names, peer=names, fetched=st.booleans())
    def beat(self, name: str, peer: str, fetched: bool) -> None:
        """Send a heartbeat; the answer arrives at once, but fetching a newer version may fail."""
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
        """Offer the configuration to a peer that did not request it."""
        if name != peer:
            before = self.world.vms[peer].state.version
            self.world.vms[peer].exchange.adopt_offer(self.world.vms[name].offer())
            assert self.world.vms[peer].state.version >= before

    @stateful.rule(adopting=st.frozensets(names, min_size=2))
    def accept(self, adopting: frozenset[str]) -> None:
        """Store a version, let some entry VMs adopt it, and let an operator observe it twice."""
        self.world.stored += 1
        for name in sorted(adopting):
            self.world.read(name)
            self.world.deliver_read(self.world.reads.pop())
        self.world.query_status(frozenset(NAMES))
        self.world.query_status(frozenset(NAMES))

    @stateful.rule(pair=st.lists(names, min_size=2, max_size=2, unique=True))
    def meet(self, pair: list[str]) -> None:
        """Let two entry VMs that reach no others exchange configurations and heartbeats."""
        first, second = pair
        self.world.now += 5.0
        for name, peer in ((first, second), (second, first)) * 2:
            self.world.vms[peer].exchange.adopt_offer(self.world.vms[name].offer())
            self.world.beat(name, peer)
            self.world.deliver_ack(self.world.acks.pop())

    @stateful.rule(name=names, peer=names, adopting=st.frozensets(names, min_size=2))
    def pause(self, name: str, peer: str, adopting: frozenset[str]) -> None:
        """Pause an entry VM between its heartbeat and the answer, while a version is accepted."""
        if name == peer:
            return
        self.world.beat(name, peer)
        self.accept(adopting - {name})
        self.world.now += 5.0
        self.world.deliver_ack(self.world.acks.pop(), False)

    @stateful.rule(reached=st.frozensets(names, min_size=2))
    def query_status(self, reached: frozenset[str]) -> None:
        """Let an operator query the entry VMs."""
        self.world.query_status(reached)

    @stateful.invariant()
    def no_outdated_version_is_confirmed(self) -> None:
        """Guards against a withdrawn key that an entry VM accepts after the bound."""
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
    world.query_status(frozenset(NAMES))
    world.query_status(frozenset(NAMES))
    assert world.accepted[2] == 0.0
    return world


def _exchange_heartbeat(world: World, name: str, peer: str) -> None:
    world.beat(name, peer)
    world.deliver_ack(world.acks.pop())


def test_restarted_peer_does_not_confirm_an_older_version(accepted_by_two):
    """Guards against a restarted VM that confirms an older version than the accepted one.

    While the platform is down, the restarted VM may reach only a peer that missed the version.
    """
    world = accepted_by_two
    world.restart("vm-2")
    # vm-1 is cut off; vm-2 fetches version 1 from vm-3, which has not adopted version 2.
    world.now = 10.0
    for _ in range(3):
        world.vms["vm-2"].exchange.adopt_offer(world.vms["vm-3"].offer())
        _exchange_heartbeat(world, "vm-2", "vm-3")
        _exchange_heartbeat(world, "vm-3", "vm-2")
    assert world.vms["vm-2"].state.version == 1
    assert world.vms["vm-3"].confirmation.confirmed_at(world.now) == 0.0
    assert world.vms["vm-2"].confirmation.confirmed_at(world.now) == -math.inf
    world.check()


def test_restarted_vm_serves_once_a_majority_of_others_answered(accepted_by_two):
    """Guards against a restart during a platform outage that never serves keys again."""
    world = accepted_by_two
    world.restart("vm-2")
    world.now = 10.0
    world.vms["vm-2"].exchange.adopt_offer(world.vms["vm-3"].offer())
    _exchange_heartbeat(world, "vm-2", "vm-3")
    _exchange_heartbeat(world, "vm-2", "vm-1")
    assert world.vms["vm-2"].state.version == 2
    assert not world.vms["vm-2"].confirmation.caught_up
    _exchange_heartbeat(world, "vm-2", "vm-1")
    assert world.vms["vm-2"].confirmation.confirmed_at(world.now) == 10.0


def test_vm_without_a_list_is_no_majority_of_one():
    """Guards against an entry VM without a member list that counts itself as a majority."""
    world = World()
    vm = world.vms["vm-1"]
    vm.state.adopt(dataclasses.replace(state.EMPTY_CONFIGURATION, version=1), "platform")
    vm.app.events.emit("configuration-read", 0.0)
    assert vm.confirmation.confirmed_at(100.0) == 0.0


def test_answer_after_a_pause_counts_from_its_request(accepted_by_two):
    """Guards against a paused entry VM that dates a confirmation by the receipt of the answer."""
    world = accepted_by_two
    world.beat("vm-1", "vm-2")
    world.now = 60.0
    world.deliver_ack(world.acks.pop())
    assert (
        world.vms["vm-1"].confirmation.valid_until(60.0) == confirmation.KEY_CONFIRMATION_LIFETIME
    )


def test_acceptance_needs_the_same_incarnation_in_both_rounds():
    """Guards against counting a VM that lost the version in a restart before others adopted it."""
    world = World()
    adopted = dataclasses.replace(world.vms["vm-1"].status(), version=2)
    restarted = dataclasses.replace(adopted, incarnation="other")
    holds = lambda vm_status: vm_status.version >= 2  # noqa: E731
    earlier = {"vm-1": adopted, "vm-2": adopted, "vm-3": None}
    assert vms.is_accepted(earlier, earlier, holds)
    assert not vms.is_accepted(earlier, {**earlier, "vm-2": restarted}, holds)


def test_acceptance_needs_a_majority_of_each_list_in_use():
    """Guards against a version accepted by no majority of an older member list still in use.

    Entry VMs with the older list could confirm an older version with a majority of that list.
    """
    world = World()
    status = world.vms["vm-1"].status()
    old = ("vm-1", "vm-2", "vm-8", "vm-9")
    statuses = {
        "vm-1": dataclasses.replace(status, version=2, members=MEMBERS),
        "vm-2": dataclasses.replace(status, vm="vm-2", version=2, members=_members(*old)),
        "vm-3": None,
    }
    assert not vms.is_accepted(statuses, statuses, lambda vm_status: vm_status.version >= 2)
    statuses["vm-2"] = dataclasses.replace(
        statuses["vm-2"], members=_members("vm-1", "vm-2", "vm-8")
    )
    assert vms.is_accepted(statuses, statuses, lambda vm_status: vm_status.version >= 2)
