"""Write grants: the status checks that support them, and their expiry."""

import dataclasses
import math

import pytest

from greengageshunt import errors, model
from greengageshunt.failover import grants
from support import fakes

NOW = 100.0


def _build_grants(world, clock=lambda: NOW):
    app = fakes.build_application(world, clock)
    return app, app.part("failover", "grants")


def _check(app, world, name, sent_at):
    app.events.emit("target-checked", world.targets[name].status(sent_at))


def test_grant_counts_from_the_sending_of_the_oldest_check_of_the_majority():
    """Guards against a grant that is still valid when a promoter opens the next primary."""
    world = fakes.build_world()
    app, write_grants = _build_grants(world)
    _check(app, world, "a", NOW - 0.1)
    assert write_grants.grant("group").expires_at == -math.inf
    _check(app, world, "b", NOW - 0.3)
    assert write_grants.grant("group").expires_at == pytest.approx(
        NOW - 0.3 + grants.GRANT_DURATION
    )


def test_statuses_of_peers_give_no_grant():
    """Guards against a grant based on checks whose sending time this entry VM does not know."""
    world = fakes.build_world()
    app, write_grants = _build_grants(world)
    directory = app.part("groups", "directory")
    for name in "abc":
        directory.apply_peer_status(world.targets[name].status(NOW), NOW)
    assert write_grants.acknowledge("group", 1, 1, NOW) is None


def test_target_that_accepted_a_higher_term_does_not_count():
    """Guards against an acknowledgement after a majority of targets accepted a higher term."""
    world = fakes.build_world()
    app, write_grants = _build_grants(world)
    world.targets["b"].raise_term(2, "other", NOW)
    world.targets["c"].raise_term(2, "other", NOW)
    for name in "abc":
        _check(app, world, name, NOW)
    assert write_grants.acknowledge("group", 1, 1, NOW) is None


def test_grant_expires_while_its_holder_is_paused():
    """Guards against an acknowledgement by a process that resumes after its grant expired."""
    world = fakes.build_world()
    app, write_grants = _build_grants(world)
    for name in "abc":
        _check(app, world, name, NOW)
    assert write_grants.acknowledge("group", 1, 1, NOW + grants.GRANT_DURATION - 0.01)
    assert write_grants.acknowledge("group", 1, 1, NOW + grants.GRANT_DURATION) is None


def test_write_of_an_ended_term_is_not_acknowledged_under_the_next():
    """Guards against a term change between the status checks and the acknowledgement."""
    world = fakes.build_world()
    app, write_grants = _build_grants(world)
    for name in "abc":
        _check(app, world, name, NOW)
    record = dataclasses.replace(world.record, term=2, primary="b")
    app.part("groups", "directory").apply_record(record, "platform")
    assert write_grants.acknowledge("group", 1, 1, NOW) is None
    assert write_grants.acknowledge("group", 2, 1, NOW) is None


def test_older_check_does_not_replace_a_newer_one():
    """Guards against a late status answer that overwrites a newer one with a higher term."""
    world = fakes.build_world()
    app, write_grants = _build_grants(world)
    late = [world.targets[name].status(NOW - 0.1) for name in "bc"]
    for name in "bc":
        world.targets[name].raise_term(2, "other", NOW)
        _check(app, world, name, NOW)
    for status in late:
        app.events.emit("target-checked", status)
    assert write_grants.acknowledge("group", 1, 1, NOW) is None


def test_acknowledging_an_older_term_violates_an_invariant():
    """Guards against an undetected acknowledgement in a term that has ended."""
    world = fakes.build_world()
    app, write_grants = _build_grants(world)
    directory = app.part("groups", "directory")
    later = dataclasses.replace(world.record, term=2, primary="b")
    directory.apply_record(later, "platform")
    for name in "abc":
        _check(app, world, name, NOW)
    assert write_grants.acknowledge("group", 2, 2, NOW)
    # The directory itself rejects an older record.
    directory._records["group"] = world.record
    with pytest.raises(errors.InvariantError, match="acknowledged-terms-never-revert"):
        write_grants.acknowledge("group", 1, 1, NOW)


def test_two_primaries_of_one_term_violate_an_invariant():
    """Guards against an undetected second primary, opened in another promoter's term."""
    world = fakes.build_world()
    app, _ = _build_grants(world)
    other = dataclasses.replace(world.record, primary="c")
    with pytest.raises(errors.InvariantError, match="one-primary-per-term"):
        app.part("groups", "directory").apply_record(other, "platform")


def test_target_whose_accepted_term_goes_back_violates_an_invariant():
    """Guards against an undetected loss of a target's term, so that it could vote twice."""
    world = fakes.build_world()
    app, _ = _build_grants(world)
    directory = app.part("groups", "directory")
    status: model.TargetStatus = world.targets["b"].status(NOW)
    directory.apply_own_status(dataclasses.replace(status, term=3))
    with pytest.raises(errors.InvariantError, match="accepted-term-never-reverts"):
        directory.apply_own_status(dataclasses.replace(status, observed_at=NOW + 1))
