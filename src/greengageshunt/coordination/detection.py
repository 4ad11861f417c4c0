"""Decides whether the primary of a group is lost."""

import asyncio
import logging

from greengageshunt import application, errors, logs
from greengageshunt.coordination import records, view
from greengageshunt.pooling import pools

logger = logging.getLogger(__name__)

# Seconds for which this entry VM must have failed to reach a primary before it asks others.
SUSPICION = 0.4

# Seconds without an answer after which a primary is tried for its own sake.
QUIET_LIMIT = 1.5

PROBE_TIMEOUT = 0.4  # seconds

REACH_TIMEOUT = 0.6  # seconds

# Seconds for which a primary must be out of reach while entry VMs are, too. A change must then
# wait for the end of their permissions, which takes longer than most partitions last.
SUSPICION_DURING_PARTITION = 6.0

# One part in so many of the entry VMs may be dead without the others being partitioned.
FEW_PART = 8

# Part of the entry VMs that must not reach a primary before it is replaced.
UNREACHED_SHARE = 0.4


def should_replace(*, unreached: int, asked: int, registered: int, failing_for: float) -> bool:
    """Return whether a primary is out of reach of so many entry VMs that it is replaced.

    Args:
        unreached: Hubs, the own entry VM included, that do not reach it.
        asked: Hubs that answered, the own entry VM included.
        registered: Registered hubs, whether they answer or not.
        failing_for: Seconds for which this entry VM has not reached it.
    """
    dead = registered - asked
    few = dead <= max(1, registered // FEW_PART)
    patience = SUSPICION if few else SUSPICION_DURING_PARTITION
    enough = unreached >= min(asked, max(2, UNREACHED_SHARE * asked))
    return enough and failing_for >= patience


# Seconds between two rounds of questions about one primary.
ASK_INTERVAL = 1.0


class Detector:
    """Watches primaries from this entry VM, and asks the others about those in doubt."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("membership", "view")
        self._links = app.part("peers", "links")
        self._pools: pools.TargetPools = app.part("pooling", "pools")
        self._failing_since: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}
        app.part("peers", "server").add_handler(records.ReachRequest, self._answer_reach)

    async def is_lost(self, record: records.LeadRecord, entry: records.TargetEntry | None) -> bool:
        """Return whether so many entry VMs do not reach a primary that it is replaced.

        Args:
            record: Record of the group.
            entry: Entry of the primary, or None while it is not listed.
        """
        name = record.primary
        now = self._app.clock()
        if entry is not None and await self._seems_well(entry, now):
            self._failing_since.pop(name, None)
            return False
        since = self._failing_since.setdefault(name, now)
        failing_for = self._app.clock() - since
        asked_at = self._asked_at.get(name, since - ASK_INTERVAL)
        if failing_for < SUSPICION or now - asked_at < ASK_INTERVAL:
            return False
        self._asked_at[name] = now
        request = records.ReachRequest(target=name)
        peers = [
            member.vm for member in self._members.live_hubs(now) if member.vm != self._members.me.vm
        ]
        answers = await asyncio.gather(*(self._ask(vm, request) for vm in peers))
        known = [answer for answer in answers if answer is not None]
        unreached = 1 + sum(not answer.reached for answer in known)
        hubs = (self._view.members.get(hub.vm) for hub in self._members.hubs)
        registered = sum(hub is not None and not hub.stopped for hub in hubs)
        lost = should_replace(
            unreached=unreached,
            asked=1 + len(known),
            registered=registered,
            failing_for=failing_for,
        )
        logs.log_decision(
            logger,
            "suspect-primary",
            group=record.group,
            target=name,
            unreached=unreached,
            asked=1 + len(known),
            registered=registered,
            failing_for=round(failing_for, 3),
            outcome="replace" if lost else "keep",
        )
        return lost

    async def _seems_well(self, entry: records.TargetEntry, now: float) -> bool:
        target_pool = self._pools.pool(entry)
        quiet = now - target_pool.answered_at > QUIET_LIMIT
        if not target_pool.failures and not quiet:
            return True
        return await self._reaches(entry)

    async def _reaches(self, entry: records.TargetEntry) -> bool:
        """Return whether a target accepts a connection, or refuses one with a code."""
        target_pool = self._pools.pool(entry)
        try:
            connection = await self._driver.connect(entry, "-", PROBE_TIMEOUT)
        except errors.TargetError as error:
            if not error.code:
                return False
        else:
            connection.close()
        target_pool.note_answer(self._app.clock())
        return True

    async def _ask(self, vm: str, request: records.ReachRequest) -> records.ReachAnswer | None:
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
            recent = received_at - target_pool.answered_at < SUSPICION
            fresh = recent and not target_pool.failures
            reached = fresh or await self._reaches(entry)
        return records.ReachAnswer(vm=self._members.me.vm, reached=reached)


def setup(app: application.Application) -> None:
    """Register the detector."""
    app.add_part("coordination", "detector", lambda app: Detector(app=app))
