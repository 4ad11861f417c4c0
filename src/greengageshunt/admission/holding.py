"""What one entry VM holds of one client account: its share, its loans and its tokens.

A fraction stands for this part of both the rate and the burst of the account.
"""

import dataclasses
from collections import abc

from greengageshunt.admission import bucket
from greengageshunt.membership import shares

# Fractions and tokens below this are rounding errors.
ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loan:
    """A fraction that moved between two VMs.

    Attributes:
        loan_id: Id that the lender chose.
        lender: Process that lent the fraction.
        fraction: Part of the account's rate and burst.
        ends_at: Monotonic seconds, on the clock of the VM that keeps this record.
    """

    loan_id: str
    lender: shares.Seat
    fraction: float
    ends_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Holding:
    """State of one client account on one VM.

    Attributes:
        share: Own share.
        lent: Loans to other VMs.
        borrowed: Loans from other VMs.
        tokens: Tokens at ``updated_at``.
        updated_at: Monotonic seconds.
    """

    share: shares.Share
    lent: tuple[Loan, ...] = ()
    borrowed: tuple[Loan, ...] = ()
    tokens: float = 0.0
    updated_at: float = 0.0

    @property
    def lent_fraction(self) -> float:
        """Fraction that other VMs use at the expense of the own share."""
        return sum(loan.fraction for loan in self.lent)

    @property
    def own(self) -> float:
        """Fraction of the own share that is not lent."""
        return max(0.0, self.share.fraction - self.lent_fraction)

    @property
    def fraction(self) -> float:
        """Fraction that this VM may use."""
        return self.own + sum(loan.fraction for loan in self.borrowed)

    @property
    def rate(self) -> float:
        """Tokens added a second."""
        return self.fraction * self.share.rate

    @property
    def capacity(self) -> float:
        """Tokens held at most."""
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
    """Return the holding at a later time; loans end at their own times.

    Refills each interval between two ends with the rate that applied in it,
    however long ago the holding was last read.
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
    """Return the holding with another share; tokens above the capacity are lost."""
    return _capped(dataclasses.replace(advance(held, now), share=share))


def spend(held: Holding, amount: float, now: float) -> tuple[Holding, bool]:
    """Return the holding after an attempt to spend tokens, and whether it had them."""
    held = advance(held, now)
    if held.tokens < amount:
        return held, False
    return dataclasses.replace(held, tokens=held.tokens - amount), True


def retry_after(held: Holding, amount: float, now: float) -> float:
    """Return the seconds until the holding has an amount of tokens without loans."""
    return bucket.time_until(_bucket(held), amount, now)


def lend(held: Holding, loan: Loan, given: float, now: float) -> tuple[Holding, float]:
    """Return the holding after a loan, and the tokens that go with it.

    Args:
        held: Holding.
        loan: Loan, of at most the fraction ``own``.
        given: Tokens that may move; the lent part of the burst limits them.
        now: Monotonic seconds.
    """
    held = advance(held, now)
    tokens = min(held.tokens, given, loan.fraction * held.share.burst)
    lent = dataclasses.replace(held, lent=(*held.lent, loan), tokens=held.tokens - tokens)
    return _capped(lent), tokens


def borrow(held: Holding, loan: Loan, tokens: float, now: float) -> Holding:
    """Return the holding after a loan from another VM; an ended one adds nothing.

    If the burst became smaller while the loan was on its way, the tokens above
    the lent part of the burst are lost.
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
    """Return the holding with a later end of the named loans to other VMs."""
    held = advance(held, now)
    return dataclasses.replace(held, lent=_prolonged(held.lent, loan_ids, ends_at))


def prolong_borrowed(
    held: Holding, loan_ids: abc.Collection[str], ends_at: float, now: float
) -> Holding:
    """Return the holding with a later end of the named loans from other VMs."""
    held = advance(held, now)
    return dataclasses.replace(held, borrowed=_prolonged(held.borrowed, loan_ids, ends_at))


def give_back(held: Holding, loan: Loan, now: float) -> tuple[Holding, float]:
    """Return the holding without a borrowed loan, and the tokens to return with it."""
    held = advance(held, now)
    if loan not in held.borrowed:
        return held, 0.0
    tokens = held.tokens * min(1.0, loan.fraction / held.fraction)
    kept = tuple(other for other in held.borrowed if other != loan)
    held = dataclasses.replace(held, borrowed=kept, tokens=held.tokens - tokens)
    return _capped(held), tokens


def take_back(held: Holding, loan_id: str, tokens: float, now: float) -> Holding:
    """Return the holding after the return of a loan; an ended one adds nothing."""
    held = advance(held, now)
    loan = next((loan for loan in held.lent if loan.loan_id == loan_id), None)
    if loan is None:
        return held
    kept = tuple(other for other in held.lent if other != loan)
    tokens = min(tokens, loan.fraction * held.share.burst)
    return _capped(dataclasses.replace(held, lent=kept, tokens=held.tokens + tokens))


def without_lenders(held: Holding, seated: abc.Collection[shares.Seat], now: float) -> Holding:
    """Return the holding without loans from processes that have no seat any more."""
    held = advance(held, now)
    kept = tuple(loan for loan in held.borrowed if loan.lender in seated)
    return _capped(dataclasses.replace(held, borrowed=kept))
