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
from greengageshunt.proxy import pool, replication
from greengageshunt.requests import ledger
from greengageshunt.scheduling import entry as entry_module

logger = logging.getLogger(__name__)

REPLICATION_WAIT = 0.5  # seconds for a second target to copy a commit
RECONCILE_INTERVAL = 0.2  # seconds

# SQLSTATE of a target that a higher term has fenced; the write was not applied.
NOT_PRIMARY = "25006"


# Runs a statement on a connection; takes the present time.
Operation = abc.Callable[[Any, model.Work, float], abc.Awaitable[model.Answer]]


def refused(code: str, message: str, target: str) -> errors.RefusedError:
    """Return the error for a request that the owner did not send to the target."""
    return errors.RefusedError(
        errors.Refusal(
            code=code, message=message, outcome=errors.Outcome.NOT_RUN, step="owner", peer=target
        )
    )


def unknown(code: str, message: str, target: str) -> errors.RefusedError:
    """Return the error for a request whose outcome is not known."""
    return errors.RefusedError(
        errors.Refusal(
            code=code, message=message, outcome=errors.Outcome.UNKNOWN, step="owner", peer=target
        )
    )


class TargetOwner:
    """Holds the pools of the targets that this entry VM owns."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view = app.part("membership", "view")
        self._directory = app.part("groups", "directory")
        self._grants = app.part("failover", "grants")
        self._term_work = app.part("failover", "term-work")
        self._invariants = app.part("invariants", "default")
        self._pools: dict[str, pool.TargetPool] = {}
        self._watches: dict[str, replication.ReplicationWatch] = {}
        app.part("peers", "server").add_handler(messages.Execute, self.execute)

    @property
    def open_connections(self) -> int:
        """Number of open pooled connections to owned targets."""
        return sum(held.open_connections for held in self._pools.values())

    def waits(self) -> dict[str, float]:
        """Return the seconds that a new request would wait, by owned target."""
        return {name: held.expected_wait for name, held in self._pools.items()}

    async def run(self) -> None:
        """Open pools for owned targets and close the others until cancelled."""
        try:
            while True:
                self._reconcile()
                await asyncio.sleep(RECONCILE_INTERVAL)
        finally:
            for name in list(self._pools):
                self._close(name)

    def pool_of(self, target: model.Target) -> pool.TargetPool:
        """Return the pool of a target, opened on first use."""
        if target.name not in self._pools:
            self._pools[target.name] = pool.TargetPool(app=self._app, target=target)
            self._watches[target.name] = replication.ReplicationWatch(app=self._app, target=target)
        return self._pools[target.name]

    async def execute(self, message: messages.Execute, received_at: float) -> messages.Executed:
        """Run a statement on an owned target.

        Args:
            message: Request of an entry VM.
            received_at: Monotonic seconds of its receipt.

        Raises:
            RefusedError: The request did not run, or its outcome is unknown.
        """
        record, target = self._find(message)
        deadline = received_at + message.timeout
        entry = entry_module.Entry(
            account=message.work.account,
            weight=message.weight,
            priority=message.priority,
            deadline=deadline,
            queued_at=received_at,
        )
        if not message.work.write:
            read = self._checked_at_start(ledger.read, message, received_at)
            answer = await self._run(record, target, entry, message.work, read)
            return _executed(answer, math.inf)
        self._check_grant(record, message)
        write = self._checked_at_start(ledger.write, message, received_at)
        answer = await self._run(record, target, entry, message.work, write)
        return await self._acknowledge(record, message, answer, received_at)

    def _checked_at_start(
        self, operation: Operation, message: messages.Execute, received_at: float
    ) -> Operation:
        """Return an operation that checks again after the wait for a slot.

        While a request waits, its key may be withdrawn and its target drained.
        """

        async def run(connection: Any, work: model.Work, now: float) -> model.Answer:
            if self._app.clock() >= received_at + message.valid_for:
                raise refused(
                    "check_expired",
                    "the request waited longer than the check of its key holds",
                    message.target,
                )
            self._find(message)
            return await operation(connection, work, now)

        return run

    async def _run(
        self,
        record: model.GroupRecord,
        target: model.Target,
        entry: entry_module.Entry,
        work: model.Work,
        operation: Operation,
    ) -> model.Answer:
        def run(job: abc.Callable[[Any], abc.Awaitable[model.Answer]]) -> Any:
            return self.pool_of(target).run(entry, job)

        def job(connection: Any) -> abc.Awaitable[model.Answer]:
            return operation(connection, work, self._app.clock())

        try:
            if target.name == record.primary:
                return await self._term_work.run(record, run, job)
            return await run(job)
        except errors.TargetError as error:
            if error.code == NOT_PRIMARY:
                raise refused("term_changed", str(error), target.name) from error
            if error.code:
                raise refused("statement_rejected", str(error), target.name) from error
            if not error.sent or not work.write:
                raise refused("target_lost", str(error), target.name) from error
            raise unknown("target_lost", str(error), target.name) from error

    async def _acknowledge(
        self,
        record: model.GroupRecord,
        message: messages.Execute,
        answer: model.Answer,
        received_at: float,
    ) -> messages.Executed:
        committed_at = self._app.clock()
        watch = self._watches.get(message.target)
        if watch is None:
            raise unknown("owner_changed", "the target has another owner now", message.target)
        replicated = await watch.wait(answer.position.offset, REPLICATION_WAIT)
        answer = dataclasses.replace(answer, replicated=replicated)
        if not replicated and not self._grants.primary_checked_since(message.target, committed_at):
            # A primary that failed before a second target had the commit takes it along.
            raise unknown("primary_lost", "the primary failed after the commit", message.target)
        term = message.work.term
        grant = self._grants.acknowledge(
            record.group, term, answer.position.term, self._app.clock()
        )
        if grant is None:
            raise unknown(
                "grant_expired",
                f"the write grant of term {term} ended before the acknowledgement",
                message.target,
            )
        return _executed(answer, grant.expires_at - received_at)

    def _find(self, message: messages.Execute) -> tuple[model.GroupRecord, model.Target]:
        record = self._directory.record(message.group)
        target = record.target(message.target) if record else None
        if record is None or target is None:
            raise refused("target_unknown", f"no target {message.target!r}", message.target)
        if message.target in record.draining:
            raise refused("target_draining", "the target takes no new work", message.target)
        return record, target

    def _check_grant(self, record: model.GroupRecord, message: messages.Execute) -> None:
        grant = self._grants.grant(record.group)
        if message.work.term != record.term or message.target != record.primary:
            raise refused(
                "term_changed",
                f"term {message.work.term} was requested, {record.term} is valid",
                message.target,
            )
        if grant.expires_at <= self._app.clock():
            raise refused("no_grant", f"no write grant for term {record.term}", message.target)

    def _reconcile(self) -> None:
        live = self._view.live(self._app.clock())
        owned = {
            target.name: target
            for record in self._directory.records
            for target in record.targets
            if _owns(self._view.me, target, live)
        }
        for target in owned.values():
            self.pool_of(target)
        for name in set(self._pools) - set(owned):
            self._close(name)

    def _close(self, name: str) -> None:
        self._term_work.end_target(name)
        self._pools.pop(name).close()
        self._watches.pop(name).close()


def _owns(me: model.Member, target: model.Target, live: tuple[model.Member, ...]) -> bool:
    owner = ownership.owner(target, live)
    return owner is not None and owner.vm == me.vm


def _executed(answer: model.Answer, grant_after_receipt: float) -> messages.Executed:
    return messages.Executed(
        answer=answer, row_count=len(answer.rows), grant_after_receipt=grant_after_receipt
    )


def setup(app: application.Application) -> None:
    """Register the execution at the owner."""
    app.add_part("proxy", "owner", lambda app: TargetOwner(app=app))
    app.add_part("service", "target-owner", lambda app: app.part("proxy", "owner"))
