"""Links between entry VMs, in full mesh and with hubs."""

import pytest

from greengageshunt import model
from greengageshunt.membership import topology, view


def _members(domains: int, size: int) -> tuple[model.Member, ...]:
    return tuple(
        model.Member(
            vm=f"vm-{domain}-{index}",
            failure_domain=f"domain-{domain}",
            peer_address="127.0.0.1:1",
        )
        for domain in range(domains)
        for index in range(size)
    )


def test_few_entry_vms_keep_links_to_all():
    """Guards against missing links between the entry VMs of a small fleet."""
    members = _members(4, 4)
    assert topology.hubs(members) == members
    assert set(topology.neighbours(members[0], members)) == set(members[1:])


@pytest.mark.parametrize(("domains", "size"), [(4, 15), (4, 25), (3, 100), (7, 600)])
def test_links_grow_with_the_number_of_entry_vms(domains, size):
    """Guards against a number of links that grows with the square of the number of entry VMs."""
    members = _members(domains, size)
    hubs = topology.hubs(members)
    assert len(hubs) == domains * topology.HUBS_PER_DOMAIN
    for member in members[:: max(1, size // 10)]:
        neighbours = topology.neighbours(member, hubs)
        if member in hubs:
            assert set(neighbours) == set(hubs) - {member}
        else:
            assert len(neighbours) == topology.HUBS_PER_DOMAIN + topology.LINKED_REMOTE_DOMAINS


def test_entry_vm_is_linked_to_a_hub_of_its_domain_after_the_loss_of_one_hub():
    """Guards against entry VMs without any link in their domain after the loss of one hub."""
    members = _members(4, 15)
    hubs = topology.hubs(members)
    for lost in hubs:
        for member in members:
            remaining = [hub for hub in topology.neighbours(member, hubs) if hub != lost]
            if member not in hubs:
                assert any(hub.failure_domain == member.failure_domain for hub in remaining)


def test_entry_vm_that_is_no_hub_counts_only_linked_hubs_as_live():
    """Guards against two entry VMs that change a primary because neither monitors the other."""
    members = _members(4, 15)
    hubs = topology.hubs(members)
    me = next(member for member in members if member not in hubs)
    member_view = view.MemberView(me=me, clock=lambda: 0.0, sparse=True)
    member_view.replace(members)
    assert not member_view.is_hub and not member_view.full_mesh
    assert set(member_view.live_hubs(0.0)) == set(topology.neighbours(me, hubs))
    assert member_view.live_hubs(99.0) == ()


def test_request_shows_the_hub_that_its_sender_is_live():
    """Guards against the removal of a live entry VM to which the hub keeps no link."""
    members = _members(4, 15)
    hubs = topology.hubs(members)
    other = next(member for member in members if member not in hubs)
    member_view = view.MemberView(me=hubs[0], clock=lambda: 0.0, sparse=True)
    member_view.replace(members)
    assert not member_view.is_live(other.vm, 99.0)
    member_view.record_request(other.vm, 98.0)
    assert member_view.is_live(other.vm, 99.0)
