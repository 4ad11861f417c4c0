"""What the request path reports of each request through events."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestReport:
    """Payload of the event ``request-handled``.

    Attributes:
        kind: ``read`` or ``write``, or ``unknown`` for an unknown route.
        code: ``ok``, or the code of the refusal.
        seconds: Time from the receipt to the answer.
    """

    kind: str
    code: str
    seconds: float
