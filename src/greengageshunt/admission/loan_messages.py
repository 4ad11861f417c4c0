"""Peer messages by which entry VMs lend fractions of an account's rate and burst."""

import dataclasses

from greengageshunt.membership import shares
from greengageshunt.peers import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoanRequest:
    """Requests a loan, or the prolongation of loans, from a peer.

    Attributes:
        borrower: Process that sends the request.
        account: Name of the client account.
        fraction: Requested part of the account's rate and burst; 0 to prolong only.
        prolong: Ids of loans from the same lender that the borrower wants prolonged.
    """

    borrower: shares.Seat
    account: str
    fraction: float
    prolong: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Loan:
    """Response to ``LoanRequest``.

    Attributes:
        lender: Process that sends the response.
        account: Name of the client account.
        loan_id: Id of the loan.
        fraction: Part of the account's rate and burst that is lent; 0 without a new loan.
        tokens: Tokens that move to the borrower.
        seconds: Duration of the new and the prolonged loans, on the borrower's clock, from the
            sending of its request.
        prolonged: Ids of earlier loans that now last as long.
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
    """Returns a loan to its lender before its end.

    Attributes:
        lender: Process that granted the loan.
        account: Name of the client account.
        loan_id: Id of the loan.
        tokens: Tokens that move back to the lender.
    """

    lender: shares.Seat
    account: str
    loan_id: str
    tokens: float


messages.register(LoanReturn)
messages.register(LoanRequest)
messages.register(Loan)
