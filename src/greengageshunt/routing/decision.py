"""Input and output of routing policies."""

import dataclasses

from greengageshunt import model


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingInput:
    """Request and state of its group, from which a routing policy chooses a target.

    Attributes:
        route: Route of the request.
        record: Newest record of the route's group.
        statuses: Newest status of each target of the group that has one.
        position: Newest log position of the group that the session has seen, or None.
        max_lags: Upper bound of the replica lag in seconds, by target.
        expected_waits: Expected seconds that a request waits for a slot, by target.
        live_targets: Names of targets that answered within the heartbeat deadline.
        in_transaction: Whether the request belongs to an open transaction.
        seconds_waited: Seconds since the request arrived.
        failed_targets: Names of targets on which an earlier attempt at the request failed.
    """

    route: model.Route
    record: model.GroupRecord
    statuses: tuple[model.TargetStatus, ...]
    position: model.Position | None
    max_lags: dict[str, float]
    expected_waits: dict[str, float]
    live_targets: frozenset[str]
    in_transaction: bool
    seconds_waited: float = 0.0
    failed_targets: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoutingDecision:
    """Target that a routing policy chose for a request.

    Attributes:
        target: Name of the chosen target.
        term: Term in which the target must still be the primary for a write; 0 for reads.
        reason: Reason for the log line.
    """

    target: str
    term: int
    reason: str
