"""Simulated entry VMs with their share ledgers, in-memory messages and one virtual clock."""

import copy
import dataclasses
from typing import Any

from greengageshunt import invariants, model
from greengageshunt.admission import bucket, holding, ledger, loan_messages
from greengageshunt.membership import shares

ACCOUNT = "account-1"
EPSILON = 1e-6  # rounding error allowed in sums of tokens and of fractions
STEP = 0.25  # seconds between heartbeats


def configuration(version: int, rate: float, burst: float) -> model.Configuration:
    """Return a configuration with one client account."""
    account = model.ClientAccount(name=ACCOUNT, weight=1.0, rate=rate, burst=burst)
    return model.Configuration(
        version=version, accounts=(account,), keys=(), routes=(), token_secret=""
    )


def probe(vm: "Vm", now: float) -> holding.Holding:
    """Return the tokens and shares that a VM holds now, without changing its state."""
    view = copy.copy(vm.view)
    held = copy.copy(vm.ledger)
    held.__dict__.update(_view=view, _holdings=dict(vm.ledger.__dict__["_holdings"]))
    return held.holding_of(ACCOUNT, now)


class Vm:
    """One process of an entry VM: its view of the shares and its ledger."""

    def __init__(self, *, name: str, incarnation: int) -> None:
        self.name = name
        self.seat = shares.Seat(vm=name, incarnation=f"{name}-{incarnation}")
        self.view = shares.ShareView(me=self.seat)
        self.ledger = ledger.ShareLedger(
            view=self.view, invariants=invariants.Invariants(strict=True)
        )
        self.version = 0

    def adopt(self, newest: model.Configuration, now: float) -> None:
        """Put a configuration into force."""
        self.version = max(self.version, newest.version)
        self.view.adopt_configuration(newest)
        self.ledger.refresh(now)


@dataclasses.dataclass(frozen=True, kw_only=True)
class InFlight:
    """A message not yet delivered: a heartbeat's report, a loan or the return of a loan.

    ``sent_at`` is the time of the request to which a report or a loan responds.
    """

    sender: Vm
    receiver: Vm
    sent_at: float
    answer: Any


@dataclasses.dataclass(frozen=True, kw_only=True)
class Gain:
    """Tokens and share fraction that a message adds to its receiver."""

    tokens: float
    fraction: float


class Fleet:
    """VMs, the platform's share table and configurations, undelivered messages, and a clock.

    ``reference`` is a single token bucket that starts full, and from which all admitted
    requests are taken. Its level stays at or above zero exactly as long as no time window
    has more than rate * length + burst admitted requests.
    """

    def __init__(self, *, vms: int, rate: float, burst: float, holders: int = 16) -> None:
        self.now = 100.0
        self.holders = holders
        self.configurations = [configuration(1, rate, burst)]
        self.table: shares.ShareTable | None = None
        self.vms = [Vm(name=f"vm-{number}", incarnation=1) for number in range(vms)]
        self.listed = {vm.name for vm in self.vms}
        self.cut_links: set[frozenset[str]] = set()
        self.paused: set[str] = set()
        self.cut_from_platform: set[str] = set()
        self.in_flight: list[InFlight] = []
        self.restarts = 1
        self.admitted = 0
        self.reference = bucket.Bucket(rate=rate, capacity=burst, tokens=burst, updated_at=self.now)

    def linked(self, one: Vm, other: Vm) -> bool:
        """Return whether two VMs reach each other."""
        return frozenset((one.name, other.name)) not in self.cut_links

    def advance(self, seconds: float) -> None:
        """Advance the clock, and refill the reference bucket."""
        self._grow_reference()
        self.reference = bucket.refill(self.reference, self.now)
        self.now += seconds
        self.reference = bucket.refill(self.reference, self.now)

    def _grow_reference(self) -> None:
        """Set the reference bucket to the highest rate and burst that a spending VM may have."""
        spending = [vm.version for vm in self.vms if vm.version and self._may_spend(vm)]
        oldest = min(spending, default=len(self.configurations))
        accounts = [
            each.accounts_by_name[ACCOUNT] for each in self.configurations[max(0, oldest - 1) :]
        ]
        rate = max(account.rate for account in accounts)
        burst = max(account.burst for account in accounts)
        tokens = min(burst, self.reference.tokens)
        self.reference = dataclasses.replace(
            self.reference, rate=rate, capacity=burst, tokens=tokens
        )

    def _may_spend(self, vm: Vm) -> bool:
        held = probe(vm, self.now)
        return vm.ledger.own_shares_valid_until >= self.now or bool(held.borrowed)

    def read_platform(self, vm: Vm) -> None:
        """Read the share table and the configuration, unless the platform is unreachable."""
        if vm.name in self.cut_from_platform:
            return
        if self.table is not None:
            vm.view.adopt_table(self.table)
            vm.view.record_row_read(self.now)
        vm.adopt(self.configurations[-1], self.now)
        vm.view.record_configuration_read(self.now)
        vm.ledger.refresh(self.now)

    def change_table(self, vm: Vm) -> None:
        """Write the share table's successor; read from peers if the platform is unreachable."""
        if vm.name in self.cut_from_platform:
            self._read_peers(vm)
            return
        self.read_platform(vm)
        if self.table is not None and len(vm.view.bases_in_force) != 1:
            return
        wanted = [other.seat for other in self.vms if other.name in self.listed]
        self.table = shares.next_table(self.table, wanted, self.holders) or self.table
        self.read_platform(vm)

    def _read_peers(self, vm: Vm) -> None:
        """Adopt the share table and the configuration of reachable peers."""
        for peer in self.vms:
            if self.linked(vm, peer) and peer.name not in self.paused:
                if peer.view.table is not None:
                    vm.view.adopt_table(peer.view.table)
                if peer.version:
                    vm.adopt(self.configurations[peer.version - 1], self.now)
        vm.ledger.refresh(self.now)

    def ask_report(self, asker: Vm, peer: Vm) -> None:
        """Send a heartbeat; the peer's report is in flight afterwards."""
        if self.linked(asker, peer) and asker is not peer:
            peer.ledger.refresh(self.now)
            self._send(peer, asker, self.now, peer.view.report)

    def ask_loan(self, borrower: Vm, lender: Vm, fraction: float, sent_at: float) -> None:
        """Deliver a loan request that was sent at ``sent_at``; the loan is in flight afterwards."""
        if not self.linked(borrower, lender) or borrower is lender:
            return
        held = borrower.ledger.holding_of(ACCOUNT, self.now).borrowed
        request = loan_messages.LoanRequest(
            borrower=borrower.seat,
            account=ACCOUNT,
            fraction=fraction,
            prolong=tuple(loan.loan_id for loan in held if loan.lender == lender.seat),
        )
        self._send(lender, borrower, sent_at, lender.ledger.lend(request, self.now))

    def return_loans(self, borrower: Vm) -> None:
        """Return all loans; the messages are in flight afterwards."""
        for returned in borrower.ledger.return_loans(ACCOUNT, self.now):
            lender = next(vm for vm in self.vms if vm.name == returned.lender.vm)
            if self.linked(borrower, lender):
                self._send(borrower, lender, self.now, returned)

    def _send(self, sender: Vm, receiver: Vm, sent_at: float, answer: Any) -> None:
        self.in_flight.append(
            InFlight(sender=sender, receiver=receiver, sent_at=sent_at, answer=answer)
        )

    def deliver(self, message: InFlight) -> None:
        """Deliver a message; one for a process that has ended is lost."""
        self.in_flight.remove(message)
        receiver = message.receiver
        if receiver not in self.vms:
            return
        if isinstance(message.answer, shares.Report):
            receiver.view.record_report(message.sender.name, message.answer, message.sent_at)
            receiver.ledger.refresh(self.now)
        elif isinstance(message.answer, loan_messages.LoanReturn):
            receiver.ledger.accept_return(message.answer, self.now)
        else:
            receiver.ledger.borrow(message.answer, message.sent_at, self.now)

    def gossip(self) -> None:
        """Let all VMs that are not paused maintain the share table and exchange heartbeats."""
        active = [vm for vm in self.vms if vm.name not in self.paused]
        for vm in active:
            self.change_table(vm)
        for asker in active:
            for peer in active:
                self.ask_report(asker, peer)
        for message in [each for each in self.in_flight if isinstance(each.answer, shares.Report)]:
            self.deliver(message)

    def run(self, seconds: float, *, busy: bool) -> None:
        """Run the VMs for some seconds; with ``busy``, each step admits up to 100 requests a VM."""
        for _ in range(round(seconds / STEP)):
            self.gossip()
            if busy:
                for vm in self.vms:
                    if vm.name not in self.paused:
                        self.spend(vm, 100)
                self.check()
            self.advance(STEP)
        self.gossip()

    def restart(self, vm: Vm) -> None:
        """Replace a process with a new one of the same entry VM."""
        self.restarts += 1
        self.paused.discard(vm.name)
        self.vms[self.vms.index(vm)] = Vm(name=vm.name, incarnation=self.restarts)

    def spend(self, vm: Vm, limit: int) -> int:
        """Admit up to ``limit`` requests; return how many were admitted."""
        admitted = 0
        while admitted < limit and vm.ledger.spend(ACCOUNT, self.now):
            vm.ledger.count_request(ACCOUNT, self.now)
            admitted += 1
        self._grow_reference()
        refilled = bucket.refill(self.reference, self.now)
        self.reference = dataclasses.replace(refilled, tokens=refilled.tokens - admitted)
        self.admitted += admitted
        return admitted

    def check(self) -> None:
        """Assert that no time window exceeds its limit, and no tokens or shares are duplicated."""
        self._grow_reference()
        assert self.reference.tokens >= -EPSILON, (
            f"requests admitted above rate and burst: {-self.reference.tokens}"
        )
        held = [probe(vm, self.now) for vm in self.vms]
        tokens = sum(each.tokens for each in held)
        fraction = sum(each.fraction for each in held)
        for message in self.in_flight:
            if message.receiver in self.vms:
                gain = self._gain_of(message)
                tokens += gain.tokens
                fraction += gain.fraction
        assert fraction <= 1.0 + EPSILON, f"shares add up to more than 1: {fraction}"
        assert tokens <= self.reference.tokens + EPSILON, (
            f"{tokens} tokens on VMs and in flight, {self.reference.tokens} in the reference bucket"
        )

    def _gain_of(self, message: InFlight) -> "Gain":
        """Return the tokens and the fraction that the receiver gains if the message arrives now."""
        receiver, content = message.receiver, message.answer
        held = probe(receiver, self.now)
        table = receiver.view.table
        if isinstance(content, loan_messages.Loan):
            in_time = message.sent_at + content.seconds > self.now
            if in_time and table is not None and content.lender in table.seats:
                tokens = min(content.tokens, content.fraction * held.share.burst)
                return Gain(tokens=tokens, fraction=content.fraction)
        if isinstance(content, loan_messages.LoanReturn) and content.lender == receiver.seat:
            for loan in held.lent:
                if loan.loan_id == content.loan_id:
                    tokens = min(content.tokens, loan.fraction * held.share.burst)
                    return Gain(tokens=tokens, fraction=loan.fraction)
        return Gain(tokens=0.0, fraction=0.0)
