"""Routing policy that holds a read briefly for a replica while the primary is loaded."""

import math

from returns import result

from greengageshunt import application, errors, model
from greengageshunt.routing import decision, position

# Expected wait for a slot of the primary, in seconds, from which on a read is held for a replica
# instead.
PRIMARY_LOADED_WAIT = 0.01

# Seconds after its arrival up to which a read is held for a replica.
MAX_REPLICA_WAIT = 0.1


def _should_hold(inputs: decision.RoutingInput) -> bool:
    """Return whether to hold a read that only the primary can serve now.

    A read is held while the primary is loaded and a replica only lacks the session's position.
    """
    record, route = inputs.record, inputs.route
    if route.kind is model.RouteKind.WRITE or route.staleness <= 0 or inputs.in_transaction:
        return False
    if inputs.position is None or inputs.seconds_waited >= MAX_REPLICA_WAIT:
        return False
    if inputs.expected_waits.get(record.primary, 0.0) < PRIMARY_LOADED_WAIT:
        return False
    return any(
        name != record.primary
        and name not in record.draining
        and name not in inputs.failed_targets
        and inputs.max_lags.get(name, math.inf) <= route.staleness
        for name in inputs.live_targets
    )


def choose(
    inputs: decision.RoutingInput, now: float
) -> result.Result[decision.RoutingDecision, errors.Refusal]:
    """Choose the target of a request; see ``position.choose``.

    Returns:
        The decision, or the refusal ``replica_behind``, after which the caller holds the
        request and calls this function again.
    """
    chosen = position.choose(inputs, now)
    to_primary = chosen.map(lambda choice: choice.target == inputs.record.primary).value_or(False)
    if not to_primary or not _should_hold(inputs):
        return chosen
    return result.Failure(
        errors.Refusal(
            code="replica_behind",
            message="no replica has the session's position yet, and the primary is loaded",
            outcome=errors.Outcome.NOT_RUN,
            step="route",
            peer=inputs.record.primary,
        )
    )


def setup(app: application.Application) -> None:
    """Register the routing policy."""
    app.add_part("routing", "waiting", lambda app: choose)
