"""Routing policy that lets replicas serve reads which they can serve consistently."""

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

    The primary that this entry VM knows then lacks what the session has written.
    """
    if inputs.position is None or inputs.position.term <= inputs.record.term:
        return _to_primary(inputs, reason)
    return result.Failure(
        errors.Refusal(
            code="term_changed",
            message=f"the primary of term {inputs.position.term} is not known here yet",
            outcome=errors.Outcome.NOT_RUN,
            step="route",
            peer=inputs.record.group,
        )
    )


def _lost(
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
    """Return the replicas that may serve a read.

    A replica is eligible if it answers, is not draining, did not fail an earlier
    try, lags by no more than the route's staleness, and contains the session's
    position.
    """
    record = inputs.record
    return tuple(
        status
        for status in inputs.statuses
        if status.target != record.primary
        and status.target in inputs.live_targets
        and status.target not in record.draining
        and status.target not in inputs.avoided
        and inputs.lags.get(status.target, math.inf) <= inputs.route.staleness
        and (inputs.position is None or history.contains(status, inputs.position))
    )


def choose(
    inputs: decision.RoutingInput, now: float
) -> result.Result[decision.RoutingDecision, errors.Refusal]:
    """Choose the target of a request.

    Args:
        inputs: What is known of the request and of the group.
        now: Monotonic seconds.
    """
    if inputs.position is not None and history.is_lost(inputs.position, inputs.record.history):
        return _lost(inputs)
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
    best = min(candidates, key=lambda status: inputs.waits.get(status.target, 0.0))
    return result.Success(
        decision.RoutingDecision(target=best.target, term=0, reason="replica is fresh enough")
    )


def setup(app: application.Application) -> None:
    """Register the routing policy."""
    app.add_part("routing", "position", lambda app: choose)
