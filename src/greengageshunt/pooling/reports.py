"""Results of statements for the metrics."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Result of a statement.

    Attributes:
        consistency: Consistency of the database, or an empty string if the session or
            the operation was refused.
        kind: Kind of the statement, or an empty string in the same case.
        code: Code of the error, or ``ok``.
        step: Step at which the error arose, or an empty string.
        seconds: Seconds from the receipt to the answer; 0 in the same case.
        replica: Whether it was sent to a replica.
    """

    consistency: str
    kind: str
    code: str
    step: str
    seconds: float
    replica: bool
