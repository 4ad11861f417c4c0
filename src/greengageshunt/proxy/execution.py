"""Attempts and retries of one request at its entry VM, until its outcome is proven."""

import asyncio
import dataclasses
import logging
import math
import uuid
from collections import abc
from typing import Any, TypeVar

from returns import pipeline, result

from greengageshunt import application, errors, logs, model
from greengageshunt.membership import ownership
from greengageshunt.peers import messages
from greengageshunt.proxy import forwarding
from greengageshunt.requests import budget
from greengageshunt.routing import decision

logger = logging.getLogger(__name__)

# A target counts as live if its latest status is at most this many seconds old.
LIVE_STATUS_AGE = 1.0

# Part of a request's time that is reserved to settle the outcome of a write after its
# last attempt: the smaller of the seconds and the share of the time-out. A smaller
# reserve reports more outcomes as unknown; a larger one leaves less time for retries.
SETTLE_RESERVE_SECONDS = 0.5
SETTLE_RESERVE_SHARE = 0.25

_T = TypeVar("_T")


def unwrap(value: result.Result[_T, errors.Refusal]) -> _T:
    """Return the value of a successful result.

    Raises:
        RefusedError: The result is a failure.
    """
    if pipeline.is_successful(value):
        return value.unwrap()
    raise errors.RefusedError(value.failure())


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyCheck:
    """Client account of a caller's key, and how long that is known to hold.

    Attributes:
        account: Client account of the key, or an empty string on open routes.
        valid_until: Monotonic seconds after which the key must be checked again.
    """

    account: str
    valid_until: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class AuthenticatedRequest:
    """An authenticated request, as the proxy works on it.

    Attributes:
        route: Route of the request.
        parameters: Values of the statement's placeholders.
        account: Client account, or an empty string on open routes.
        weight: Weight of the client account.
        check: Function that checks the caller's key again and raises RefusedError if the
            key is not valid.
        position: Newest position of the group that the session has seen, or None.
        request_id: Id under which the outcome is stored; empty to store none.
        trace: Id that log lines and peer messages carry.
        started_at: Monotonic seconds at which the request arrived.
        deadline: Monotonic seconds at which the caller stops waiting.
    """

    route: model.Route
    parameters: abc.Mapping[str, model.Value]
    account: str
    weight: float
    check: abc.Callable[[], KeyCheck]
    position: model.Position | None
    request_id: str
    trace: str
    started_at: float
    deadline: float

    @property
    def writes(self) -> bool:
        """Whether the route writes."""
        return self.route.kind is model.RouteKind.WRITE


class Executor:
    """Runs requests at their owners and retries them.

    The target stores the request id in the transaction of the write, so a retry under
    the same id runs the write at most once.
    """

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._directory = app.part("groups", "directory")
        self._view = app.part("membership", "view")
        self._owner = app.part("proxy", "owner")
        self._forwarder = app.part("proxy", "forwarder")
        self._budgets = app.part("requests", "budgets")
        self._invariants = app.part("invariants", "default")
        self._choose = app.selected("routing")
        self._peer_waits: dict[str, float] = {}
        app.part("peers", "links").add_heartbeat_value(
            "waits", self._owner.waits, self._store_peer_waits
        )

    async def run(self, request: AuthenticatedRequest) -> model.Answer:
        """Attempt a request until its outcome is known or its deadline passes.

        Raises:
            RefusedError: The request did not run, or its outcome is unknown.
        """
        deadline = retry_deadline(request)
        failed: set[str] = set()
        uncertain = False
        resent = False
        committed = False
        attempt = 0
        while True:
            attempt += 1
            try:
                answer = await self.attempt(request, model.Action.RUN, deadline, failed)
                committed = committed or not answer.refused
                answer = self.accept_answer(answer, request)
            except errors.RefusedError as error:
                last_refusal = error.refusal
            else:
                self._budgets.credit(request.account, request.route.group)
                return answer
            resent = resent or (uncertain and last_refusal.code not in budget.HELD_CODES)
            uncertain = uncertain or last_refusal.outcome is errors.Outcome.UNKNOWN
            settles = uncertain and not resent and bool(request.request_id) and request.writes
            decided = self.decide(request, last_refusal, attempt, deadline, settles)
            if not decided.again:
                break
            await asyncio.sleep(decided.delay)
        if uncertain and request.request_id and request.writes:
            return await self.settle(request, last_refusal, committed=committed)
        outcome = errors.Outcome.UNKNOWN if uncertain and request.writes else last_refusal.outcome
        self._check_not_run(request, outcome, committed)
        raise errors.RefusedError(dataclasses.replace(last_refusal, outcome=outcome))

    async def settle(
        self,
        request: AuthenticatedRequest,
        last_refusal: errors.Refusal,
        *,
        committed: bool = False,
    ) -> model.Answer:
        """Determine the outcome of a write that may have run.

        The primary stores a refusal under the request id, unless the write has committed.
        Once the refusal is committed and a second target has copied it, the write can
        never run.

        Args:
            request: The write.
            last_refusal: Refusal of the last attempt.
            committed: Whether an earlier attempt returned a committed answer.

        Raises:
            RefusedError: The write did not run, or its outcome stays unknown.
        """
        # Without this, a session position that the primary lacks would block the refusal.
        request = dataclasses.replace(request, position=None)
        answer = None
        while answer is None:
            try:
                answer = await self.attempt(request, model.Action.REFUSE, request.deadline, set())
            except errors.RefusedError as error:
                if error.refusal.code == "request_id_reused":
                    raise
                if self._app.clock() + budget.HELD_RETRY_DELAY >= request.deadline:
                    break
                await asyncio.sleep(budget.HELD_RETRY_DELAY)
        logs.log_decision(
            logger,
            "settle",
            request_id=request.trace,
            account=request.account,
            outcome="unknown" if answer is None else "refused" if answer.refused else "committed",
        )
        if answer is None or (answer.refused and not answer.replicated):
            raise errors.RefusedError(
                dataclasses.replace(last_refusal, outcome=errors.Outcome.UNKNOWN)
            )
        if answer.refused:
            self._check_not_run(request, errors.Outcome.NOT_RUN, committed)
            raise errors.RefusedError(
                dataclasses.replace(last_refusal, outcome=errors.Outcome.NOT_RUN)
            )
        return self.accept_answer(answer, request)

    def _check_not_run(
        self, request: AuthenticatedRequest, outcome: errors.Outcome, committed: bool
    ) -> None:
        contradicted = committed and outcome is errors.Outcome.NOT_RUN
        self._invariants.check(
            "no-not-run-after-commit", not contradicted, request_id=request.trace
        )

    async def look_up(self, request: AuthenticatedRequest) -> model.Answer:
        """Return the answer that is stored under a request id.

        Raises:
            RefusedError: Nothing is stored, or the primary gave no answer in time.
        """
        attempt = 0
        while True:
            attempt += 1
            try:
                return await self.attempt(request, model.Action.LOOK_UP, request.deadline, set())
            except errors.RefusedError as error:
                if error.refusal.code == "request_unknown":
                    raise
                decided = self.decide(request, error.refusal, attempt, request.deadline)
                if not decided.again:
                    raise
            await asyncio.sleep(decided.delay)

    def decide(
        self,
        request: AuthenticatedRequest,
        last_refusal: errors.Refusal,
        attempt: int,
        deadline: float,
        settles: bool = False,
    ) -> budget.RetryDecision:
        """Decide on a retry and log the decision.

        A held request is retried many times a second, so only its first retry is logged.
        """
        decided = self._budgets.decide(
            last_refusal,
            request.account,
            request.route.group,
            attempt=attempt,
            deadline=deadline,
            settles=settles,
        )
        if decided.reason == "held" and attempt > 1:
            return decided
        logs.log_decision(
            logger,
            "retry",
            request_id=request.trace,
            account=request.account,
            group=request.route.group,
            attempt=attempt,
            code=last_refusal.code,
            outcome=last_refusal.outcome,
            again=decided.again,
            reason=decided.reason,
        )
        return decided

    async def attempt(
        self, request: AuthenticatedRequest, action: model.Action, deadline: float, failed: set[str]
    ) -> model.Answer:
        """Attempt a request once.

        Args:
            request: The request.
            action: What the owner does with the request id of a write.
            deadline: Monotonic seconds at which the owner stops working on the request.
            failed: Names of the targets of failed attempts. A read avoids them if another
                target can serve it. The chosen target is added if this attempt fails.

        Raises:
            RefusedError: The request did not run, or its outcome is unknown.
        """
        now = self._app.clock()
        valid_until = self._valid_until(request, action)
        record = self._directory.record(request.route.group)
        if record is None:
            raise forwarding.refusal("group_unknown", f"no group {request.route.group!r}", "route")
        chosen = unwrap(self._choose(self._routing_input(request, record, failed, now), now))
        target = record.target(chosen.target)
        owner = ownership.owner(target, self._view.live(now))
        self._log_route(request, record, chosen, owner)
        if owner is None:
            raise forwarding.refusal(
                "peer_link_down", f"target {chosen.target!r} has no live owner", "route"
            )
        self._app.events.emit("route-chosen", chosen)
        message = _message(request, action, chosen, deadline - now, valid_until - now)
        try:
            return await self._forwarder.execute(owner.vm, message, now, effect=request.writes)
        except errors.RefusedError:
            failed.add(chosen.target)
            raise

    def accept_answer(self, answer: model.Answer, request: AuthenticatedRequest) -> model.Answer:
        """Return the answer if it may be returned to the caller.

        Raises:
            RefusedError: A refusal is stored under the request id, or the route requires
                a second target to copy the commit and none has.
        """
        if answer.refused:
            raise forwarding.refusal(
                "request_refused",
                "a refusal is stored under the request id",
                "look-up",
                peer=answer.target,
                outcome=errors.Outcome.NOT_RUN if answer.replicated else errors.Outcome.UNKNOWN,
            )
        if request.route.require_replicated and request.writes and not answer.replicated:
            raise forwarding.refusal(
                "not_replicated",
                "no second target has copied the commit yet",
                "acknowledge",
                peer=answer.target,
                outcome=errors.Outcome.UNKNOWN,
            )
        return answer

    def _valid_until(self, request: AuthenticatedRequest, action: model.Action) -> float:
        """Check the caller's key again; return the monotonic seconds until it is valid.

        The key may have been revoked while the request was held. Storing a refusal runs
        no statement of the caller, so it needs no valid key.
        """
        if action is model.Action.REFUSE:
            return math.inf
        checked = request.check()
        if checked.account != request.account:
            raise forwarding.refusal(
                "key_unknown",
                "the key belongs to another client account now",
                "authenticate",
            )
        return checked.valid_until

    def _routing_input(
        self, request: AuthenticatedRequest, record: model.GroupRecord, failed: set[str], now: float
    ) -> decision.RoutingInput:
        names = [target.name for target in record.targets]
        statuses = [status for name in names if (status := self._directory.status(name))]
        owned_waits = self._owner.waits()
        return decision.RoutingInput(
            route=request.route,
            record=record,
            statuses=tuple(statuses),
            position=request.position,
            max_lags={name: self._directory.lag(name, now) for name in names},
            expected_waits={
                name: owned_waits.get(name, self._peer_waits.get(name, 0.0)) for name in names
            },
            live_targets=frozenset(
                status.target for status in statuses if now - status.observed_at <= LIVE_STATUS_AGE
            ),
            in_transaction=False,
            seconds_waited=now - request.started_at,
            failed_targets=frozenset(failed),
        )

    def _log_route(
        self,
        request: AuthenticatedRequest,
        record: model.GroupRecord,
        chosen: decision.RoutingDecision,
        owner: model.Member | None,
    ) -> None:
        logs.log_decision(
            logger,
            "route",
            request_id=request.trace,
            account=request.account,
            route=request.route.name,
            group=record.group,
            target=chosen.target,
            owner=owner.vm if owner else "",
            term=record.term,
            position=request.position.offset if request.position else 0,
            reason=chosen.reason,
        )

    def _store_peer_waits(self, vm: str, waits: Any, sent_at: float) -> None:
        self._peer_waits.update(waits)


def retry_deadline(request: AuthenticatedRequest) -> float:
    """Return the monotonic seconds at which retries stop.

    A write with a request id is settled in the time from then to its deadline.
    """
    if not (request.writes and request.request_id):
        return request.deadline
    return request.deadline - min(
        SETTLE_RESERVE_SECONDS, SETTLE_RESERVE_SHARE * (request.deadline - request.started_at)
    )


def _message(
    request: AuthenticatedRequest,
    action: model.Action,
    chosen: decision.RoutingDecision,
    timeout: float,
    valid_for: float,
) -> messages.Execute:
    return messages.Execute(
        group=request.route.group,
        target=chosen.target,
        work=model.Work(
            statement=request.route.statement,
            parameters=request.parameters,
            write=request.writes,
            account=request.account,
            request_id=request.request_id,
            term=chosen.term,
            route=request.route.name,
            action=action,
            after=None if request.writes else request.position,
        ),
        weight=request.weight,
        priority=request.route.priority,
        timeout=timeout,
        valid_for=valid_for,
        transaction="",
        # Unique to the attempt, so that a late answer to an earlier attempt is rejected.
        trace=f"{request.trace}#{uuid.uuid4().hex[:8]}",
    )


def setup(app: application.Application) -> None:
    """Register the execution of requests."""
    app.add_event("route-chosen")
    app.add_part("proxy", "executor", lambda app: Executor(app=app))
