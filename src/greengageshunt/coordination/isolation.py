"""Detects that this entry VM is partitioned from all other failure domains."""

import logging
import math

from greengageshunt import application, logs
from greengageshunt.coordination import view

logger = logging.getLogger(__name__)

# Seconds without an answer from any other failure domain after which this entry VM counts as
# isolated. They cover two heartbeats and their answers; targets answer statements more often.
# With less, one lost heartbeat isolates an idle entry VM.
ISOLATION_TIMEOUT = 1.1

# The same while targets in other failure domains fail: one and a half attempts to connect.
ISOLATION_TIMEOUT_WITH_FAILURES = 0.6

# Number of failing targets in other failure domains from which on the shorter time-out holds.
# A single one may have crashed.
MIN_FAILING_TARGETS = 2


def is_isolated(
    *,
    peers_at: float,
    targets_at: float,
    now: float,
    interval_factor: float = 1.0,
    failing: int = 0,
) -> bool:
    """Return whether an entry VM is isolated from all other failure domains.

    Args:
        peers_at: Time of the last answer from an entry VM in another failure domain, in
            monotonic seconds; infinite if no neighbour is in another failure domain.
        targets_at: The same for targets.
        now: Monotonic seconds.
        interval_factor: Factor by which the heartbeat intervals of this entry VM are longer than
            those of hubs.
        failing: Number of targets in other failure domains that failed after their last answer.
    """
    if peers_at == math.inf:
        return False
    answered_at = peers_at if targets_at == math.inf else max(peers_at, targets_at)
    if failing >= MIN_FAILING_TARGETS:
        return now - answered_at > ISOLATION_TIMEOUT_WITH_FAILURES
    return now - answered_at > ISOLATION_TIMEOUT * interval_factor


class Isolation:
    """Holds the time since which this entry VM has been isolated."""

    def __init__(self, *, app: application.Application) -> None:
        self._members = app.part("membership", "view")
        self._view: view.StoreView = app.part("coordination", "view")
        self._pools = app.part("pooling", "pools")
        self._started_at = app.clock()
        self._since: float | None = None

    def isolated_seconds(self, now: float) -> float:
        """Return the seconds for which this entry VM has been isolated; 0 if it is not.

        Args:
            now: Monotonic seconds.
        """
        domain = self._members.me.failure_domain
        remote_peers = [
            peer.vm for peer in self._members.neighbours if peer.failure_domain != domain
        ]
        peer_answers = [self._members.last_response_at(vm) for vm in remote_peers]
        remote_pools = [pool for pool in self._pools.pools if pool.entry.failure_domain != domain]
        target_answers = [pool.answered_at for pool in remote_pools]
        failing = sum(pool.failures > 0 for pool in remote_pools)
        peers_at = max(peer_answers, default=math.inf)
        targets_at = max(target_answers, default=math.inf)
        is_now_isolated = is_isolated(
            peers_at=max(peers_at, self._started_at),
            targets_at=targets_at,
            now=now,
            interval_factor=max(
                map(self._members.heartbeat_interval_factor, remote_peers), default=1.0
            ),
            failing=failing,
        )
        if is_now_isolated != (self._since is not None):
            self._since = now if is_now_isolated else None
            logs.log_decision(
                logger,
                "isolation",
                isolated=is_now_isolated,
                peers_age=round(now - peers_at, 3),
                targets_age=round(now - targets_at, 3),
                failing_targets=failing,
            )
        return now - self._since if self._since is not None else 0.0


def setup(app: application.Application) -> None:
    """Register the detection of isolation."""
    app.add_part("coordination", "isolation", lambda app: Isolation(app=app))
