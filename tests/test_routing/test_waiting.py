"""Tests of the routing policy that holds reads for a replica while the primary is loaded."""

import dataclasses

import pytest
from returns import pipeline

from greengageshunt import model
from greengageshunt.routing import decision, waiting


def _target(name):
    return model.Target(
        name=name,
        failure_domain="klang",
        address="",
        replication_address="",
        connection_limit=15,
        slots=2,
    )


def _status(name, offset):
    return model.TargetStatus(
        target=name,
        term=1,
        promoter="",
        role=model.Role.REPLICA,
        offset=offset,
        history=(model.TermStart(term=1, first_offset=1),),
        observed_at=0.0,
    )


INPUTS = decision.RoutingInput(
    route=model.Route(name="r", group="g", kind=model.RouteKind.READ, statement="", staleness=5.0),
    record=model.GroupRecord(
        group="g",
        term=1,
        primary="a",
        targets=(_target("a"), _target("b")),
        history=(model.TermStart(term=1, first_offset=1),),
    ),
    statuses=(_status("a", 9), _status("b", 8)),
    position=model.Position(term=1, offset=9),
    max_lags={"a": 0.0, "b": 0.1},
    expected_waits={"a": 0.05, "b": 0.0},
    live_targets=frozenset({"a", "b"}),
    in_transaction=False,
)


def test_read_is_held_for_a_replica_while_the_primary_is_loaded():
    """Guards against reads that queue at a loaded primary while a replica is about to catch up."""
    assert waiting.choose(INPUTS, 0.0).failure().code == "replica_behind"


@pytest.mark.parametrize(
    "change",
    [
        {"expected_waits": {"a": 0.0, "b": 0.0}},
        {"seconds_waited": waiting.MAX_REPLICA_WAIT},
        {"live_targets": frozenset({"a"})},
        {"max_lags": {"a": 0.0, "b": 9.0}},
        {"failed_targets": frozenset({"b"})},
        {"record": dataclasses.replace(INPUTS.record, draining=("b",))},
        {"route": dataclasses.replace(INPUTS.route, kind=model.RouteKind.WRITE)},
        {"route": dataclasses.replace(INPUTS.route, staleness=0.0)},
    ],
)
def test_request_is_not_held_if_no_replica_can_serve_it_soon(change):
    """Guards against holding a read that no replica can serve, an overdue read, or a write."""
    chosen = waiting.choose(dataclasses.replace(INPUTS, **change), 0.0)
    assert pipeline.is_successful(chosen)
    assert chosen.unwrap().target == "a"


def test_draining_replica_serves_no_read():
    """Guards against new reads on a replica that is being removed."""
    fresh = dataclasses.replace(INPUTS, position=model.Position(term=1, offset=8))
    draining = dataclasses.replace(fresh.record, draining=("b",))
    assert waiting.choose(fresh, 0.0).unwrap().target == "b"
    assert waiting.choose(dataclasses.replace(fresh, record=draining), 0.0).unwrap().target == "a"
