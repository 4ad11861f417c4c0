"""Which replicas lack log positions, by their latest refusals."""

from greengageshunt import model

# Seconds for which a refusal counts. A replica that is behind usually catches up within this time,
# and one statement then shows whether it has.
REFUSAL_PERIOD = 0.1


class LaggingReplicas:
    """Last log position that each replica named when it refused a statement as lagging."""

    def __init__(self) -> None:
        self._refusals: dict[str, tuple[model.Position, float]] = {}

    def note_refusal(self, target: str, position: model.Position | None, now: float) -> None:
        """Record that a replica lacked a position.

        Args:
            target: Name of the replica.
            position: Its own log position, or None if it named none.
            now: Monotonic seconds.
        """
        if position is not None:
            self._refusals[target] = (position, now)

    def lacks(self, target: str, after: model.Position | None, now: float) -> bool:
        """Return whether a replica probably lacks a position.

        Args:
            target: Name of the replica.
            after: Position that its log must contain, or None.
            now: Monotonic seconds.
        """
        refusal = self._refusals.get(target)
        if refusal is None or after is None:
            return False
        position, refused_at = refusal
        if now - refused_at > REFUSAL_PERIOD:
            del self._refusals[target]
            return False
        return after > position
