"""Which entry VMs keep links to each other."""

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
    """Guards against a small fleet in which one entry VM does not see another one."""
    members = _members(4, 4)
    assert topology.hubs(members) == members
    assert set(topology.neighbours(members[0], members)) == set(members[1:])


@pytest.mark.parametrize(("domains", "size"), [(4, 15), (4, 25), (3, 100), (7, 600)])
def test_links_grow_with_the_number_of_entry_vms(domains, size):
    """Guards against links and heartbeats that grow with the square of the fleet."""
    members = _members(domains, size)
    hubs = topology.hubs(members)
    assert len(hubs) == domains * topology.HUBS_PER_DOMAIN
    for member in members[:: max(1, size // 10)]:
        neighbours = topology.neighbours(member, hubs)
        if member in hubs:
            assert set(neighbours) == set(hubs) - {member}
        else:
            assert len(neighbours) == topology.HUBS_PER_DOMAIN + topology.LINKED_REMOTE_DOMAINS


def test_lost_hub_leaves_each_entry_vm_one_of_its_domain():
    """Guards against entry VMs that hear from nobody in their domain after one loss."""
    members = _members(4, 15)
    hubs = topology.hubs(members)
    for lost in hubs:
        for member in members:
            left = [hub for hub in topology.neighbours(member, hubs) if hub != lost]
            if member not in hubs:
                assert any(hub.failure_domain == member.failure_domain for hub in left)


def test_entry_vm_that_is_no_hub_decides_for_nobody():
    """Guards against two entry VMs that change a primary because neither watches the other."""
    members = _members(4, 15)
    hubs = topology.hubs(members)
    me = next(member for member in members if member not in hubs)
    seen = view.MemberView(me=me, clock=lambda: 0.0, sparse=True)
    seen.replace(members)
    assert not seen.is_hub and not seen.full_mesh
    assert set(seen.live_hubs(0.0)) == set(topology.neighbours(me, hubs))
    assert seen.live_hubs(99.0) == ()


def test_asked_hub_knows_that_the_asking_entry_vm_runs():
    """Guards against the removal of an entry VM to which its hub keeps no link."""
    members = _members(4, 15)
    hubs = topology.hubs(members)
    other = next(member for member in members if member not in hubs)
    seen = view.MemberView(me=hubs[0], clock=lambda: 0.0, sparse=True)
    seen.replace(members)
    assert not seen.answers(other.vm, 99.0)
    seen.record_heard(other.vm, 98.0)
    assert seen.answers(other.vm, 99.0)
