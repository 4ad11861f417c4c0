"""Placement of targets on entry VMs by rendezvous hashing."""

import hashlib
from collections import abc

from greengageshunt import model


def score(item: str, vm: str) -> int:
    """Return the rendezvous weight of an entry VM for an item."""
    digest = hashlib.blake2b(f"{item}\0{vm}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(item: str, members: abc.Iterable[model.Member]) -> tuple[model.Member, ...]:
    """Return members by falling rendezvous weight for an item."""
    return tuple(sorted(members, key=lambda member: score(item, member.vm), reverse=True))


def owner(target: model.Target, live: abc.Collection[model.Member]) -> model.Member | None:
    """Choose the entry VM that holds the connection pool of a target.

    Prefers the target's failure domain; without a member there, any live
    member may own it.

    Args:
        target: The target.
        live: Members that answer and are not leaving.

    Returns:
        The owner, or None without members.
    """
    local = [member for member in live if member.failure_domain == target.failure_domain]
    ranked = rank(target.name, local or live)
    return ranked[0] if ranked else None
