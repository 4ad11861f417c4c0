"""How far a replica must have come for a read of limited staleness.

Each pair (time, position) of a group says that every commit acknowledged by that time lies
at or below that position. Answers of a primary give such pairs: its log contains, when it
answers, all that was acknowledged before the statement was sent.
"""

import collections
import dataclasses
from typing import Any

from greengageshunt import application, model

# Seconds; beyond the largest staleness that databases of today allow.
HISTORY = 10.0

# Seconds between two pairs that are kept.
SPACING = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pair:
    """A time, and a position that covers every commit acknowledged by then."""

    covered_at: float
    position: model.Position


def required(pairs: "collections.abc.Iterable[Pair]", staleness: float, now: float) -> Pair | None:
    """Return the pair that asks least of a replica, or None if none is recent enough.

    Args:
        pairs: Pairs in rising order of time.
        staleness: Seconds by which the read may lag behind.
        now: Monotonic seconds at which the read, or its transaction, began.
    """
    return next((pair for pair in pairs if pair.covered_at >= now - staleness), None)


class Freshness:
    """Keeps the recent pairs of each group, and tells peers the newest."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._pairs: dict[str, collections.deque[Pair]] = {}
        app.part("peers", "links").add_extra(
            "positions", self._report, self._note_report, asked=True
        )

    def note(self, group: str, covered_at: float, position: model.Position) -> None:
        """Record an answer of a primary.

        Args:
            group: The group.
            covered_at: Monotonic seconds at which the primary was known to lead,
                before the statement was sent.
            position: Position in the answer.
        """
        pairs = self._pairs.setdefault(group, collections.deque())
        if pairs and covered_at - pairs[-1].covered_at < SPACING:
            return
        pairs.append(Pair(covered_at=covered_at, position=position))
        while pairs[0].covered_at < covered_at - HISTORY:
            pairs.popleft()

    def required(self, group: str, staleness: float, now: float) -> Pair | None:
        """Return what a replica must contain for a read, or None if nothing tells."""
        return required(self._pairs.get(group, ()), staleness, now)

    def _report(self) -> dict[str, Any]:
        now = self._app.clock()
        return {
            group: [now - pairs[-1].covered_at, pairs[-1].position.term, pairs[-1].position.offset]
            for group, pairs in self._pairs.items()
            if pairs and now - pairs[-1].covered_at < HISTORY
        }

    def _note_report(self, vm: str, value: dict[str, Any], sent_at: float) -> None:
        for group, (age, term, offset) in value.items():
            self.note(group, sent_at - age, model.Position(term=term, offset=offset))


def setup(app: application.Application) -> None:
    """Register the record of positions."""
    app.add_part("pooling", "freshness", lambda app: Freshness(app=app))
