"""Holding of one entry VM in one client account: its share, its loans and its tokens.

A fraction, from 0 to 1, applies to both the rate and the burst of the account.
"""

import dataclasses
from collections import abc

from greengageshunt.admission import bucket
from greengageshunt.membership import shares

# Differences of fractions or tokens up to this are rounding errors.
ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loan:
    """Fraction of an account that one VM may use at the expense of another VM's share.

    Lender and borrower each have a record of the loan.

    Attributes:
        loan_id: Id that the lender assigned.
        lender: Process that granted the loan.
        fraction: Part of the account's rate and burst.
        ends_at: Monotonic seconds, on the clock of the VM that has this record.
    """

    loan_id: str
    lender: shares.Seat
    fraction: float
    ends_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Holding:
    """State of one client account on one VM.

    Attributes:
        share: Own share, including its lent part.
        lent: Loans to other VMs.
        borrowed: Loans from other VMs.
        tokens: Tokens at ``updated_at``.
        updated_at: Monotonic seconds up to which the tokens are refilled.
    """

    share: shares.Share
    lent: tuple[Loan, ...] = ()
    borrowed: tuple[Loan, ...] = ()
    tokens: float = 0.0
    updated_at: float = 0.0

    @property
    def lent_fraction(self) -> float:
        """Fraction of the account that is lent to other VMs."""
        return sum(loan.fraction for loan in self.lent)

    @property
    def own(self) -> float:
        """Fraction of the account that belongs to the own share and is not lent."""
        return max(0.0, self.share.fraction - self.lent_fraction)

    @property
    def fraction(self) -> float:
        """Fraction of the account that this VM may use, including borrowed fractions."""
        return self.own + sum(loan.fraction for loan in self.borrowed)

    @property
    def rate(self) -> float:
        """Tokens added a second."""
        return self.fraction * self.share.rate

    @property
    def capacity(self) -> float:
        """Maximum number of tokens."""
        return self.fraction * self.share.burst


def _bucket(held: Holding) -> bucket.Bucket:
    return bucket.Bucket(
        rate=held.rate, capacity=held.capacity, tokens=held.tokens, updated_at=held.updated_at
    )


def _capped(held: Holding) -> Holding:
    return dataclasses.replace(held, tokens=min(held.tokens, held.capacity))


def _refilled(held: Holding, now: float) -> Holding:
    filled = bucket.refill(_bucket(held), now)
    return dataclasses.replace(held, tokens=filled.tokens, updated_at=filled.updated_at)


def advance(held: Holding, now: float) -> Holding:
    """Return the holding refilled up to a time and without the loans that have ended by then.

    Each interval between two ends of loans is refilled with the rate that applied
    in it, so that the result doesn't depend on how often this function is called.
    """
    ends = sorted({loan.ends_at for loan in (*held.lent, *held.borrowed) if loan.ends_at <= now})
    for end in ends:
        held = _refilled(held, end)
        held = _capped(
            dataclasses.replace(
                held,
                lent=tuple(loan for loan in held.lent if loan.ends_at > end),
                borrowed=tuple(loan for loan in held.borrowed if loan.ends_at > end),
            )
        )
    return _refilled(held, now)


def with_share(held: Holding, share: shares.Share, now: float) -> Holding:
    """Return the holding with another share; tokens above the new capacity are discarded."""
    return _capped(dataclasses.replace(advance(held, now), share=share))


def spend(held: Holding, amount: float, now: float) -> tuple[Holding, bool]:
    """Return the holding after an attempt to spend tokens, and whether there were enough."""
    held = advance(held, now)
    if held.tokens < amount:
        return held, False
    return dataclasses.replace(held, tokens=held.tokens - amount), True


def retry_after(held: Holding, amount: float, now: float) -> float:
    """Return the seconds until refills alone, without further loans, bring an amount of tokens."""
    return bucket.time_until(_bucket(held), amount, now)


def lend(held: Holding, loan: Loan, available: float, now: float) -> tuple[Holding, float]:
    """Return the lender's holding with a new loan, and the tokens that move to the borrower.

    Args:
        held: Holding of the lender.
        loan: Loan, of at most the fraction ``held.own``.
        available: Most tokens that may move; the lent part of the burst limits them too.
        now: Monotonic seconds.
    """
    held = advance(held, now)
    tokens = min(held.tokens, available, loan.fraction * held.share.burst)
    lent = dataclasses.replace(held, lent=(*held.lent, loan), tokens=held.tokens - tokens)
    return _capped(lent), tokens


def borrow(held: Holding, loan: Loan, tokens: float, now: float) -> Holding:
    """Return the borrower's holding with a new loan; a loan that has ended is ignored.

    If the burst was lowered while the loan message was in transit, the tokens above
    the lent part of the burst are discarded.
    """
    held = advance(held, now)
    if loan.ends_at <= now or loan.fraction <= 0:
        return held
    tokens = min(tokens, loan.fraction * held.share.burst)
    grown = dataclasses.replace(held, borrowed=(*held.borrowed, loan), tokens=held.tokens + tokens)
    return _capped(grown)


def _prolonged(
    loans: tuple[Loan, ...], loan_ids: abc.Collection[str], ends_at: float
) -> tuple[Loan, ...]:
    return tuple(
        dataclasses.replace(loan, ends_at=max(loan.ends_at, ends_at))
        if loan.loan_id in loan_ids
        else loan
        for loan in loans
    )


def prolong_lent(
    held: Holding, loan_ids: abc.Collection[str], ends_at: float, now: float
) -> Holding:
    """Return the lender's holding with a later end of the given loans."""
    held = advance(held, now)
    return dataclasses.replace(held, lent=_prolonged(held.lent, loan_ids, ends_at))


def prolong_borrowed(
    held: Holding, loan_ids: abc.Collection[str], ends_at: float, now: float
) -> Holding:
    """Return the borrower's holding with a later end of the given loans."""
    held = advance(held, now)
    return dataclasses.replace(held, borrowed=_prolonged(held.borrowed, loan_ids, ends_at))


def return_loan(held: Holding, loan: Loan, now: float) -> tuple[Holding, float]:
    """Return the borrower's holding without a loan, and the tokens to return to the lender."""
    held = advance(held, now)
    if loan not in held.borrowed:
        return held, 0.0
    tokens = held.tokens * min(1.0, loan.fraction / held.fraction)
    others = tuple(other for other in held.borrowed if other != loan)
    held = dataclasses.replace(held, borrowed=others, tokens=held.tokens - tokens)
    return _capped(held), tokens


def accept_return(held: Holding, loan_id: str, tokens: float, now: float) -> Holding:
    """Return the lender's holding after the return of a loan; an ended loan is ignored."""
    held = advance(held, now)
    loan = next((loan for loan in held.lent if loan.loan_id == loan_id), None)
    if loan is None:
        return held
    others = tuple(other for other in held.lent if other != loan)
    tokens = min(tokens, loan.fraction * held.share.burst)
    return _capped(dataclasses.replace(held, lent=others, tokens=held.tokens + tokens))


def drop_unseated_loans(held: Holding, seats: abc.Collection[shares.Seat], now: float) -> Holding:
    """Return the holding without loans from processes that are not in the share table."""
    held = advance(held, now)
    remaining = tuple(loan for loan in held.borrowed if loan.lender in seats)
    return _capped(dataclasses.replace(held, borrowed=remaining))
