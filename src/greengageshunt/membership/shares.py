"""Shares of client accounts: which entry VM may use which part of a rate and burst.

The share table is a row of the platform. ``docs/decisions/0006-rates.md`` contains the
argument for the rules of this module.
"""

import dataclasses
import math
from collections import abc

from greengageshunt import model
from greengageshunt.membership import ownership

# Seconds after which a change applies although not all VMs have confirmed it.
TAKEOVER_BOUND = 5.0

# Seconds after its last confirmation for which a VM uses its own share. It is
# shorter than TAKEOVER_BOUND, so that clocks may differ by 2% in speed.
CONFIRMATION_BOUND = 4.9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Seat:
    """One process in the share table.

    Attributes:
        vm: Name of the entry VM.
        incarnation: Random text that the process chose at its start.
    """

    vm: str
    incarnation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareTable:
    """Value of the platform row ``shares``.

    Attributes:
        epoch: Number that rises by one with each change.
        holders: Number of VMs among which the rate of one account is divided.
        seats: Processes that hold shares.
        previous: Processes that held shares in the epoch before.
    """

    epoch: int
    holders: int
    seats: tuple[Seat, ...]
    previous: tuple[Seat, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """What a VM tells its peers: the epoch and version that all its shares obey.

    Attributes:
        incarnation: The process that reports.
        epoch: Epoch of the table.
        version: Version of the configuration.
        caught_up: Whether the process read both from the platform since its
            start. Before that, it may lag behind what an earlier process of the
            same VM confirmed, and must not confirm others.
    """

    incarnation: str
    epoch: int
    version: int
    caught_up: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Basis:
    """A table and a configuration from which shares follow."""

    seats: tuple[Seat, ...]
    holders: int
    accounts: abc.Mapping[str, model.ClientAccount]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """Part of one client account that one VM may use.

    Attributes:
        fraction: Part of the rate and burst, from 0 to 1.
        rate: Requests a second of the whole account.
        burst: Burst of the whole account.
    """

    fraction: float
    rate: float
    burst: float


NO_SHARE = Share(fraction=0.0, rate=0.0, burst=0.0)


def holders_of(account: str, seats: abc.Sequence[Seat], holders: int) -> tuple[Seat, ...]:
    """Return the processes among which the rate of an account is divided."""
    if len(seats) <= holders:
        return tuple(seats)
    ranked = sorted(seats, key=lambda seat: ownership.score(account, seat.vm), reverse=True)
    return tuple(ranked[:holders])


def share(account: str, seat: Seat, basis: Basis) -> Share:
    """Return the share of a process that follows from one basis."""
    known = basis.accounts.get(account)
    if known is None:
        return NO_SHARE
    held_by = holders_of(account, basis.seats, basis.holders)
    fraction = 1.0 / len(held_by) if seat in held_by else 0.0
    return Share(fraction=fraction, rate=known.rate, burst=known.burst)


def lowest(shares: abc.Collection[Share]) -> Share:
    """Return a share that exceeds none of the given ones."""
    if not shares:
        return NO_SHARE
    return Share(
        fraction=min(item.fraction for item in shares),
        rate=min(item.rate for item in shares),
        burst=min(item.burst for item in shares),
    )


def majority(values: abc.Collection[float], size: int) -> float:
    """Return the value that a majority of ``size`` reaches, or negative infinity."""
    needed = size // 2 + 1
    ordered = sorted(values, reverse=True)
    return ordered[needed - 1] if len(ordered) >= needed else -math.inf


def successor(
    table: ShareTable | None, wanted: abc.Collection[Seat], holders: int
) -> ShareTable | None:
    """Return the table that replaces another one, or None if nothing changes."""
    seats = tuple(sorted(wanted, key=lambda seat: seat.vm))
    if table is None:
        return ShareTable(epoch=1, holders=holders, seats=seats)
    if seats == table.seats and holders == table.holders:
        return None
    return ShareTable(epoch=table.epoch + 1, holders=holders, seats=seats, previous=table.seats)


class ShareView:
    """What one VM knows of the share table and of its peers' confirmations.

    Until a newer basis is settled, the older ones stay in ``bases``, and the
    lowest share of all of them applies.
    """

    def __init__(self, *, me: Seat) -> None:
        self._me = me
        self._table: ShareTable | None = None
        self._configuration: model.Configuration | None = None
        self._bases: tuple[Basis, ...] = ()
        self._affected: tuple[tuple[Seat, ...], ...] = ()
        self._applied = Report(incarnation=me.incarnation, epoch=0, version=0)
        self._reports: dict[str, Report] = {}
        self._confirmations: dict[str, float] = {}
        self._row_read_at = -math.inf
        self._configuration_read_at = -math.inf
        self._majority_at = math.inf

    @property
    def me(self) -> Seat:
        """The own process."""
        return self._me

    @property
    def confirmed_newest(self) -> bool:
        """Whether peers are told of the newest known epoch and version."""
        return self._applied == self.newest

    @property
    def _caught_up(self) -> bool:
        return min(self._row_read_at, self._configuration_read_at) > -math.inf

    @property
    def table(self) -> ShareTable | None:
        """Newest known table."""
        return self._table

    @property
    def report(self) -> Report:
        """What peers are told."""
        return dataclasses.replace(self._applied, caught_up=self._caught_up)

    @property
    def bases(self) -> tuple[Basis, ...]:
        """Bases that are not yet replaced, oldest first."""
        return self._bases

    @property
    def accounts(self) -> frozenset[str]:
        """Names of all accounts of the bases."""
        return frozenset(name for basis in self._bases for name in basis.accounts)

    @property
    def newest(self) -> Report:
        """The newest known epoch and version."""
        return Report(
            incarnation=self._me.incarnation,
            epoch=self._table.epoch if self._table else 0,
            version=self._configuration.version if self._configuration else 0,
        )

    def share(self, account: str) -> Share:
        """Return the own share of an account by the bases in force."""
        return lowest([share(account, self._me, basis) for basis in self._bases])

    def holders_of(self, account: str) -> tuple[Seat, ...]:
        """Return the processes among which the rate of an account is divided."""
        if self._table is None:
            return ()
        return holders_of(account, self._table.seats, self._table.holders)

    def adopt_table(self, table: ShareTable) -> bool:
        """Take over a newer table; return whether it was newer."""
        if self._table is not None and table.epoch <= self._table.epoch:
            return False
        self._table = table
        if self._configuration is not None:
            self._add_basis(table.previous)
            self._add_basis(table.seats)
        return True

    def adopt_configuration(self, configuration: model.Configuration) -> bool:
        """Take over a newer configuration; return whether it was newer."""
        known = self._configuration
        if known is not None and configuration.version <= known.version:
            return False
        self._configuration = configuration
        if self._table is not None:
            if known is None:
                self._add_basis(self._table.previous)
            self._add_basis(self._table.seats)
        return True

    def note_row_read(self, sent_at: float) -> None:
        """Record that the platform showed no newer table at this time."""
        self._row_read_at = max(self._row_read_at, sent_at)

    def note_configuration_read(self, sent_at: float) -> None:
        """Record that the platform showed no newer configuration at this time."""
        self._configuration_read_at = max(self._configuration_read_at, sent_at)

    def note_report(self, vm: str, report: Report, sent_at: float) -> None:
        """Record what a peer answered to a question of ``sent_at``."""
        self._reports[vm] = report
        newest = self.newest
        contradicts = report.epoch > newest.epoch or report.version > newest.version
        if contradicts or not report.caught_up:
            return
        if Seat(vm=vm, incarnation=report.incarnation) in self._seats():
            self._confirmations[vm] = max(sent_at, self._confirmations.get(vm, -math.inf))

    def confirm(self) -> None:
        """Record that all own shares and loans obey the newest basis."""
        self._applied = self.newest

    def confirmed_at(self, now: float) -> float:
        """Return the time at which nothing newer was in force."""
        platform_at = min(self._row_read_at, self._configuration_read_at)
        seats = self._seats()
        if self._me not in seats or not self._caught_up:
            return platform_at
        peers = [seat.vm for seat in seats if seat != self._me]
        answers = [self._confirmations[vm] for vm in peers if vm in self._confirmations]
        return max(platform_at, majority([now, *answers], len(seats)))

    def settle(self, now: float) -> bool:
        """Drop older bases once the newest may apply; return whether it applies.

        The newest basis applies as soon as all processes of all tables
        concerned have confirmed it, or TAKEOVER_BOUND after majorities of all
        these tables have.
        """
        if self._table is None or self._configuration is None:
            return False
        if len(self._bases) <= 1:
            return bool(self._bases)
        if not self._may_apply(now):
            return False
        self._bases = self._bases[-1:]
        self._affected = ()
        self._majority_at = math.inf
        return True

    def _may_apply(self, now: float) -> bool:
        if all(self._has_newest(seat) for seats in self._affected for seat in seats):
            return True
        by_majority = all(
            sum(self._has_newest(seat) for seat in seats) > len(seats) // 2
            for seats in self._affected
            if seats
        )
        if not by_majority:
            return False
        self._majority_at = min(self._majority_at, now)
        return now >= self._majority_at + TAKEOVER_BOUND

    def _has_newest(self, seat: Seat) -> bool:
        # A later process of the same VM stands for the earlier one, which has ended.
        report = self._applied if seat.vm == self._me.vm else self._reports.get(seat.vm)
        newest = self.newest
        return (
            report is not None and report.epoch >= newest.epoch and report.version >= newest.version
        )

    def _seats(self) -> tuple[Seat, ...]:
        return self._table.seats if self._table else ()

    def _add_basis(self, seats: tuple[Seat, ...]) -> None:
        if not seats and self._table is not None and self._table.epoch == 1:
            return
        self._bases += (
            Basis(
                seats=seats,
                holders=self._table.holders,
                accounts=self._configuration.accounts_by_name,
            ),
        )
        self._affected += (seats,)
        self._majority_at = math.inf


def seats_wanted(
    table: ShareTable | None,
    listed: abc.Collection[model.Member],
    incarnations: abc.Mapping[str, str],
) -> frozenset[Seat]:
    """Return the processes that should hold shares.

    Args:
        table: Newest known table.
        listed: Members of the platform's list that are not leaving.
        incarnations: Incarnation that each reachable VM reported, by VM.

    Returns:
        Listed VMs with their newest known incarnation. A listed VM that cannot
        be reached keeps its seat: it may be cut off and still serve callers.
    """
    seated = {seat.vm: seat.incarnation for seat in table.seats} if table else {}
    known = {**seated, **incarnations}
    return frozenset(
        Seat(vm=member.vm, incarnation=known[member.vm]) for member in listed if member.vm in known
    )
