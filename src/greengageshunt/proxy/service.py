"""The path of one request through an entry VM, independent of the front end."""

import asyncio
import contextlib
import dataclasses
import logging
import math
import uuid
from collections import abc

from returns import result

from greengageshunt import application, errors, logs, model
from greengageshunt.configuration import keys
from greengageshunt.proxy import execution, forwarding, reports, transaction_calls
from greengageshunt.requests import checks, transaction_id
from greengageshunt.sessions import token

logger = logging.getLogger(__name__)

AnswerResult = result.Result[model.CallerAnswer, errors.Refusal]
TransactionIdResult = result.Result[str, errors.Refusal]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Caller:
    """Authenticated sender of a request.

    Attributes:
        configuration: Configuration under which the request was authenticated.
        account: Client account, or an empty string on open routes.
        session: Content of the session token.
    """

    configuration: model.Configuration
    account: str
    session: token.Session

    @property
    def weight(self) -> float:
        """Weight of the client account."""
        client_account = self.configuration.accounts_by_name.get(self.account)
        return client_account.weight if client_account else 1.0


class ProxyService:
    """Handles the requests of callers, whichever front end received them."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._configuration = app.part("configuration", "state")
        self._directory = app.part("groups", "directory")
        self._view = app.part("membership", "view")
        self._confirmation = app.part("membership", "confirmation")
        self._admission = app.selected("admission")
        self._executor = app.part("proxy", "executor")
        self._transactions = app.part("proxy", "transaction-calls")
        self._in_progress = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def ready(self) -> bool:
        """Whether the configuration, its groups and this VM's rate shares are in force."""
        routes = self._configuration.current.routes
        groups_known = bool(routes) and all(self._directory.record(route.group) for route in routes)
        return groups_known and self._admission.ready

    async def handle(self, request: model.CallerRequest) -> AnswerResult:
        """Handle one request from authentication to the new session token."""
        return await self._track(self._handle(request), request.route)

    async def look_up(self, request: model.CallerRequest) -> AnswerResult:
        """Return the stored outcome of a request id; a stored refusal is a failure."""
        return await self._track(self._look_up(request), request.route)

    async def begin(self, request: model.TransactionRequest) -> TransactionIdResult:
        """Open a transaction and return its id."""
        return await self._track(self._begin(request))

    async def end(self, request: model.TransactionRequest) -> AnswerResult:
        """Commit or roll back a transaction."""
        return await self._track(self._end(request))

    async def stop(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    async def run(self) -> None:
        """Wait until cancelled; front ends call the other methods."""
        await asyncio.Event().wait()

    async def _track(
        self, handling: abc.Coroutine[None, None, result.Result], route: str = ""
    ) -> result.Result:
        started_at = self._app.clock()
        code = "internal_error"
        with self._in_progress_count():
            try:
                handled = await handling
                code = "ok"
                return handled
            except errors.RefusedError as error:
                code = error.refusal.code
                return result.Failure(error.refusal)
            finally:
                self._report(route, code, started_at)

    def _report(self, route: str, code: str, started_at: float) -> None:
        configured = self._configuration.current.routes_by_name.get(route)
        report = reports.RequestReport(
            kind=configured.kind.value if configured else "unknown",
            code=code,
            seconds=self._app.clock() - started_at,
        )
        self._app.events.emit("request-handled", report)

    @contextlib.contextmanager
    def _in_progress_count(self) -> abc.Iterator[None]:
        self._in_progress += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()

    async def _handle(self, request: model.CallerRequest) -> AnswerResult:
        configuration = self._configuration.current
        route = self._route(configuration, request.route)
        caller = self._authenticate(configuration, route, request.key, request.token)
        writes = route.kind is model.RouteKind.WRITE
        execution.unwrap(checks.check_request_id(request.request_id, caller.account, writes=writes))
        execution.unwrap(checks.check_parameters(route, request))
        authenticated = self._authenticated_request(request, route, caller, request.parameters)
        await self._admit(caller, authenticated)
        if request.transaction:
            content = self._decode_transaction_id(request.transaction, caller)
            answer = await self._transactions.run(authenticated, content)
        else:
            answer = await self._executor.run(authenticated)
        return self._caller_answer(caller, route.group, answer)

    async def _look_up(self, request: model.CallerRequest) -> AnswerResult:
        configuration = self._configuration.current
        route = self._route(configuration, request.route)
        caller = self._authenticate(configuration, route, request.key, request.token)
        execution.unwrap(checks.check_request_id(request.request_id, caller.account, writes=True))
        # An outcome is read at the primary and under its write grant, as for a write.
        write_route = dataclasses.replace(route, kind=model.RouteKind.WRITE)
        authenticated = self._authenticated_request(request, write_route, caller, {})
        await self._admit(caller, authenticated)
        answer = await self._executor.look_up(dataclasses.replace(authenticated, position=None))
        return self._caller_answer(caller, route.group, answer)

    async def _begin(self, request: model.TransactionRequest) -> TransactionIdResult:
        configuration = self._configuration.current
        route = transaction_calls.pseudo_route(request.group)
        caller = self._authenticate(configuration, route, request.key, request.token)
        if self._directory.record(request.group) is None:
            raise forwarding.refusal("group_unknown", f"no group {request.group!r}", "route")
        authenticated = self._authenticated_request(request, route, caller, {})
        await self._admit(caller, authenticated)
        content = await self._transactions.begin(authenticated)
        return result.Success(transaction_id.encode(content, configuration.token_secret))

    async def _end(self, request: model.TransactionRequest) -> AnswerResult:
        configuration = self._configuration.current
        route = transaction_calls.pseudo_route("")
        caller = self._authenticate(configuration, route, request.key, request.token)
        execution.unwrap(checks.check_request_id(request.request_id, caller.account, writes=True))
        content = self._decode_transaction_id(request.transaction, caller)
        route = transaction_calls.pseudo_route(content.group)
        # The stored fingerprint binds the request id of a commit to its transaction.
        authenticated = self._authenticated_request(
            request, route, caller, {"transaction": content.number}
        )
        if not request.commit:
            answer = await self._transactions.roll_back(authenticated, content)
            return result.Success(model.CallerAnswer(answer=answer, token=request.token))
        answer = await self._transactions.commit(authenticated, content, bool(request.request_id))
        return self._caller_answer(caller, content.group, answer)

    def _route(self, configuration: model.Configuration, name: str) -> model.Route:
        route = configuration.routes_by_name.get(name)
        if route is None:
            raise forwarding.refusal("route_unknown", f"no route {name!r}", "route")
        return route

    def _authenticate(
        self, configuration: model.Configuration, route: model.Route, key: str, text: str
    ) -> Caller:
        account = self._check_key(route, key).account
        session = execution.unwrap(token.decode(text, account, configuration.token_secret))
        return Caller(configuration=configuration, account=account, session=session)

    def _check_key(self, route: model.Route, key: str) -> execution.KeyCheck:
        """Return the client account of a key under the configuration in force.

        Raises:
            RefusedError: The key is not valid, or this entry VM cannot verify it because
                a newer configuration may exist.
        """
        account = execution.unwrap(keys.authenticate(self._configuration.current, route, key))
        if not account:
            return execution.KeyCheck(account="", valid_until=math.inf)
        now = self._app.clock()
        valid_until = self._confirmation.valid_until(now)
        if now >= valid_until:
            raise forwarding.refusal(
                "not_confirmed",
                "neither the platform nor a majority of the entry VMs has confirmed the"
                " configuration lately; only open routes without a key are served",
                "authenticate",
                peer=self._view.me.vm,
            )
        return execution.KeyCheck(account=account, valid_until=valid_until)

    def _decode_transaction_id(self, text: str, caller: Caller) -> transaction_id.TransactionId:
        secret = caller.configuration.token_secret
        return execution.unwrap(transaction_id.decode(text, caller.account, secret))

    def _authenticated_request(
        self,
        request: model.CallerRequest | model.TransactionRequest,
        route: model.Route,
        caller: Caller,
        parameters: abc.Mapping[str, model.Value],
    ) -> execution.AuthenticatedRequest:
        # With a generated id, the proxy can settle a write whose answer was lost although
        # the caller sent no id.
        generated_id = uuid.uuid4().hex
        needs_id = route.kind is model.RouteKind.WRITE and not route.repeatable
        return execution.AuthenticatedRequest(
            route=route,
            parameters=parameters,
            account=caller.account,
            weight=caller.weight,
            check=lambda: self._check_key(route, request.key),
            position=caller.session.positions.get(route.group),
            request_id=request.request_id or (generated_id if needs_id else ""),
            trace=request.request_id or generated_id,
            started_at=self._app.clock(),
            deadline=request.deadline,
        )

    def _caller_answer(self, caller: Caller, group: str, answer: model.Answer) -> AnswerResult:
        session = token.merge(caller.session, group, answer.position)
        text = token.encode(session, caller.configuration.token_secret)
        return result.Success(model.CallerAnswer(answer=answer, token=text))

    async def _admit(self, caller: Caller, authenticated: execution.AuthenticatedRequest) -> None:
        account = caller.configuration.accounts_by_name.get(caller.account)
        if account is None:
            return
        admitted = await self._admission.admit(account, authenticated.deadline)
        logs.log_decision(
            logger,
            "admit",
            level=logging.DEBUG if admitted.admitted else logging.INFO,
            request_id=authenticated.trace,
            account=account.name,
            admitted=admitted.admitted,
            reason=admitted.reason,
        )
        if not admitted.admitted:
            raise errors.RefusedError(
                errors.Refusal(
                    code="rate_exceeded",
                    message=f"client account {account.name!r} is above its rate limit",
                    outcome=errors.Outcome.NOT_RUN,
                    step="admit",
                    retry_after=admitted.retry_after,
                )
            )


def setup(app: application.Application) -> None:
    """Register the request path."""
    app.add_event("request-handled")
    app.add_part("proxy", "service", lambda app: ProxyService(app=app))
    app.add_part("service", "proxy", lambda app: app.part("proxy", "service"))
