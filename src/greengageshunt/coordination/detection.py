"""Failure detection for the primaries of the groups."""

import asyncio
import logging

from greengageshunt import application, errors, logs
from greengageshunt.coordination import records, view
from greengageshunt.pooling import pools

logger = logging.getLogger(__name__)

# Seconds for which this hub must have failed to reach a primary before it queries other hubs.
SUSPICION_DELAY = 0.4

# Seconds without an answer from a primary after which this hub probes it, even if no statement
# failed. Without a probe, a primary that receives no statements could fail unnoticed.
PROBE_AFTER = 1.5

PROBE_TIMEOUT = 0.4  # seconds for one attempt to connect to a target

REACH_TIMEOUT = 0.6  # seconds for a peer's response to a ``ReachRequest``

# Seconds for which a primary must be unreachable while many hubs are, too. A change must then wait
# until the leases of the unreachable hubs expire, which takes longer than most partitions last.
PARTITION_SUSPICION_DELAY = 6.0

# Up to one hub in this many may be dead, and always a single one, without signs of a partition.
FEW_DEAD_DIVISOR = 8

# Fraction of the answering hubs that must fail to reach a primary before it is replaced.
MIN_UNREACHED_FRACTION = 0.4


def should_replace(*, unreached: int, asked: int, registered: int, failing_for: float) -> bool:
    """Return whether enough hubs fail to reach a primary, for long enough, to replace it.

    Args:
        unreached: Number of hubs, this one included, that fail to reach the primary.
        asked: Number of hubs that answered the query, this one included.
        registered: Number of registered hubs, whether they answer or not.
        failing_for: Seconds for which this hub has failed to reach the primary.
    """
    dead = registered - asked
    few_dead = dead <= max(1, registered // FEW_DEAD_DIVISOR)
    delay = SUSPICION_DELAY if few_dead else PARTITION_SUSPICION_DELAY
    enough_unreached = unreached >= min(asked, max(2, MIN_UNREACHED_FRACTION * asked))
    return enough_unreached and failing_for >= delay


# Minimum seconds between two rounds of queries to other hubs about the same primary.
QUERY_INTERVAL = 1.0


class Detector:
    """Probes primaries, and queries the other hubs about those that it fails to reach."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("membership", "view")
        self._links = app.part("peers", "links")
        self._pools: pools.TargetPools = app.part("pooling", "pools")
        self._failing_since: dict[str, float] = {}
        self._queried_at: dict[str, float] = {}
        app.part("peers", "server").add_handler(records.ReachRequest, self._answer_reach)

    async def is_lost(
        self, record: records.PrimaryRecord, entry: records.TargetEntry | None
    ) -> bool:
        """Return whether a primary must be replaced because the hubs fail to reach it.

        Args:
            record: Record of the group.
            entry: Entry of the primary, or None while it is not listed.
        """
        name = record.primary
        now = self._app.clock()
        if entry is not None and await self._is_healthy(entry, now):
            self._failing_since.pop(name, None)
            return False
        since = self._failing_since.setdefault(name, now)
        failing_for = self._app.clock() - since
        queried_at = self._queried_at.get(name, since - QUERY_INTERVAL)
        if failing_for < SUSPICION_DELAY or now - queried_at < QUERY_INTERVAL:
            return False
        self._queried_at[name] = now
        request = records.ReachRequest(target=name)
        peers = [
            member.vm for member in self._members.live_hubs(now) if member.vm != self._members.me.vm
        ]
        answers = await asyncio.gather(*(self._request_reach(vm, request) for vm in peers))
        received = [answer for answer in answers if answer is not None]
        unreached = 1 + sum(not answer.reached for answer in received)
        hubs = (self._view.members.get(hub.vm) for hub in self._members.hubs)
        registered = sum(hub is not None and not hub.stopped for hub in hubs)
        lost = should_replace(
            unreached=unreached,
            asked=1 + len(received),
            registered=registered,
            failing_for=failing_for,
        )
        logs.log_decision(
            logger,
            "suspect-primary",
            group=record.group,
            target=name,
            unreached=unreached,
            asked=1 + len(received),
            registered=registered,
            failing_for=round(failing_for, 3),
            outcome="replace" if lost else "keep",
        )
        return lost

    async def _is_healthy(self, entry: records.TargetEntry, now: float) -> bool:
        """Return whether a target answered recently without failures, or answers a probe."""
        target_pool = self._pools.pool(entry)
        quiet = now - target_pool.answered_at > PROBE_AFTER
        if not target_pool.failures and not quiet:
            return True
        return await self._is_reachable(entry)

    async def _is_reachable(self, entry: records.TargetEntry) -> bool:
        """Return whether a target accepts a connection, or rejects it with an error code."""
        target_pool = self._pools.pool(entry)
        try:
            connection = await self._driver.connect(entry, "-", PROBE_TIMEOUT)
        except errors.TargetError as error:
            if not error.code:
                return False
        else:
            connection.close()
        target_pool.record_answer(self._app.clock())
        return True

    async def _request_reach(
        self, vm: str, request: records.ReachRequest
    ) -> records.ReachAnswer | None:
        try:
            return await self._links.request(vm, request, REACH_TIMEOUT)
        except (errors.PeerError, errors.RefusedError) as error:
            logger.info("peer did not answer", extra={"peer": vm, "reason": str(error)})
            return None

    async def _answer_reach(
        self, message: records.ReachRequest, received_at: float
    ) -> records.ReachAnswer:
        entry = self._view.target(message.target)
        reached = False
        if entry is not None:
            target_pool = self._pools.pool(entry)
            recent = received_at - target_pool.answered_at < SUSPICION_DELAY
            healthy = recent and not target_pool.failures
            reached = healthy or await self._is_reachable(entry)
        return records.ReachAnswer(vm=self._members.me.vm, reached=reached)


def setup(app: application.Application) -> None:
    """Register the failure detector."""
    app.add_part("coordination", "detector", lambda app: Detector(app=app))
