"""Shares of client accounts: the part of each rate and burst that an entry VM may use.

The share table is stored in a row of the platform. ``docs/decisions/0006-rates.md`` contains the
argument for the rules of this module.
"""

import dataclasses
import math
from collections import abc

from greengageshunt import model
from greengageshunt.membership import ownership

# Seconds, from its confirmation by majorities, after which a change applies although not all
# processes have confirmed it.
TAKEOVER_DELAY = 5.0

# Seconds after its last confirmation for which a VM may use its own share. It is shorter than
# TAKEOVER_DELAY, so that the old holder of a share stops before the new one starts even if their
# clocks differ by 2% in speed.
CONFIRMATION_LIFETIME = 4.9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Seat:
    """One process in the share table.

    Attributes:
        vm: Name of the entry VM.
        incarnation: Random string that the process generated at its start.
    """

    vm: str
    incarnation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareTable:
    """Value of the platform row ``shares``.

    Attributes:
        epoch: Number that increases by one with each change.
        holders: Number of VMs among which the rate of one account is divided.
        seats: Processes that have shares.
        previous: Processes that had shares in the preceding epoch.
    """

    epoch: int
    holders: int
    seats: tuple[Seat, ...]
    previous: tuple[Seat, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Confirmation in the responses of a VM to its peers' heartbeats.

    All shares and loans of the VM comply with the reported epoch and version.

    Attributes:
        incarnation: Incarnation of the reporting process.
        epoch: Epoch of the share table.
        version: Version of the configuration.
        caught_up: Whether the process has read both from the platform since its
            start. Before that, they may be older than those that an earlier process
            of the same VM confirmed, so peers must not count the report.
    """

    incarnation: str
    epoch: int
    version: int
    caught_up: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Basis:
    """Part of a share table and of a configuration that determines all shares.

    Attributes:
        seats: Processes that have shares.
        holders: Number of VMs among which the rate of one account is divided.
        accounts: Client accounts by name.
    """

    seats: tuple[Seat, ...]
    holders: int
    accounts: abc.Mapping[str, model.ClientAccount]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
    """Part of one client account's rate and burst that one VM may use.

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
    """Return the share of a process in an account according to one basis."""
    limits = basis.accounts.get(account)
    if limits is None:
        return NO_SHARE
    held_by = holders_of(account, basis.seats, basis.holders)
    fraction = 1.0 / len(held_by) if seat in held_by else 0.0
    return Share(fraction=fraction, rate=limits.rate, burst=limits.burst)


def lowest_share(shares: abc.Collection[Share]) -> Share:
    """Return the share with the lowest fraction, rate and burst of the given shares."""
    if not shares:
        return NO_SHARE
    return Share(
        fraction=min(share.fraction for share in shares),
        rate=min(share.rate for share in shares),
        burst=min(share.burst for share in shares),
    )


def majority(values: abc.Collection[float], size: int) -> float:
    """Return the highest value that a majority reaches, or negative infinity without one.

    Args:
        values: Values of the processes that have one.
        size: Number of all processes.
    """
    needed = size // 2 + 1
    ordered = sorted(values, reverse=True)
    return ordered[needed - 1] if len(ordered) >= needed else -math.inf


def next_table(
    table: ShareTable | None, new_seats: abc.Collection[Seat], holders: int
) -> ShareTable | None:
    """Return the share table of the next epoch, or None if nothing changes.

    Args:
        table: Current table, or None before the first one.
        new_seats: Processes that should have shares.
        holders: Number of VMs among which the rate of one account is divided.
    """
    seats = tuple(sorted(new_seats, key=lambda seat: seat.vm))
    if table is None:
        return ShareTable(epoch=1, holders=holders, seats=seats)
    if seats == table.seats and holders == table.holders:
        return None
    return ShareTable(epoch=table.epoch + 1, holders=holders, seats=seats, previous=table.seats)


class ShareView:
    """Share table and peers' confirmations as read by one VM.

    Older bases stay in ``bases_in_force`` until the newest one may apply alone. Until then,
    the lowest share of all bases applies.
    """

    def __init__(self, *, me: Seat) -> None:
        self._me = me
        self._table: ShareTable | None = None
        self._configuration: model.Configuration | None = None
        self._bases: tuple[Basis, ...] = ()
        self._seats_to_confirm: tuple[tuple[Seat, ...], ...] = ()
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
    def reports_newest(self) -> bool:
        """Whether the reports to peers contain the newest known epoch and version."""
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
        """The report that this VM sends to its peers."""
        return dataclasses.replace(self._applied, caught_up=self._caught_up)

    @property
    def bases_in_force(self) -> tuple[Basis, ...]:
        """Bases in force, oldest first; the last one is the newest."""
        return self._bases

    @property
    def accounts(self) -> frozenset[str]:
        """Names of all accounts in the bases in force."""
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
        """Return the own share of an account: the lowest of all bases in force."""
        return lowest_share([share(account, self._me, basis) for basis in self._bases])

    def holders_of(self, account: str) -> tuple[Seat, ...]:
        """Return the processes among which the rate of an account is divided."""
        if self._table is None:
            return ()
        return holders_of(account, self._table.seats, self._table.holders)

    def adopt_table(self, table: ShareTable) -> bool:
        """Adopt a table if it is newer than the known one; return whether it was."""
        if self._table is not None and table.epoch <= self._table.epoch:
            return False
        self._table = table
        if self._configuration is not None:
            self._add_basis(table.previous)
            self._add_basis(table.seats)
        return True

    def adopt_configuration(self, configuration: model.Configuration) -> bool:
        """Adopt a configuration if it is newer than the known one; return whether it was."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._configuration = configuration
        if self._table is not None:
            if current is None:
                self._add_basis(self._table.previous)
            self._add_basis(self._table.seats)
        return True

    def record_row_read(self, sent_at: float) -> None:
        """Record that the platform had no newer table at this time.

        Args:
            sent_at: Monotonic seconds at which this VM sent the read request.
        """
        self._row_read_at = max(self._row_read_at, sent_at)

    def record_configuration_read(self, sent_at: float) -> None:
        """Record that the platform had no newer configuration at this time.

        Args:
            sent_at: Monotonic seconds at which this VM sent the read request.
        """
        self._configuration_read_at = max(self._configuration_read_at, sent_at)

    def record_report(self, vm: str, report: Report, sent_at: float) -> None:
        """Record the report in a peer's response to a heartbeat.

        Args:
            vm: Name of the peer.
            report: The report.
            sent_at: Monotonic seconds at which this VM sent the heartbeat.
        """
        self._reports[vm] = report
        newest = self.newest
        is_newer = report.epoch > newest.epoch or report.version > newest.version
        if is_newer or not report.caught_up:
            return
        if Seat(vm=vm, incarnation=report.incarnation) in self._seats():
            self._confirmations[vm] = max(sent_at, self._confirmations.get(vm, -math.inf))

    def confirm(self) -> None:
        """Record that all own shares and loans comply with the newest basis.

        From now on, reports to peers contain its epoch and version.
        """
        self._applied = self.newest

    def confirmed_at(self, now: float) -> float:
        """Return the monotonic seconds as of which no newer table or configuration applied."""
        platform_at = min(self._row_read_at, self._configuration_read_at)
        seats = self._seats()
        if self._me not in seats or not self._caught_up:
            return platform_at
        peers = [seat.vm for seat in seats if seat != self._me]
        confirmed = [self._confirmations[vm] for vm in peers if vm in self._confirmations]
        return max(platform_at, majority([now, *confirmed], len(seats)))

    def drop_old_bases(self, now: float) -> bool:
        """Drop the older bases if the newest one may apply alone; return whether it does.

        It does as soon as all processes of all tables concerned have confirmed it,
        or TAKEOVER_DELAY after majorities of all these tables have.
        """
        if self._table is None or self._configuration is None:
            return False
        if len(self._bases) <= 1:
            return bool(self._bases)
        if not self._may_apply(now):
            return False
        self._bases = self._bases[-1:]
        self._seats_to_confirm = ()
        self._majority_at = math.inf
        return True

    def _may_apply(self, now: float) -> bool:
        if all(
            self._has_confirmed_newest(seat) for seats in self._seats_to_confirm for seat in seats
        ):
            return True
        by_majority = all(
            sum(self._has_confirmed_newest(seat) for seat in seats) > len(seats) // 2
            for seats in self._seats_to_confirm
            if seats
        )
        if not by_majority:
            return False
        self._majority_at = min(self._majority_at, now)
        return now >= self._majority_at + TAKEOVER_DELAY

    def _has_confirmed_newest(self, seat: Seat) -> bool:
        # A report by a later process of the same VM is enough, because the earlier one has ended.
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
        self._seats_to_confirm += (seats,)
        self._majority_at = math.inf


def seats_wanted(
    table: ShareTable | None,
    listed: abc.Collection[model.Member],
    incarnations: abc.Mapping[str, str],
) -> frozenset[Seat]:
    """Return the processes that should have shares.

    Args:
        table: Newest known table.
        listed: Members of the platform's list that are not leaving.
        incarnations: Incarnation that each reachable VM reported, by VM.

    Returns:
        The newest known process of each listed VM. A listed VM that is unreachable
        keeps its share, because it may still serve callers behind a partition.
    """
    seated = {seat.vm: seat.incarnation for seat in table.seats} if table else {}
    newest = {**seated, **incarnations}
    return frozenset(
        Seat(vm=member.vm, incarnation=newest[member.vm])
        for member in listed
        if member.vm in newest
    )
