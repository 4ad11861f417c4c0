"""Order of group records."""

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
def known() -> directory.GroupDirectory:
    """Return a directory."""
    app = application.Application(name="test")
    app.add_part("invariants", "default", lambda app: invariants.Invariants(strict=True))
    directory.setup(app)
    return app.part("groups", "directory")


@pytest.mark.parametrize("source", ["platform", "vm-2"])
def test_stale_record_undoes_nothing(known, source):
    """Guards against a stale read of the platform that gives a leaving target work again."""
    drained = RECORD.changed(draining=("b",))
    assert known.learn_record(drained, "platform")
    assert not known.learn_record(RECORD, source)
    assert known.record("desk").draining == ("b",)
    assert known.learn_record(drained.changed(draining=()), source)
    assert known.record("desk").draining == ()


def test_later_term_wins_over_a_higher_revision(known):
    """Guards against a change of the row of an old term that hides a new primary."""
    from_targets = dataclasses.replace(RECORD, term=2, primary="b")
    assert known.learn_record(from_targets, "statuses")
    assert not known.learn_record(RECORD.changed(draining=("c",)), "platform")
    # The failover daemon completes the row and keeps what operators changed.
    completed = dataclasses.replace(RECORD.changed(draining=("c",)), term=2, primary="b")
    assert known.learn_record(completed, "platform")
    assert known.record("desk").draining == ("c",)
