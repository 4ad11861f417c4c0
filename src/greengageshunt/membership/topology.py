"""Which entry VMs keep links to each other.

Few entry VMs keep a link to every other one. Of many, a few hubs in each failure domain do so
among themselves; the others keep links to the hubs of their own domain and to some outside
it, so that links and heartbeats grow with the number of entry VMs and not with its square.
"""

from collections import abc

from greengageshunt import model
from greengageshunt.membership import ownership

# Entry VMs up to which all are hubs. A heartbeat and its answer take about 1 ms of processor time
# on either side, so 16 peers at two a second take 6% of a core.
FULL_MESH = 16

# Hubs in each failure domain; one of them may be lost at any time.
HUBS_PER_DOMAIN = 2

# Failure domains besides the own one to which an entry VM that is no hub keeps a link.
REMOTE_DOMAINS = 2


def by_domain(members: abc.Iterable[model.Member]) -> dict[str, list[model.Member]]:
    """Return members by the name of their failure domain."""
    found: dict[str, list[model.Member]] = {}
    for member in members:
        found.setdefault(member.failure_domain, []).append(member)
    return found


def hubs(members: abc.Collection[model.Member]) -> tuple[model.Member, ...]:
    """Return the entry VMs that watch the others and decide for all of them."""
    if len(members) <= FULL_MESH:
        return tuple(members)
    return tuple(
        hub
        for _, local in sorted(by_domain(members).items())
        for hub in ownership.rank("hub", local)[:HUBS_PER_DOMAIN]
    )


def neighbours(me: model.Member, chosen: abc.Collection[model.Member]) -> tuple[model.Member, ...]:
    """Return the entry VMs to which one keeps links.

    Args:
        me: The entry VM.
        chosen: The hubs.
    """
    others = tuple(hub for hub in chosen if hub.vm != me.vm)
    if len(others) < len(chosen):
        return others
    domains = by_domain(others)
    local = domains.pop(me.failure_domain, [])
    remote = [ownership.rank(me.vm, found)[0] for found in domains.values()]
    return (*local, *ownership.rank(me.vm, remote)[:REMOTE_DOMAINS])
