"""Execution at the owner of a target: pools, write grants and acknowledgement."""

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

REPLICATION_WAIT = 0.5  # seconds for a second target to copy a commit
RECONCILE_INTERVAL = 0.2  # seconds

# Seconds for the requests and transactions of a pool to end before it is closed.
DRAIN_LIMIT = 20.0

# Runs work on a connection; takes the present time and records how far it came.
Operation = abc.Callable[[Any, model.Work, float, ledger.Attempt], abc.Awaitable[model.Answer]]


async def _read(
    connection: Any, work: model.Work, now: float, attempt: ledger.Attempt
) -> model.Answer:
    return await ledger.read(connection, work, now)


async def _look_up(
    connection: Any, work: model.Work, now: float, attempt: ledger.Attempt
) -> model.Answer:
    return await ledger.look_up(connection, work, now)


_WRITE_OPERATIONS: dict[model.Action, Operation] = {
    model.Action.RUN: ledger.write,
    model.Action.REFUSE: ledger.refuse,
    model.Action.LOOK_UP: _look_up,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnedTarget:
    """What the owner of a target holds for it."""

    pool: pool.TargetPool
    watch: replication.ReplicationWatch


class TargetOwner:
    """Holds the pools of the targets that this entry VM owns."""

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
        """Return the seconds that a new request would wait, by owned target."""
        return {name: owned.pool.expected_wait for name, owned in self._owned.items()}

    async def run(self) -> None:
        """Open pools for owned targets and close the others until cancelled."""
        try:
            while True:
                self._reconcile()
                await asyncio.sleep(RECONCILE_INTERVAL)
        finally:
            for owned in self._owned.values():
                owned.pool.close()
                owned.watch.close()

    async def stop(self) -> None:
        """Wait until no request and no transaction uses a pool."""
        await asyncio.gather(*(owned.pool.drain(DRAIN_LIMIT) for owned in self._owned.values()))
        await asyncio.gather(*self._draining)

    def owned(self, target: model.Target) -> OwnedTarget:
        """Return the pool of a target, opened on first use."""
        if target.name not in self._owned:
            self._owned[target.name] = OwnedTarget(
                pool=pool.TargetPool(app=self._app, target=target),
                watch=replication.ReplicationWatch(app=self._app, target=target),
            )
        return self._owned[target.name]

    async def execute(self, message: messages.Execute, received_at: float) -> messages.Executed:
        """Run a statement on an owned target.

        Args:
            message: Request of an entry VM.
            received_at: Monotonic seconds of its receipt.

        Raises:
            RefusedError: The request did not run, or its outcome is unknown.
        """
        if message.transaction:
            manager = self._app.part("proxy", "transactions")
            return await manager.execute(message, received_at)
        record, target = self.find_open(message.group, message.target)
        owned = self.owned(target)
        entry = queue_entry(message, received_at)
        if not message.work.write:
            read = self._checked_at_start(_read, message, received_at)
            answer = await self._run(record, owned, entry, message.work, read)
            return executed(answer, math.inf, message.trace)
        self.check_grant(record, message.target, message.work.term)
        operation = _WRITE_OPERATIONS[message.work.action]
        write = self._checked_at_start(operation, message, received_at)
        answer = await self._run(record, owned, entry, message.work, write)
        answer, grant = await self.acknowledge(
            owned, record.group, message.work.term, answer, entry.deadline
        )
        return executed(answer, grant - received_at, message.trace)

    def _checked_at_start(
        self, operation: Operation, message: messages.Execute, received_at: float
    ) -> Operation:
        """Return an operation that checks again after the wait for a slot.

        While a request waits, its key may be withdrawn and its target drained.
        """

        async def run(
            connection: Any, work: model.Work, now: float, attempt: ledger.Attempt
        ) -> model.Answer:
            if self._app.clock() >= received_at + message.valid_for:
                raise rejection.not_run(
                    "check_expired",
                    "the request waited longer than the check of its key holds",
                    message.target,
                )
            self.find_open(message.group, message.target)
            return await operation(connection, work, now, attempt)

        return run

    async def _run(
        self,
        record: model.GroupRecord,
        owned: OwnedTarget,
        entry: entry_module.Entry,
        work: model.Work,
        operation: Operation,
    ) -> model.Answer:
        attempts: list[ledger.Attempt] = []

        async def job(connection: Any) -> model.Answer:
            attempt = ledger.Attempt()
            attempts.append(attempt)
            return await operation(connection, work, self._app.clock(), attempt)

        def run(job: abc.Callable[[Any], abc.Awaitable[model.Answer]]) -> Any:
            return owned.pool.run(entry, job)

        try:
            if owned.pool.target.name == record.primary:
                return await self._term_work.run(record, run, job)
            return await run(job)
        except errors.TargetError as error:
            self._invariants.check(
                "no-error-after-commit",
                not any(attempt.committed for attempt in attempts),
                target=owned.pool.target.name,
                request_id=work.request_id,
            )
            sent = any(attempt.commit_sent for attempt in attempts)
            raise rejection.of_target_error(error, commit_sent=sent) from error
        except errors.RefusedError as error:
            if any(attempt.commit_sent for attempt in attempts):
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
        """Wait for replication and check the write grant.

        Args:
            owned: Primary target.
            group: Group of the target.
            term: Term of the write.
            answer: Answer of the target.
            deadline: Monotonic seconds after which the caller no longer waits.

        Returns:
            The answer with ``replicated``, and the expiry of the grant.

        Raises:
            RefusedError: The grant ended or the primary failed, so the outcome is unknown.
        """
        committed_at = self._app.clock()
        target = owned.pool.target.name
        remaining = max(0.0, deadline - committed_at)
        replicated = await owned.watch.wait(
            answer.position.offset, min(REPLICATION_WAIT, remaining)
        )
        if not replicated and not self._grants.primary_checked_since(target, committed_at):
            # A primary that failed before a second target had the commit takes it along.
            raise rejection.unknown("primary_lost", "the primary failed after the commit", target)
        grant = self._grants.acknowledge(group, term, answer.position.term, self._app.clock())
        if grant is None:
            raise rejection.unknown(
                "grant_expired",
                f"the write grant of term {term} ended before the acknowledgement",
                target,
            )
        return dataclasses.replace(answer, replicated=replicated), grant.expires_at

    def find(self, group: str, name: str) -> tuple[model.GroupRecord, model.Target]:
        """Return the record of a group and one of its targets.

        Raises:
            RefusedError: The group or the target is unknown here.
        """
        record = self._directory.record(group)
        target = record.target(name) if record else None
        if record is None or target is None:
            raise rejection.not_run("group_unknown", f"no target {name!r} of {group!r}", name)
        return record, target

    def find_open(self, group: str, name: str) -> tuple[model.GroupRecord, model.Target]:
        """Return the record of a group and one of its targets that takes new work.

        Raises:
            RefusedError: The group or the target is unknown here, or it is draining.
        """
        record, target = self.find(group, name)
        if name in record.draining:
            raise rejection.not_run("target_draining", "the target takes no new work", name)
        return record, target

    def check_grant(self, record: model.GroupRecord, target: str, term: int) -> None:
        """Check that writes of a term may be sent to a target.

        Raises:
            RefusedError: The term or the primary is another one, or the grant ended.
        """
        if term != record.term or target != record.primary:
            message = f"term {term} was requested, {record.term} is valid"
            raise rejection.not_run("term_changed", message, target)
        if self._grants.grant(record.group).expires_at <= self._app.clock():
            raise rejection.not_run("no_grant", f"no write grant for term {term}", target)

    def _reconcile(self) -> None:
        live = self._view.live(self._app.clock())
        wanted = {
            target.name: target
            for record in self._directory.records
            for target in record.targets
            if _owns(self._view.me, target, live)
        }
        for target in wanted.values():
            self.owned(target)
        for name in set(self._owned) - set(wanted):
            task = asyncio.create_task(self._drain(self._owned.pop(name)), name=f"drain {name}")
            self._draining.add(task)
            task.add_done_callback(self._draining.discard)

    async def _drain(self, owned: OwnedTarget) -> None:
        try:
            await owned.pool.drain(DRAIN_LIMIT)
        finally:
            self._term_work.end_target(owned.pool.target.name)
            owned.pool.close()
            owned.watch.close()


def _owns(me: model.Member, target: model.Target, live: tuple[model.Member, ...]) -> bool:
    owner = ownership.owner(target, live)
    return owner is not None and owner.vm == me.vm


def queue_entry(message: messages.Execute, received_at: float) -> entry_module.Entry:
    """Return the entry of a request in the queue for slots."""
    return entry_module.Entry(
        account=message.work.account,
        weight=message.weight,
        priority=message.priority,
        deadline=received_at + message.timeout,
        queued_at=received_at,
    )


def executed(answer: model.Answer, grant_after_receipt: float, trace: str) -> messages.Executed:
    """Return the message that carries an answer and its end marker."""
    return messages.Executed(
        answer=answer,
        row_count=len(answer.rows),
        grant_after_receipt=grant_after_receipt,
        trace=trace,
    )


def setup(app: application.Application) -> None:
    """Register the execution at the owner."""
    app.add_part("proxy", "owner", lambda app: TargetOwner(app=app))
    app.add_part("service", "target-owner", lambda app: app.part("proxy", "owner"))
