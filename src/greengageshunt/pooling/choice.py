"""Chooses the target of a statement or of a transaction.

The eligible target with the lowest cost is chosen. The cost is the number of statements of
this entry VM that hold or await a connection to the target, plus the penalties below, plus the
factor by which its mean response time exceeds that of the fastest eligible target.
"""

import dataclasses
from collections import abc

from greengageshunt import model

# Cost, in statements, of a target in another failure domain.
DOMAIN_PENALTY = 0.4

# Cost, in statements, of a target without an idle connection of the client account.
CONNECT_PENALTY = 0.8

# Cost, in statements, of the primary. It keeps capacity for writes, which only it can run.
PRIMARY_PENALTY = 0.6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """What is known of a target when a statement needs one.

    Attributes:
        target: Name of the target.
        primary: Whether the group's record names it as the primary.
        busy: Statements of this entry VM that hold or await a connection to it.
        same_domain: Whether it is in the failure domain of this entry VM.
        has_idle_connection: Whether the client account has an idle connection to it.
        usable: Whether it is reachable, not tried before, and not a draining or lagging replica.
        response_seconds: Mean response time of its recent reads in seconds, or 0 if unknown.
    """

    target: str
    primary: bool
    busy: int
    same_domain: bool
    has_idle_connection: bool
    usable: bool
    response_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Needs:
    """What a statement needs of its target.

    Attributes:
        primary: Whether only the primary can run it.
        after: Position that a replica's log must contain, or None if no known position
            satisfies the staleness limit, so that no replica is eligible.
    """

    primary: bool
    after: model.Position | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """The chosen target.

    Attributes:
        target: Name of the target, or an empty string if none is eligible.
        after: Position that its log must contain, or None for the primary.
        reason: Reason for the log line.
    """

    target: str
    after: model.Position | None
    reason: str


def _cost(candidate: Candidate, fastest: float) -> float:
    cost = float(candidate.busy)
    if not candidate.same_domain:
        cost += DOMAIN_PENALTY
    if not candidate.has_idle_connection:
        cost += CONNECT_PENALTY
    if candidate.primary:
        cost += PRIMARY_PENALTY
    if fastest > 0:
        cost += max(0.0, candidate.response_seconds / fastest - 1.0)
    return cost


def choose(candidates: abc.Sequence[Candidate], needs: Needs, *, primary_permitted: bool) -> Choice:
    """Return the eligible target with the lowest cost.

    Args:
        candidates: Targets of the group.
        needs: What the statement needs.
        primary_permitted: Whether this entry VM has a valid lease on the primary now.
    """
    eligible = [
        candidate
        for candidate in candidates
        if candidate.usable
        and (
            primary_permitted
            if candidate.primary
            else not needs.primary and needs.after is not None
        )
    ]
    if not eligible:
        return Choice(target="", after=None, reason="no target may serve now")
    fastest = min(candidate.response_seconds for candidate in eligible)
    best = min(eligible, key=lambda candidate: (_cost(candidate, fastest), candidate.target))
    if best.primary:
        reason = "primary needed" if needs.primary else "primary preferred"
        return Choice(target=best.target, after=None, reason=reason)
    return Choice(target=best.target, after=needs.after, reason="replica is recent enough")
