"""All holdings of one entry VM, and the rules for changing them."""

import dataclasses
import itertools
import math
from collections import abc

from greengageshunt import invariants as invariants_module
from greengageshunt.admission import holding, loan_messages
from greengageshunt.membership import shares

LOAN_DURATION = 1.0  # seconds, on the borrower's clock from the sending of its request

# Seconds by which the lender counts longer; covers clocks that differ in speed.
LENDER_ALLOWANCE = 0.02

# Loans that would end sooner are not granted, because they would end on arrival.
SHORTEST_LOAN = 0.1  # seconds

# Smallest fraction that is lent; keeps the number of loans small.
SMALLEST_LOAN = 0.005

# Multiple of the measured demand that a VM keeps or wants; covers bursts.
DEMAND_FACTOR = 1.5

# Time constant of the demand's moving average.
DEMAND_PERIOD = 1.0  # seconds
FAST_PERIOD = 0.1  # seconds

# Requests that the fast average ignores, since some requests come close together
# by chance.
FAST_REQUESTS = 3.0

# A rate for which a gap as long as the present one has a probability of 5%, times
# the gap.
GAP_REQUESTS = 3.0

# Requests a second below which a lender counts as idle.
IDLE_DEMAND = 0.1

# Tokens that a lender keeps, so that its first requests need not wait for loans, and the part
# of its own share above which it would rather lend them.
KEPT_TOKENS = 2.0
LARGEST_KEPT_PART = 0.1

# Tokens below which a VM borrows while other VMs use the account too.
CONTENDED_TOKENS = 2.0

# Seconds after a peer's request in which an account counts as contended.
CONTENTION_PERIOD = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """Moving averages of the requests of one account on one VM.

    Attributes:
        slow: Requests, weighted by age over DEMAND_PERIOD.
        fast: Requests, weighted by age over FAST_PERIOD.
        at: Monotonic seconds of the last request.
    """

    slow: float = 0.0
    fast: float = 0.0
    at: float = -math.inf


def count_request(demand: Demand, now: float) -> Demand:
    """Return the demand with one more request."""
    age = max(0.0, now - demand.at)
    return Demand(
        slow=demand.slow * math.exp(-age / DEMAND_PERIOD) + 1.0,
        fast=demand.fast * math.exp(-age / FAST_PERIOD) + 1.0,
        at=max(now, demand.at),
    )


def demanded(demand: Demand, now: float) -> float:
    """Return the requests a second.

    The fast average lets a VM notice within some requests that an account has
    moved to it. The time since the last request tells as fast that it has left.
    """
    age = max(0.0, now - demand.at)
    slow = demand.slow * math.exp(-age / DEMAND_PERIOD) / DEMAND_PERIOD
    fast = (demand.fast * math.exp(-age / FAST_PERIOD) - FAST_REQUESTS) / FAST_PERIOD
    longest = GAP_REQUESTS / age if age > 0 else math.inf
    return min(longest, max(slow, fast))


def kept_fraction(share: shares.Share) -> float:
    """Return the part of an account that a lender keeps whatever its demand is."""
    if share.burst <= 0:
        return 0.0
    kept = KEPT_TOKENS / share.burst
    return kept if kept <= share.fraction * LARGEST_KEPT_PART else 0.0


def spare_fraction(held: holding.Holding, demand: float) -> float:
    """Return the part of the own share that a VM can lend.

    Args:
        held: Holding, advanced to the present time.
        demand: Requests a second on this VM.
    """
    needed = DEMAND_FACTOR * demand / held.share.rate if held.share.rate > 0 else 0.0
    kept = kept_fraction(held.share)
    return max(0.0, min(held.own - kept, held.fraction - max(needed, kept)))


def wanted_fraction(
    held: holding.Holding, demand: float, *, contended: bool, lenders: int
) -> float:
    """Return the fraction to ask of each lender, 0 if nothing is missing.

    An account in use on one VM only is borrowed whole, so that this VM can use
    the whole burst. Where several VMs use it, each asks for little, because
    tokens that move and are not used there are lost when the loan ends.

    Args:
        held: Holding, advanced to the present time.
        demand: Requests a second on this VM.
        contended: Whether other VMs ask for loans of the account too.
        lenders: Number of VMs that are asked.
    """
    if held.share.rate <= 0 or held.share.burst <= 0 or not lenders:
        return 0.0
    if held.tokens >= max(1.0, held.capacity / 2) and held.rate >= demand:
        return 0.0
    free = max(0.0, 1.0 - held.fraction)
    if not contended:
        return free
    if held.tokens >= CONTENDED_TOKENS and held.rate >= demand:
        return 0.0
    rate_needed = DEMAND_FACTOR * demand / held.share.rate - held.fraction
    burst_needed = CONTENDED_TOKENS / held.share.burst
    needed = max(rate_needed, burst_needed) / lenders
    return min(free, max(SMALLEST_LOAN, needed))


class ShareLedger:
    """Spends, lends and borrows tokens of all client accounts on one VM.

    Each method takes the present time and brings the holdings concerned up to
    it first, so that a paused VM never spends what ended during its pause.
    """

    def __init__(self, *, view: shares.ShareView, invariants: invariants_module.Invariants) -> None:
        self._view = view
        self._invariants = invariants
        self._holdings: dict[str, holding.Holding] = {}
        self._demands: dict[str, Demand] = {}
        self._contended: dict[str, float] = {}
        self._own_until = -math.inf
        self._bases: tuple[shares.Basis, ...] = ()
        self._loan_ids = itertools.count(1)

    @property
    def own_until(self) -> float:
        """Monotonic seconds until which the own shares may be used."""
        return self._own_until

    def holding_of(self, account: str, now: float) -> holding.Holding:
        """Return the holding of an account at the present time."""
        self.refresh(now)
        return self._advanced(account, now)

    def demand(self, account: str, now: float) -> float:
        """Return the requests a second of an account on this VM."""
        return demanded(self._demands.get(account, Demand()), now)

    def contended(self, account: str, now: float) -> bool:
        """Return whether another VM asked for a loan of the account lately."""
        return now - self._contended.get(account, -math.inf) <= CONTENTION_PERIOD

    def wanted_fraction(self, account: str, lenders: int, now: float) -> float:
        """Return the fraction to ask of each lender, 0 if nothing is missing."""
        return wanted_fraction(
            self.holding_of(account, now),
            self.demand(account, now),
            contended=self.contended(account, now),
            lenders=lenders,
        )

    def refresh(self, now: float) -> None:
        """Apply ended confirmations and changed bases to all holdings."""
        if now > self._own_until and self._own_until > -math.inf:
            # Others may have taken over the own shares since.
            self._set_shares(self._own_until, confirmed=False)
            self._own_until = -math.inf
        until = self._view.confirmed_at(now) + shares.CONFIRMATION_BOUND
        returns = self._own_until == -math.inf and until > now
        self._view.settle(now)
        if until > now:
            self._own_until = max(self._own_until, until)
        if returns or self._bases != self._view.bases:
            self._bases = self._view.bases
            self._set_shares(now, confirmed=self._own_until > now)
        if not self._view.confirmed_newest and not self._overcommitted(now):
            self._view.confirm()

    def count_request(self, account: str, now: float) -> None:
        """Count one request in the demand of an account."""
        self._demands[account] = count_request(self._demands.get(account, Demand()), now)

    def spend(self, account: str, now: float) -> bool:
        """Spend one token of an account; return whether there was one."""
        self.refresh(now)
        held, admitted = holding.spend(self._advanced(account, now), 1.0, now)
        self._store(account, held)
        return admitted

    def lend(self, request: loan_messages.LoanRequest, now: float) -> loan_messages.Loan:
        """Grant a loan from the own share, as far as it is spare.

        A loan ends before the last moment at which this VM may use its share
        without another confirmation.
        """
        self.refresh(now)
        account = request.account
        if request.fraction > 0:
            self._contended[account] = now
        held = self._advanced(account, now)
        seconds = min(LOAN_DURATION, self._own_until - LENDER_ALLOWANCE - now)
        if request.borrower == self._view.me or seconds < SHORTEST_LOAN:
            return self._loan(account, "", 0.0, 0.0, 0.0, ())
        ends_at = now + seconds + LENDER_ALLOWANCE
        known = {loan.loan_id for loan in held.lent}
        prolonged = tuple(loan_id for loan_id in request.prolong if loan_id in known)
        held = holding.prolong_lent(held, prolonged, ends_at, now)
        fraction = min(request.fraction, spare_fraction(held, self.demand(account, now)))
        loan_id, tokens = "", 0.0
        if fraction >= SMALLEST_LOAN:
            loan_id = f"{self._view.me.incarnation}-{next(self._loan_ids)}"
            loan = holding.Loan(
                loan_id=loan_id, lender=self._view.me, fraction=fraction, ends_at=ends_at
            )
            # A VM with callers of its own keeps half of its tokens for them.
            kept = KEPT_TOKENS if kept_fraction(held.share) else 0.0
            spare = max(0.0, held.tokens - kept)
            given = spare / 2 if self.demand(account, now) > IDLE_DEMAND else spare
            held, tokens = holding.lend(held, loan, given, now)
        else:
            fraction = 0.0
        self._invariants.check(
            "loan-within-confirmation",
            ends_at <= self._own_until + holding.ROUNDING,
            account=account,
        )
        self._store(account, held)
        return self._loan(account, loan_id, fraction, tokens, seconds, prolonged)

    def borrow(self, loan: loan_messages.Loan, sent_at: float, now: float) -> bool:
        """Take over a loan; return whether it adds anything.

        Args:
            loan: Answer of the lender.
            sent_at: Monotonic seconds at which the request was sent.
            now: Monotonic seconds.
        """
        self.refresh(now)
        table = self._view.table
        if table is None or loan.lender not in table.seats:
            return False
        ends_at = sent_at + loan.seconds
        held = self._advanced(loan.account, now)
        held = holding.prolong_borrowed(held, loan.prolonged, ends_at, now)
        record = holding.Loan(
            loan_id=loan.loan_id, lender=loan.lender, fraction=loan.fraction, ends_at=ends_at
        )
        grown = holding.borrow(held, record, loan.tokens, now)
        self._store(loan.account, grown)
        return grown.fraction > held.fraction

    def wanted_loans(self, account: str, now: float) -> tuple[holding.Loan, ...]:
        """Return the borrowed loans that should be prolonged.

        All of them while the account is in use here alone; while other VMs ask
        for it too, only those that the demand needs.
        """
        held = self.holding_of(account, now)
        demand = self.demand(account, now)
        if demand < IDLE_DEMAND:
            return ()
        if not self.contended(account, now):
            return held.borrowed
        needed = DEMAND_FACTOR * demand / held.share.rate if held.share.rate > 0 else 0.0
        poor = held.tokens <= 2 * CONTENDED_TOKENS
        if poor and needed > held.share.fraction / 2:
            return held.borrowed
        kept: list[holding.Loan] = []
        fraction = held.own
        for loan in sorted(held.borrowed, key=lambda loan: loan.fraction, reverse=True):
            if fraction >= needed:
                break
            kept.append(loan)
            fraction += loan.fraction
        return tuple(kept)

    def give_back(self, account: str, now: float) -> tuple[loan_messages.LoanReturn, ...]:
        """Drop the loans that are not wanted; return the messages to their lenders."""
        wanted = {loan.loan_id for loan in self.wanted_loans(account, now)}
        held = self._advanced(account, now)
        returns = []
        for loan in held.borrowed:
            if loan.loan_id in wanted:
                continue
            held, tokens = holding.give_back(held, loan, now)
            returns.append(
                loan_messages.LoanReturn(
                    lender=loan.lender, account=account, loan_id=loan.loan_id, tokens=tokens
                )
            )
        if returns:
            self._store(account, held)
        return tuple(returns)

    def take_back(self, returned: loan_messages.LoanReturn, now: float) -> None:
        """Take over a returned loan, unless it has ended or is another process's.

        After its end, the lender has refilled the lent part of its capacity, so
        that further tokens would exceed the burst.
        """
        self.refresh(now)
        if returned.lender == self._view.me:
            held = self._advanced(returned.account, now)
            held = holding.take_back(held, returned.loan_id, returned.tokens, now)
            self._store(returned.account, held)

    def busy(self, now: float) -> tuple[str, ...]:
        """Return the accounts with recent requests; forget idle accounts."""
        for account in list(self._demands):
            if self.demand(account, now) < IDLE_DEMAND / 2:
                del self._demands[account]
        return tuple(self._demands)

    def _loan(
        self,
        account: str,
        loan_id: str,
        fraction: float,
        tokens: float,
        seconds: float,
        prolonged: abc.Iterable[str],
    ) -> loan_messages.Loan:
        return loan_messages.Loan(
            lender=self._view.me,
            account=account,
            loan_id=loan_id,
            fraction=fraction,
            tokens=tokens,
            seconds=seconds,
            prolonged=tuple(prolonged),
        )

    def _advanced(self, account: str, now: float) -> holding.Holding:
        held = self._holdings.get(account)
        if held is None:
            # Starts without tokens; they come from refills and loans.
            share = self._share(account, confirmed=self._own_until > now)
            held = holding.Holding(share=share, updated_at=now)
        return holding.advance(held, now)

    def _share(self, account: str, *, confirmed: bool) -> shares.Share:
        own = self._view.share(account)
        return own if confirmed else dataclasses.replace(own, fraction=0.0)

    def _set_shares(self, now: float, *, confirmed: bool) -> None:
        seated = self._view.table.seats if self._view.table else ()
        for account in self._view.accounts | set(self._holdings):
            share = self._share(account, confirmed=confirmed)
            held = self._holdings.get(account)
            if held is None and share.fraction == 0.0:
                continue
            if held is None:
                held = holding.Holding(share=shares.NO_SHARE, updated_at=now)
            held = holding.with_share(held, share, now)
            held = holding.without_lenders(held, seated, now)
            if share == shares.NO_SHARE and not held.lent:
                self._holdings.pop(account, None)
            else:
                self._store(account, held)

    def _overcommitted(self, now: float) -> bool:
        """Return whether loans exceed the share that the bases allow."""
        for account, held in self._holdings.items():
            held = holding.advance(held, now)
            allowed = self._view.share(account).fraction
            if held.lent_fraction > allowed + holding.ROUNDING:
                return True
        return False

    def _store(self, account: str, held: holding.Holding) -> None:
        self._invariants.check(
            "tokens-within-capacity",
            -holding.ROUNDING <= held.tokens <= held.capacity + holding.ROUNDING,
            account=account,
            tokens=held.tokens,
            capacity=held.capacity,
        )
        self._invariants.check(
            "fraction-within-account",
            held.fraction <= 1.0 + holding.ROUNDING,
            account=account,
            fraction=held.fraction,
        )
        self._holdings[account] = held
