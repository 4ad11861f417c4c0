"""The member view of one entry VM."""

from greengageshunt import model
from greengageshunt.membership import view


def _member(vm: str) -> model.Member:
    return model.Member(vm=vm, failure_domain="klang", peer_address=f"127.0.0.1:{len(vm)}")


def _view() -> view.MemberView:
    me = _member("vm-1")
    seen = view.MemberView(me=me, clock=lambda: 0.0)
    seen.replace((me, _member("vm-2")))
    return seen


def _live(seen: view.MemberView, now: float) -> set[str]:
    return {member.vm for member in seen.live(now)}


def test_silent_peer_counts_as_dead():
    """Guards against sending requests to an owner that is gone."""
    seen = _view()
    seen.record_answer("vm-2", 10.0, leaving=False)
    assert _live(seen, 10.7) == {"vm-1", "vm-2"}
    assert _live(seen, 10.8) == {"vm-1"}


def test_own_pause_does_not_make_peers_dead():
    """Guards against an overloaded VM that takes over the targets of all its peers."""
    seen = _view()
    seen.record_answer("vm-2", 10.0, leaving=False)
    seen.excuse_silence(10.2, 12.0)
    assert _live(seen, 12.7) == {"vm-1", "vm-2"}
    assert _live(seen, 12.8) == {"vm-1"}


def test_peer_that_was_silent_before_the_pause_stays_dead():
    """Guards against a pause that brings back a dead owner."""
    seen = _view()
    seen.record_answer("vm-2", 10.0, leaving=False)
    seen.excuse_silence(10.9, 12.0)
    assert _live(seen, 12.0) == {"vm-1"}


def test_repeated_pauses_do_not_hide_a_death():
    """Guards against a VM under constant load that never notices a dead peer."""
    seen = _view()
    seen.record_answer("vm-2", 10.0, leaving=False)
    for step in range(20):
        seen.excuse_silence(10.0 + step / 2, 10.5 + step / 2)
    assert _live(seen, 10.5 + 3.0 + 0.75) == {"vm-1"}
