"""Watch of groups by the failover daemon: one task for each watched group."""

import asyncio
import dataclasses
import logging
import math
import random
from collections import abc

from greengageshunt import application, codec, errors, logs, model
from greengageshunt.failover import announcement, detection, promotion, rows, targets
from greengageshunt.groups import decide, monitor
from greengageshunt.membership import ownership
from greengageshunt.stores import polling

logger = logging.getLogger(__name__)

WATCHERS = 3  # failover daemons for each group

RECONCILE_INTERVAL = 0.2  # seconds
DECIDE_INTERVAL = 0.05  # seconds
RECONNECT_DELAY = 0.1  # seconds

# Seconds between decisions after which this process counts as having been paused; what
# it has not heard meanwhile says nothing about the primary.
PAUSE_LIMIT = 0.4

FOLLOW_INTERVAL = 0.3  # seconds between requests to follow, for each target

# Seconds by which each further watcher leaves repairs to the one before it.
REPAIR_STAGGER = 0.5

# Seconds for which this watcher leaves a group to a promoter that announced itself.
YIELD_TIME = 1.5

# Bounds of the seconds until the next try after a lost or failed promotion; random, so
# that two promoters that split the votes do not meet again.
RETRY_BOUNDS = (0.05, 0.3)


def watchers(record: model.GroupRecord, members: tuple[model.Member, ...]) -> tuple[str, ...]:
    """Return the entry VMs whose failover daemons watch a group.

    Takes the first of each failure domain in the order of rendezvous weights,
    so that a lost failure domain leaves watchers in the others.
    """
    chosen: list[str] = []
    domains: set[str] = set()
    staying = [member for member in members if not member.leaving]
    for member in ownership.rank(record.group, staying):
        if member.failure_domain not in domains and len(chosen) < WATCHERS:
            chosen.append(member.vm)
            domains.add(member.failure_domain)
    return tuple(chosen)


class GroupWatch:
    """Watches one group and changes its primary when that is due."""

    def __init__(
        self,
        *,
        app: application.Application,
        record: model.GroupRecord,
        members: abc.Callable[[], tuple[model.Member, ...]],
        stored: abc.Callable[[], model.GroupRecord],
    ) -> None:
        self._app = app
        self._group = record.group
        self._name = app.settings["vm.name"]
        self._members = members
        self._stored = stored
        self._directory = app.part("groups", "directory")
        self._platform = app.selected("platform")
        self._links = {
            target.name: targets.TargetLink(app=app, target=target) for target in record.targets
        }
        self._promoter = promotion.Promoter(app=app)
        self._started_at = app.clock()
        self._served: dict[int, float] = {}
        self._stray: tuple[tuple[int, str], float] | None = None
        self._move_since: float | None = None
        self._yield_until = -math.inf
        self._stored_lags_since: float | None = None
        self._followed_at: dict[str, float] = {}
        self._completing: asyncio.Task[None] | None = None
        self._running: set[asyncio.Task[None]] = set()

    @property
    def record(self) -> model.GroupRecord:
        """Newest record of the group."""
        return self._directory.record(self._group)

    async def run(self) -> None:
        """Check the targets and decide until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                for link in self._links.values():
                    group.create_task(self._check(link), name=f"check {link.target.name}")
                group.create_task(self._decide(), name=f"decide {self._group}")
        finally:
            for task in [*self._running, *([self._completing] if self._completing else [])]:
                task.cancel()
            for link in self._links.values():
                await link.close()

    async def _check(self, link: targets.TargetLink) -> None:
        while True:
            try:
                status = await link.run(lambda connection: connection.status(self._app.clock()))
            except errors.TargetError as error:
                fields = {"target": link.target.name, "step": error.step, "reason": str(error)}
                logger.debug("status check failed", extra=fields)
                await asyncio.sleep(RECONNECT_DELAY)
                continue
            self._directory.learn_own_status(status)
            if decide.serves(status, self.record):
                self._served = {status.term: status.observed_at}
            await asyncio.sleep(
                monitor.check_interval(self._served_at(self.record), self._app.clock())
            )

    async def _decide(self) -> None:
        decided_at = self._app.clock()
        while True:
            await asyncio.sleep(DECIDE_INTERVAL)
            now = self._app.clock()
            if now - decided_at > PAUSE_LIMIT:
                logger.warning("watch was paused", extra={"seconds": round(now - decided_at, 3)})
                self._started_at = now
                self._served = {}
            await self._decide_once(now)
            decided_at = self._app.clock()

    async def _decide_once(self, now: float) -> None:
        rank = self._rank()
        if rank is None:
            return
        view = self._view(rank, now)
        plan = detection.plan(view, now)
        if plan is not None:
            await self._promote(plan, view.record)
            return
        if now - view.served_at <= detection.REACHABLE_AGE:
            self._repair(view, now)
        self._complete_later(view, now)

    def _rank(self) -> int | None:
        chosen = watchers(self.record, self._members())
        return chosen.index(self._name) if self._name in chosen else None

    def _served_at(self, record: model.GroupRecord) -> float:
        return self._served.get(record.term, self._started_at)

    def _view(self, rank: int, now: float) -> detection.GroupView:
        record = self.record
        if record.term not in self._served:
            # A new primary gets the whole time to answer its first check.
            self._served = {record.term: now}
        statuses = tuple(status for name in self._links if (status := self._directory.status(name)))
        stray = detection.stray_term(record, statuses)
        if stray is None:
            self._stray = None
        elif self._stray is None or self._stray[0] != stray:
            self._stray = (stray, now)
        if not detection.wants_move(record):
            self._move_since = None
        elif self._move_since is None:
            self._move_since = now
        return detection.GroupView(
            record=record,
            statuses=statuses,
            vm=self._name,
            rank=rank,
            served_at=self._served_at(record),
            stray_since=self._stray[1] if self._stray else None,
            move_since=self._move_since,
            yield_until=self._yield_until,
        )

    async def _promote(self, plan: detection.Plan, record: model.GroupRecord) -> None:
        outcome = await self._promoter.promote(plan, record, self._links)
        now = self._app.clock()
        if isinstance(outcome, promotion.Contested):
            self._directory.learn_record(outcome.stored, "platform")
            self._yield_until = now + YIELD_TIME
        elif outcome is None:
            self._yield_until = now + random.uniform(*RETRY_BOUNDS)
        else:
            self._served = {outcome.term: now}
            self._directory.learn_record(outcome, "promotion")
            self._start(announcement.announce(self._name, outcome, self._members()))
            self._repair(self._view(0, now), now)
            self._complete(outcome)

    def _repair(self, view: detection.GroupView, now: float) -> None:
        """Let targets follow the primary that do not."""
        for status in detection.reachable(view, now):
            last = self._followed_at.get(status.target, -math.inf)
            due = last + FOLLOW_INTERVAL + view.rank * REPAIR_STAGGER
            if now >= due and detection.needs_follow(status, view.record):
                self._followed_at[status.target] = now
                if last > -math.inf or view.rank == 0:
                    self._start(self._follow(status, view.record))

    async def _follow(self, status: model.TargetStatus, record: model.GroupRecord) -> None:
        primary = record.target(record.primary)
        fields = {"target": status.target, "group": record.group, "term": record.term}
        try:
            followed = await self._links[status.target].run(
                lambda connection: connection.follow(
                    record.term, primary.replication_address, self._app.clock()
                )
            )
        except errors.TargetError as error:
            logger.info("target does not follow yet", extra={**fields, "reason": str(error)})
            return
        self._directory.learn_own_status(followed)
        old = {"old_term": status.term, "old_role": status.role}
        logs.log_decision(logger, "follow", primary=record.primary, **fields, **old)

    def _complete_later(self, view: detection.GroupView, now: float) -> None:
        """Complete a row that its promoter has left behind."""
        if self._stored().term >= view.record.term:
            self._stored_lags_since = None
        elif self._stored_lags_since is None:
            self._stored_lags_since = now
        elif now - self._stored_lags_since > (1 + view.rank) * REPAIR_STAGGER:
            self._complete(view.record)

    def _complete(self, record: model.GroupRecord) -> None:
        if self._completing is not None and not self._completing.done():
            if self._completing.get_name() == f"complete {record.term}":
                return
            self._completing.cancel()
        self._completing = asyncio.create_task(
            rows.complete(self._platform, record), name=f"complete {record.term}"
        )

    def _start(self, work: abc.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Watched:
    """A group watch and its task."""

    targets: tuple[model.Target, ...]
    task: asyncio.Task[None]


class FailoverWatch:
    """Watches the groups that fall to this daemon."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._name = app.settings["vm.name"]
        self._platform = app.selected("platform")
        self._directory = app.part("groups", "directory")
        self._members: tuple[model.Member, ...] = ()
        self._stored: dict[str, model.GroupRecord] = {}
        self._watches: dict[str, Watched] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._poll("groups", self._read_groups))
                group.create_task(self._poll("vms", self._read_members))
                group.create_task(self._reconcile_always())
        finally:
            for watched in self._watches.values():
                watched.task.cancel()

    async def _poll(self, step: str, read: abc.Callable[[], abc.Awaitable[None]]) -> None:
        while True:
            try:
                await read()
            except (errors.PlatformError, ValueError) as error:
                logger.warning("platform poll failed", extra={"step": step, "reason": str(error)})
            await asyncio.sleep(polling.POLL_INTERVAL)

    async def _read_groups(self) -> None:
        for row in await self._platform.list_rows(polling.GROUP_PREFIX):
            record = codec.from_plain(row.value, model.GroupRecord)
            self._stored[record.group] = record
            self._directory.learn_record(record, "platform")

    async def _read_members(self) -> None:
        self._members = await self._platform.list_vms() or self._members

    async def _reconcile_always(self) -> None:
        while True:
            self._reconcile()
            await asyncio.sleep(RECONCILE_INTERVAL)

    def _reconcile(self) -> None:
        wanted = {
            record.group: record
            for record in self._directory.records
            if self._name in watchers(record, self._members)
        }
        for group, watched in list(self._watches.items()):
            record = wanted.get(group)
            if record is None or record.targets != watched.targets or watched.task.done():
                self._end(group, self._watches.pop(group).task)
        for group in set(wanted) - set(self._watches):
            self._watches[group] = self._start(wanted[group])

    def _end(self, group: str, task: asyncio.Task[None]) -> None:
        failure = task.exception() if task.done() and not task.cancelled() else None
        task.cancel()
        logger.info("watch ended", extra={"group": group}, exc_info=failure)

    def _start(self, record: model.GroupRecord) -> Watched:
        watch = GroupWatch(
            app=self._app,
            record=record,
            members=lambda: self._members,
            stored=lambda: self._stored[record.group],
        )
        logger.info("watch begins", extra={"group": record.group})
        task = asyncio.create_task(watch.run(), name=f"watch {record.group}")
        return Watched(targets=record.targets, task=task)


def setup(app: application.Application) -> None:
    """Register the watch."""
    app.add_part("service", "failover-watch", lambda app: FailoverWatch(app=app))
