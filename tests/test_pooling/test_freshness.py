"""Positions that a replica must contain."""

from hypothesis import given, settings
from hypothesis import strategies as st

from greengageshunt import model
from greengageshunt.pooling import freshness


def _pair(covered_at: float, offset: int) -> freshness.Pair:
    return freshness.Pair(covered_at=covered_at, position=model.Position(term=1, offset=offset))


def test_no_recent_pair_means_no_replica():
    """Guards against a read whose staleness nothing bounds."""
    assert freshness.required([_pair(1.0, 5)], 1.5, 2.6) is None
    assert freshness.required([], 1.5, 2.6) is None


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    commits=st.lists(st.floats(0, 10), min_size=1, max_size=20),
    checks=st.lists(st.floats(0, 10), max_size=20),
    read_at=st.floats(0, 12),
    staleness=st.floats(0.1, 3),
)
def test_required_position_covers_commits_older_than_the_staleness(
    commits, checks, read_at, staleness
):
    """Guards against a read on a log that lacks a commit which it must see."""
    commits = sorted(commits)
    pairs = [
        _pair(at, sum(commit <= at for commit in commits)) for at in sorted(checks) if at <= read_at
    ]
    found = freshness.required(pairs, staleness, read_at)
    if found is not None:
        owed = sum(commit < read_at - staleness for commit in commits)
        assert found.position.offset >= owed
