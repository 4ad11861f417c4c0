"""Payloads of the events that the request path emits."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestReport:
    """Payload of the event ``request-handled``.

    Attributes:
        kind: ``read`` or ``write``, or ``unknown`` for an unknown route.
        code: ``ok``, or the code of the refusal.
        seconds: Seconds from the receipt of the request to its answer.
    """

    kind: str
    code: str
    seconds: float
