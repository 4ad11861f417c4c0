"""Log position that a replica must contain for a read of limited staleness.

A commit bound of a group is a time and a position: every commit acknowledged by that time lies
at or below that position. Each answer of a primary gives a bound, because the log of the
primary then contains every commit that was acknowledged before the statement was sent.
"""

import collections
import dataclasses
from typing import Any

from greengageshunt import application, model

# Seconds for which commit bounds are kept; more than the largest staleness that databases
# allow. A larger staleness would gain nothing, because no older bound is kept.
BOUND_RETENTION = 10.0

# Least number of seconds between two commit bounds of a group.
BOUND_INTERVAL = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class CommitBound:
    """A position at or above every commit of a group that was acknowledged by a given time.

    Attributes:
        covered_at: Monotonic seconds of that time.
        position: Log position.
    """

    covered_at: float
    position: model.Position


def required(
    bounds: "collections.abc.Iterable[CommitBound]", staleness: float, now: float
) -> CommitBound | None:
    """Return the oldest commit bound that satisfies the staleness, or None if there is none.

    The oldest one requires the least of a replica.

    Args:
        bounds: Commit bounds in rising order of time.
        staleness: Seconds by which the read may lag behind.
        now: Monotonic seconds at which the read, or its transaction, began.
    """
    return next((bound for bound in bounds if bound.covered_at >= now - staleness), None)


class Freshness:
    """Keeps the recent commit bounds of each group, and sends the newest ones to peers."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._bounds: dict[str, collections.deque[CommitBound]] = {}
        app.part("peers", "links").add_heartbeat_value(
            "positions", self._newest_bounds, self._note_peer_bounds, in_heartbeats=True
        )

    def note_position(self, group: str, covered_at: float, position: model.Position) -> None:
        """Record the position in an answer of a primary.

        Args:
            group: The group.
            covered_at: Monotonic seconds at which the lease on the primary was valid, before
                the statement was sent.
            position: Log position in the answer.
        """
        bounds = self._bounds.setdefault(group, collections.deque())
        if bounds and covered_at - bounds[-1].covered_at < BOUND_INTERVAL:
            return
        bounds.append(CommitBound(covered_at=covered_at, position=position))
        while bounds[0].covered_at < covered_at - BOUND_RETENTION:
            bounds.popleft()

    def required(self, group: str, staleness: float, now: float) -> CommitBound | None:
        """Return the commit bound for a read, or None if no bound is recent enough."""
        return required(self._bounds.get(group, ()), staleness, now)

    def _newest_bounds(self) -> dict[str, Any]:
        now = self._app.clock()
        return {
            group: [
                now - bounds[-1].covered_at,
                bounds[-1].position.term,
                bounds[-1].position.offset,
            ]
            for group, bounds in self._bounds.items()
            if bounds and now - bounds[-1].covered_at < BOUND_RETENTION
        }

    def _note_peer_bounds(self, vm: str, value: dict[str, Any], sent_at: float) -> None:
        for group, (age, term, offset) in value.items():
            self.note_position(group, sent_at - age, model.Position(term=term, offset=offset))


def setup(app: application.Application) -> None:
    """Register the record of commit bounds."""
    app.add_part("pooling", "freshness", lambda app: Freshness(app=app))
