"""Which entry VMs keep links to each other.

In a small fleet, each entry VM keeps a link to each other one. In a larger fleet, only a few hubs
in each failure domain are fully linked. Each other entry VM keeps links to the hubs of its own
domain and to one hub in each of some other domains. So the number of links and heartbeats grows
with the number of entry VMs and not with its square.
"""

from collections import abc

from greengageshunt import model
from greengageshunt.membership import ownership

# Largest number of entry VMs of which all are hubs. A heartbeat and its response take about 1 ms
# of processor time on each side, so 16 peers with two heartbeats a second take 6% of a core.
MAX_FULL_MESH_SIZE = 16

# Hubs in each failure domain. If one of them fails, the others of the domain still have a hub.
HUBS_PER_DOMAIN = 2

# Number of other failure domains to which an entry VM that is no hub keeps a link.
LINKED_REMOTE_DOMAINS = 2


def group_by_domain(members: abc.Iterable[model.Member]) -> dict[str, list[model.Member]]:
    """Return members grouped by the name of their failure domain."""
    grouped: dict[str, list[model.Member]] = {}
    for member in members:
        grouped.setdefault(member.failure_domain, []).append(member)
    return grouped


def hubs(members: abc.Collection[model.Member]) -> tuple[model.Member, ...]:
    """Return the entry VMs that monitor all others and decide on removals and on primaries."""
    if len(members) <= MAX_FULL_MESH_SIZE:
        return tuple(members)
    return tuple(
        hub
        for _, local in sorted(group_by_domain(members).items())
        for hub in ownership.rank("hub", local)[:HUBS_PER_DOMAIN]
    )


def neighbours(
    me: model.Member, all_hubs: abc.Collection[model.Member]
) -> tuple[model.Member, ...]:
    """Return the entry VMs to which an entry VM keeps links.

    Args:
        me: The entry VM that keeps the links.
        all_hubs: The hubs of all failure domains.
    """
    others = tuple(hub for hub in all_hubs if hub.vm != me.vm)
    if len(others) < len(all_hubs):
        return others
    domains = group_by_domain(others)
    local = domains.pop(me.failure_domain, [])
    remote = [ownership.rank(me.vm, hubs_there)[0] for hubs_there in domains.values()]
    return (*local, *ownership.rank(me.vm, remote)[:LINKED_REMOTE_DOMAINS])
