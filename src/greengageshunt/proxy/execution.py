"""Tries of one request at an entry VM, up to an outcome that can be stated."""

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

# A target counts as live if it was checked within this many seconds.
LIVE_DEADLINE = 1.0

# Time kept back from the tries of a write to settle its outcome, in seconds and
# as a share of the caller's time.
SETTLE_TIME = 0.5
SETTLE_SHARE = 0.25

_T = TypeVar("_T")


def unwrap(value: result.Result[_T, errors.Refusal]) -> _T:
    """Return the value of a success.

    Raises:
        RefusedError: The result is a failure.
    """
    if pipeline.is_successful(value):
        return value.unwrap()
    raise errors.RefusedError(value.failure())


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyCheck:
    """Result of the check of a caller's key.

    Attributes:
        account: Client account of the key, or an empty string on open routes.
        valid_until: Monotonic seconds until which the check holds.
    """

    account: str
    valid_until: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Job:
    """A request after authentication.

    Attributes:
        route: Route of the request.
        parameters: Values of the statement's placeholders.
        account: Client account, or an empty string on open routes.
        weight: Weight of the client account.
        check: Checks the caller's key again; raises RefusedError if it is not valid.
        position: Position that the session has seen of the group, or None.
        request_id: Id under which the outcome is stored; empty to store none.
        trace: Id for log lines.
        started_at: Monotonic seconds of the request's arrival.
        deadline: Monotonic seconds after which the caller no longer waits.
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
    """Tries requests; a write is tried again only under its request id.

    The target stores the id with the write, so that it runs at most once.
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
        self._waits: dict[str, float] = {}
        app.part("peers", "links").add_extra("waits", self._owner.waits, self._learn_waits)

    async def run(self, job: Job) -> model.Answer:
        """Try until the request has an outcome or its deadline passes.

        Raises:
            RefusedError: What is known of the outcome.
        """
        deadline = last_try(job)
        failed: set[str] = set()
        uncertain = False
        resent = False
        committed = False
        attempt = 0
        while True:
            attempt += 1
            try:
                answer = await self.attempt(job, model.Action.RUN, deadline, failed)
                committed = committed or not answer.refused
                answer = self.stated(answer, job)
            except errors.RefusedError as error:
                refused = error.refusal
            else:
                self._budgets.credit(job.account, job.route.group)
                return answer
            resent = resent or (uncertain and refused.code not in budget.HELD_CODES)
            uncertain = uncertain or refused.outcome is errors.Outcome.UNKNOWN
            settles = uncertain and not resent and bool(job.request_id) and job.writes
            decided = self.decide(job, refused, attempt, deadline, settles)
            if not decided.again:
                break
            await asyncio.sleep(decided.delay)
        if uncertain and job.request_id and job.writes:
            return await self.settle(job, refused, committed=committed)
        outcome = errors.Outcome.UNKNOWN if uncertain and job.writes else refused.outcome
        self._check_not_run(job, outcome, committed)
        raise errors.RefusedError(dataclasses.replace(refused, outcome=outcome))

    async def settle(
        self, job: Job, refused: errors.Refusal, *, committed: bool = False
    ) -> model.Answer:
        """Find or force the outcome of a write that was sent.

        A refusal is stored under the request id; when that commits and a second
        target has it, the write can never run.

        Args:
            job: The write.
            refused: Refusal of the last try.
            committed: Whether a try has seen the commit.

        Raises:
            RefusedError: The write did not run, or its outcome stays unknown.
        """
        # The outcome of the write matters now, not what its session has seen.
        job = dataclasses.replace(job, position=None)
        answer = None
        while answer is None:
            try:
                answer = await self.attempt(job, model.Action.REFUSE, job.deadline, set())
            except errors.RefusedError as error:
                if error.refusal.code == "request_id_reused":
                    raise
                if self._app.clock() + budget.HELD_RETRY_DELAY >= job.deadline:
                    break
                await asyncio.sleep(budget.HELD_RETRY_DELAY)
        logs.log_decision(
            logger,
            "settle",
            request_id=job.trace,
            account=job.account,
            outcome="unknown" if answer is None else "refused" if answer.refused else "committed",
        )
        if answer is None or (answer.refused and not answer.replicated):
            raise errors.RefusedError(dataclasses.replace(refused, outcome=errors.Outcome.UNKNOWN))
        if answer.refused:
            self._check_not_run(job, errors.Outcome.NOT_RUN, committed)
            raise errors.RefusedError(dataclasses.replace(refused, outcome=errors.Outcome.NOT_RUN))
        return self.stated(answer, job)

    def _check_not_run(self, job: Job, outcome: errors.Outcome, committed: bool) -> None:
        false = committed and outcome is errors.Outcome.NOT_RUN
        self._invariants.check("no-not-run-after-commit", not false, request_id=job.trace)

    async def look_up(self, job: Job) -> model.Answer:
        """Return what is stored under a request id.

        Raises:
            RefusedError: Nothing is stored, or the primary cannot tell.
        """
        attempt = 0
        while True:
            attempt += 1
            try:
                return await self.attempt(job, model.Action.LOOK_UP, job.deadline, set())
            except errors.RefusedError as error:
                if error.refusal.code == "request_unknown":
                    raise
                decided = self.decide(job, error.refusal, attempt, job.deadline)
                if not decided.again:
                    raise
            await asyncio.sleep(decided.delay)

    def decide(
        self,
        job: Job,
        refused: errors.Refusal,
        attempt: int,
        deadline: float,
        settles: bool = False,
    ) -> budget.RetryDecision:
        """Decide on a further try and log the decision, of a held request only once."""
        decided = self._budgets.decide(
            refused,
            job.account,
            job.route.group,
            attempt=attempt,
            deadline=deadline,
            settles=settles,
        )
        if decided.reason == "held" and attempt > 1:
            return decided
        logs.log_decision(
            logger,
            "retry",
            request_id=job.trace,
            account=job.account,
            group=job.route.group,
            attempt=attempt,
            code=refused.code,
            outcome=refused.outcome,
            again=decided.again,
            reason=decided.reason,
        )
        return decided

    async def attempt(
        self, job: Job, action: model.Action, deadline: float, failed: set[str]
    ) -> model.Answer:
        """Try a request once.

        Args:
            job: The request.
            action: What to do with the request id of a write.
            deadline: Monotonic seconds up to which the owner may work.
            failed: Targets of earlier tries, which a read avoids if another can serve
                it; the chosen target is added if this try fails.

        Raises:
            RefusedError: The request did not run, or its outcome is unknown.
        """
        now = self._app.clock()
        valid_until = self._valid_until(job, action)
        record = self._directory.record(job.route.group)
        if record is None:
            raise forwarding.refusal("group_unknown", f"no group {job.route.group!r}", "route")
        chosen = unwrap(self._choose(self._routing_input(job, record, failed, now), now))
        target = record.target(chosen.target)
        owner = ownership.owner(target, self._view.live(now))
        self._log_route(job, record, chosen, owner)
        if owner is None:
            raise forwarding.refusal("peer_link_down", "no live owner", "route")
        self._app.events.emit("route-chosen", chosen)
        message = _message(job, action, chosen, deadline - now, valid_until - now)
        try:
            return await self._forwarder.execute(owner.vm, message, now, effect=job.writes)
        except errors.RefusedError:
            failed.add(chosen.target)
            raise

    def stated(self, answer: model.Answer, job: Job) -> model.Answer:
        """Return an answer that may be given to the caller.

        Raises:
            RefusedError: The request was refused for good, or the route needs a
                second target that has not copied the commit.
        """
        if answer.refused:
            raise forwarding.refusal(
                "request_refused",
                "a refusal is stored under the request id",
                "look-up",
                peer=answer.target,
                outcome=errors.Outcome.NOT_RUN if answer.replicated else errors.Outcome.UNKNOWN,
            )
        if job.route.require_replicated and job.writes and not answer.replicated:
            raise forwarding.refusal(
                "not_replicated",
                "no second target has copied the commit yet",
                "acknowledge",
                peer=answer.target,
                outcome=errors.Outcome.UNKNOWN,
            )
        return answer

    def _valid_until(self, job: Job, action: model.Action) -> float:
        """Return the time until which the check of the caller's key holds.

        The request may have been held since the first check. A refusal that is
        stored after the caller's time needs no key: it runs nothing.
        """
        if action is model.Action.REFUSE:
            return math.inf
        checked = job.check()
        if checked.account != job.account:
            raise forwarding.refusal(
                "key_unknown", "the key has another client account now", "authenticate"
            )
        return checked.valid_until

    def _routing_input(
        self, job: Job, record: model.GroupRecord, failed: set[str], now: float
    ) -> decision.RoutingInput:
        names = [target.name for target in record.targets]
        statuses = [status for name in names if (status := self._directory.status(name))]
        own_waits = self._owner.waits()
        return decision.RoutingInput(
            route=job.route,
            record=record,
            statuses=tuple(statuses),
            position=job.position,
            lags={name: self._directory.lag(name, now) for name in names},
            waits={name: own_waits.get(name, self._waits.get(name, 0.0)) for name in names},
            live_targets=frozenset(
                status.target for status in statuses if now - status.observed_at <= LIVE_DEADLINE
            ),
            in_transaction=False,
            waited=now - job.started_at,
            avoided=frozenset(failed),
        )

    def _log_route(
        self,
        job: Job,
        record: model.GroupRecord,
        chosen: decision.RoutingDecision,
        owner: model.Member | None,
    ) -> None:
        logs.log_decision(
            logger,
            "route",
            request_id=job.trace,
            account=job.account,
            route=job.route.name,
            group=record.group,
            target=chosen.target,
            owner=owner.vm if owner else "",
            term=record.term,
            position=job.position.offset if job.position else 0,
            reason=chosen.reason,
        )

    def _learn_waits(self, vm: str, value: Any, sent_at: float) -> None:
        self._waits.update(value)


def last_try(job: Job) -> float:
    """Return the time up to which a request is tried; later, a write is settled."""
    if not (job.writes and job.request_id):
        return job.deadline
    return job.deadline - min(SETTLE_TIME, SETTLE_SHARE * (job.deadline - job.started_at))


def _message(
    job: Job,
    action: model.Action,
    chosen: decision.RoutingDecision,
    timeout: float,
    valid_for: float,
) -> messages.Execute:
    return messages.Execute(
        group=job.route.group,
        target=chosen.target,
        work=model.Work(
            statement=job.route.statement,
            parameters=job.parameters,
            write=job.writes,
            account=job.account,
            request_id=job.request_id,
            term=chosen.term,
            route=job.route.name,
            action=action,
            after=None if job.writes else job.position,
        ),
        weight=job.weight,
        priority=job.route.priority,
        timeout=timeout,
        valid_for=valid_for,
        transaction="",
        # Unique to the try, so that the answer to an earlier one is not taken for it.
        trace=f"{job.trace}#{uuid.uuid4().hex[:8]}",
    )


def setup(app: application.Application) -> None:
    """Register the execution of requests."""
    app.add_event("route-chosen")
    app.add_part("proxy", "executor", lambda app: Executor(app=app))
