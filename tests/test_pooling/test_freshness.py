"""Tests of the position that a replica must contain for a read."""

from hypothesis import given, settings
from hypothesis import strategies as st

from greengageshunt import model
from greengageshunt.pooling import freshness


def _bound(covered_at: float, offset: int) -> freshness.CommitBound:
    return freshness.CommitBound(
        covered_at=covered_at, position=model.Position(term=1, offset=offset)
    )


def test_no_recent_bound_means_no_replica():
    """Guards against a replica read without any limit on its staleness."""
    assert freshness.required([_bound(1.0, 5)], 1.5, 2.6) is None
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
    """Guards against a replica read that misses a commit older than its staleness."""
    commits = sorted(commits)
    bounds = [
        _bound(at, sum(commit <= at for commit in commits))
        for at in sorted(checks)
        if at <= read_at
    ]
    bound = freshness.required(bounds, staleness, read_at)
    if bound is not None:
        must_contain = sum(commit < read_at - staleness for commit in commits)
        assert bound.position.offset >= must_contain
