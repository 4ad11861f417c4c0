"""Which target of a group succeeds its primary, from what the targets report of themselves."""

import asyncio
import dataclasses
import logging
from typing import Any

from greengageshunt import application, errors, logs, model
from greengageshunt.coordination import detection, records, view
from greengageshunt.pooling import pools

logger = logging.getLogger(__name__)

STATUS_TIMEOUT = 0.4  # seconds for a target's answer to a status or step-down call

# Seconds for which a change waits until a replica has received the last commits of the primary
# that stepped down, or until enough replicas have answered. After that, the change proceeds with
# the replica that received most if that one has all acknowledged commits, and is else begun anew.
CATCH_UP_TIMEOUT = 1.0

# Seconds within which the successor must report that it is the primary.
PROMOTION_TIMEOUT = 4.0

POLL_INTERVAL = 0.08  # seconds between polls of the targets


@dataclasses.dataclass(frozen=True, kw_only=True)
class Status:
    """Answer of a target to a status call.

    Attributes:
        entry: Entry of the target.
        primary: Whether the target takes itself for the primary.
        term: Term in which the target is the primary or a replica.
        position: Last position that the target received, or None if unknown.
    """

    entry: records.TargetEntry
    primary: bool
    term: int
    position: model.Position | None


def choose_successor(statuses: tuple[Status, ...], replaced: str) -> Status | None:
    """Return the target to promote, which is the one with the newest position, or None.

    Args:
        statuses: Answers of the group's targets.
        replaced: Name of the primary that is replaced.
    """
    zero = model.Position(term=0, offset=0)
    candidates = [
        status
        for status in statuses
        if status.entry.target != replaced and not status.entry.draining
    ]
    return max(
        candidates,
        key=lambda status: (status.position or zero, status.entry.target),
        default=None,
    )


def choose_complete_successor(
    statuses: tuple[Status, ...],
    listed: tuple[records.TargetEntry, ...],
    replaced: str,
    sync_replicas: int,
) -> Status | None:
    """Return the target to promote that has all acknowledged commits, or None if none is known to.

    Each commit was received by ``sync_replicas`` replicas before it was acknowledged. So one of the
    replicas that answer has it if fewer than ``sync_replicas`` of them are missing. The replaced
    primary itself has all commits. A draining target is chosen only if no other one is complete.

    Args:
        statuses: Answers of the group's targets.
        listed: Targets of the group in the target list.
        replaced: Name of the primary that is replaced.
        sync_replicas: Replicas that receive a commit before it is acknowledged; at least 1.
    """
    replicas = tuple(status for status in statuses if status.entry.target != replaced)
    answered = {status.entry.target for status in statuses}
    missing = {entry.target for entry in listed} - answered - {replaced}
    if len(missing) >= sync_replicas and replaced not in answered:
        return None
    known = replicas if len(missing) < sync_replicas else statuses
    zero = model.Position(term=0, offset=0)
    newest = max((status.position or zero for status in known), default=zero)
    complete = [status for status in known if (status.position or zero) == newest]
    return min(
        complete,
        key=lambda status: (
            status.entry.target == replaced,
            status.entry.draining,
            status.entry.target,
        ),
        default=None,
    )


def newest_primary(statuses: tuple[Status, ...], recorded_term: int = 0) -> Status | None:
    """Return the target that reports to be the primary in the newest term, or None.

    Args:
        statuses: Answers of the group's targets.
        recorded_term: Newest term that a record of the group names. A primary of an earlier term
            than this or than that of a replica has been replaced.
    """
    primaries = [status for status in statuses if status.primary]
    newest_term = max((status.term for status in statuses), default=0)
    newest = max(primaries, key=lambda status: status.term, default=None)
    if newest is None or newest.term < max(newest_term, recorded_term):
        return None
    return newest


class Succession:
    """Queries the targets of a group during a change of its primary."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._view: view.StoreView = app.part("coordination", "view")
        self._pools: pools.TargetPools = app.part("pooling", "pools")
        self._configuration = app.part("configuration", "state")

    async def select_successor(self, record: records.PrimaryRecord) -> Status | None:
        """Demote the old primary if it is draining; return the target to promote, or None.

        If commits are acknowledged only after replicas received them, this waits up to
        ``CATCH_UP_TIMEOUT`` for the answers of enough replicas.
        """
        until = self._app.clock() + CATCH_UP_TIMEOUT
        while True:
            statuses = await self._fetch_statuses(record.group)
            current = newest_primary(statuses, record.term)
            if current is not None:
                return await self._replace_reachable(record, current, statuses)
            successor = self._choose(statuses, record)
            if successor is not None or not self._sync_replicas(record.group):
                return successor
            if self._app.clock() > until:
                self._log_incomplete(statuses, record)
                return None
            await asyncio.sleep(POLL_INTERVAL)

    async def _replace_reachable(
        self, record: records.PrimaryRecord, current: Status, statuses: tuple[Status, ...]
    ) -> Status | None:
        """Return the target to promote while a target reports that it is the primary."""
        if current.entry.target != record.primary:
            # The platform executed an earlier promotion request.
            return current
        if not current.entry.draining or choose_successor(statuses, record.primary) is None:
            # The old primary is reachable again and still the primary, or nothing can replace it.
            # A request to promote it with a new token fences off requests still in transit.
            return current
        await self._step_down(current)
        caught_up = await self._await_catch_up(record.group, current)
        successor = self._choose(caught_up, record)
        if successor is None:
            self._log_incomplete(caught_up, record)
        return successor

    def _sync_replicas(self, group: str) -> int:
        limits = self._configuration.current.groups_by_name.get(group)
        return limits.sync_replicas if limits else 0

    def _choose(self, statuses: tuple[Status, ...], record: records.PrimaryRecord) -> Status | None:
        sync_replicas = self._sync_replicas(record.group)
        if not sync_replicas:
            return choose_successor(statuses, record.primary)
        listed = self._view.targets_of(record.group)
        return choose_complete_successor(statuses, listed, record.primary, sync_replicas)

    def _log_incomplete(self, statuses: tuple[Status, ...], record: records.PrimaryRecord) -> None:
        logs.log_decision(
            logger,
            "await-replicas",
            group=record.group,
            token=record.token,
            answered=sorted(status.entry.target for status in statuses),
            listed=sorted(entry.target for entry in self._view.targets_of(record.group)),
            sync_replicas=self._sync_replicas(record.group),
        )

    async def _step_down(self, old: Status) -> None:
        try:
            connection = await self._connect(old.entry)
            try:
                await connection.step_down(old.term + 1, STATUS_TIMEOUT)
            finally:
                connection.close()
        except errors.TargetError as error:
            logger.info(
                "primary did not step down", extra={"peer": error.peer, "reason": str(error)}
            )

    async def _await_catch_up(self, group: str, old: Status) -> tuple[Status, ...]:
        """Wait until a replica has received the old primary's last position.

        Returns:
            The newest statuses, also after ``CATCH_UP_TIMEOUT`` without such a replica.
        """
        until = self._app.clock() + CATCH_UP_TIMEOUT
        while True:
            statuses = await self._fetch_statuses(group)
            newest = next((status for status in statuses if status.entry == old.entry), old)
            successor = choose_successor(statuses, old.entry.target)
            reached = (
                successor is not None
                and successor.position is not None
                and newest.position is not None
                and successor.position >= newest.position
            )
            if reached or self._app.clock() > until:
                return statuses
            await asyncio.sleep(POLL_INTERVAL)

    async def await_promotion(self, entry: records.TargetEntry) -> Status:
        """Wait until a target reports that it is the primary, and return its status.

        Raises:
            TargetError: The target did not report it within ``PROMOTION_TIMEOUT``.
        """
        until = self._app.clock() + PROMOTION_TIMEOUT
        while self._app.clock() < until:
            status = await self._fetch_status(entry)
            if status is not None and status.primary:
                return status
            await asyncio.sleep(POLL_INTERVAL)
        raise errors.TargetError(
            "the target did not become primary in time",
            step="await promotion",
            peer=entry.target,
            sent=True,
        )

    async def _fetch_statuses(self, group: str) -> tuple[Status, ...]:
        answers = await asyncio.gather(
            *(self._fetch_status(entry) for entry in self._view.targets_of(group))
        )
        return tuple(status for status in answers if status is not None)

    async def _fetch_status(self, entry: records.TargetEntry) -> Status | None:
        try:
            connection = await self._connect(entry)
            try:
                status = await connection.status(STATUS_TIMEOUT)
            finally:
                connection.close()
        except errors.TargetError as error:
            logger.info(
                "target did not answer a status call",
                extra={"peer": error.peer, "reason": str(error)},
            )
            return None
        return Status(
            entry=entry, primary=status.primary, term=status.term, position=status.position
        )

    async def _connect(self, entry: records.TargetEntry) -> Any:
        # A system connection counts towards this entry VM's connection limit at the target, so
        # idle connections make room for it.
        self._pools.pool(entry).close_idle()
        return await self._driver.connect(entry, "-", detection.PROBE_TIMEOUT)


def setup(app: application.Application) -> None:
    """Register the choice of a successor."""
    app.add_part("coordination", "succession", lambda app: Succession(app=app))
