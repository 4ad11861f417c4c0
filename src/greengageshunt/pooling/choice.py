"""Chooses the target of a statement or of a transaction."""

import dataclasses
from collections import abc

from greengageshunt import model

# Statements by which a target in another failure domain must be less busy to be preferred.
DOMAIN_PENALTY = 0.4

# Statements by which a target without an idle connection of the account must be less busy.
CONNECT_PENALTY = 0.8

# Statements by which the primary must be less busy than a replica; only it runs writes.
PRIMARY_PENALTY = 0.6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """A target that may serve.

    Attributes:
        target: Name of the target.
        primary: Whether the group's record names it as the primary.
        busy: Statements of this entry VM that hold or await a connection to it.
        local: Whether it is in the own failure domain.
        warm: Whether an idle connection of the account exists.
        usable: Whether it is listed, reachable, not draining and not tried before.
        slowness: Mean seconds of its recent answers.
    """

    target: str
    primary: bool
    busy: int
    local: bool
    warm: bool
    usable: bool
    slowness: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Needs:
    """What a statement needs of its target.

    Attributes:
        primary: Whether only the primary will do.
        after: Position that a replica must contain, or None if no position is known
            that makes the read recent enough.
    """

    primary: bool
    after: model.Position | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """The chosen target.

    Attributes:
        target: Name of the target, or an empty string.
        after: Position that it must contain, or None at the primary.
        reason: Reason for the log line.
    """

    target: str
    after: model.Position | None
    reason: str


def _cost(candidate: Candidate, typical: float) -> float:
    cost = float(candidate.busy)
    if not candidate.local:
        cost += DOMAIN_PENALTY
    if not candidate.warm:
        cost += CONNECT_PENALTY
    if candidate.primary:
        cost += PRIMARY_PENALTY
    if typical > 0:
        cost += max(0.0, candidate.slowness / typical - 1.0)
    return cost


def choose(candidates: abc.Sequence[Candidate], needs: Needs, *, permitted: bool) -> Choice:
    """Choose a target.

    Args:
        candidates: Targets of the group.
        needs: What the statement needs.
        permitted: Whether the primary may be used now.
    """
    fit = [
        item
        for item in candidates
        if item.usable
        and (permitted if item.primary else not needs.primary and needs.after is not None)
    ]
    if not fit:
        return Choice(target="", after=None, reason="no target may serve now")
    typical = min(item.slowness for item in fit)
    best = min(fit, key=lambda item: (_cost(item, typical), item.target))
    if best.primary:
        reason = "primary needed" if needs.primary else "primary preferred"
        return Choice(target=best.target, after=None, reason=reason)
    return Choice(target=best.target, after=needs.after, reason="replica is recent enough")
