"""Order of group records from different sources."""

import dataclasses

import pytest

from greengageshunt import application, invariants, model
from greengageshunt.groups import directory

TARGETS = tuple(
    model.Target(
        name=name,
        failure_domain="klang",
        address="127.0.0.1:1",
        replication_address="127.0.0.1:2",
        connection_limit=15,
        slots=2,
    )
    for name in ("a", "b", "c")
)
RECORD = model.GroupRecord(
    group="desk",
    term=1,
    primary="a",
    targets=TARGETS,
    history=(model.TermStart(term=1, first_offset=1),),
)


@pytest.fixture
def groups() -> directory.GroupDirectory:
    """Return an empty directory."""
    app = application.Application(name="test")
    app.add_part("invariants", "default", lambda app: invariants.Invariants(strict=True))
    directory.setup(app)
    return app.part("groups", "directory")


@pytest.mark.parametrize("source", ["platform", "vm-2"])
def test_stale_record_does_not_undo_a_change(groups, source):
    """Guards against a stale read of the platform that returns work to a draining target."""
    drained = RECORD.changed(draining=("b",))
    assert groups.apply_record(drained, "platform")
    assert not groups.apply_record(RECORD, source)
    assert groups.record("desk").draining == ("b",)
    assert groups.apply_record(drained.changed(draining=()), source)
    assert groups.record("desk").draining == ()


def test_later_term_wins_over_a_higher_revision(groups):
    """Guards against a new primary that is hidden by a changed row of an older term."""
    from_targets = dataclasses.replace(RECORD, term=2, primary="b")
    assert groups.apply_record(from_targets, "statuses")
    assert not groups.apply_record(RECORD.changed(draining=("c",)), "platform")
    # The failover daemon writes the new term to the row and keeps the operators' changes.
    completed = dataclasses.replace(RECORD.changed(draining=("c",)), term=2, primary="b")
    assert groups.apply_record(completed, "platform")
    assert groups.record("desk").draining == ("c",)
