"""Whether this entry VM is cut off from all other failure domains."""

import logging
import math

from greengageshunt import application, logs
from greengageshunt.coordination import view

logger = logging.getLogger(__name__)

# Seconds without an answer from any other failure domain. Two heartbeats and the time of their
# answers; statements to targets are more frequent.
SILENCE = 1.1


# Seconds of silence that suffice while targets fail: one attempt to connect, and a half.
SILENCE_WITH_FAILURES = 0.6

# Targets in other failure domains that must fail; a single one may have crashed.
FAILING_TARGETS = 2


def decide(
    *, peers_at: float, targets_at: float, now: float, pace: float = 1.0, failing: int = 0
) -> bool:
    """Return whether an entry VM is cut off.

    Args:
        peers_at: Monotonic seconds of the last answer of an entry VM in another
            failure domain; infinite if there is none.
        targets_at: The same for targets.
        now: Monotonic seconds.
        pace: Factor by which heartbeats are slower.
        failing: Targets in other failure domains that failed since their last answer.
    """
    if peers_at == math.inf:
        return False
    newest = peers_at if targets_at == math.inf else max(peers_at, targets_at)
    if failing >= FAILING_TARGETS:
        return now - newest > SILENCE_WITH_FAILURES
    return now - newest > SILENCE * pace


class Isolation:
    """Remembers since when this entry VM is cut off."""

    def __init__(self, *, app: application.Application) -> None:
        self._members = app.part("membership", "view")
        self._view: view.StoreView = app.part("coordination", "view")
        self._pools = app.part("pooling", "pools")
        self._started_at = app.clock()
        self._since: float | None = None

    def isolated_for(self, now: float) -> float:
        """Return the seconds for which this entry VM has been cut off; 0 if it is not."""
        domain = self._members.me.failure_domain
        remote = [peer.vm for peer in self._members.neighbours if peer.failure_domain != domain]
        answered = [self._members.answered_at(vm) for vm in remote]
        pools = [pool for pool in self._pools.all if pool.entry.failure_domain != domain]
        served = [pool.answered_at for pool in pools]
        failing = sum(pool.failures > 0 for pool in pools)
        peers_at = max(answered, default=math.inf)
        targets_at = max(served, default=math.inf)
        cut = decide(
            peers_at=max(peers_at, self._started_at),
            targets_at=targets_at,
            now=now,
            pace=max(map(self._members.pace, remote), default=1.0),
            failing=failing,
        )
        if cut != (self._since is not None):
            self._since = now if cut else None
            logs.log_decision(
                logger,
                "isolation",
                isolated=cut,
                peers_age=round(now - peers_at, 3),
                targets_age=round(now - targets_at, 3),
                failing_targets=failing,
            )
        return now - self._since if self._since is not None else 0.0


def setup(app: application.Application) -> None:
    """Register the check."""
    app.add_part("coordination", "isolation", lambda app: Isolation(app=app))
