"""Detection of dead peers by the member view of one entry VM."""

from greengageshunt import model
from greengageshunt.membership import view


def _member(vm: str) -> model.Member:
    return model.Member(vm=vm, failure_domain="klang", peer_address=f"127.0.0.1:{len(vm)}")


def _view() -> view.MemberView:
    me = _member("vm-1")
    member_view = view.MemberView(me=me, clock=lambda: 0.0)
    member_view.replace((me, _member("vm-2")))
    return member_view


def _live(member_view: view.MemberView, now: float) -> set[str]:
    return {member.vm for member in member_view.live(now)}


def test_silent_peer_counts_as_dead():
    """Guards against requests to an owner that is dead."""
    member_view = _view()
    member_view.record_response("vm-2", 10.0, leaving=False)
    assert _live(member_view, 10.7) == {"vm-1", "vm-2"}
    assert _live(member_view, 10.8) == {"vm-1"}


def test_own_pause_extends_the_deadlines_of_peers():
    """Guards against an overloaded VM that takes over the targets of all its peers."""
    member_view = _view()
    member_view.record_response("vm-2", 10.0, leaving=False)
    member_view.extend_deadlines(10.2, 12.0)
    assert _live(member_view, 12.7) == {"vm-1", "vm-2"}
    assert _live(member_view, 12.8) == {"vm-1"}


def test_peer_that_was_dead_before_the_pause_stays_dead():
    """Guards against a dead owner that counts as live again after a pause."""
    member_view = _view()
    member_view.record_response("vm-2", 10.0, leaving=False)
    member_view.extend_deadlines(10.9, 12.0)
    assert _live(member_view, 12.0) == {"vm-1"}


def test_repeated_pauses_do_not_hide_a_dead_peer():
    """Guards against a VM under constant load that never detects a dead peer."""
    member_view = _view()
    member_view.record_response("vm-2", 10.0, leaving=False)
    for step in range(20):
        member_view.extend_deadlines(10.0 + step / 2, 10.5 + step / 2)
    assert _live(member_view, 10.5 + 3.0 + 0.75) == {"vm-1"}
