"""Result of an admission policy."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionDecision:
    """Decision whether a request is within its client account's rate and burst.

    Attributes:
        admitted: Whether the request may run.
        reason: Reason for the log line.
        retry_after: Seconds after which a retry may be admitted.
    """

    admitted: bool
    reason: str
    retry_after: float = 0.0
