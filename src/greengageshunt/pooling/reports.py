"""What the metrics are told of statements."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """How a statement ended, for the metrics.

    Attributes:
        consistency: Consistency of the database; empty without one.
        kind: Kind of the statement.
        code: Code of the error, or ``ok``.
        step: Step at which the error arose, or an empty string.
        seconds: Seconds from the receipt to the answer.
        replica: Whether a replica served it.
    """

    consistency: str
    kind: str
    code: str
    step: str
    seconds: float
    replica: bool
