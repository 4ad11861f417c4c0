"""Tests of the routing policy that compares log positions."""

import math

from greengageshunt import model
from greengageshunt.routing import decision, history, position

HISTORY = (model.TermStart(term=1, first_offset=1), model.TermStart(term=2, first_offset=101))


def _target(name: str) -> model.Target:
    return model.Target(
        name=name,
        failure_domain="klang",
        address="127.0.0.1:1",
        replication_address="127.0.0.1:2",
        connection_limit=15,
        slots=2,
    )


RECORD = model.GroupRecord(
    group="g",
    term=2,
    primary="a",
    targets=(_target("a"), _target("b"), _target("c")),
    history=HISTORY,
)

ROUTE = model.Route(
    name="r", group="g", kind=model.RouteKind.READ, statement="SELECT 1", staleness=1.0
)


def _status(name: str, offset: int, starts=HISTORY, term: int = 2) -> model.TargetStatus:
    return model.TargetStatus(
        target=name,
        term=term,
        promoter="vm-1",
        role=model.Role.REPLICA,
        offset=offset,
        history=starts,
        observed_at=0.0,
    )


def _inputs(*statuses, seen=None, max_lags=None, route=ROUTE) -> decision.RoutingInput:
    return decision.RoutingInput(
        route=route,
        record=RECORD,
        statuses=statuses,
        position=seen,
        max_lags=max_lags if max_lags is not None else {status.target: 0.0 for status in statuses},
        expected_waits={},
        live_targets=frozenset(status.target for status in statuses),
        in_transaction=False,
    )


def test_replica_behind_the_session_is_not_chosen():
    """Guards against a read that misses the session's own write."""
    seen = model.Position(term=2, offset=110)
    chosen = position.choose(_inputs(_status("b", 109), _status("c", 110), seen=seen), 0.0)
    assert chosen.unwrap().target == "c"


def test_diverged_replica_is_not_chosen():
    """Guards against a comparison of offsets alone: the log of an old primary may be longer."""
    old = _status("b", 500, starts=HISTORY[:1], term=1)
    chosen = position.choose(_inputs(old, seen=model.Position(term=2, offset=110)), 0.0)
    assert chosen.unwrap().target == "a"


def test_read_after_a_lost_position_is_refused():
    """Guards against older data without an error after a promotion dropped a seen transaction."""
    chosen = position.choose(_inputs(seen=model.Position(term=1, offset=101)), 0.0)
    assert chosen.failure().code == "position_lost"


def test_replica_that_lags_too_much_is_not_chosen():
    """Guards against reads that are staler than the route allows."""
    chosen = position.choose(_inputs(_status("b", 110), max_lags={"b": 1.1}), 0.0)
    assert chosen.unwrap().target == "a"
    chosen = position.choose(_inputs(_status("b", 110), max_lags={"b": math.inf}), 0.0)
    assert chosen.unwrap().target == "a"


def test_position_before_the_new_term_is_not_lost():
    """Guards against reporting a transaction as lost that the new primary has."""
    assert not history.is_lost(model.Position(term=1, offset=100), HISTORY)
    assert history.contains(_status("b", 101), model.Position(term=1, offset=100))


def test_old_primary_does_not_serve_a_session_that_has_seen_a_later_term():
    """Guards against a stale read at an entry VM that does not know the new primary yet."""
    seen = model.Position(term=3, offset=150)
    chosen = position.choose(_inputs(_status("b", 120), seen=seen), 0.0)
    assert chosen.failure().code == "term_changed"
