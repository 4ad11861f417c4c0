"""Decisions of watchers and promoters, and of proxies that learn a new primary."""

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
        "stray_since": None,
        "move_since": None,
        "yield_until": 0.0,
    }
    return detection.GroupView(**{**values, **fields})


def _unheard(world):
    for name in "bc":
        world.targets[name].upstream = ""


def _vote(world, name, term, received_at=NOW):
    answer = world.targets[name].raise_term(term, "vm", NOW)
    return election.Vote(
        previous_term=answer.previous_term, status=answer.status, received_at=received_at
    )


def test_silent_primary_is_replaced_after_the_silence_only():
    """Guards against promotions for one late answer."""
    world = fakes.build_world()
    _unheard(world)
    assert detection.plan(_view(world, served_at=NOW - 0.59, names="bc"), NOW) is None
    plan = detection.plan(_view(world, served_at=NOW - 0.61, names="bc"), NOW)
    assert (plan.term, plan.reason) == (2, detection.Reason.FAILED)


def test_primary_that_a_majority_hears_is_not_replaced_at_once():
    """Guards against a promotion by a watcher that alone is cut off from the primary."""
    world = fakes.build_world()
    assert detection.plan(_view(world, served_at=NOW - 1.0, names="bc"), NOW) is None
    assert detection.plan(_view(world, served_at=NOW - 2.5, names="bc"), NOW) is not None


def test_no_term_is_raised_without_a_reachable_majority():
    """Guards against fencing targets on the minority side of a partition."""
    world = fakes.build_world()
    _unheard(world)
    assert detection.plan(_view(world, served_at=NOW - 9.0, names="b"), NOW) is None


def test_watcher_leaves_an_elected_promoter_its_time():
    """Guards against watchers that fence each other's promotions."""
    world = fakes.build_world()
    _unheard(world)
    for name in "bc":
        world.targets[name].raise_term(2, "other#1", NOW)
    view = _view(world, served_at=NOW - 1.5, names="bc", stray_since=NOW - 0.5)
    assert detection.plan(view, NOW) is None
    assert detection.plan(dataclasses.replace(view, stray_since=NOW - 2.0), NOW).term == 3


def test_target_left_behind_by_a_lost_promotion_is_brought_back():
    """Guards against a replica that keeps a term in which nobody was promoted."""
    world = fakes.build_world()
    world.targets["c"].raise_term(4, "other", NOW)
    view = _view(world, served_at=NOW, stray_since=NOW - 2.0)
    plan = detection.plan(view, NOW)
    assert (plan.term, plan.preferred) == (5, "a")


def test_planned_change_skips_draining_and_missing_targets():
    """Guards against moving the primary to a target that is leaving."""
    world = fakes.build_world()
    draining = dataclasses.replace(world.record, draining=("a", "b"))
    view = _view(world, served_at=NOW, record=draining, move_since=NOW)
    assert detection.plan(view, NOW).preferred == "c"
    assert detection.plan(dataclasses.replace(view, statuses=view.statuses[:2]), NOW) is None


def test_choice_prefers_the_log_over_the_drain():
    """Guards against losing an acknowledged write to a drain."""
    world = fakes.build_world()
    record = dataclasses.replace(world.record, draining=("c",))
    equal = [_vote(world, name, 2) for name in "bc"]
    assert election.choose(record, equal, "") == "b"
    world.targets["c"].log.append((1, "acknowledged"))
    longer = [_vote(world, name, 3) for name in "bc"]
    assert election.choose(record, longer, "b") == "c"


def test_wait_is_skipped_only_if_the_only_possible_primary_is_fenced():
    """Guards against opening a primary while another one may still hold a grant."""
    world = fakes.build_world()
    votes = [_vote(world, name, 2) for name in "ab"]
    assert election.has_fenced_primary(world.record, votes)
    assert not election.has_fenced_primary(world.record, votes[:1])
    assert not election.has_fenced_primary(
        world.record, [votes[0], dataclasses.replace(votes[1], previous_term=2)]
    )
    again = [_vote(world, name, 3) for name in "ab"]
    assert not election.has_fenced_primary(world.record, again)


def test_record_is_decided_by_an_open_primary_and_a_majority():
    """Guards against a proxy that takes a fenced or superseded target for the primary."""
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
    """Guards against the loss of all watchers with one failure domain."""
    world = fakes.build_world()
    members = [fakes.member(f"vm-{number}", f"domain-{number % 4}") for number in range(8)]
    chosen = watch.watchers(world.record, tuple(members))
    domains = {member.failure_domain for member in members if member.vm in chosen}
    assert len(chosen) == len(domains) == watch.WATCHERS
