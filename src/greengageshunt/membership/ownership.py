"""Selection of entry VMs for targets, accounts and other names by rendezvous hashing."""

import hashlib
from collections import abc

from greengageshunt import model


def score(name: str, vm: str) -> int:
    """Return the rendezvous weight of an entry VM for the name of a target or account."""
    digest = hashlib.blake2b(f"{name}\0{vm}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(name: str, members: abc.Iterable[model.Member]) -> tuple[model.Member, ...]:
    """Return members in descending order of their rendezvous weight for a name."""
    return tuple(sorted(members, key=lambda member: score(name, member.vm), reverse=True))


def owner(target: model.Target, live: abc.Collection[model.Member]) -> model.Member | None:
    """Return the owner of a target: the entry VM that has its connection pool.

    The owner is a member in the target's failure domain. If there is none, any live
    member may be the owner.

    Args:
        target: The target.
        live: Members that respond and are not leaving.

    Returns:
        The owner, or None without live members.
    """
    local = [member for member in live if member.failure_domain == target.failure_domain]
    ranked = rank(target.name, local or live)
    return ranked[0] if ranked else None
