"""The path of one request through an entry VM, independent of the front end."""

import asyncio
import dataclasses
import logging
import math
import uuid
from typing import Any, TypeVar

from returns import pipeline, result

from greengageshunt import application, errors, logs, model
from greengageshunt.configuration import keys
from greengageshunt.membership import ownership
from greengageshunt.peers import messages
from greengageshunt.proxy import reports
from greengageshunt.routing import decision
from greengageshunt.sessions import token

logger = logging.getLogger(__name__)

HOLD_INTERVAL = 0.05  # seconds between tries while a group changes its primary

# Refusals of requests that did not run, after which another try may reach the
# new primary, the new owner or another replica.
_TRY_AGAIN = frozenset(
    {
        "check_expired",
        "no_grant",
        "owner_changed",
        "owner_unreachable",
        "target_draining",
        "target_lost",
        "term_changed",
    }
)

# A target counts as live if it was checked within this many seconds.
LIVE_DEADLINE = 1.0

Handled = result.Result[model.CallerAnswer, errors.Refusal]
_T = TypeVar("_T")


def refusal(
    code: str,
    message: str,
    step: str,
    *,
    peer: str = "",
    outcome: errors.Outcome = errors.Outcome.NOT_RUN,
) -> errors.RefusedError:
    """Return the error that ends a request with a refusal."""
    return errors.RefusedError(
        errors.Refusal(code=code, message=message, outcome=outcome, step=step, peer=peer)
    )


def _unwrap(value: result.Result[_T, errors.Refusal]) -> _T:
    if pipeline.is_successful(value):
        return value.unwrap()
    raise errors.RefusedError(value.failure())


def _may_try_again(refused: errors.Refusal) -> bool:
    return refused.outcome is errors.Outcome.UNKNOWN or refused.code in _TRY_AGAIN


class ProxyService:
    """Handles the requests of callers."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._configuration = app.part("configuration", "state")
        self._directory = app.part("groups", "directory")
        self._view = app.part("membership", "view")
        self._links = app.part("peers", "links")
        self._confirmation = app.part("membership", "confirmation")
        self._owner = app.part("proxy", "owner")
        self._admission = app.selected("admission")
        self._choose = app.selected("routing")
        self._links.add_extra("waits", self._owner.waits, self._learn_waits)
        self._waits: dict[str, float] = {}
        self._in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_progress(self) -> int:
        """Number of requests that are being handled."""
        return self._in_progress

    @property
    def ready(self) -> bool:
        """Whether a configuration and all groups of its routes are known."""
        routes = self._configuration.current.routes
        return bool(routes) and all(self._directory.record(route.group) for route in routes)

    async def handle(self, request: model.CallerRequest) -> Handled:
        """Handle one request from authentication to the new session token."""
        self._in_progress += 1
        self._idle.clear()
        started_at = self._app.clock()
        code = "internal_error"
        try:
            handled = await self._handle(request)
            code = "ok"
            return handled
        except errors.RefusedError as error:
            code = error.refusal.code
            return result.Failure(error.refusal)
        finally:
            self._report(request, code, started_at)
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()

    async def stop(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    async def run(self) -> None:
        """Do nothing until cancelled; requests arrive through front ends."""
        await asyncio.Event().wait()

    def _report(self, request: model.CallerRequest, code: str, started_at: float) -> None:
        route = self._configuration.current.routes_by_name.get(request.route)
        report = reports.RequestReport(
            kind=route.kind.value if route else "unknown",
            code=code,
            seconds=self._app.clock() - started_at,
        )
        self._app.events.emit("request-handled", report)

    async def _handle(self, request: model.CallerRequest) -> Handled:
        configuration = self._configuration.current
        route = configuration.routes_by_name.get(request.route)
        if route is None:
            raise refusal("route_unknown", f"no route {request.route!r}", "route")
        if not request.request_id:
            # Own ids let the proxy look up the outcome of a write whose answer was lost.
            request = dataclasses.replace(request, request_id=uuid.uuid4().hex)
        account = self._authenticate(request, route, self._app.clock())
        session = _unwrap(token.decode(request.token, account, configuration.token_secret))
        await self._admit(configuration, account, request)
        answer = await self._execute(request, route, account, session)
        session = token.merge(session, route.group, answer.position)
        text = token.encode(session, configuration.token_secret)
        return result.Success(model.CallerAnswer(answer=answer, token=text))

    def _authenticate(self, request: model.CallerRequest, route: model.Route, now: float) -> str:
        """Return the client account of a request under the configuration in force.

        Raises:
            RefusedError: The key is not valid, or this entry VM cannot tell
                because it may have missed a newer configuration.
        """
        account = _unwrap(keys.authenticate(self._configuration.current, route, request.key))
        if account and now >= self._confirmation.valid_until(now):
            raise refusal(
                "not_confirmed",
                "neither the platform nor a majority of the entry VMs has confirmed the"
                " configuration lately; only open routes without a key are served",
                "authenticate",
                peer=self._view.me.vm,
            )
        return account

    async def _admit(
        self, configuration: model.Configuration, account: str, request: model.CallerRequest
    ) -> None:
        if not account:
            return
        admitted = await self._admission.admit(
            configuration.accounts_by_name[account], request.deadline
        )
        logs.log_decision(
            logger,
            "admit",
            level=logging.DEBUG if admitted.admitted else logging.INFO,
            request_id=request.request_id,
            account=account,
            admitted=admitted.admitted,
            reason=admitted.reason,
        )
        self._app.events.emit("admission-decided", admitted)
        if not admitted.admitted:
            raise errors.RefusedError(
                errors.Refusal(
                    code="rate_exceeded",
                    message=f"client account {account!r} is above its rate",
                    outcome=errors.Outcome.NOT_RUN,
                    step="admit",
                    retry_after=admitted.retry_after,
                )
            )

    async def _execute(
        self,
        request: model.CallerRequest,
        route: model.Route,
        account: str,
        session: token.Session,
    ) -> model.Answer:
        """Try until the request has an outcome or its deadline passes.

        A write is tried again only under its request id, which the target
        stores with it, so that it runs at most once.
        """
        uncertain = False
        while True:
            now = self._app.clock()
            try:
                return await self._try(request, route, account, session, now)
            except errors.RefusedError as error:
                refused = error.refusal
            uncertain = uncertain or refused.outcome is errors.Outcome.UNKNOWN
            out_of_time = self._app.clock() + HOLD_INTERVAL >= request.deadline
            if out_of_time or not _may_try_again(refused):
                outcome = errors.Outcome.UNKNOWN if uncertain else refused.outcome
                raise errors.RefusedError(dataclasses.replace(refused, outcome=outcome))
            await asyncio.sleep(HOLD_INTERVAL)

    async def _try(
        self,
        request: model.CallerRequest,
        route: model.Route,
        account: str,
        session: token.Session,
        now: float,
    ) -> model.Answer:
        # The request may have been held since the first check.
        if self._authenticate(request, route, now) != account:
            raise refusal("key_unknown", "the key has another client account now", "authenticate")
        record = self._directory.record(route.group)
        if record is None:
            raise refusal("group_unknown", f"no group {route.group!r}", "route")
        inputs = self._routing_input(request, route, record, session, now)
        chosen = _unwrap(self._choose(inputs, now))
        target = record.target(chosen.target)
        owner = ownership.owner(target, self._view.live(now))
        position = session.positions.get(route.group)
        logs.log_decision(
            logger,
            "route",
            request_id=request.request_id,
            account=account,
            route=route.name,
            group=record.group,
            target=chosen.target,
            owner=owner.vm if owner else "",
            term=record.term,
            position=position.offset if position else 0,
            reason=chosen.reason,
        )
        self._app.events.emit("route-chosen", chosen)
        message = self._message(request, route, account, chosen, now)
        executed = await self._send(owner, message, now)
        self._check(executed, message, now)
        return executed.answer

    def _routing_input(
        self,
        request: model.CallerRequest,
        route: model.Route,
        record: model.GroupRecord,
        session: token.Session,
        now: float,
    ) -> decision.RoutingInput:
        names = [target.name for target in record.targets]
        statuses = [status for name in names if (status := self._directory.status(name))]
        own_waits = self._owner.waits()
        return decision.RoutingInput(
            route=route,
            record=record,
            statuses=tuple(statuses),
            position=session.positions.get(record.group),
            lags={name: self._directory.lag(name, now) for name in names},
            waits={name: own_waits.get(name, self._waits.get(name, 0.0)) for name in names},
            live_targets=frozenset(
                status.target for status in statuses if now - status.observed_at <= LIVE_DEADLINE
            ),
            in_transaction=bool(request.transaction),
        )

    def _message(
        self,
        request: model.CallerRequest,
        route: model.Route,
        account: str,
        chosen: decision.RoutingDecision,
        now: float,
    ) -> messages.Execute:
        configuration = self._configuration.current
        known = configuration.accounts_by_name.get(account)
        return messages.Execute(
            group=route.group,
            target=chosen.target,
            work=model.Work(
                statement=route.statement,
                parameters=request.parameters,
                write=route.kind is model.RouteKind.WRITE,
                account=account,
                request_id=request.request_id,
                term=chosen.term,
            ),
            weight=known.weight if known else 1.0,
            priority=route.priority,
            timeout=request.deadline - now,
            valid_for=self._confirmation.valid_until(now) - now if account else math.inf,
            transaction=request.transaction,
            trace=request.request_id,
        )

    async def _send(
        self, owner: model.Member | None, message: messages.Execute, now: float
    ) -> messages.Executed:
        if owner is None or owner.vm == self._view.me.vm:
            return await self._owner.execute(message, now)
        try:
            return await self._links.request(owner.vm, message, message.timeout)
        except errors.PeerError as error:
            not_run = not error.sent or not message.work.write
            raise refusal(
                "owner_unreachable",
                str(error),
                error.step,
                peer=error.peer,
                outcome=errors.Outcome.NOT_RUN if not_run else errors.Outcome.UNKNOWN,
            ) from error

    def _check(self, executed: messages.Executed, message: messages.Execute, now: float) -> None:
        """Check an answer just before its acknowledgement."""
        if executed.row_count != len(executed.answer.rows):
            raise refusal(
                "answer_incomplete",
                "the answer has fewer rows than its end marker says",
                "check",
                peer=message.target,
                outcome=errors.Outcome.UNKNOWN,
            )
        # The owner counted from its receipt, which came after this sending.
        if self._app.clock() >= now + executed.grant_after_receipt:
            raise refusal(
                "grant_expired",
                "the write grant ended before the acknowledgement",
                "check",
                peer=message.target,
                outcome=errors.Outcome.UNKNOWN,
            )

    def _learn_waits(self, vm: str, value: Any, sent_at: float) -> None:
        self._waits.update(value)


def setup(app: application.Application) -> None:
    """Register the request path."""
    for name in ("request-handled", "admission-decided", "route-chosen"):
        app.add_event(name)
    app.add_part("proxy", "service", lambda app: ProxyService(app=app))
    app.add_part("service", "proxy", lambda app: app.part("proxy", "service"))
