"""Detection of an entry VM that is partitioned from all other failure domains."""

import math

from greengageshunt.coordination import isolation


def _isolated(**fields: float) -> bool:
    return isolation.is_isolated(**{"peers_at": 10.0, "targets_at": 10.0, "now": 10.5, **fields})


def test_entry_vm_without_answers_of_other_domains_is_isolated():
    """Guards against callers that stay on an entry VM which reaches no other domain."""
    assert _isolated(now=10.0 + isolation.ISOLATION_TIMEOUT + 0.01)


def test_answer_of_a_peer_or_a_target_shows_a_connection():
    """Guards against an entry VM that rejects callers although peers or targets still answer."""
    assert not _isolated(now=12.0, peers_at=11.5)
    assert not _isolated(now=12.0, targets_at=11.5)


def test_single_domain_is_never_isolated():
    """Guards against a deployment of one failure domain that never becomes ready."""
    assert not _isolated(now=99.0, peers_at=math.inf, targets_at=math.inf)


def test_failing_targets_shorten_the_time_out():
    """Guards against callers that wait for a heartbeat time-out while all targets fail."""
    assert _isolated(now=10.7, failing=2)
    assert not _isolated(now=10.7, failing=1)
    assert not _isolated(now=10.7, failing=5, peers_at=10.3)
