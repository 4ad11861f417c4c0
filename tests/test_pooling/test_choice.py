"""Choice of the target of a statement."""

import dataclasses

from greengageshunt import model
from greengageshunt.pooling import choice

POSITION = model.Position(term=1, offset=4)

REPLICA = choice.Candidate(
    target="t-2", primary=False, busy=0, local=True, warm=True, usable=True, slowness=0.01
)
PRIMARY = dataclasses.replace(REPLICA, target="t-1", primary=True)

ANYWHERE = choice.Needs(primary=False, after=POSITION)
PRIMARY_ONLY = choice.Needs(primary=True, after=None)
UNBOUNDED = choice.Needs(primary=False, after=None)


def _choose(candidates, needs, *, permitted=True):
    return choice.choose(candidates, needs, permitted=permitted)


def test_primary_without_permission_is_never_chosen():
    """Guards against reads and writes on a target that has lost the lead."""
    for needs in (ANYWHERE, PRIMARY_ONLY, UNBOUNDED):
        assert _choose((PRIMARY, REPLICA), needs, permitted=False).target != "t-1"


def test_replica_is_not_chosen_without_a_position():
    """Guards against a read of unbounded staleness."""
    assert _choose((REPLICA,), UNBOUNDED).target == ""
    assert _choose((REPLICA, PRIMARY), UNBOUNDED).target == "t-1"


def test_replica_is_asked_for_the_position():
    """Guards against a replica read that does not say what the log must contain."""
    chosen = _choose((PRIMARY, REPLICA), ANYWHERE)
    assert (chosen.target, chosen.after) == ("t-2", POSITION)


def test_writes_go_to_the_primary_only():
    """Guards against a write that a replica refuses."""
    assert _choose((REPLICA, PRIMARY), PRIMARY_ONLY).target == "t-1"


def test_slow_or_busy_target_is_avoided():
    """Guards against load that stays on a target which answers late."""
    other = dataclasses.replace(REPLICA, target="t-3")
    slow = dataclasses.replace(REPLICA, slowness=0.05)
    assert _choose((slow, other), ANYWHERE).target == "t-3"
    busy = dataclasses.replace(REPLICA, busy=2)
    assert _choose((busy, other), ANYWHERE).target == "t-3"
