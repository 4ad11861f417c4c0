"""Tests of the choice of a statement's target."""

import dataclasses

from greengageshunt import model
from greengageshunt.pooling import choice

POSITION = model.Position(term=1, offset=4)

REPLICA = choice.Candidate(
    target="t-2",
    primary=False,
    busy=0,
    same_domain=True,
    has_idle_connection=True,
    usable=True,
    response_seconds=0.01,
)
PRIMARY = dataclasses.replace(REPLICA, target="t-1", primary=True)

ANY_TARGET = choice.Needs(primary=False, after=POSITION)
PRIMARY_ONLY = choice.Needs(primary=True, after=None)
NO_POSITION = choice.Needs(primary=False, after=None)


def _choose(candidates, needs, *, primary_permitted=True):
    return choice.choose(candidates, needs, primary_permitted=primary_permitted)


def test_primary_without_lease_is_never_chosen():
    """Guards against statements on an old primary after the lease on it has expired."""
    for needs in (ANY_TARGET, PRIMARY_ONLY, NO_POSITION):
        assert _choose((PRIMARY, REPLICA), needs, primary_permitted=False).target != "t-1"


def test_replica_is_not_chosen_without_a_position():
    """Guards against a replica read without any limit on its staleness."""
    assert _choose((REPLICA,), NO_POSITION).target == ""
    assert _choose((REPLICA, PRIMARY), NO_POSITION).target == "t-1"


def test_choice_of_a_replica_carries_the_required_position():
    """Guards against a replica read that omits the required position from its request."""
    chosen = _choose((PRIMARY, REPLICA), ANY_TARGET)
    assert (chosen.target, chosen.after) == ("t-2", POSITION)


def test_writes_go_to_the_primary_only():
    """Guards against a write that is sent to a replica, which rejects it."""
    assert _choose((REPLICA, PRIMARY), PRIMARY_ONLY).target == "t-1"


def test_slow_or_busy_target_is_avoided():
    """Guards against statements that go to a slow or busy target while another is free."""
    other = dataclasses.replace(REPLICA, target="t-3")
    slow = dataclasses.replace(REPLICA, response_seconds=0.05)
    assert _choose((slow, other), ANY_TARGET).target == "t-3"
    busy = dataclasses.replace(REPLICA, busy=2)
    assert _choose((busy, other), ANY_TARGET).target == "t-3"
