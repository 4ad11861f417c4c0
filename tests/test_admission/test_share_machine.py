"""Random histories of shares, loans, epochs, lost messages, pauses and restarts.

VMs act only when a rule of this file runs, so a VM that no rule selects for some time
behaves like a paused one. The environment variable ``SHARE_HISTORIES`` sets the number
of histories for longer runs.
"""

import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from support import share_fleet

VMS = 4
INDEX = st.integers(min_value=0, max_value=VMS - 1)


class ShareMachine(stateful.RuleBasedStateMachine):
    """Guards against more than rate * W + burst admitted requests in a window of W seconds."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = share_fleet.Fleet(vms=VMS, rate=8.0, burst=16.0)
        self.fleet.run(1.0, busy=False)

    def _vm(self, index: int) -> share_fleet.Vm:
        return self.fleet.vms[index]

    @stateful.rule(seconds=st.sampled_from([0.5, 1.5, 6.0]), busy=st.booleans())
    def run(self, seconds: float, busy: bool) -> None:
        """Advance the clock with heartbeats; with ``busy``, all VMs spend what they can."""
        self.fleet.run(seconds, busy=busy)

    @stateful.rule(seconds=st.sampled_from([0.05, 0.9, 4.0]))
    def pass_time(self, seconds: float) -> None:
        """Advance the clock while no VM acts."""
        self.fleet.advance(seconds)

    @stateful.rule(borrower=INDEX, delay=st.sampled_from([0.0, 0.2, 0.8]), deliver=st.booleans())
    def borrow(self, borrower: int, delay: float, deliver: bool) -> None:
        """Request loans from all peers; without ``deliver``, the responses stay in transit."""
        sent_at = self.fleet.now
        self.fleet.advance(delay)
        for lender in self.fleet.vms:
            self.fleet.ask_loan(self._vm(borrower), lender, 1.0, sent_at)
        if deliver:
            self.deliver_all()

    @stateful.rule(
        borrower=INDEX,
        lender=INDEX,
        fraction=st.sampled_from([0.0, 0.1, 1.0]),
        delay=st.sampled_from([0.0, 0.2, 0.8]),
    )
    def ask_loan(self, borrower: int, lender: int, fraction: float, delay: float) -> None:
        """Request a loan from one peer; the response stays in transit."""
        sent_at = self.fleet.now
        self.fleet.advance(delay)
        self.fleet.ask_loan(self._vm(borrower), self._vm(lender), fraction, sent_at)

    @stateful.rule(index=INDEX, deliver=st.booleans())
    def return_loans(self, index: int, deliver: bool) -> None:
        """Return the loans of one VM; without ``deliver``, the messages stay in transit."""
        self.fleet.return_loans(self._vm(index))
        if deliver:
            self.deliver_all()

    @stateful.precondition(lambda self: self.fleet.in_flight)
    @stateful.rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        """Deliver any one of the messages in transit."""
        position = data.draw(st.integers(0, len(self.fleet.in_flight) - 1))
        self.fleet.deliver(self.fleet.in_flight[position])

    @stateful.precondition(lambda self: self.fleet.in_flight)
    @stateful.rule()
    def deliver_all(self) -> None:
        """Deliver all messages in transit."""
        for message in list(self.fleet.in_flight):
            self.fleet.deliver(message)

    @stateful.precondition(lambda self: self.fleet.in_flight)
    @stateful.rule()
    def lose_message(self) -> None:
        """Drop the oldest message in transit."""
        self.fleet.in_flight.pop(0)

    @stateful.rule(index=INDEX, limit=st.sampled_from([1, 100]))
    def spend(self, index: int, limit: int) -> None:
        """Spend tokens on one VM, which may be paused and resume for it."""
        self.fleet.spend(self._vm(index), limit)

    @stateful.rule()
    def spend_everywhere(self) -> None:
        """Spend all tokens of all VMs."""
        for vm in self.fleet.vms:
            self.fleet.spend(vm, 100)

    @stateful.rule(index=INDEX)
    def restart(self, index: int) -> None:
        """Replace the process of one VM."""
        self.fleet.restart(self._vm(index))

    @stateful.rule(index=INDEX)
    def list_or_unlist(self, index: int) -> None:
        """Add one VM to the platform's list, or remove it."""
        self.fleet.listed ^= {self._vm(index).name}

    @stateful.rule(index=INDEX, platform=st.booleans(), links=st.booleans())
    def cut_off(self, index: int, platform: bool, links: bool) -> None:
        """Cut off one VM from the platform, from its peers or from both."""
        name = self._vm(index).name
        if platform:
            self.fleet.cut_from_platform.add(name)
        if links:
            self.fleet.cut_links |= {
                frozenset((name, peer.name)) for peer in self.fleet.vms if peer.name != name
            }

    @stateful.rule()
    def platform_down(self) -> None:
        """Cut off all VMs from the platform."""
        self.fleet.cut_from_platform = {vm.name for vm in self.fleet.vms}

    @stateful.rule()
    def heal(self) -> None:
        """End all cuts and pauses."""
        self.fleet.cut_links.clear()
        self.fleet.cut_from_platform.clear()
        self.fleet.paused.clear()

    @stateful.rule(index=INDEX)
    def pause(self, index: int) -> None:
        """Pause one VM, as SIGSTOP does."""
        self.fleet.paused.add(self._vm(index).name)

    @stateful.rule(rate=st.sampled_from([2.0, 8.0, 20.0]), burst=st.sampled_from([4.0, 16.0]))
    def change_rate(self, rate: float, burst: float) -> None:
        """Publish a configuration with another rate and burst."""
        version = len(self.fleet.configurations) + 1
        self.fleet.configurations.append(share_fleet.configuration(version, rate, burst))

    @stateful.invariant()
    def no_excess(self) -> None:
        """Check the limit and the sums of tokens and fractions after each step."""
        self.fleet.check()


TestShareMachine = ShareMachine.TestCase
TestShareMachine.settings = hypothesis.settings(
    max_examples=int(os.environ.get("SHARE_HISTORIES", "60")),
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
