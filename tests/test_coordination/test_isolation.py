"""When an entry VM leaves its callers to other failure domains."""

import math

from greengageshunt.coordination import isolation


def _cut(**fields: float) -> bool:
    return isolation.decide(**{"peers_at": 10.0, "targets_at": 10.0, "now": 10.5, **fields})


def test_silence_of_all_other_domains_is_a_cut():
    """Guards against callers that stay on an entry VM which reaches nothing."""
    assert _cut(now=10.0 + isolation.SILENCE + 0.01)


def test_one_answer_of_any_kind_is_no_cut():
    """Guards against an entry VM that sends callers away because of peers, or targets, alone."""
    assert not _cut(now=12.0, peers_at=11.5)
    assert not _cut(now=12.0, targets_at=11.5)


def test_single_domain_is_never_cut():
    """Guards against a deployment of one failure domain that is never ready."""
    assert not _cut(now=99.0, peers_at=math.inf, targets_at=math.inf)


def test_failing_targets_show_a_cut_earlier():
    """Guards against callers that wait for heartbeats to time out while all targets fail."""
    assert _cut(now=10.7, failing=2)
    assert not _cut(now=10.7, failing=1)
    assert not _cut(now=10.7, failing=5, peers_at=10.3)
