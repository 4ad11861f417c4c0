"""Decisions of watchers and promoters, and of proxies that detect a new primary."""

import dataclasses

from greengageshunt.failover import detection, election, watch
from greengageshunt.groups import decide
from support import fakes

NOW = 100.0


def _view(world, *, served_at, names="abc", **fields):
    values = {
        "record": world.record,
        "statuses": tuple(world.targets[name].status(NOW) for name in names),
        "vm": "vm",
        "rank": 0,
        "served_at": served_at,
        "unrecorded_since": None,
        "change_due_since": None,
        "back_off_until": 0.0,
    }
    return detection.GroupView(**{**values, **fields})


def _disconnect_replicas(world):
    for name in "bc":
        world.targets[name].upstream = ""


def _vote(world, name, term, received_at=NOW):
    answer = world.targets[name].raise_term(term, "vm", NOW)
    return election.Vote(
        previous_term=answer.previous_term, status=answer.status, received_at=received_at
    )


def test_silent_primary_is_replaced_after_the_time_out_only():
    """Guards against a promotion because of a single late status answer."""
    world = fakes.build_world()
    _disconnect_replicas(world)
    assert detection.plan(_view(world, served_at=NOW - 0.59, names="bc"), NOW) is None
    plan = detection.plan(_view(world, served_at=NOW - 0.61, names="bc"), NOW)
    assert (plan.term, plan.reason) == (2, detection.Reason.FAILED)


def test_primary_confirmed_by_a_majority_is_not_replaced_at_once():
    """Guards against a promotion by a watcher that alone lost its connection to the primary."""
    world = fakes.build_world()
    assert detection.plan(_view(world, served_at=NOW - 1.0, names="bc"), NOW) is None
    assert detection.plan(_view(world, served_at=NOW - 2.5, names="bc"), NOW) is not None


def test_no_term_is_raised_without_a_reachable_majority():
    """Guards against fenced targets on the minority side of a partition."""
    world = fakes.build_world()
    _disconnect_replicas(world)
    assert detection.plan(_view(world, served_at=NOW - 9.0, names="b"), NOW) is None


def test_watcher_waits_for_an_elected_promoter():
    """Guards against watchers that fence the targets of each other's promotions."""
    world = fakes.build_world()
    _disconnect_replicas(world)
    for name in "bc":
        world.targets[name].raise_term(2, "other#1", NOW)
    view = _view(world, served_at=NOW - 1.5, names="bc", unrecorded_since=NOW - 0.5)
    assert detection.plan(view, NOW) is None
    assert detection.plan(dataclasses.replace(view, unrecorded_since=NOW - 2.0), NOW).term == 3


def test_target_with_the_term_of_a_lost_promotion_gets_a_new_term():
    """Guards against a replica that keeps a term without a primary and so cannot follow one."""
    world = fakes.build_world()
    world.targets["c"].raise_term(4, "other", NOW)
    view = _view(world, served_at=NOW, unrecorded_since=NOW - 2.0)
    plan = detection.plan(view, NOW)
    assert (plan.term, plan.preferred) == (5, "a")


def test_planned_change_skips_draining_and_missing_targets():
    """Guards against the planned promotion of a target that drains or does not answer."""
    world = fakes.build_world()
    draining = dataclasses.replace(world.record, draining=("a", "b"))
    view = _view(world, served_at=NOW, record=draining, change_due_since=NOW)
    assert detection.plan(view, NOW).preferred == "c"
    assert detection.plan(dataclasses.replace(view, statuses=view.statuses[:2]), NOW) is None


def test_longer_log_has_precedence_over_the_drain():
    """Guards against the loss of an acknowledged write that only a draining target has."""
    world = fakes.build_world()
    record = dataclasses.replace(world.record, draining=("c",))
    equal = [_vote(world, name, 2) for name in "bc"]
    assert election.choose_target(record, equal, "") == "b"
    world.targets["c"].log.append((1, "acknowledged"))
    longer = [_vote(world, name, 3) for name in "bc"]
    assert election.choose_target(record, longer, "b") == "c"


def test_wait_is_skipped_only_if_the_only_possible_primary_is_fenced():
    """Guards against a new primary while an owner may hold a write grant for the old one."""
    world = fakes.build_world()
    votes = [_vote(world, name, 2) for name in "ab"]
    assert election.has_fenced_primary(world.record, votes)
    assert not election.has_fenced_primary(world.record, votes[:1])
    assert not election.has_fenced_primary(
        world.record, [votes[0], dataclasses.replace(votes[1], previous_term=2)]
    )
    later = [_vote(world, name, 3) for name in "ab"]
    assert not election.has_fenced_primary(world.record, later)


def test_record_is_decided_by_an_open_primary_and_a_majority():
    """Guards against a proxy that uses a fenced or superseded target as the primary."""
    world = fakes.build_world()
    a, b, c = (world.targets[name] for name in "abc")
    b.raise_term(2, "vm", NOW)
    assert decide.newer_record(world.record, [b.status(NOW), c.status(NOW)]) is None
    b.promote(2, "vm", NOW)
    assert decide.newer_record(world.record, [b.status(NOW)]) is None
    decided = decide.newer_record(world.record, [b.status(NOW), c.status(NOW)])
    assert (decided.term, decided.primary, decided.history) == (2, "b", b.history)
    a.raise_term(3, "vm", NOW)
    c.raise_term(3, "vm", NOW)
    assert decide.newer_record(world.record, [t.status(NOW) for t in (a, b, c)]) is None


def test_watchers_are_in_different_failure_domains():
    """Guards against the loss of all watchers of a group with one failure domain."""
    world = fakes.build_world()
    members = [fakes.member(f"vm-{number}", f"domain-{number % 4}") for number in range(8)]
    chosen = watch.watchers(world.record, tuple(members))
    domains = {member.failure_domain for member in members if member.vm in chosen}
    assert len(chosen) == len(domains) == watch.WATCHERS_PER_GROUP


def test_entry_vm_recognizes_its_own_promotion_whatever_its_name():
    """Guards against an entry VM that takes its own attempt for that of another one."""
    for vm in ("vm-1", "rack#2", "#"):
        assert detection.promoter_vm(detection.new_promoter_name(vm)) == vm
