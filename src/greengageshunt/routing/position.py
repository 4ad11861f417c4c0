"""Routing policy that sends a read to a replica that has what the session has seen.

Writes, reads in transactions, and reads that no replica can serve go to the primary.
"""

import math

from returns import result

from greengageshunt import application, errors, model
from greengageshunt.routing import decision, history


def _to_primary(
    inputs: decision.RoutingInput, reason: str
) -> result.Result[decision.RoutingDecision, errors.Refusal]:
    record = inputs.record
    term = record.term if inputs.route.kind is model.RouteKind.WRITE else 0
    return result.Success(decision.RoutingDecision(target=record.primary, term=term, reason=reason))


def _read_from_primary(
    inputs: decision.RoutingInput, reason: str
) -> result.Result[decision.RoutingDecision, errors.Refusal]:
    """Choose the primary, unless the session has seen a later term than this entry VM.

    In that case the primary that this entry VM knows is an old one, which may lack writes of
    the session.
    """
    if inputs.position is None or inputs.position.term <= inputs.record.term:
        return _to_primary(inputs, reason)
    return result.Failure(
        errors.Refusal(
            code="term_changed",
            message=f"this entry VM does not know the primary of term {inputs.position.term} yet",
            outcome=errors.Outcome.NOT_RUN,
            step="route",
            peer=inputs.record.group,
        )
    )


def _position_lost(
    inputs: decision.RoutingInput,
) -> result.Result[decision.RoutingDecision, errors.Refusal]:
    return result.Failure(
        errors.Refusal(
            code="position_lost",
            message="a change of primary dropped a transaction that this session has seen",
            outcome=errors.Outcome.NOT_RUN,
            step="route",
            peer=inputs.record.group,
        )
    )


def eligible_replicas(inputs: decision.RoutingInput) -> tuple[model.TargetStatus, ...]:
    """Return the status of each replica that may serve a read.

    A replica is eligible if it is live and not draining, no earlier attempt at the request
    failed on it, its lag is within the route's staleness, and its log contains the
    session's position.
    """
    record = inputs.record
    return tuple(
        status
        for status in inputs.statuses
        if status.target != record.primary
        and status.target in inputs.live_targets
        and status.target not in record.draining
        and status.target not in inputs.failed_targets
        and inputs.max_lags.get(status.target, math.inf) <= inputs.route.staleness
        and (inputs.position is None or history.contains(status, inputs.position))
    )


def choose(
    inputs: decision.RoutingInput, now: float
) -> result.Result[decision.RoutingDecision, errors.Refusal]:
    """Choose the target of a request.

    A read goes to the eligible replica with the shortest expected wait.

    Args:
        inputs: The request and the state of its group.
        now: Monotonic seconds.
    """
    if inputs.position is not None and history.is_lost(inputs.position, inputs.record.history):
        return _position_lost(inputs)
    if inputs.in_transaction:
        return _to_primary(inputs, "transaction")
    if inputs.route.kind is model.RouteKind.WRITE:
        return _to_primary(inputs, "write")
    if inputs.route.staleness <= 0:
        return _read_from_primary(inputs, "route allows no staleness")
    candidates = eligible_replicas(inputs)
    if not candidates:
        reason = "no replica is fresh enough and has the session's position"
        return _read_from_primary(inputs, reason)
    best = min(candidates, key=lambda status: inputs.expected_waits.get(status.target, 0.0))
    return result.Success(
        decision.RoutingDecision(target=best.target, term=0, reason="replica is fresh enough")
    )


def setup(app: application.Application) -> None:
    """Register the routing policy."""
    app.add_part("routing", "position", lambda app: choose)
