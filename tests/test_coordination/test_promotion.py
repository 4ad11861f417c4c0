"""Decisions of a change of primary."""

from greengageshunt import model
from greengageshunt.coordination import detection, promotion, records


def _status(name: str, offset: int, *, term: int = 1, draining: bool = False) -> promotion.Status:
    entry = records.TargetEntry(
        target=name,
        group="g",
        address="127.0.0.1:1",
        failure_domain="a",
        slots=2,
        draining=draining,
        primary=False,
    )
    position = model.Position(term=term, offset=offset)
    return promotion.Status(entry=entry, primary=False, term=term, position=position)


def test_target_that_received_most_takes_over():
    """Guards against the loss of acknowledged commits by a change."""
    statuses = (_status("t-1", 9), _status("t-2", 7), _status("t-3", 8))
    assert promotion.choose_successor(statuses, "t-1").entry.target == "t-3"


def test_newer_term_goes_before_a_longer_log():
    """Guards against a target with rolled back commits that takes over."""
    statuses = (_status("t-2", 9, term=1), _status("t-3", 5, term=2))
    assert promotion.choose_successor(statuses, "t-1").entry.target == "t-3"


def test_draining_target_does_not_take_over():
    """Guards against a second change right after the first."""
    assert promotion.choose_successor((_status("t-2", 9, draining=True),), "t-1") is None


def _replace(**fields):
    given = {"unreached": 4, "asked": 8, "registered": 8, "failing_for": 1.0, **fields}
    return detection.should_replace(**given)


def test_one_entry_vm_alone_does_not_replace_a_primary():
    """Guards against a change because of one broken link."""
    assert not _replace(unreached=1)
    assert not _replace(unreached=2, asked=8)
    assert _replace(unreached=4)


def test_only_entry_vm_decides_by_itself():
    """Guards against a group without a primary where one entry VM is left."""
    assert _replace(unreached=1, asked=1, registered=1)


def test_one_dead_entry_vm_is_no_partition():
    """Guards against a group without a primary for 16 s: the primary and one entry VM gone."""
    assert _replace(unreached=7, asked=7, failing_for=0.5)


def test_partition_is_given_time():
    """Guards against a change that takes longer than the partition, on either side."""
    assert not _replace(unreached=6, asked=6, failing_for=5.0)
    assert not _replace(unreached=2, asked=2, failing_for=5.0)
    assert _replace(unreached=6, asked=6, failing_for=6.0)
