"""Messages with which entry VMs lend each other parts of a rate."""

import dataclasses

from greengageshunt.membership import shares
from greengageshunt.peers import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanRequest:
    """Asks a peer for a loan.

    Attributes:
        borrower: Process that asks.
        account: Name of the client account.
        fraction: Wanted part of the account's rate and burst; 0 to prolong only.
        prolong: Ids of loans from the same lender that should last longer.
    """

    borrower: shares.Seat
    account: str
    fraction: float
    prolong: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loan:
    """Answer to ``LoanRequest``.

    Attributes:
        lender: Process that lends.
        account: Name of the client account.
        loan_id: Id of the loan.
        fraction: Part of the account's rate and burst that moves; 0 for no new loan.
        tokens: Tokens that move.
        seconds: Duration, for the borrower from the sending of its request.
        prolonged: Ids of loans that last as long as this one.
    """

    lender: shares.Seat
    account: str
    loan_id: str
    fraction: float
    tokens: float
    seconds: float
    prolonged: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanReturn:
    """Gives a loan back before its end.

    Attributes:
        lender: Process that lent.
        account: Name of the client account.
        loan_id: Id of the loan.
        tokens: Tokens that move back.
    """

    lender: shares.Seat
    account: str
    loan_id: str
    tokens: float


messages.register(LoanReturn)
messages.register(LoanRequest)
messages.register(Loan)
