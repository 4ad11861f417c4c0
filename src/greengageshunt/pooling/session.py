"""Sessions of callers: session variables, prepared statements and the open transaction."""

import asyncio
import dataclasses
import logging
from collections import abc
from typing import Any

from returns import result

from greengageshunt import errors, logs, model
from greengageshunt.pooling import execution, identity, outcomes, reports, statements

logger = logging.getLogger(__name__)

_NONE = statements.TransactionState.NONE
_OPEN = statements.TransactionState.OPEN
_FAILED = statements.TransactionState.FAILED

# Steps of refusals after which certainly no target ran the statement, so that its rate limit
# token is returned. A read whose connection broke may have run.
_STEPS_NOT_RUN = ("place", "refused by target")

# Most attempts at one statement. A write is retried only if it certainly did not run, a read also
# after it failed or its connection broke.
MAX_ATTEMPTS = 4

# Seconds of delay after a failed attempt at the primary, which may be changing or overloaded.
PRIMARY_RETRY_DELAY = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """One attempt to run a statement on a connection.

    Attributes:
        operation: Operation that the statement belongs to.
        placement: Connection and target.
        statement: The statement.
        received_at: Monotonic seconds at which the statement was received.
    """

    operation: execution.Operation
    placement: execution.Placement
    statement: statements.Statement
    received_at: float


class Transaction:
    """The open transaction of a session.

    Attributes:
        operation: Operation that the transaction is.
        begin: Statement that began it. It is sent to a target when the next one arrives.
        placement: Connection that it holds, or None until the statement after ``begin``
            and after a failure.
        failed: Whether only ``COMMIT`` or ``ROLLBACK`` is accepted, to end it.
        wrote: Whether a write was sent in it.
    """

    def __init__(self, *, operation: execution.Operation, begin: statements.Statement) -> None:
        self.operation = operation
        self.begin = begin
        self.placement: execution.Placement | None = None
        self.failed = False
        self.wrote = False


class Session:
    """One session of a caller; its front end passes it one statement at a time."""

    def __init__(self, *, host: Any, caller: identity.Identity) -> None:
        self._host = host
        self._caller = caller
        self._values: dict[str, str] = {}
        self._prepared: dict[str, str] = {}
        self._transaction: Transaction | None = None
        self._position: model.Position | None = None

    @property
    def state(self) -> statements.TransactionState:
        """State of the transaction."""
        if self._transaction is None:
            return _NONE
        return _FAILED if self._transaction.failed else _OPEN

    @property
    def holds_connection(self) -> bool:
        """Whether the open transaction holds a connection that no other session can use."""
        return self._transaction is not None and self._transaction.placement is not None

    async def run_statement(
        self, statement: statements.Statement, received_at: float
    ) -> statements.CallerAnswer:
        """Run one statement and return its answer."""
        answer = await self._dispatch(statement, received_at)
        return dataclasses.replace(answer, state=self.state)

    async def abort_transaction(self, reason: str) -> None:
        """Fail the open transaction; further statements in it are refused."""
        if self._transaction is None:
            return
        operation = self._transaction.operation
        logs.log_decision(
            logger,
            "abort-transaction",
            request=operation.id,
            account=operation.account,
            reason=reason,
        )
        self._transaction.failed = True
        self._release_connection(self._transaction)

    async def close(self) -> None:
        """Close the session and release its connection."""
        if self._transaction is not None:
            self._release_connection(self._transaction)
            self._transaction = None

    async def _dispatch(
        self, statement: statements.Statement, received_at: float
    ) -> statements.CallerAnswer:
        kind = statement.kind
        if self.state is _FAILED and kind not in (
            statements.Kind.COMMIT,
            statements.Kind.ROLLBACK,
        ):
            return self._refuse(
                statements.Code.MALFORMED,
                "the transaction failed earlier; only COMMIT or ROLLBACK can follow",
                "session",
            )
        handler = self._handlers.get(kind)
        if handler is not None:
            return await handler(self, statement, received_at)
        if kind is statements.Kind.EXECUTE and statement.name not in self._prepared:
            if self._transaction is not None:
                self._fail_transaction(self._transaction)
            return self._refuse(statements.Code.NO_STATEMENT, statement.name, "session")
        if self._transaction is not None:
            return await self._run_in_transaction(self._transaction, statement, received_at)
        return await self._run_single(statement, received_at)

    async def _set(
        self, statement: statements.Statement, received_at: float
    ) -> statements.CallerAnswer:
        # The connection gets the value before the next statement, also in a transaction.
        self._values[statement.name] = statement.value
        return statements.CallerAnswer()

    async def _prepare(
        self, statement: statements.Statement, received_at: float
    ) -> statements.CallerAnswer:
        self._prepared[statement.name] = statement.shape
        return statements.CallerAnswer()

    async def _close(
        self, statement: statements.Statement, received_at: float
    ) -> statements.CallerAnswer:
        self._prepared.pop(statement.name, None)
        return statements.CallerAnswer()

    async def _malformed(
        self, statement: statements.Statement, received_at: float
    ) -> statements.CallerAnswer:
        reason = "the statement is not understood, or too long to be sent on"
        return self._refuse(statements.Code.MALFORMED, reason, "session")

    async def _admit(
        self,
        statement: statements.Statement,
        received_at: float,
        *,
        primary_only: bool,
        transaction: bool,
    ) -> result.Result[execution.Operation, errors.Refusal]:
        """Start an operation if its key, the confirmation and the rate limit allow it."""
        return await self._host.admit(
            self._caller,
            statement.id,
            received_at,
            primary_only=primary_only,
            transaction=transaction,
            last_commit_position=self._position,
        )

    async def _begin(
        self, statement: statements.Statement, received_at: float
    ) -> statements.CallerAnswer:
        if self._transaction is not None:
            self._fail_transaction(self._transaction)
            return self._refuse(
                statements.Code.MALFORMED, "a transaction is already open", "session"
            )
        read_write = statement.kind is statements.Kind.BEGIN
        admitted = await self._admit(
            statement, received_at, primary_only=read_write, transaction=True
        )
        if isinstance(admitted, result.Failure):
            return statements.CallerAnswer(refusal=admitted.failure())
        self._transaction = Transaction(operation=admitted.unwrap(), begin=statement)
        return statements.CallerAnswer()

    async def _rollback(
        self, statement: statements.Statement, received_at: float
    ) -> statements.CallerAnswer:
        transaction = self._transaction
        if transaction is None:
            return self._refuse(statements.Code.MALFORMED, "no transaction is open", "session")
        self._transaction = None
        self._release_connection(transaction)
        return statements.CallerAnswer()

    async def _commit(
        self, statement: statements.Statement, received_at: float
    ) -> statements.CallerAnswer:
        transaction = self._transaction
        if transaction is None:
            return self._refuse(statements.Code.MALFORMED, "no transaction is open", "session")
        if transaction.failed:
            self._transaction = None
            self._release_connection(transaction)
            return self._refuse(
                statements.Code.ABORTED, "the transaction failed earlier", "session"
            )
        refused = await self._ensure_connection(transaction, (), received_at)
        if refused is None and transaction.wrote:
            refused = self._renew_lease(transaction)
        if refused is not None:
            self._transaction = None
            self._release_connection(transaction)
            return statements.CallerAnswer(refusal=refused)
        answer = await self._send_on_connection(transaction, statement, statement.text, received_at)
        self._transaction = None
        self._release_connection(transaction)
        return answer

    def _renew_lease(self, transaction: Transaction) -> errors.Refusal | None:
        """Check before a commit that the transaction's target is still the primary.

        A former primary may accept the commit although its successor lacks it. Returns the
        refusal if the commit must not be sent; the target then rolls the transaction back.
        """
        placement = transaction.placement
        renewed = self._host.executor.renew_lease(placement, transaction.operation.database.group)
        if renewed is None:
            return outcomes.refusal_of(
                statements.Code.ABORTED,
                "the primary was changed during the transaction",
                step="commit",
                peer=placement.target,
            )
        transaction.placement = renewed
        return None

    async def _run_in_transaction(
        self,
        transaction: Transaction,
        statement: statements.Statement,
        received_at: float,
    ) -> statements.CallerAnswer:
        shapes = self._prepared_shapes(statement)
        refused = await self._ensure_connection(transaction, shapes, received_at)
        if refused is not None:
            self._fail_transaction(transaction)
            return statements.CallerAnswer(refusal=refused)
        transaction.wrote = transaction.wrote or self._is_write(statement)
        placement = transaction.placement
        text = self._target_text(statement, placement)
        answer = await self._send_on_connection(transaction, statement, text, received_at)
        if answer.refusal is not None:
            self._fail_transaction(transaction)
        return answer

    async def _ensure_connection(
        self, transaction: Transaction, shapes: tuple[str, ...], received_at: float
    ) -> errors.Refusal | None:
        """Ensure that the transaction has begun on a connection; return the refusal otherwise."""
        if transaction.placement is not None:
            try:
                await transaction.placement.connection.apply_session_state(
                    self._values, shapes, execution.SETUP_TIMEOUT
                )
            except errors.TargetError as error:
                return outcomes.refusal_of(
                    statements.Code.ABORTED, str(error), step=error.step, peer=error.peer
                )
            return None
        tried: set[str] = set()
        refused = None
        for _ in range(MAX_ATTEMPTS):
            placed = await self._place_operation(transaction.operation, shapes, tried, received_at)
            if isinstance(placed, result.Failure):
                self._host.refund(transaction.operation)
                return refused or placed.failure()
            placement = placed.unwrap()
            begin = transaction.begin
            attempt = Attempt(
                operation=transaction.operation,
                placement=placement,
                statement=begin,
                received_at=received_at,
            )
            answer = await self._run_on(attempt, begin.text, False, after=placement.after)
            if isinstance(answer, statements.TargetAnswer) and not answer.code:
                transaction.placement = placement
                self._log(attempt, "ok")
                return None
            refused = outcomes.begin_refusal(answer, placement.target)
            placement.pool.release(placement.connection)
            tried.add(placement.target)
            self._log(attempt, refused.message)
        return refused

    async def _send_on_connection(
        self,
        transaction: Transaction,
        statement: statements.Statement,
        text: str,
        received_at: float,
    ) -> statements.CallerAnswer:
        """Send a statement or the commit of a transaction on its connection."""
        attempt = Attempt(
            operation=transaction.operation,
            placement=transaction.placement,
            statement=statement,
            received_at=received_at,
        )
        is_commit = statement.kind is statements.Kind.COMMIT
        ends_write = is_commit and transaction.wrote
        answer = await self._run_on(attempt, text, ends_write)
        if isinstance(answer, errors.TargetError):
            if not is_commit:
                return self._lost_answer(answer, attempt)
            unknown = transaction.wrote and answer.sent
            code = statements.Code.INDOUBT if unknown else statements.Code.ABORTED
            self._log(attempt, code, str(answer))
            return self._refuse(code, str(answer), answer.step, answer.peer)
        if answer.code:
            return self._error_answer(answer, attempt)
        if ends_write:
            return self._acknowledge(answer, attempt)
        self._log(attempt, "ok")
        return statements.CallerAnswer(rows=answer.rows, signature=answer.signature)

    async def _run_single(
        self, statement: statements.Statement, received_at: float
    ) -> statements.CallerAnswer:
        writes = self._is_write(statement)
        admitted = await self._admit(statement, received_at, primary_only=writes, transaction=False)
        if isinstance(admitted, result.Failure):
            return statements.CallerAnswer(refusal=admitted.failure())
        operation = admitted.unwrap()
        answer = await self._try_targets(operation, statement, received_at)
        if answer.refusal is not None and answer.refusal.step in _STEPS_NOT_RUN:
            self._host.refund(operation)
        return answer

    async def _try_targets(
        self,
        operation: execution.Operation,
        statement: statements.Statement,
        received_at: float,
    ) -> statements.CallerAnswer:
        """Try a single statement at targets in turn, until an answer rules out a retry."""
        shapes = self._prepared_shapes(statement)
        tried: set[str] = set()
        answer: statements.CallerAnswer | None = None
        for _ in range(MAX_ATTEMPTS):
            placed = await self._place_operation(operation, shapes, tried, received_at)
            if isinstance(placed, result.Failure):
                return answer or statements.CallerAnswer(refusal=placed.failure())
            placement = placed.unwrap()
            attempt = Attempt(
                operation=operation,
                placement=placement,
                statement=statement,
                received_at=received_at,
            )
            answer, retry = await self._try_single(attempt)
            if not retry:
                break
            tried.add(placement.target)
            if placement.primary:
                await asyncio.sleep(PRIMARY_RETRY_DELAY)
        return answer

    async def _try_single(
        self,
        attempt: Attempt,
    ) -> tuple[statements.CallerAnswer, bool]:
        """Run a single statement once; return its answer, and whether to retry it."""
        statement, placement = attempt.statement, attempt.placement
        writes = self._is_write(statement)
        try:
            text = self._target_text(statement, placement)
            answer = await self._run_on(attempt, text, writes, after=placement.after)
        finally:
            placement.pool.release(placement.connection)
        if isinstance(answer, statements.TargetAnswer):
            if answer.code == statements.Code.NO_STATEMENT:
                placement.connection.forget_prepared()
            return self._interpret_answer(answer, attempt)
        refused = self._lost_answer(answer, attempt)
        retry = not writes and answer.code != statements.Code.TIMEOUT
        return refused, retry or not answer.sent

    def _interpret_answer(
        self,
        answer: statements.TargetAnswer,
        attempt: Attempt,
    ) -> tuple[statements.CallerAnswer, bool]:
        """Return the caller's answer for an answer of a target, and whether to retry."""
        writes = self._is_write(attempt.statement)
        if answer.code:
            refused = self._error_answer(answer, attempt)
            failed_read = not writes and answer.code == statements.Code.FAILED
            return refused, failed_read or answer.code in statements.NOT_RUN
        if writes:
            return self._acknowledge(answer, attempt), False
        seconds = self._host.clock() - attempt.placement.checked_at
        self._host.executor.record_read(attempt.placement, seconds)
        self._log(attempt, "ok")
        served = statements.CallerAnswer(rows=answer.rows, signature=answer.signature)
        return served, False

    async def _run_on(
        self,
        attempt: Attempt,
        text: str,
        is_write: bool,
        *,
        after: model.Position | None = None,
    ) -> statements.TargetAnswer | errors.TargetError:
        """Run a statement on a connection and return the answer, or the error if there is none.

        Args:
            attempt: The statement and its connection.
            text: Text of the statement for the target.
            is_write: Whether it is a single write or commits writes. The revocation of the
                lease on the primary waits for these.
            after: Position that the target's log must contain, or None.
        """
        executor = self._host.executor
        operation, placement = attempt.operation, attempt.placement
        sent_at = self._host.clock()
        deadline = attempt.received_at + operation.database.statement_timeout
        if is_write:
            executor.begin_write(operation.database.group)
        try:
            answer = await placement.connection.run(
                attempt.statement.id,
                text,
                timeout=max(0.0, deadline - sent_at),
                after=after,
            )
        except errors.TargetError as error:
            executor.record_failure(placement, error, sent_at)
            return error
        finally:
            if is_write:
                executor.end_write(operation.database.group)
        executor.record_answer(operation, placement, answer)
        return answer

    def _acknowledge(
        self,
        answer: statements.TargetAnswer,
        attempt: Attempt,
    ) -> statements.CallerAnswer:
        """Acknowledge a write if the lease on the primary is still valid.

        Otherwise a new primary may lack the write, so its outcome is in doubt.
        """
        placement = attempt.placement
        sent_at = max(attempt.received_at, placement.checked_at)
        group = attempt.operation.database.group
        if not self._host.executor.may_acknowledge(placement, group, sent_at):
            reason = "the permission to use the primary ended before its answer"
            self._log(attempt, "INDOUBT", reason)
            return self._refuse(statements.Code.INDOUBT, reason, "commit", placement.target)
        self._position = answer.position or self._position
        self._log(attempt, "ok")
        return statements.CallerAnswer(rows=answer.rows, signature=answer.signature)

    def _lost_answer(
        self,
        error: errors.TargetError,
        attempt: Attempt,
    ) -> statements.CallerAnswer:
        """Return the answer to a statement whose connection broke or timed out."""
        code = outcomes.lost_answer_code(
            error,
            in_transaction=self._transaction is not None,
            writes=self._is_write(attempt.statement),
        )
        self._log(attempt, code, str(error))
        return self._refuse(code, str(error), error.step, error.peer)

    def _error_answer(
        self,
        answer: statements.TargetAnswer,
        attempt: Attempt,
    ) -> statements.CallerAnswer:
        """Return the answer to a statement that its target answered with an error."""
        self._log(attempt, answer.code, answer.message)
        refused = outcomes.target_refusal(answer, attempt.placement.target)
        return statements.CallerAnswer(refusal=refused)

    async def _place_operation(
        self,
        operation: execution.Operation,
        shapes: tuple[str, ...],
        tried: set[str],
        received_at: float,
    ) -> result.Result[execution.Placement, errors.Refusal]:
        try:
            placement = await self._host.executor.place(
                operation, self._values, shapes, tried, received_at
            )
        except execution.NotPlacedError as error:
            logs.log_decision(
                logger,
                "not-placed",
                level=logging.WARNING,
                request=operation.id,
                account=operation.account,
                database=operation.database.name,
                group=operation.database.group,
                reason=str(error),
                waited=self._host.clock() - received_at,
                outcome="BUSY",
            )
            refused = outcomes.refusal_of(
                statements.Code.BUSY, str(error), step="place", peer=error.peer
            )
            return result.Failure(refused)
        return result.Success(placement)

    def _fail_transaction(self, transaction: Transaction) -> None:
        transaction.failed = True
        self._release_connection(transaction)

    def _release_connection(self, transaction: Transaction) -> None:
        """Release the connection of a transaction.

        The pool closes it if the transaction is still open, and the target rolls back. The answer
        to ``ROLLBACK`` would not do: a repeated answer to an earlier statement looks the same.
        """
        placement, transaction.placement = transaction.placement, None
        if placement is not None:
            placement.pool.release(placement.connection)

    def _prepared_shapes(self, statement: statements.Statement) -> tuple[str, ...]:
        if statement.kind is not statements.Kind.EXECUTE:
            return ()
        return (self._prepared[statement.name],)

    def _target_text(self, statement: statements.Statement, placement: execution.Placement) -> str:
        """Return the text for a connection.

        Prepared statements have a different name on each connection.
        """
        if statement.kind is not statements.Kind.EXECUTE:
            return statement.text
        name = placement.connection.prepared_name(self._prepared[statement.name])
        return f"EXECUTE {name} {statement.arguments}"

    def _is_write(self, statement: statements.Statement) -> bool:
        if statement.kind is statements.Kind.EXECUTE:
            return self._prepared[statement.name].startswith("WRITE")
        return statement.kind is statements.Kind.WRITE

    def _refuse(
        self, code: statements.Code, message: str, step: str, peer: str = ""
    ) -> statements.CallerAnswer:
        refused = outcomes.refusal_of(code, message, step=step, peer=peer)
        return statements.CallerAnswer(refusal=refused)

    def _log(self, attempt: Attempt, outcome: str, reason: str = "") -> None:
        operation, placement = attempt.operation, attempt.placement
        now = self._host.clock()
        seconds = now - attempt.received_at
        served = outcome == "ok"
        logs.log_decision(
            logger,
            "route",
            level=logging.INFO if served else logging.WARNING,
            request=attempt.statement.id,
            operation=operation.id,
            account=operation.account,
            database=operation.database.name,
            group=operation.database.group,
            statement=attempt.statement.kind.value,
            target=placement.target,
            primary=placement.primary,
            after=str(placement.after) if placement.after else "",
            choice=placement.reason,
            lease_age=round(now - placement.checked_at, 4),
            record=placement.version,
            seconds=round(seconds, 4),
            outcome=outcome,
            reason=reason,
        )
        self._host.report(
            reports.Report(
                consistency=operation.database.consistency.value,
                kind=attempt.statement.kind.value,
                code=outcome,
                step="target",
                seconds=seconds,
                replica=not placement.primary,
            )
        )

    _handlers: abc.Mapping[statements.Kind, Any] = {
        statements.Kind.SET: _set,
        statements.Kind.PREPARE: _prepare,
        statements.Kind.CLOSE: _close,
        statements.Kind.MALFORMED: _malformed,
        statements.Kind.BEGIN: _begin,
        statements.Kind.BEGIN_READ: _begin,
        statements.Kind.COMMIT: _commit,
        statements.Kind.ROLLBACK: _rollback,
    }
