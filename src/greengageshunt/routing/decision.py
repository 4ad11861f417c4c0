"""Input and output of routing policies."""

import dataclasses

from greengageshunt import model


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingInput:
    """What a routing policy decides on.

    Attributes:
        route: Route of the request.
        record: Newest record of the route's group.
        statuses: Newest status of each target of the group that has one.
        position: Position that the session has seen of the group, or None.
        lags: Seconds by which each target may lag behind the primary.
        waits: Seconds that a request would wait for a slot, by target.
        live_targets: Names of targets that answered within the heartbeat deadline.
        in_transaction: Whether the request belongs to an open transaction.
        waited: Seconds since the request arrived.
        avoided: Names of targets that failed an earlier try of the request.
    """

    route: model.Route
    record: model.GroupRecord
    statuses: tuple[model.TargetStatus, ...]
    position: model.Position | None
    lags: dict[str, float]
    waits: dict[str, float]
    live_targets: frozenset[str]
    in_transaction: bool
    waited: float = 0.0
    avoided: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingDecision:
    """Where a request goes.

    Attributes:
        target: Name of the chosen target.
        term: Term in which a write must run; 0 for reads.
        reason: Reason for the log line.
    """

    target: str
    term: int
    reason: str
