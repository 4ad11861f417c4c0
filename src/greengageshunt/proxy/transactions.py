"""Open transactions at the owner of the primary, each with its own task and connection."""

import asyncio
import collections
import contextlib
import dataclasses
import logging
import math
import secrets
from collections import abc
from typing import Any

from greengageshunt import application, config, errors, logs, model
from greengageshunt.peers import messages
from greengageshunt.proxy import connection as connection_module
from greengageshunt.proxy import open_transaction, owner, rejection
from greengageshunt.requests import ledger
from greengageshunt.scheduling import entry as entry_module
from greengageshunt.scheduling import gate as gate_module

logger = logging.getLogger(__name__)

_TRANSACTION_NUMBER_BYTES = 12

# Number of ended transactions whose end reason is kept for late requests.
END_REASONS_KEPT = 1000

# Seconds that a transaction which has written waits for a slot before it runs its
# statement without one. The statements in all slots may wait for locks of this
# transaction, which only its own next statements can release.
LOCK_HOLDER_SLOT_TIMEOUT = 0.25

# Seconds by which the idle limit at the target exceeds that of the owner, so that the
# owner ends an idle transaction first.
TARGET_IDLE_MARGIN = 1.0

# Seconds for the rollback that is sent before the connection returns to the pool.
ROLLBACK_TIMEOUT = 1.0


class TransactionManager:
    """Runs the open transactions on the primaries that this entry VM owns."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._owner = app.part("proxy", "owner")
        self._invariants = app.part("invariants", "default")
        self._idle_limit = app.settings["transactions.idle_limit"]
        self._total_limit = app.settings["transactions.total_limit"]
        self._open: dict[str, open_transaction.OpenTransaction] = {}
        self._end_reasons: collections.OrderedDict[str, str] = collections.OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        server = app.part("peers", "server")
        server.add_handler(messages.TransactionBegin, self.begin)
        server.add_handler(messages.TransactionEnd, self.end)

    async def run(self) -> None:
        """Wait until cancelled, then cancel the tasks of all open transactions."""
        try:
            await asyncio.Event().wait()
        finally:
            for task in self._tasks:
                task.cancel()

    async def begin(
        self, message: messages.TransactionBegin, received_at: float
    ) -> messages.TransactionBegun:
        """Open a transaction.

        Raises:
            RefusedError: The transaction was not opened.
        """
        record, target = self._owner.find_target(message.group, message.target)
        if self._app.stopping:
            raise rejection.not_run(
                "owner_leaving", "the owner of the target is shutting down", message.target
            )
        if message.target in record.draining:
            raise rejection.not_run("target_draining", "the target is draining", message.target)
        self._owner.check_grant(record, message.target, message.term)
        owned = self._owner.open_target(target)
        limit = owned.pool.size - target.slots
        open_count = sum(
            1 for opened in self._open.values() if opened.begin.target == message.target
        )
        if open_count >= limit:
            raise rejection.not_run(
                "transactions_full",
                f"{open_count} of {limit} transactions are open",
                message.target,
            )
        number = secrets.token_hex(_TRANSACTION_NUMBER_BYTES)
        opened = open_transaction.OpenTransaction(begin=message, number=number)
        self._open[number] = opened
        ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(
            self._run_transaction(opened, owned, ready), name=f"transaction {number}"
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await ready
        return messages.TransactionBegun(number=number)

    async def execute(self, message: messages.Execute, received_at: float) -> messages.Executed:
        """Run a statement inside an open transaction.

        Raises:
            RefusedError: The target rejected the statement and the transaction is rolled
                back, or the statement did not run.
        """
        opened = self._find_transaction(message.transaction, message.work.account)
        entry = owner.queue_entry(message, received_at)
        _, target = self._owner.find_target(opened.begin.group, opened.begin.target)
        gate = self._owner.open_target(target).pool.gate

        async def run(lease: connection_module.Lease) -> model.Answer:
            async with contextlib.AsyncExitStack() as stack:
                await self._acquire_slot(stack, opened, gate, entry)
                if self._app.clock() >= received_at + message.valid_for:
                    raise rejection.not_run(
                        "check_expired",
                        "the statement waited for a slot until the check of its key expired",
                        target.name,
                    )
                opened.record_statement(write=message.work.write)
                return await self._statement(opened, lease, entry.deadline, message.work)

        answer = await self._submit(opened, run, ends=False)
        return owner.executed_message(answer, math.inf, message.trace)

    async def end(self, message: messages.TransactionEnd, received_at: float) -> messages.Executed:
        """Commit or roll back an open transaction.

        Raises:
            RefusedError: The transaction did not commit, or the outcome is unknown.
        """
        opened = self._find_transaction(message.number, message.work.account)
        record, target = self._owner.find_target(opened.begin.group, opened.begin.target)
        owned = self._owner.open_target(target)
        deadline = received_at + message.timeout
        if not message.commit:

            async def roll_back(lease: connection_module.Lease) -> model.Answer:
                return await self._roll_back(lease, deadline)

            answer = await self._submit(opened, roll_back, ends=True)
            return owner.executed_message(answer, math.inf, message.trace)
        self._owner.check_grant(record, target.name, opened.begin.term)

        async def commit(lease: connection_module.Lease) -> model.Answer:
            return await self._commit(opened, lease, message.work, deadline)

        answer = await self._submit(opened, commit, ends=True)
        answer, grant = await self._owner.acknowledge(
            owned, record.group, opened.begin.term, answer, deadline
        )
        return owner.executed_message(answer, grant - received_at, message.trace)

    def _find_transaction(self, number: str, account: str) -> open_transaction.OpenTransaction:
        opened = self._open.get(number)
        if opened is not None and opened.begin.account == account:
            return opened
        end = self._end_reasons.get(number, "not open at this entry VM")
        raise errors.RefusedError(
            errors.Refusal(
                code="transaction_ended" if number in self._end_reasons else "transaction_unknown",
                message=f"transaction: {end}",
                outcome=errors.Outcome.NOT_RUN,
                step="transaction",
            )
        )

    async def _submit(
        self,
        opened: open_transaction.OpenTransaction,
        run: abc.Callable[[connection_module.Lease], abc.Awaitable[Any]],
        *,
        ends: bool,
    ) -> Any:
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        opened.enqueue(open_transaction.Command(run=run, ends=ends, future=future))
        return await future

    async def _run_transaction(
        self,
        opened: open_transaction.OpenTransaction,
        owned: owner.OwnedTarget,
        ready: asyncio.Future[None],
    ) -> None:
        """Begin the transaction, run its commands one at a time, and end it.

        Args:
            opened: The transaction.
            owned: The primary.
            ready: Receives None once the transaction has begun, or the error.
        """
        end = "rolled back: its owner stopped"
        total_deadline = self._app.clock() + self._total_limit
        owned.pool.add_user()
        lease = None
        try:
            lease = await owned.pool.acquire(self._app.clock() + opened.begin.timeout)
            await self._begin(opened, lease)
            ready.set_result(None)
            end = await self._run_commands(opened, lease, total_deadline)
        except errors.TargetError as error:
            end = f"rolled back: {error}"
            if not ready.done():
                ready.set_exception(rejection.from_target_error(error, commit_sent=False))
        except errors.RefusedError as error:
            end = f"rolled back: {error}"
            if not ready.done():
                ready.set_exception(error)
        finally:
            self._close(opened, end)
            if lease is not None:
                with contextlib.suppress(errors.TargetError):
                    await self._roll_back(lease, self._app.clock() + ROLLBACK_TIMEOUT)
                owned.pool.release(lease)
            owned.pool.remove_user()

    async def _run_commands(
        self,
        opened: open_transaction.OpenTransaction,
        lease: connection_module.Lease,
        total_deadline: float,
    ) -> str:
        """Run commands until the transaction ends; return the end reason."""
        while True:
            remaining = total_deadline - self._app.clock()
            try:
                async with asyncio.timeout(max(0.0, min(self._idle_limit, remaining))):
                    command = await opened.next_command()
            except TimeoutError:
                return "rolled back: its time limit passed"
            end = await self._run_command(command, lease)
            if end:
                return end

    async def _run_command(
        self, command: open_transaction.Command, lease: connection_module.Lease
    ) -> str:
        """Run one command; return the end reason, or an empty string if it stays open."""
        try:
            value = await command.run(lease)
        except errors.RefusedError as error:
            # The statement did not run, mostly because its deadline passed in the queue for
            # a slot, so the transaction stays open.
            command.fail(error)
            return f"ended: {error}" if command.ends else ""
        except errors.TargetError as error:
            command.fail(rejection.from_target_error(error, commit_sent=False))
            return f"rolled back: {error}"
        if not command.future.done():
            command.future.set_result(value)
        return "ended by its caller" if command.ends else ""

    async def _acquire_slot(
        self,
        stack: contextlib.AsyncExitStack,
        opened: open_transaction.OpenTransaction,
        gate: gate_module.SlotGate,
        entry: entry_module.QueueEntry,
    ) -> None:
        """Acquire a slot; a transaction that may hold locks continues without one.

        Raises:
            RefusedError: No slot was free in time, and the transaction has not written.
        """
        if not opened.has_written:
            await stack.enter_async_context(gate.slot(entry))
            return
        deadline = min(entry.deadline, self._app.clock() + LOCK_HOLDER_SLOT_TIMEOUT)
        with contextlib.suppress(errors.RefusedError):
            await stack.enter_async_context(
                gate.slot(dataclasses.replace(entry, deadline=deadline))
            )

    async def _begin(
        self, opened: open_transaction.OpenTransaction, lease: connection_module.Lease
    ) -> None:
        async def job(connection: Any) -> None:
            opened.bind(connection)
            await connection.begin(self._idle_limit + TARGET_IDLE_MARGIN)

        await lease.connection.submit(job, lease, self._app.clock() + opened.begin.timeout)

    def _check_connection(self, opened: open_transaction.OpenTransaction, connection: Any) -> None:
        self._invariants.check(
            "transaction-on-one-connection",
            opened.is_bound_to(connection),
            transaction=opened.number,
        )

    async def _statement(
        self,
        opened: open_transaction.OpenTransaction,
        lease: connection_module.Lease,
        deadline: float,
        work: model.Work,
    ) -> model.Answer:
        async def job(connection: Any) -> model.Answer:
            self._check_connection(opened, connection)
            return await ledger.run_read(connection, work, self._app.clock())

        return await lease.connection.submit(job, lease, deadline)

    async def _roll_back(self, lease: connection_module.Lease, deadline: float) -> model.Answer:
        async def job(connection: Any) -> model.Answer:
            await connection.run("rollback", "ROLLBACK")
            return model.Answer(
                columns=(),
                rows=(),
                row_count=0,
                position=model.Position(term=0, offset=0),
                target=connection.target.name,
            )

        return await lease.connection.submit(job, lease, deadline)

    async def _commit(
        self,
        opened: open_transaction.OpenTransaction,
        lease: connection_module.Lease,
        work: model.Work,
        deadline: float,
    ) -> model.Answer:
        progress = ledger.CommitProgress()

        async def job(connection: Any) -> model.Answer:
            self._check_connection(opened, connection)
            return await ledger.commit_transaction(connection, work, self._app.clock(), progress)

        try:
            return await lease.connection.submit(job, lease, deadline)
        except errors.TargetError as error:
            raise rejection.from_target_error(error, commit_sent=progress.commit_sent) from error

    def _close(self, opened: open_transaction.OpenTransaction, end: str) -> None:
        del self._open[opened.number]
        self._end_reasons[opened.number] = end
        if len(self._end_reasons) > END_REASONS_KEPT:
            self._end_reasons.popitem(last=False)
        opened.fail_queued(rejection.not_run("transaction_ended", end, opened.begin.target))
        logs.log_decision(
            logger,
            "end-transaction",
            transaction=opened.number,
            account=opened.begin.account,
            target=opened.begin.target,
            reason=end,
        )


def setup(app: application.Application) -> None:
    """Register the transactions part and its settings."""
    app.add_setting(
        config.Setting(
            key="transactions.idle_limit",
            kind=float,
            default=5.0,
            doc="Seconds without a statement after which a transaction is rolled back.",
            check=config.is_positive,
        )
    )
    app.add_setting(
        config.Setting(
            key="transactions.total_limit",
            kind=float,
            default=20.0,
            doc="Seconds after which a transaction is rolled back.",
            check=config.is_positive,
        )
    )
    app.add_part("proxy", "transactions", lambda app: TransactionManager(app=app))
    app.add_part("service", "transactions", lambda app: app.part("proxy", "transactions"))
