"""Changes the primary of a group when it fails or leaves.

Each change is a conditional write of the group's record with a higher fencing token, then
the recall of all permissions, then the order to the platform. An order whose answer is lost
may be carried out later, so every change ends with an order of its own token, which fences
off earlier ones.
"""

import asyncio
import dataclasses
import logging
from typing import Any

from greengageshunt import application, codec, errors, logs, model
from greengageshunt.coordination import detection, lease, records, view
from greengageshunt.membership import ownership
from greengageshunt.pooling import execution, pools
from greengageshunt.stores import rows

logger = logging.getLogger(__name__)

CHECK_INTERVAL = 0.2  # seconds

# Seconds between looks at whether an entry VM has become a hub; only hubs change primaries.
ROLE_INTERVAL = 2.0

RECALL_TIMEOUT = 0.5  # seconds
RECALL_INTERVAL = 0.2  # seconds between requests to entry VMs that did not answer
STATUS_TIMEOUT = 0.4  # seconds

# Seconds for which a replaced primary's last commits may take to reach a replica.
CATCH_UP_LIMIT = 1.0

# Seconds until the named target leads.
LEAD_LIMIT = 4.0

POLL_INTERVAL = 0.08  # seconds

# Seconds after which a change that another entry VM began counts as abandoned: at once
# if that one does not answer, else after the longest time that a change takes.
ABANDONED_BY_DEAD = 1.0
ABANDONED_BY_LIVE = lease.LEASE + lease.DRIFT + CATCH_UP_LIMIT + LEAD_LIMIT + 2.0

# Seconds before the next change of the same group.
PAUSE = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Status:
    """Answer of a target to a status call."""

    entry: records.TargetEntry
    primary: bool
    term: int
    position: model.Position | None


def choose_successor(statuses: tuple[Status, ...], leaving: str) -> Status | None:
    """Return the target that takes over: the one that received most.

    Args:
        statuses: Answers of the group's targets.
        leaving: Name of the target that is replaced.
    """
    zero = model.Position(term=0, offset=0)
    fit = [item for item in statuses if item.entry.target != leaving and not item.entry.draining]
    return max(fit, key=lambda item: (item.position or zero, item.entry.target), default=None)


def newest_leader(statuses: tuple[Status, ...]) -> Status | None:
    """Return the target that leads; of several that believe so, the one of the newest term."""
    leaders = [item for item in statuses if item.primary]
    return max(leaders, key=lambda item: item.term, default=None)


class Promoter:
    """Watches the primaries of the groups that fall to this entry VM."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._store = app.selected("platform")
        self._duty = app.part("duty", "failover")
        self._driver = app.selected("driver")
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("membership", "view")
        self._registry = app.part("coordination", "members")
        self._links = app.part("peers", "links")
        self._pools: pools.TargetPools = app.part("pooling", "pools")
        self._executor: execution.Executor = app.part("pooling", "executor")
        self._detector: detection.Detector = app.part("coordination", "detector")
        self._configuration = app.part("configuration", "state")
        self._changing_since: dict[str, tuple[int, float]] = {}
        self._not_before: dict[str, float] = {}
        self._incarnations: dict[str, str] = {}
        self._links.add_extra("incarnation", self._report, self._note_report)
        server = app.part("peers", "server")
        server.add_handler(records.LeaseRecall, self._answer_recall)

    async def run(self) -> None:
        """Watch the groups until cancelled, one task for each."""
        running: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                now = self._app.clock()
                for group in self._groups(now):
                    task = running.get(group)
                    if (task is None or task.done()) and now >= self._not_before.get(group, now):
                        running[group] = asyncio.create_task(
                            self._check(group), name=f"primary of {group}"
                        )
                await asyncio.sleep(CHECK_INTERVAL if self._members.is_hub else ROLE_INTERVAL)
        finally:
            for task in running.values():
                task.cancel()

    def _report(self) -> str:
        return self._registry.me.incarnation

    def _note_report(self, vm: str, value: str, sent_at: float) -> None:
        self._incarnations[vm] = value

    def _groups(self, now: float) -> tuple[str, ...]:
        """Return the groups that fall to this entry VM."""
        if self._app.stopping or not self._registry.registered:
            return ()
        live = self._members.live_hubs(now)
        groups = self._configuration.current.groups_by_name
        me = self._members.me.vm
        if not self._members.is_hub:
            return ()
        return tuple(name for name in groups if ownership.rank(name, live)[0].vm == me)

    async def _check(self, group: str) -> None:
        try:
            await self._check_once(group, self._app.clock())
        except (errors.PlatformError, errors.TargetError) as error:
            logger.warning(
                "change of primary failed",
                extra={"group": group, "peer": error.peer, "reason": str(error)},
            )
            self._not_before[group] = self._app.clock() + PAUSE

    async def _check_once(self, group: str, now: float) -> None:
        record = self._view.lead(group)
        entries = self._view.targets_of(group)
        if record is None:
            await self._record_first(group, entries)
            return
        if record.changing:
            token, since = self._changing_since.get(group, (0, now))
            if token != record.token:
                self._changing_since[group] = (record.token, now)
            elif now - since > self._patience(record, now):
                await self._change(record, "the change was abandoned")
            return
        entry = self._view.target(record.primary)
        if entry is not None and entry.draining:
            await self._change(record, "the primary drains")
        elif entries and await self._detector.is_lost(record, entry):
            await self._change(record, "the primary is not reached")

    def _patience(self, record: records.LeadRecord, now: float) -> float:
        """Return the seconds for which a change is left to its holder."""
        if record.holder == self._members.me.vm:
            # This task is the only one that changes the group, so the change was left unfinished.
            return 0.0
        live = {member.vm for member in self._members.live_hubs(now)}
        runs = self._incarnations.get(record.holder) == record.incarnation
        return ABANDONED_BY_LIVE if runs and record.holder in live else ABANDONED_BY_DEAD

    async def _record_first(self, group: str, entries: tuple[records.TargetEntry, ...]) -> None:
        """Write the first record of a group, by what its targets say of themselves."""
        copy = self._view.copy(records.Section.CONTROL)
        primaries = [entry for entry in entries if entry.primary]
        if len(primaries) != 1 or not copy.version:
            return
        record = records.LeadRecord(
            group=group,
            primary=primaries[0].target,
            token=1,
            holder=self._members.me.vm,
            changing=False,
        )
        await self._write(record, None)

    async def _change(self, record: records.LeadRecord, reason: str) -> None:
        """Replace the primary of a group.

        Raises:
            PlatformError: The store or the platform did not answer.
        """
        group = record.group
        row = self._view.row(view.GROUP_PREFIX + group)
        if row is None or self._view.lead(group) != record:
            # Another entry VM changed the record while this one asked; the newer version
            # would let a write pass that takes its token a second time.
            return
        self._not_before[group] = self._app.clock() + PAUSE
        intent = dataclasses.replace(
            record,
            token=record.token + 1,
            holder=self._members.me.vm,
            incarnation=self._registry.me.incarnation,
            changing=True,
        )
        started_at = self._app.clock()
        logs.log_decision(
            logger,
            "change-primary",
            group=group,
            primary=record.primary,
            token=intent.token,
            reason=reason,
            version=row.version,
        )
        written = await self._write(intent, row)
        if written is None:
            return
        await self._recall(written)
        successor = await self._prepare(intent)
        if successor is None:
            logger.warning("no target can take over", extra={"group": group})
            return
        accepted = await self._duty.make_primary(
            group, successor.entry.target, intent.holder, intent.token
        )
        logs.log_decision(
            logger,
            "order-primary",
            group=group,
            target=successor.entry.target,
            token=intent.token,
            position=str(successor.position),
            outcome="accepted" if accepted else "rejected",
        )
        if not accepted:
            return
        status = await self._await_lead(successor.entry)
        final = dataclasses.replace(
            intent, primary=successor.entry.target, changing=False, term=status.term
        )
        done = await self._write(final, written)
        logs.log_decision(
            logger,
            "primary-changed",
            group=group,
            primary=final.primary,
            term=final.term,
            token=final.token,
            seconds=round(self._app.clock() - started_at, 3),
            outcome="recorded" if done else "conflict",
        )
        if done is not None:
            await self._tell(done)

    async def _write(
        self, record: records.LeadRecord, row: records.ControlRow | None
    ) -> records.ControlRow | None:
        """Write a group's record under the condition of its version; None if it changed.

        Raises:
            PlatformError: The store did not answer.
        """
        key = view.GROUP_PREFIX + record.group
        etag = str(row.version) if row else None
        written = await self._store.put_row(key, codec.to_plain(record), etag)
        if not isinstance(written, rows.Row):
            logs.log_decision(
                logger, "write-lead", group=record.group, version=etag, outcome="conflict"
            )
            return None
        stored = lease.control_row(written)
        self._view.note_row(stored)
        return stored

    async def _recall(self, row: records.ControlRow) -> None:
        """Wait until no entry VM uses the primary any more.

        Args:
            row: Row that says that a change is in progress.
        """
        started_at = self._app.clock()
        until = started_at + lease.LEASE + lease.DRIFT
        record = codec.from_json(row.value, records.LeadRecord)
        await self._executor.wait_writes(record.group)
        # Processes that registered before the row was written may hold permissions.
        while self._view.copy(records.Section.CONTROL).version < row.version:
            if self._app.clock() >= until:
                break
            await asyncio.sleep(POLL_INTERVAL)
        pending = frozenset(
            vm
            for vm, entry in self._view.members.items()
            if vm != self._members.me.vm and not entry.stopped
        )
        while pending and self._app.clock() < until:
            pending = await self._ask_to_stop(pending, row)
            if pending:
                left = max(0.0, until - self._app.clock())
                await asyncio.sleep(min(RECALL_INTERVAL, left))
        logs.log_decision(
            logger,
            "recall-leases",
            group=record.group,
            version=row.version,
            silent=sorted(pending),
            waited=round(self._app.clock() - started_at, 3),
        )

    async def _ask_to_stop(
        self, pending: frozenset[str], row: records.ControlRow
    ) -> frozenset[str]:
        """Ask entry VMs to stop using a primary; return those that may still use it.

        A machine runs one process, so the answer of a later process shows that the one
        before has ended.
        """
        request = records.LeaseRecall(row=row)
        answers = await asyncio.gather(*(self._ask(vm, request, RECALL_TIMEOUT) for vm in pending))
        answered = {answer.vm for answer in answers if answer is not None}
        members = self._view.members
        stopped = {vm for vm in pending if vm in members and members[vm].stopped}
        return pending - answered - stopped

    async def _prepare(self, record: records.LeadRecord) -> Status | None:
        """Make the old primary step down if it answers, and return who takes over."""
        statuses = await self._statuses(record.group)
        leader = newest_leader(statuses)
        if leader is not None and leader.entry.target != record.primary:
            # An order of before was carried out.
            return leader
        if leader is None:
            return choose_successor(statuses, record.primary)
        if not leader.entry.draining or choose_successor(statuses, record.primary) is None:
            # It was out of reach and has not lost the lead; ordering it again fences off
            # what may still be on its way.
            return leader
        await self._step_down(leader)
        return choose_successor(await self._await_catch_up(record.group, leader), record.primary)

    async def _step_down(self, old: Status) -> None:
        try:
            connection = await self._connect(old.entry)
            try:
                await connection.step_down(old.term + 1, STATUS_TIMEOUT)
            finally:
                connection.close()
        except errors.TargetError as error:
            logger.info("no step down", extra={"peer": error.peer, "reason": str(error)})

    async def _await_catch_up(self, group: str, old: Status) -> tuple[Status, ...]:
        """Wait until a replica received what the old primary had."""
        until = self._app.clock() + CATCH_UP_LIMIT
        while True:
            statuses = await self._statuses(group)
            last = next((item for item in statuses if item.entry == old.entry), old)
            successor = choose_successor(statuses, old.entry.target)
            reached = (
                successor is not None
                and successor.position is not None
                and last.position is not None
                and successor.position >= last.position
            )
            if reached or self._app.clock() > until:
                return statuses
            await asyncio.sleep(POLL_INTERVAL)

    async def _await_lead(self, entry: records.TargetEntry) -> Status:
        """Wait until a target says that it leads.

        Raises:
            TargetError: It does not in time.
        """
        until = self._app.clock() + LEAD_LIMIT
        while self._app.clock() < until:
            status = await self._status(entry)
            if status is not None and status.primary:
                return status
            await asyncio.sleep(POLL_INTERVAL)
        raise errors.TargetError(
            "it does not lead in time", step="await lead", peer=entry.target, sent=True
        )

    async def _statuses(self, group: str) -> tuple[Status, ...]:
        found = await asyncio.gather(
            *(self._status(entry) for entry in self._view.targets_of(group))
        )
        return tuple(status for status in found if status is not None)

    async def _status(self, entry: records.TargetEntry) -> Status | None:
        try:
            connection = await self._connect(entry)
            try:
                status = await connection.status(STATUS_TIMEOUT)
            finally:
                connection.close()
        except errors.TargetError as error:
            logger.info("no status", extra={"peer": error.peer, "reason": str(error)})
            return None
        return Status(
            entry=entry, primary=status.primary, term=status.term, position=status.position
        )

    async def _connect(self, entry: records.TargetEntry) -> Any:
        # The system's own connection comes from the share of this entry VM.
        self._pools.pool(entry).close_idle()
        return await self._driver.connect(entry, "-", detection.PROBE_TIMEOUT)

    async def _tell(self, row: records.ControlRow) -> None:
        request = records.LeaseRecall(row=row)
        others = [vm for vm in self._view.members if vm != self._members.me.vm]
        await asyncio.gather(*(self._ask(vm, request, RECALL_TIMEOUT) for vm in others))

    async def _ask(self, vm: str, request: Any, timeout: float) -> Any:
        try:
            return await self._links.request(vm, request, timeout)
        except (errors.PeerError, errors.RefusedError) as error:
            logger.info("peer did not answer", extra={"peer": vm, "reason": str(error)})
            return None

    async def _answer_recall(
        self, message: records.LeaseRecall, received_at: float
    ) -> records.LeaseRecalled:
        self._view.note_row(message.row)
        record = codec.from_json(message.row.value, records.LeadRecord)
        if record.changing:
            await self._executor.wait_writes(record.group)
        return records.LeaseRecalled(vm=self._members.me.vm)


def setup(app: application.Application) -> None:
    """Register the changes of primaries."""
    app.add_part("coordination", "promoter", lambda app: Promoter(app=app))
    app.add_part("service", "promoter", lambda app: app.part("coordination", "promoter"))
