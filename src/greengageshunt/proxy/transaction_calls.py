"""Transaction requests at an entry VM, forwarded to the owner that runs the transaction."""

import asyncio
import dataclasses
import uuid

from greengageshunt import application, errors, model
from greengageshunt.membership import ownership
from greengageshunt.peers import messages
from greengageshunt.proxy import execution, forwarding
from greengageshunt.requests import budget, transaction_id
from greengageshunt.routing import history

# Seconds for the rollback of a transaction after the answer to a statement was lost.
ROLLBACK_TIMEOUT = 1.0

# Codes of refusals of a commit after which an earlier commit under the same request id
# may still have succeeded.
_NOT_OPEN_CODES = frozenset({"transaction_ended", "transaction_unknown"})


def pseudo_route(group: str) -> model.Route:
    """Return a write route without a statement, for requests on whole transactions."""
    return model.Route(name="", group=group, kind=model.RouteKind.WRITE, statement="")


class TransactionCalls:
    """Begins, uses and ends transactions for callers, through the owner of the primary."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._directory = app.part("groups", "directory")
        self._view = app.part("membership", "view")
        self._executor = app.part("proxy", "executor")
        self._forwarder = app.part("proxy", "forwarder")

    async def begin(self, request: execution.AuthenticatedRequest) -> transaction_id.TransactionId:
        """Open a transaction at the owner of the group's primary.

        Raises:
            RefusedError: No transaction was opened.
        """
        attempt = 0
        while True:
            attempt += 1
            try:
                return await self._begin(request)
            except errors.RefusedError as error:
                decided = self._executor.decide(request, error.refusal, attempt, request.deadline)
                if not decided.again:
                    raise
            await asyncio.sleep(decided.delay)

    async def run(
        self, request: execution.AuthenticatedRequest, content: transaction_id.TransactionId
    ) -> model.Answer:
        """Run a statement inside an open transaction.

        Raises:
            RefusedError: The statement did not run, or its outcome is unknown. In both
                cases, nothing is committed unless the caller requests a commit.
        """
        if request.route.group != content.group:
            raise forwarding.refusal(
                "transaction_group",
                f"the transaction is in group {content.group!r}, not {request.route.group!r}",
                "transaction",
            )
        now = self._app.clock()
        message = messages.Execute(
            group=content.group,
            target=content.target,
            work=self._work(request, content),
            weight=request.weight,
            priority=request.route.priority,
            timeout=request.deadline - now,
            valid_for=request.check().valid_until - now,
            transaction=content.number,
            trace=_trace(request),
        )
        try:
            return await self._forwarder.execute(content.vm, message, now, effect=True)
        except errors.RefusedError as error:
            if error.refusal.outcome is not errors.Outcome.UNKNOWN:
                raise
            raise errors.RefusedError(
                await self._roll_back_after_lost_answer(request, content, error.refusal)
            ) from error

    async def roll_back(
        self, request: execution.AuthenticatedRequest, content: transaction_id.TransactionId
    ) -> model.Answer:
        """Roll back a transaction.

        Raises:
            RefusedError: The transaction is not open, or its owner did not answer.
        """
        now = self._app.clock()
        message = self._end_message(request, content, False, request.deadline - now)
        return await self._forwarder.execute(content.vm, message, now, effect=False)

    async def commit(
        self,
        request: execution.AuthenticatedRequest,
        content: transaction_id.TransactionId,
        repeated: bool,
    ) -> model.Answer:
        """Commit a transaction; the target stores the outcome under the request id.

        Args:
            request: Commit request.
            content: The transaction.
            repeated: Whether the caller may have sent a commit under this request id before.

        Raises:
            RefusedError: The transaction did not commit, or the outcome is unknown.
        """
        attempt = 0
        deadline = execution.retry_deadline(request)
        while True:
            attempt += 1
            now = self._app.clock()
            message = self._end_message(request, content, True, deadline - now)
            try:
                answer = await self._forwarder.execute(content.vm, message, now, effect=True)
                return self._executor.accept_answer(answer, request)
            except errors.RefusedError as error:
                last_refusal = error.refusal
            lost = last_refusal.outcome is errors.Outcome.UNKNOWN
            if lost or (repeated and last_refusal.code in _NOT_OPEN_CODES):
                return await self._executor.settle(request, last_refusal)
            decided = self._executor.decide(request, last_refusal, attempt, deadline)
            if last_refusal.code not in budget.HELD_CODES or not decided.again:
                raise errors.RefusedError(last_refusal)
            await asyncio.sleep(decided.delay)

    async def _begin(self, request: execution.AuthenticatedRequest) -> transaction_id.TransactionId:
        now = self._app.clock()
        record = self._directory.record(request.route.group)
        if record is None:
            raise forwarding.refusal("group_unknown", f"no group {request.route.group!r}", "route")
        if request.position is not None and history.is_lost(request.position, record.history):
            raise forwarding.refusal(
                "position_lost",
                "a change of primary dropped a transaction that this session has seen",
                "route",
                peer=record.group,
            )
        target = record.target(record.primary)
        owner = ownership.owner(target, self._view.live(now))
        if owner is None:
            raise forwarding.refusal(
                "peer_link_down", f"target {record.primary!r} has no live owner", "route"
            )
        message = messages.TransactionBegin(
            group=record.group,
            target=record.primary,
            term=record.term,
            account=request.account,
            timeout=request.deadline - now,
        )
        # If the answer is lost, nobody knows the transaction's number, so it cannot commit.
        begun = await self._forwarder.send(owner.vm, message, now, effect=False)
        return transaction_id.TransactionId(
            number=begun.number,
            vm=owner.vm,
            group=record.group,
            target=record.primary,
            term=record.term,
            account=request.account,
        )

    async def _roll_back_after_lost_answer(
        self,
        request: execution.AuthenticatedRequest,
        content: transaction_id.TransactionId,
        refusal: errors.Refusal,
    ) -> errors.Refusal:
        """Return the refusal of a statement whose answer was lost.

        The statement may have run, and a later commit would include it. The outcome is
        "not run" only if the rollback of the transaction is confirmed.
        """
        now = self._app.clock()
        message = self._end_message(request, content, False, ROLLBACK_TIMEOUT)
        try:
            await self._forwarder.execute(content.vm, message, now, effect=False)
        except errors.RefusedError:
            return dataclasses.replace(refusal, code="transaction_lost")
        return dataclasses.replace(
            refusal,
            code="transaction_lost",
            message=f"the transaction was rolled back: {refusal.message}",
            outcome=errors.Outcome.NOT_RUN,
        )

    def _work(
        self, request: execution.AuthenticatedRequest, content: transaction_id.TransactionId
    ) -> model.Work:
        return model.Work(
            statement=request.route.statement,
            parameters=request.parameters,
            write=request.writes,
            account=request.account,
            request_id=request.request_id,
            term=content.term,
            route=request.route.name,
        )

    def _end_message(
        self,
        request: execution.AuthenticatedRequest,
        content: transaction_id.TransactionId,
        commit: bool,
        timeout: float,
    ) -> messages.TransactionEnd:
        return messages.TransactionEnd(
            number=content.number,
            commit=commit,
            work=self._work(request, content),
            timeout=timeout,
            trace=_trace(request),
        )


def _trace(request: execution.AuthenticatedRequest) -> str:
    return f"{request.trace}#{uuid.uuid4().hex[:8]}"


def setup(app: application.Application) -> None:
    """Register the transaction requests of callers."""
    app.add_part("proxy", "transaction-calls", lambda app: TransactionCalls(app=app))
