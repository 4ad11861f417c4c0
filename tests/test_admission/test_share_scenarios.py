"""Selected histories of shares and loans that random histories rarely reach."""

import pytest

from greengageshunt.admission import loan_messages
from greengageshunt.membership import shares
from support import share_fleet

RATE = 8.0
BURST = 16.0


def _fleet(vms: int = 4, listed: int | None = None) -> share_fleet.Fleet:
    fleet = share_fleet.Fleet(vms=vms, rate=RATE, burst=BURST)
    if listed is not None:
        fleet.listed = {vm.name for vm in fleet.vms[:listed]}
    fleet.run(6.0, busy=False)
    return fleet


def _isolate(fleet: share_fleet.Fleet, *names: str, platform: bool = True) -> None:
    """Cut off VMs from the other VMs and by default from the platform, not from each other."""
    for vm in fleet.vms:
        if vm.name not in names:
            fleet.cut_links |= {frozenset((vm.name, name)) for name in names}
    if platform:
        fleet.cut_from_platform |= set(names)


def _borrow(fleet: share_fleet.Fleet, borrower: share_fleet.Vm) -> None:
    for lender in fleet.vms:
        fleet.ask_loan(borrower, lender, 1.0, fleet.now)
    for message in list(fleet.in_flight):
        fleet.deliver(message)


def _fraction(fleet: share_fleet.Fleet, vm: share_fleet.Vm) -> float:
    return share_fleet.probe(vm, fleet.now).fraction


def _run_checked(fleet: share_fleet.Fleet, seconds: float) -> None:
    for _ in range(round(seconds / share_fleet.STEP)):
        fleet.run(share_fleet.STEP, busy=True)
        fleet.check()


def test_one_vm_borrows_the_whole_account():
    """Guards against rejections when the load balancer sends an account's requests to one VM."""
    fleet = _fleet()
    first = fleet.vms[0]

    _borrow(fleet, first)

    assert _fraction(fleet, first) == pytest.approx(1.0)
    assert fleet.spend(first, 100) == BURST
    fleet.check()


def test_lender_serves_its_own_first_requests_without_loans():
    """Guards against rejections within the rate on a VM that lent all and gets no loan in time."""
    fleet = share_fleet.Fleet(vms=3, rate=1000.0, burst=1000.0)
    fleet.run(6.0, busy=False)
    borrower, lender = fleet.vms[:2]

    _borrow(fleet, borrower)

    assert _fraction(fleet, borrower) > 0.99
    assert fleet.spend(lender, 2) == 2
    fleet.check()


def test_loan_ends_at_the_borrower_first():
    """Guards against a borrower that measures the duration from the receipt of a late response."""
    fleet = _fleet()
    borrower, lender = fleet.vms[:2]
    sent_at = fleet.now
    fleet.ask_loan(borrower, lender, 1.0, sent_at)
    fleet.advance(0.9)
    fleet.deliver(fleet.in_flight[0])
    assert _fraction(fleet, borrower) == pytest.approx(0.5)

    fleet.advance(0.11)

    assert _fraction(fleet, borrower) == pytest.approx(0.25)
    fleet.check()


def test_lost_loan_returns_to_the_lender():
    """Guards against a share that stays lent forever when the response is lost."""
    fleet = _fleet()
    borrower, lender = fleet.vms[:2]
    fleet.ask_loan(borrower, lender, 1.0, fleet.now)
    fleet.in_flight.clear()
    assert _fraction(fleet, lender) == pytest.approx(0.0)

    fleet.advance(1.1)

    assert _fraction(fleet, lender) == pytest.approx(0.25)


def test_only_loans_of_the_responding_lender_are_prolonged():
    """Guards against a response of one lender that prolongs another lender's loan."""
    fleet = _fleet()
    borrower, first, second = fleet.vms[:3]
    _borrow(fleet, borrower)
    fleet.advance(0.5)
    fleet.ask_loan(borrower, first, 0.0, fleet.now)
    fleet.deliver(fleet.in_flight[0])

    fleet.advance(0.7)

    assert _fraction(fleet, borrower) == pytest.approx(0.5)
    assert _fraction(fleet, first) == pytest.approx(0.0)
    assert _fraction(fleet, second) == pytest.approx(0.25)
    fleet.check()


def test_tokens_return_with_a_loan():
    """Guards against a lost burst when the requests of an account move to another VM."""
    fleet = _fleet()
    borrower = fleet.vms[0]
    _borrow(fleet, borrower)
    for _ in range(8):
        assert borrower.ledger.spend(share_fleet.ACCOUNT, fleet.now)

    fleet.return_loans(borrower)
    fleet.check()
    for message in list(fleet.in_flight):
        fleet.deliver(message)

    held = [share_fleet.probe(vm, fleet.now) for vm in fleet.vms]
    assert [holding.tokens for holding in held] == pytest.approx([(BURST - 8) / 4] * 4)
    fleet.check()


def test_return_after_the_end_of_a_loan_adds_nothing():
    """Guards against returned tokens in addition to those that the lender has refilled."""
    fleet = _fleet()
    borrower, lender = fleet.vms[:2]
    _borrow(fleet, borrower)
    fleet.return_loans(borrower)
    fleet.advance(1.1)
    before = share_fleet.probe(lender, fleet.now).tokens

    for message in list(fleet.in_flight):
        fleet.deliver(message)

    assert share_fleet.probe(lender, fleet.now).tokens == before
    fleet.check()


def test_loan_is_limited_by_a_burst_that_was_lowered_in_transit():
    """Guards against a loan with tokens of the old burst after all VMs have lowered it."""
    fleet = _fleet()
    borrower = fleet.vms[0]
    for lender in fleet.vms[1:]:
        fleet.ask_loan(borrower, lender, 1.0, fleet.now)
    fleet.configurations.append(share_fleet.configuration(2, RATE / 4, BURST / 4))
    for vm in fleet.vms:
        fleet.read_platform(vm)
    fleet.spend(borrower, 100)

    for message in list(fleet.in_flight):
        fleet.deliver(message)
    fleet.spend(borrower, 100)

    fleet.check()


def test_isolated_vm_stops_before_others_take_its_share():
    """Guards against two VMs that use the same share after a change of the table."""
    fleet = _fleet()
    cut = fleet.vms[3]
    _isolate(fleet, cut.name)
    fleet.listed.discard(cut.name)

    _run_checked(fleet, 12.0)

    assert _fraction(fleet, cut) == 0.0
    assert _fraction(fleet, fleet.vms[0]) == pytest.approx(1 / 3)


def test_minority_takes_no_share_of_a_confirmed_majority():
    """Guards against a VM that reads a new table alone and applies it after TAKEOVER_DELAY.

    The other three VMs cannot read the table, but they confirm each other's shares.
    """
    fleet = _fleet()
    alone = fleet.vms[0]
    rest = [vm.name for vm in fleet.vms[1:]]
    _isolate(fleet, *rest)
    fleet.listed = {alone.name}

    _run_checked(fleet, 20.0)

    assert _fraction(fleet, alone) <= 0.25
    assert _fraction(fleet, fleet.vms[1]) == pytest.approx(0.25)


def test_all_vms_admit_requests_while_the_platform_is_down():
    """Guards against rejection of all requests during an outage of the platform."""
    fleet = _fleet()
    fleet.cut_from_platform = {vm.name for vm in fleet.vms}

    _run_checked(fleet, 20.0)

    assert [_fraction(fleet, vm) for vm in fleet.vms] == pytest.approx([0.25] * 4)


def test_loan_ends_before_the_share_of_the_lender_expires():
    """Guards against a loan that lasts after other VMs have taken over the lender's share."""
    fleet = _fleet(vms=5)
    lender, borrower = fleet.vms[3:]
    _isolate(fleet, lender.name, borrower.name)
    fleet.listed -= {lender.name, borrower.name}
    fleet.run(4.75, busy=False)
    _borrow(fleet, borrower)

    for _ in range(12):
        fleet.run(share_fleet.STEP, busy=False)
        fleet.check()

    assert _fraction(fleet, fleet.vms[0]) == pytest.approx(1 / 3)


def test_smaller_share_is_confirmed_after_its_loans_have_ended():
    """Guards against a new VM that uses its share while loans from the larger shares last."""
    fleet = _fleet(listed=3)
    borrower = fleet.vms[0]
    _borrow(fleet, borrower)
    fleet.listed.add(fleet.vms[3].name)

    for _ in range(12):
        fleet.run(share_fleet.STEP, busy=False)
        fleet.check()

    assert _fraction(fleet, fleet.vms[3]) == pytest.approx(0.25)


def test_restart_ends_the_loans_of_the_earlier_process():
    """Guards against double use of a lent fraction after its lender lost the record of the loan."""
    fleet = _fleet()
    borrower, lender = fleet.vms[:2]
    _borrow(fleet, borrower)

    fleet.restart(lender)
    for _ in range(12):
        fleet.run(share_fleet.STEP / 5, busy=False)
        fleet.gossip()
        fleet.check()

    assert _fraction(fleet, fleet.vms[1]) == pytest.approx(0.25)


def test_restarted_vm_starts_with_an_empty_bucket():
    """Guards against restarts that multiply the burst."""
    fleet = _fleet()

    for _ in range(5):
        fleet.restart(fleet.vms[0])
        for _ in range(4):
            fleet.gossip()
        assert _fraction(fleet, fleet.vms[0]) == pytest.approx(0.25)
        assert fleet.spend(fleet.vms[0], 100) == 0


def test_paused_vm_spends_nothing_when_it_resumes():
    """Guards against a VM that spends tokens of shares and loans that expired during a pause."""
    fleet = _fleet()
    paused = fleet.vms[0]
    _borrow(fleet, paused)
    fleet.paused.add(paused.name)
    fleet.listed.discard(paused.name)
    fleet.run(8.0, busy=True)

    assert fleet.spend(paused, 100) == 0
    fleet.check()


def test_share_of_a_dead_vm_is_taken_over_after_the_delay():
    """Guards against a total rate that decreases with each dead VM."""
    fleet = _fleet()
    dead = fleet.vms[3]
    fleet.paused.add(dead.name)
    _isolate(fleet, dead.name)
    fleet.listed.discard(dead.name)

    fleet.run(shares.TAKEOVER_DELAY + 1.0, busy=False)

    assert _fraction(fleet, fleet.vms[0]) == pytest.approx(1 / 3)


def test_raised_rate_applies_after_all_have_confirmed_it():
    """Guards against shares of two versions whose sum exceeds the higher rate."""
    fleet = _fleet()
    fleet.configurations.append(share_fleet.configuration(2, 2 * RATE, BURST))
    first = fleet.vms[0]

    fleet.read_platform(first)
    assert share_fleet.probe(first, fleet.now).rate == pytest.approx(RATE / 4)

    fleet.run(1.0, busy=True)
    assert share_fleet.probe(first, fleet.now).rate == pytest.approx(2 * RATE / 4)


def test_lowered_rate_applies_at_once():
    """Guards against a VM that applies an old, higher rate until all others have the new one."""
    fleet = _fleet()
    fleet.configurations.append(share_fleet.configuration(2, RATE / 4, BURST / 4))
    first = fleet.vms[0]

    fleet.read_platform(first)

    held = share_fleet.probe(first, fleet.now)
    assert held.rate == pytest.approx(RATE / 16)
    assert held.tokens <= BURST / 16


def test_restarted_vms_do_not_confirm_an_old_version():
    """Guards against an outdated rate that stays in force because restarted VMs confirm it.

    The last VM missed a version. Two others, which had confirmed that version,
    restart and have only read the older one.
    """
    fleet = _fleet()
    first, *restarted, last = fleet.vms
    _isolate(fleet, last.name)
    fleet.configurations.append(share_fleet.configuration(2, RATE / 4, BURST / 4))
    fleet.run(6.5, busy=False)
    late = fleet.vms[1:]
    fleet.cut_links = {frozenset((first.name, vm.name)) for vm in late}
    fleet.cut_from_platform = {vm.name for vm in late}
    for vm in restarted:
        fleet.restart(vm)
    fleet.change_table(first)
    for vm in fleet.vms[1:]:
        vm.view.adopt_table(fleet.table)
        vm.adopt(fleet.configurations[0], fleet.now)
    for vm in fleet.vms[1:3]:
        vm.view.record_row_read(fleet.now)

    fleet.run(8.0, busy=False)

    assert all(vm.version == 1 for vm in fleet.vms[1:])
    assert [_fraction(fleet, vm) for vm in fleet.vms[1:]] == [0.0, 0.0, 0.0]


def test_busy_lender_retains_what_it_needs():
    """Guards against a lender that rejects its own callers because it lent too much."""
    fleet = _fleet()
    lender = fleet.vms[1]
    for _ in range(2):
        lender.ledger.count_request(share_fleet.ACCOUNT, fleet.now)

    _borrow(fleet, fleet.vms[0])

    assert _fraction(fleet, lender) == pytest.approx(0.25)


def test_number_of_holders_of_an_account_is_limited():
    """Guards against shares below one request in a fleet of thousands of VMs."""
    seats = [shares.Seat(vm=f"vm-{number}", incarnation="1") for number in range(4400)]

    held_by = shares.holders_of("account-1", seats, 16)

    assert len(held_by) == 16
    assert held_by != shares.holders_of("account-2", seats, 16)


def test_vm_without_a_share_borrows():
    """Guards against rejections by a VM that has callers, but no share of their account."""
    fleet = share_fleet.Fleet(vms=4, rate=RATE, burst=BURST, holders=2)
    fleet.run(6.0, busy=False)
    without = next(vm for vm in fleet.vms if _fraction(fleet, vm) == 0.0)

    _borrow(fleet, without)

    assert _fraction(fleet, without) == pytest.approx(1.0)
    fleet.check()


def test_loan_of_a_process_outside_the_share_table_is_ignored():
    """Guards against a late response of a process that is no longer in the share table."""
    fleet = _fleet()
    borrower, lender = fleet.vms[:2]
    loan = loan_messages.Loan(
        lender=shares.Seat(vm=lender.name, incarnation="earlier"),
        account=share_fleet.ACCOUNT,
        loan_id="earlier-1",
        fraction=0.25,
        tokens=4.0,
        seconds=1.0,
        prolonged=(),
    )

    assert not borrower.ledger.borrow(loan, fleet.now, fleet.now)
    assert _fraction(fleet, borrower) == pytest.approx(0.25)
