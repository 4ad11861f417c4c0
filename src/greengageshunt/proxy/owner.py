"""Execution of requests at the owner of a target, under its pool and write grant."""

import asyncio
import dataclasses
import logging
import math
from collections import abc
from typing import Any

from greengageshunt import application, errors, model
from greengageshunt.membership import ownership
from greengageshunt.peers import messages
from greengageshunt.proxy import pool, rejection, replication
from greengageshunt.requests import ledger
from greengageshunt.scheduling import entry as entry_module

logger = logging.getLogger(__name__)

# Seconds that an acknowledgement waits for a second target to copy the commit. After
# them, the write is acknowledged as not replicated.
REPLICATION_TIMEOUT = 0.5

# Seconds between comparisons of the open pools with the targets that this VM owns.
RECONCILE_INTERVAL = 0.2

# Seconds for the requests and transactions of a pool to end before the pool is closed.
DRAIN_TIMEOUT = 20.0

# Runs work on a connection. Takes the present time in monotonic seconds and records the
# progress of the commit in its last argument.
Operation = abc.Callable[
    [Any, model.Work, float, ledger.CommitProgress], abc.Awaitable[model.Answer]
]


async def _read(
    connection: Any, work: model.Work, now: float, progress: ledger.CommitProgress
) -> model.Answer:
    return await ledger.run_read(connection, work, now)


async def _look_up(
    connection: Any, work: model.Work, now: float, progress: ledger.CommitProgress
) -> model.Answer:
    return await ledger.look_up(connection, work, now)


_WRITE_OPERATIONS: dict[model.Action, Operation] = {
    model.Action.RUN: ledger.run_write,
    model.Action.REFUSE: ledger.store_refusal,
    model.Action.LOOK_UP: _look_up,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnedTarget:
    """Connection pool and replication watch of an owned target."""

    pool: pool.TargetPool
    watch: replication.ReplicationWatch


class TargetOwner:
    """Runs requests on the targets that this entry VM owns, and manages their pools."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view = app.part("membership", "view")
        self._directory = app.part("groups", "directory")
        self._grants = app.part("failover", "grants")
        self._invariants = app.part("invariants", "default")
        self._term_work = app.part("failover", "term-work")
        self._owned: dict[str, OwnedTarget] = {}
        self._draining: set[asyncio.Task[None]] = set()
        app.part("peers", "server").add_handler(messages.Execute, self.execute)

    @property
    def open_connections(self) -> int:
        """Number of open pooled connections to owned targets."""
        return sum(owned.pool.open_connections for owned in self._owned.values())

    def waits(self) -> dict[str, float]:
        """Return the estimated seconds that a new request waits for a slot, by target name."""
        return {name: owned.pool.expected_wait for name, owned in self._owned.items()}

    async def run(self) -> None:
        """Open pools of newly owned targets and drain those of lost ones, until cancelled."""
        try:
            while True:
                self._reconcile()
                await asyncio.sleep(RECONCILE_INTERVAL)
        finally:
            for owned in self._owned.values():
                owned.pool.close()
                owned.watch.close()

    async def stop(self) -> None:
        """Drain and close all pools."""
        await asyncio.gather(*(owned.pool.drain(DRAIN_TIMEOUT) for owned in self._owned.values()))
        await asyncio.gather(*self._draining)

    def open_target(self, target: model.Target) -> OwnedTarget:
        """Return the pool and the watch of a target; open them on first use."""
        if target.name not in self._owned:
            self._owned[target.name] = OwnedTarget(
                pool=pool.TargetPool(app=self._app, target=target),
                watch=replication.ReplicationWatch(app=self._app, target=target),
            )
        return self._owned[target.name]

    async def execute(self, message: messages.Execute, received_at: float) -> messages.Executed:
        """Run a statement on an owned target.

        Args:
            message: Request from an entry VM.
            received_at: Monotonic seconds at which it was received.

        Raises:
            RefusedError: The request did not run, or its outcome is unknown.
        """
        if message.transaction:
            manager = self._app.part("proxy", "transactions")
            return await manager.execute(message, received_at)
        record, target = self.find_active_target(message.group, message.target)
        owned = self.open_target(target)
        entry = queue_entry(message, received_at)
        if not message.work.write:
            read = self._recheck_before_run(_read, message, received_at)
            answer = await self._run(record, owned, entry, message.work, read)
            return executed_message(answer, math.inf, message.trace)
        self.check_grant(record, message.target, message.work.term)
        operation = _WRITE_OPERATIONS[message.work.action]
        write = self._recheck_before_run(operation, message, received_at)
        answer = await self._run(record, owned, entry, message.work, write)
        answer, grant = await self.acknowledge(
            owned, record.group, message.work.term, answer, entry.deadline
        )
        return executed_message(answer, grant - received_at, message.trace)

    def _recheck_before_run(
        self, operation: Operation, message: messages.Execute, received_at: float
    ) -> Operation:
        """Return an operation that repeats the checks after the wait for a slot.

        While the request waits, its key may be revoked or its target may be drained.
        """

        async def run(
            connection: Any, work: model.Work, now: float, progress: ledger.CommitProgress
        ) -> model.Answer:
            if self._app.clock() >= received_at + message.valid_for:
                raise rejection.not_run(
                    "check_expired",
                    "the request waited for a slot until the check of its key expired",
                    message.target,
                )
            self.find_active_target(message.group, message.target)
            return await operation(connection, work, now, progress)

        return run

    async def _run(
        self,
        record: model.GroupRecord,
        owned: OwnedTarget,
        entry: entry_module.QueueEntry,
        work: model.Work,
        operation: Operation,
    ) -> model.Answer:
        attempts: list[ledger.CommitProgress] = []

        async def job(connection: Any) -> model.Answer:
            progress = ledger.CommitProgress()
            attempts.append(progress)
            return await operation(connection, work, self._app.clock(), progress)

        def run(job: abc.Callable[[Any], abc.Awaitable[model.Answer]]) -> Any:
            return owned.pool.run(entry, job)

        try:
            if owned.pool.target.name == record.primary:
                return await self._term_work.run(record, run, job)
            return await run(job)
        except errors.TargetError as error:
            self._invariants.check(
                "no-error-after-commit",
                not any(progress.committed for progress in attempts),
                target=owned.pool.target.name,
                request_id=work.request_id,
            )
            sent = any(progress.commit_sent for progress in attempts)
            raise rejection.from_target_error(error, commit_sent=sent) from error
        except errors.RefusedError as error:
            if any(progress.commit_sent for progress in attempts):
                raise rejection.unknown(
                    error.refusal.code, str(error), owned.pool.target.name
                ) from error
            raise

    async def acknowledge(
        self,
        owned: OwnedTarget,
        group: str,
        term: int,
        answer: model.Answer,
        deadline: float,
    ) -> tuple[model.Answer, float]:
        """Wait until a second target has copied a commit, then check the write grant.

        Args:
            owned: The primary.
            group: Group of the primary.
            term: Term of the write.
            answer: Answer of the primary after the commit.
            deadline: Monotonic seconds at which the caller stops waiting.

        Returns:
            The answer with ``replicated`` set, and the monotonic seconds at which the
            write grant expires.

        Raises:
            RefusedError: The grant expired or the primary failed, so the outcome is unknown.
        """
        committed_at = self._app.clock()
        target = owned.pool.target.name
        remaining = max(0.0, deadline - committed_at)
        replicated = await owned.watch.wait(
            answer.position.offset, min(REPLICATION_TIMEOUT, remaining)
        )
        if not replicated and not self._grants.primary_checked_since(target, committed_at):
            # If the primary fails before a second target has copied the commit, a promotion
            # loses the commit.
            raise rejection.unknown("primary_lost", "the primary failed after the commit", target)
        grant = self._grants.acknowledge(group, term, answer.position.term, self._app.clock())
        if grant is None:
            raise rejection.unknown(
                "grant_expired",
                f"the write grant of term {term} expired before the acknowledgement",
                target,
            )
        return dataclasses.replace(answer, replicated=replicated), grant.expires_at

    def find_target(self, group: str, name: str) -> tuple[model.GroupRecord, model.Target]:
        """Return the record of a group and one of its targets.

        Raises:
            RefusedError: This entry VM does not know the group or the target.
        """
        record = self._directory.record(group)
        target = record.target(name) if record else None
        if record is None or target is None:
            raise rejection.not_run("group_unknown", f"no target {name!r} in group {group!r}", name)
        return record, target

    def find_active_target(self, group: str, name: str) -> tuple[model.GroupRecord, model.Target]:
        """Return the record of a group and one of its targets that is not draining.

        Raises:
            RefusedError: This entry VM does not know the group or the target, or the target
                is draining.
        """
        record, target = self.find_target(group, name)
        if name in record.draining:
            raise rejection.not_run("target_draining", "the target is draining", name)
        return record, target

    def check_grant(self, record: model.GroupRecord, target: str, term: int) -> None:
        """Check that this entry VM may send writes of a term to a target.

        Raises:
            RefusedError: The term or the primary has changed, or there is no valid grant.
        """
        if term != record.term or target != record.primary:
            message = f"the request is for term {term}, but term {record.term} is in force"
            raise rejection.not_run("term_changed", message, target)
        if self._grants.grant(record.group).expires_at <= self._app.clock():
            raise rejection.not_run("no_grant", f"no valid write grant for term {term}", target)

    def _reconcile(self) -> None:
        live = self._view.live(self._app.clock())
        owned_targets = {
            target.name: target
            for record in self._directory.records
            for target in record.targets
            if _owns(self._view.me, target, live)
        }
        for target in owned_targets.values():
            self.open_target(target)
        for name in set(self._owned) - set(owned_targets):
            task = asyncio.create_task(self._drain(self._owned.pop(name)), name=f"drain {name}")
            self._draining.add(task)
            task.add_done_callback(self._draining.discard)

    async def _drain(self, owned: OwnedTarget) -> None:
        try:
            await owned.pool.drain(DRAIN_TIMEOUT)
        finally:
            self._term_work.cancel_jobs_at(owned.pool.target.name)
            owned.pool.close()
            owned.watch.close()


def _owns(me: model.Member, target: model.Target, live: tuple[model.Member, ...]) -> bool:
    owner = ownership.owner(target, live)
    return owner is not None and owner.vm == me.vm


def queue_entry(message: messages.Execute, received_at: float) -> entry_module.QueueEntry:
    """Return the entry of a request in the queue for slots."""
    return entry_module.QueueEntry(
        account=message.work.account,
        weight=message.weight,
        priority=message.priority,
        deadline=received_at + message.timeout,
        queued_at=received_at,
    )


def executed_message(
    answer: model.Answer, grant_after_receipt: float, trace: str
) -> messages.Executed:
    """Return the message that carries an answer and the row count that verifies it."""
    return messages.Executed(
        answer=answer,
        row_count=len(answer.rows),
        grant_after_receipt=grant_after_receipt,
        trace=trace,
    )


def setup(app: application.Application) -> None:
    """Register the execution of requests on owned targets."""
    app.add_part("proxy", "owner", lambda app: TargetOwner(app=app))
    app.add_part("service", "target-owner", lambda app: app.part("proxy", "owner"))
