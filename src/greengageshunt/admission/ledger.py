"""The holdings of one entry VM for all client accounts, and the rules for changing them."""

import dataclasses
import itertools
import math
from collections import abc

from greengageshunt import invariants as invariants_module
from greengageshunt.admission import holding, loan_messages
from greengageshunt.membership import shares

# Seconds for which a loan lasts, on the borrower's clock, from the sending of its request.
LOAN_DURATION = 1.0

# Seconds by which a loan ends later on the lender's clock than on the borrower's. Without this
# margin, clocks that run at different speeds let both use the lent fraction at once.
LENDER_MARGIN = 0.02

# Seconds below which a loan is not granted, because it could end before the borrower receives it.
MIN_LOAN_DURATION = 0.1

# Smallest fraction of an account that is lent or requested; limits the number of loans.
MIN_LOAN_FRACTION = 0.005

# Multiple of the measured demand that a VM retains when it lends and requests when it borrows;
# covers bursts.
DEMAND_HEADROOM_FACTOR = 1.5

# Time constants, in seconds, of the two moving averages of the demand.
SLOW_TIME_CONSTANT = 1.0
FAST_TIME_CONSTANT = 0.1

# Requests that the fast average ignores, because some requests arrive close together by chance.
FAST_IGNORED_REQUESTS = 3.0

# Upper bound of the requests expected since the last one. If more were expected, a gap without
# requests would have a probability below 5% (exp(-3)).
MAX_REQUESTS_EXPECTED_IN_GAP = 3.0

# Requests a second below which an account counts as idle on a VM.
IDLE_DEMAND = 0.1

# Tokens that a lender retains, so that its first requests need not wait for loans. It retains
# none if these tokens exceed this part of its own share.
RETAINED_TOKENS = 2.0
MAX_RETAINED_PART = 0.1

# Tokens below which a VM borrows from an account that other VMs use too.
CONTENDED_BORROW_THRESHOLD = 2.0

# Seconds for which an account counts as contended after a peer requested a loan of it.
CONTENTION_PERIOD = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """Moving averages of the requests of one account on one VM.

    Attributes:
        slow: Number of requests, each weighted by exp(-age / SLOW_TIME_CONSTANT).
        fast: Number of requests, each weighted by exp(-age / FAST_TIME_CONSTANT).
        at: Monotonic seconds of the last request.
    """

    slow: float = 0.0
    fast: float = 0.0
    at: float = -math.inf


def count_request(demand: Demand, now: float) -> Demand:
    """Return the demand with one more request."""
    age = max(0.0, now - demand.at)
    return Demand(
        slow=demand.slow * math.exp(-age / SLOW_TIME_CONSTANT) + 1.0,
        fast=demand.fast * math.exp(-age / FAST_TIME_CONSTANT) + 1.0,
        at=max(now, demand.at),
    )


def demand_rate(demand: Demand, now: float) -> float:
    """Return the estimated requests a second.

    The fast average raises the estimate within a few requests after callers of the
    account move to this VM. The time since the last request lowers it as quickly
    after they leave.
    """
    age = max(0.0, now - demand.at)
    slow = demand.slow * math.exp(-age / SLOW_TIME_CONSTANT) / SLOW_TIME_CONSTANT
    fast = (
        demand.fast * math.exp(-age / FAST_TIME_CONSTANT) - FAST_IGNORED_REQUESTS
    ) / FAST_TIME_CONSTANT
    gap_limit = MAX_REQUESTS_EXPECTED_IN_GAP / age if age > 0 else math.inf
    return min(gap_limit, max(slow, fast))


def retained_fraction(share: shares.Share) -> float:
    """Return the fraction of an account that a lender retains even without demand."""
    if share.burst <= 0:
        return 0.0
    retained = RETAINED_TOKENS / share.burst
    return retained if retained <= share.fraction * MAX_RETAINED_PART else 0.0


def spare_fraction(held: holding.Holding, demand: float) -> float:
    """Return the fraction of the account that a VM can lend from its own share.

    Args:
        held: Holding, advanced to the present time.
        demand: Requests a second of the account on this VM.
    """
    needed = DEMAND_HEADROOM_FACTOR * demand / held.share.rate if held.share.rate > 0 else 0.0
    retained = retained_fraction(held.share)
    return max(0.0, min(held.own - retained, held.fraction - max(needed, retained)))


def requested_fraction(
    held: holding.Holding, demand: float, *, contended: bool, lenders: int
) -> float:
    """Return the fraction to request from each lender, 0 if the holding suffices.

    If only this VM uses the account, it requests the whole account, so that it can
    use the whole burst. If several VMs use it, each requests only what it needs,
    because lent tokens that are not spent are lost when the loan ends.

    Args:
        held: Holding, advanced to the present time.
        demand: Requests a second of the account on this VM.
        contended: Whether other VMs request loans of the account too.
        lenders: Number of VMs that receive a request.
    """
    if held.share.rate <= 0 or held.share.burst <= 0 or not lenders:
        return 0.0
    if held.tokens >= max(1.0, held.capacity / 2) and held.rate >= demand:
        return 0.0
    free = max(0.0, 1.0 - held.fraction)
    if not contended:
        return free
    if held.tokens >= CONTENDED_BORROW_THRESHOLD and held.rate >= demand:
        return 0.0
    rate_needed = DEMAND_HEADROOM_FACTOR * demand / held.share.rate - held.fraction
    burst_needed = CONTENDED_BORROW_THRESHOLD / held.share.burst
    needed = max(rate_needed, burst_needed) / lenders
    return min(free, max(MIN_LOAN_FRACTION, needed))


class ShareLedger:
    """Spends, lends and borrows tokens of all client accounts on one VM.

    Each method takes the present time and first advances the holdings concerned to
    it, so that a VM that was paused never spends shares or loans that expired during
    the pause.
    """

    def __init__(self, *, view: shares.ShareView, invariants: invariants_module.Invariants) -> None:
        self._view = view
        self._invariants = invariants
        self._holdings: dict[str, holding.Holding] = {}
        self._demands: dict[str, Demand] = {}
        self._contended_at: dict[str, float] = {}
        self._own_shares_valid_until = -math.inf
        self._bases: tuple[shares.Basis, ...] = ()
        self._loan_ids = itertools.count(1)

    @property
    def own_shares_valid_until(self) -> float:
        """Monotonic seconds until which this VM may use its own shares."""
        return self._own_shares_valid_until

    def holding_of(self, account: str, now: float) -> holding.Holding:
        """Return the holding of an account at the present time."""
        self.refresh(now)
        return self._advanced(account, now)

    def demand(self, account: str, now: float) -> float:
        """Return the estimated requests a second of an account on this VM."""
        return demand_rate(self._demands.get(account, Demand()), now)

    def contended(self, account: str, now: float) -> bool:
        """Return whether another VM requested a loan within the last CONTENTION_PERIOD."""
        return now - self._contended_at.get(account, -math.inf) <= CONTENTION_PERIOD

    def requested_fraction(self, account: str, lenders: int, now: float) -> float:
        """Return the fraction to request from each lender, 0 if the holding suffices."""
        return requested_fraction(
            self.holding_of(account, now),
            self.demand(account, now),
            contended=self.contended(account, now),
            lenders=lenders,
        )

    def refresh(self, now: float) -> None:
        """Apply expired confirmations and changed bases to all holdings."""
        if now > self._own_shares_valid_until and self._own_shares_valid_until > -math.inf:
            # Other VMs may have taken over the own shares since the confirmation expired.
            self._set_shares(self._own_shares_valid_until, confirmed=False)
            self._own_shares_valid_until = -math.inf
        until = self._view.confirmed_at(now) + shares.CONFIRMATION_LIFETIME
        becomes_valid = self._own_shares_valid_until == -math.inf and until > now
        self._view.drop_old_bases(now)
        if until > now:
            self._own_shares_valid_until = max(self._own_shares_valid_until, until)
        if becomes_valid or self._bases != self._view.bases_in_force:
            self._bases = self._view.bases_in_force
            self._set_shares(now, confirmed=self._own_shares_valid_until > now)
        if not self._view.reports_newest and not self._lends_too_much(now):
            self._view.confirm()

    def count_request(self, account: str, now: float) -> None:
        """Add one request to the demand of an account."""
        self._demands[account] = count_request(self._demands.get(account, Demand()), now)

    def spend(self, account: str, now: float) -> bool:
        """Spend one token of an account; return whether there was one."""
        self.refresh(now)
        held, admitted = holding.spend(self._advanced(account, now), 1.0, now)
        self._store(account, held)
        return admitted

    def lend(self, request: loan_messages.LoanRequest, now: float) -> loan_messages.Loan:
        """Grant a loan of the part of the own share that this VM does not need.

        The loan ends at the latest when the own share becomes invalid without another
        confirmation. A longer loan could still be in use after other VMs have taken
        over the share.
        """
        self.refresh(now)
        account = request.account
        if request.fraction > 0:
            self._contended_at[account] = now
        held = self._advanced(account, now)
        seconds = min(LOAN_DURATION, self._own_shares_valid_until - LENDER_MARGIN - now)
        if request.borrower == self._view.me or seconds < MIN_LOAN_DURATION:
            return self._loan(account, "", 0.0, 0.0, 0.0, ())
        ends_at = now + seconds + LENDER_MARGIN
        lent_ids = {loan.loan_id for loan in held.lent}
        prolonged = tuple(loan_id for loan_id in request.prolong if loan_id in lent_ids)
        held = holding.prolong_lent(held, prolonged, ends_at, now)
        fraction = min(request.fraction, spare_fraction(held, self.demand(account, now)))
        loan_id, tokens = "", 0.0
        if fraction >= MIN_LOAN_FRACTION:
            loan_id = f"{self._view.me.incarnation}-{next(self._loan_ids)}"
            loan = holding.Loan(
                loan_id=loan_id, lender=self._view.me, fraction=fraction, ends_at=ends_at
            )
            # A VM that serves requests of the account itself retains half of its tokens for them.
            retained = RETAINED_TOKENS if retained_fraction(held.share) else 0.0
            spare = max(0.0, held.tokens - retained)
            movable = spare / 2 if self.demand(account, now) > IDLE_DEMAND else spare
            held, tokens = holding.lend(held, loan, movable, now)
        else:
            fraction = 0.0
        self._invariants.check(
            "loan-within-confirmation",
            ends_at <= self._own_shares_valid_until + holding.ROUNDING,
            account=account,
        )
        self._store(account, held)
        return self._loan(account, loan_id, fraction, tokens, seconds, prolonged)

    def borrow(self, loan: loan_messages.Loan, sent_at: float, now: float) -> bool:
        """Add a received loan to the holding; return whether this increased its fraction.

        Args:
            loan: Response of the lender.
            sent_at: Monotonic seconds at which this VM sent the request.
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

    def loans_to_prolong(self, account: str, now: float) -> tuple[holding.Loan, ...]:
        """Return the borrowed loans that should be prolonged.

        If only this VM uses the account, these are all of its loans. If other VMs request
        loans of it too, these are only the largest loans that cover its own demand, or
        again all of them while it has few tokens and needs more than half of its own share.
        """
        held = self.holding_of(account, now)
        demand = self.demand(account, now)
        if demand < IDLE_DEMAND:
            return ()
        if not self.contended(account, now):
            return held.borrowed
        needed = DEMAND_HEADROOM_FACTOR * demand / held.share.rate if held.share.rate > 0 else 0.0
        few_tokens = held.tokens <= 2 * CONTENDED_BORROW_THRESHOLD
        if few_tokens and needed > held.share.fraction / 2:
            return held.borrowed
        selected: list[holding.Loan] = []
        fraction = held.own
        for loan in sorted(held.borrowed, key=lambda loan: loan.fraction, reverse=True):
            if fraction >= needed:
                break
            selected.append(loan)
            fraction += loan.fraction
        return tuple(selected)

    def return_loans(self, account: str, now: float) -> tuple[loan_messages.LoanReturn, ...]:
        """Drop the loans that need no prolongation; return the messages to their lenders."""
        needed = {loan.loan_id for loan in self.loans_to_prolong(account, now)}
        held = self._advanced(account, now)
        returns = []
        for loan in held.borrowed:
            if loan.loan_id in needed:
                continue
            held, tokens = holding.return_loan(held, loan, now)
            returns.append(
                loan_messages.LoanReturn(
                    lender=loan.lender, account=account, loan_id=loan.loan_id, tokens=tokens
                )
            )
        if returns:
            self._store(account, held)
        return tuple(returns)

    def accept_return(self, returned: loan_messages.LoanReturn, now: float) -> None:
        """Add a returned loan to the own share, unless it has ended or is another process's.

        After the end of a loan, the lender refills the lent part of its capacity
        itself. Tokens that are returned later would exceed the burst.
        """
        self.refresh(now)
        if returned.lender == self._view.me:
            held = self._advanced(returned.account, now)
            held = holding.accept_return(held, returned.loan_id, returned.tokens, now)
            self._store(returned.account, held)

    def active_accounts(self, now: float) -> tuple[str, ...]:
        """Return the accounts with recent requests, and drop the demand of idle accounts."""
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
            # A new holding has no tokens; it gains them by refills and loans.
            share = self._share(account, confirmed=self._own_shares_valid_until > now)
            held = holding.Holding(share=share, updated_at=now)
        return holding.advance(held, now)

    def _share(self, account: str, *, confirmed: bool) -> shares.Share:
        own = self._view.share(account)
        return own if confirmed else dataclasses.replace(own, fraction=0.0)

    def _set_shares(self, now: float, *, confirmed: bool) -> None:
        current_seats = self._view.table.seats if self._view.table else ()
        for account in self._view.accounts | set(self._holdings):
            share = self._share(account, confirmed=confirmed)
            held = self._holdings.get(account)
            if held is None and share.fraction == 0.0:
                continue
            if held is None:
                held = holding.Holding(share=shares.NO_SHARE, updated_at=now)
            held = holding.with_share(held, share, now)
            held = holding.drop_unseated_loans(held, current_seats, now)
            if share == shares.NO_SHARE and not held.lent:
                self._holdings.pop(account, None)
            else:
                self._store(account, held)

    def _lends_too_much(self, now: float) -> bool:
        """Return whether lent fractions exceed the share that the bases in force allow."""
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
