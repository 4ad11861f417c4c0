"""Health checks and failover of groups by the failover daemon, in one task for each group."""

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

WATCHERS_PER_GROUP = 3  # failover daemons

RECONCILE_INTERVAL = 0.2  # seconds
DECIDE_INTERVAL = 0.05  # seconds
RECONNECT_DELAY = 0.1  # seconds after a failed status check

# Seconds between two decisions above which this process counts as paused in between. After
# a pause, the primary gets the whole failure time-out again, because the missing checks
# are no sign of a failed primary.
PAUSE_LIMIT = 0.4

FOLLOW_INTERVAL = 0.3  # seconds between requests to follow, for each target

# Seconds for each rank by which a watcher delays repairs, so that the watcher of the next
# lower rank can complete them first.
REPAIR_STAGGER = 0.5

# Seconds for which this watcher raises no term after it found another promoter's intent
# or newer term at the platform.
CONTESTED_BACK_OFF = 1.5

# Bounds of the random delay, in seconds, after a lost or failed promotion. Without the
# randomness, two promoters that split the votes would split them again.
RETRY_DELAY_BOUNDS = (0.05, 0.3)


def watchers(record: model.GroupRecord, members: tuple[model.Member, ...]) -> tuple[str, ...]:
    """Return the entry VMs whose failover daemons watch a group, by rank.

    Selects the first entry VM of each failure domain in the order of rendezvous
    weights, so that the watchers in other failure domains remain if one is lost.
    """
    selected: list[str] = []
    domains: set[str] = set()
    staying = [member for member in members if not member.leaving]
    for member in ownership.rank(record.group, staying):
        if member.failure_domain not in domains and len(selected) < WATCHERS_PER_GROUP:
            selected.append(member.vm)
            domains.add(member.failure_domain)
    return tuple(selected)


class GroupWatcher:
    """Checks the targets of one group and changes its primary when necessary."""

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
        # Monotonic seconds of the newest check that found the primary open, by term.
        self._served: dict[int, float] = {}
        self._unrecorded_term: tuple[tuple[int, str], float] | None = None
        self._change_due_since: float | None = None
        self._back_off_until = -math.inf
        self._row_outdated_since: float | None = None
        self._follow_requested_at: dict[str, float] = {}
        self._storing: asyncio.Task[None] | None = None
        self._background: set[asyncio.Task[None]] = set()

    @property
    def record(self) -> model.GroupRecord:
        """Newest record of the group."""
        return self._directory.record(self._group)

    async def run(self) -> None:
        """Check the targets and decide on changes of the primary until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                for link in self._links.values():
                    group.create_task(self._check(link), name=f"check {link.target.name}")
                group.create_task(self._decide(), name=f"decide {self._group}")
        finally:
            for task in [*self._background, *([self._storing] if self._storing else [])]:
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
            self._directory.apply_own_status(status)
            if decide.is_open_primary(status, self.record):
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
        if now - view.served_at <= detection.MAX_STATUS_AGE:
            self._repair(view, now)
        self._store_abandoned_promotion(view, now)

    def _rank(self) -> int | None:
        selected = watchers(self.record, self._members())
        return selected.index(self._name) if self._name in selected else None

    def _served_at(self, record: model.GroupRecord) -> float:
        return self._served.get(record.term, self._started_at)

    def _view(self, rank: int, now: float) -> detection.GroupView:
        record = self.record
        if record.term not in self._served:
            # A new primary gets the whole failure time-out to answer its first check.
            self._served = {record.term: now}
        statuses = tuple(status for name in self._links if (status := self._directory.status(name)))
        unrecorded = detection.unrecorded_term(record, statuses)
        if unrecorded is None:
            self._unrecorded_term = None
        elif self._unrecorded_term is None or self._unrecorded_term[0] != unrecorded:
            self._unrecorded_term = (unrecorded, now)
        if not detection.is_change_planned(record):
            self._change_due_since = None
        elif self._change_due_since is None:
            self._change_due_since = now
        return detection.GroupView(
            record=record,
            statuses=statuses,
            vm=self._name,
            rank=rank,
            served_at=self._served_at(record),
            unrecorded_since=self._unrecorded_term[1] if self._unrecorded_term else None,
            change_due_since=self._change_due_since,
            back_off_until=self._back_off_until,
        )

    async def _promote(self, plan: detection.Plan, record: model.GroupRecord) -> None:
        outcome = await self._promoter.promote(plan, record, self._links)
        now = self._app.clock()
        if isinstance(outcome, promotion.Contested):
            self._directory.apply_record(outcome.stored, "platform")
            self._back_off_until = now + CONTESTED_BACK_OFF
        elif outcome is None:
            self._back_off_until = now + random.uniform(*RETRY_DELAY_BOUNDS)
        else:
            self._served = {outcome.term: now}
            self._directory.apply_record(outcome, "promotion")
            self._start(announcement.notify_proxies(self._name, outcome, self._members()))
            self._repair(self._view(0, now), now)
            self._store_promotion(outcome)

    def _repair(self, view: detection.GroupView, now: float) -> None:
        """Request targets that do not follow the primary to follow it."""
        for status in detection.reachable(view, now):
            requested_at = self._follow_requested_at.get(status.target, -math.inf)
            due = requested_at + FOLLOW_INTERVAL + view.rank * REPAIR_STAGGER
            if now >= due and detection.needs_follow_request(status, view.record):
                self._follow_requested_at[status.target] = now
                # A watcher above rank 0 skips the first request and sends the next if needed.
                if requested_at > -math.inf or view.rank == 0:
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
            logger.info("target did not follow primary yet", extra={**fields, "reason": str(error)})
            return
        self._directory.apply_own_status(followed)
        old = {"old_term": status.term, "old_role": status.role}
        logs.log_decision(logger, "follow", primary=record.primary, **fields, **old)

    def _store_abandoned_promotion(self, view: detection.GroupView, now: float) -> None:
        """Store a promotion that its promoter has not stored at the platform in time."""
        if self._stored().term >= view.record.term:
            self._row_outdated_since = None
        elif self._row_outdated_since is None:
            self._row_outdated_since = now
        elif now - self._row_outdated_since > (1 + view.rank) * REPAIR_STAGGER:
            self._store_promotion(view.record)

    def _store_promotion(self, record: model.GroupRecord) -> None:
        if self._storing is not None and not self._storing.done():
            if self._storing.get_name() == f"store {record.term}":
                return
            self._storing.cancel()
        self._storing = asyncio.create_task(
            rows.store_promotion(self._platform, record), name=f"store {record.term}"
        )

    def _start(self, job: abc.Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(job)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunningWatch:
    """Task of a group watcher, with the targets that it checks."""

    targets: tuple[model.Target, ...]
    task: asyncio.Task[None]


class FailoverWatch:
    """Runs a watcher for each group that rendezvous hashing assigns to this daemon."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._name = app.settings["vm.name"]
        self._platform = app.selected("platform")
        self._directory = app.part("groups", "directory")
        self._members: tuple[model.Member, ...] = ()
        self._stored: dict[str, model.GroupRecord] = {}
        self._watches: dict[str, RunningWatch] = {}

    async def run(self) -> None:
        """Watch the assigned groups until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._poll("groups", self._read_groups))
                group.create_task(self._poll("vms", self._read_members))
                group.create_task(self._reconcile_periodically())
        finally:
            for watch in self._watches.values():
                watch.task.cancel()

    async def _poll(self, step: str, read: abc.Callable[[], abc.Awaitable[None]]) -> None:
        while True:
            try:
                await read()
            except (errors.PlatformError, ValueError) as error:
                logger.warning("platform poll failed", extra={"step": step, "reason": str(error)})
            await asyncio.sleep(polling.PLATFORM_POLL_INTERVAL)

    async def _read_groups(self) -> None:
        for row in await self._platform.list_rows(polling.GROUP_ROW_PREFIX):
            record = codec.from_plain(row.value, model.GroupRecord)
            self._stored[record.group] = record
            self._directory.apply_record(record, "platform")

    async def _read_members(self) -> None:
        self._members = await self._platform.list_vms() or self._members

    async def _reconcile_periodically(self) -> None:
        while True:
            self._reconcile()
            await asyncio.sleep(RECONCILE_INTERVAL)

    def _reconcile(self) -> None:
        assigned = {
            record.group: record
            for record in self._directory.records
            if self._name in watchers(record, self._members)
        }
        for group, watch in list(self._watches.items()):
            record = assigned.get(group)
            if record is None or record.targets != watch.targets or watch.task.done():
                self._stop_watcher(group, self._watches.pop(group).task)
        for group in set(assigned) - set(self._watches):
            self._watches[group] = self._start_watcher(assigned[group])

    def _stop_watcher(self, group: str, task: asyncio.Task[None]) -> None:
        failure = task.exception() if task.done() and not task.cancelled() else None
        task.cancel()
        logger.info("group watcher stopped", extra={"group": group}, exc_info=failure)

    def _start_watcher(self, record: model.GroupRecord) -> RunningWatch:
        watcher = GroupWatcher(
            app=self._app,
            record=record,
            members=lambda: self._members,
            stored=lambda: self._stored[record.group],
        )
        logger.info("group watcher started", extra={"group": record.group})
        task = asyncio.create_task(watcher.run(), name=f"watch {record.group}")
        return RunningWatch(targets=record.targets, task=task)


def setup(app: application.Application) -> None:
    """Register the watcher service."""
    app.add_part("service", "failover-watch", lambda app: FailoverWatch(app=app))
