"""Front end for callers that use HTTP with JSON."""

import asyncio
import json
import logging
import math
from collections import abc
from typing import Any

from aiohttp import web
from returns import pipeline, result

from greengageshunt import application, config, errors, model

logger = logging.getLogger(__name__)

BODY_LIMIT = 2**20  # bytes of a request's body

# Range of the ``Timeout-Ms`` header of a request, and its value if the header is missing.
DEFAULT_TIMEOUT_MS = 5_000
MAXIMUM_TIMEOUT_MS = 60_000

# HTTP status of each refusal code; any other code has status 503.
_STATUS_BY_CODE = {
    "account_unknown": 401,
    "answer_incomplete": 502,
    "answer_too_large": 502,
    "body_malformed": 400,
    "body_too_large": 413,
    "group_unknown": 404,
    "header_malformed": 400,
    "internal_error": 500,
    "key_missing": 401,
    "key_unknown": 401,
    "key_withdrawn": 401,
    "parameter_missing": 400,
    "parameter_unknown": 400,
    "position_lost": 409,
    "rate_exceeded": 429,
    "request_id_malformed": 400,
    "request_id_needs_key": 400,
    "request_id_reused": 409,
    "request_refused": 409,
    "request_unknown": 404,
    "route_unknown": 404,
    "statement_rejected": 422,
    "token_invalid": 400,
    "transaction_ended": 409,
    "transaction_group": 409,
    "transaction_invalid": 404,
    "transaction_unknown": 409,
}

# Refusal codes for requests that the HTTP library itself rejects.
_CODE_BY_HTTP_STATUS = {404: "path_unknown", 405: "method_not_allowed"}


def _refusal(
    code: str, message: str, outcome: errors.Outcome = errors.Outcome.NOT_RUN
) -> errors.Refusal:
    return errors.Refusal(code=code, message=message, outcome=outcome, step="parse")


def _malformed_body(message: str) -> errors.RefusedError:
    return errors.RefusedError(_refusal("body_malformed", message))


def _parse_object(body: bytes, names: frozenset[str]) -> dict[str, Any]:
    try:
        document = json.loads(body) if body else {}
    except (ValueError, RecursionError) as error:
        raise _malformed_body(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict) or set(document) - names:
        expected = " and ".join(f'"{name}"' for name in sorted(names))
        raise _malformed_body(f"expected an object with {expected}")
    return document


def _is_valid_value(value: Any) -> bool:
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, str):
        # A PostgreSQL text can contain neither NUL nor half of a surrogate pair.
        return "\0" not in value and not any(
            "\ud800" <= character <= "\udfff" for character in value
        )
    return value is None or isinstance(value, bool | int)


def parse_body(body: bytes) -> tuple[dict[str, model.Value], str]:
    """Return the parameters and the transaction id of a request's body.

    Raises:
        RefusedError: The body does not match the interface.
    """
    document = _parse_object(body, frozenset({"parameters", "transaction"}))
    parameters = document.get("parameters", {})
    transaction = document.get("transaction") or ""
    if not isinstance(parameters, dict) or not isinstance(transaction, str):
        raise _malformed_body('expected an object as "parameters" and a string as "transaction"')
    for name, value in parameters.items():
        if not _is_valid_value(value):
            raise _malformed_body(f"parameter {name!r}: expected a text, number, boolean or null")
    return parameters, transaction


def parse_group(body: bytes) -> str:
    """Return the group of a request to open a transaction.

    Raises:
        RefusedError: The body does not match the interface.
    """
    group = _parse_object(body, frozenset({"group"})).get("group")
    if not isinstance(group, str) or not group:
        raise _malformed_body('expected a name as "group"')
    return group


def parse_timeout(text: str) -> float:
    """Return the seconds of a ``Timeout-Ms`` header.

    Raises:
        RefusedError: The header is not a number of milliseconds in range.
    """
    if not text:
        return DEFAULT_TIMEOUT_MS / 1000
    # The length is checked before int(), which raises an error for thousands of digits.
    in_range = text.isascii() and text.isdigit() and len(text) < 9
    if not in_range or not 0 < int(text) <= MAXIMUM_TIMEOUT_MS:
        message = f"Timeout-Ms: expected 1 to {MAXIMUM_TIMEOUT_MS} milliseconds"
        raise errors.RefusedError(_refusal("header_malformed", message))
    return int(text) / 1000


def parse_key(text: str) -> str:
    """Return the key of an ``Authorization`` header, or an empty string."""
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def render_answer(handled: model.CallerAnswer) -> dict[str, Any]:
    """Return an answer as its JSON document."""
    answer = handled.answer
    return {
        "columns": list(answer.columns),
        "rows": [list(row) for row in answer.rows],
        "row_count": answer.row_count,
        "replicated": answer.replicated,
        "repeated": answer.repeated,
        "target": answer.target,
        "position": [answer.position.term, answer.position.offset],
    }


def render_outcome(handled: model.CallerAnswer) -> dict[str, Any]:
    """Return the stored outcome of a request id as its JSON document."""
    if handled.answer.refused:
        # A refusal that is stored at only one target can be lost together with that target.
        final = handled.answer.replicated
        return {"outcome": errors.Outcome.NOT_RUN if final else errors.Outcome.UNKNOWN}
    return {"outcome": errors.Outcome.COMMITTED, "answer": render_answer(handled)}


def refusal_response(refusal: errors.Refusal, status: int | None = None) -> web.Response:
    """Return the HTTP response of a refusal.

    Args:
        refusal: The refusal.
        status: HTTP status, or None for that of the refusal's code.
    """
    headers = {}
    if refusal.retry_after is not None:
        headers["Retry-After"] = f"{refusal.retry_after:.3f}"
    document = {
        "code": refusal.code,
        "message": refusal.message,
        "outcome": refusal.outcome,
        "step": refusal.step,
        "peer": refusal.peer,
    }
    if status is None:
        status = _STATUS_BY_CODE.get(refusal.code, 503)
    return web.json_response(document, status=status, headers=headers)


class HttpFrontend:
    """Serves HTTP requests of callers; aiohttp runs one task for each connection."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._service = app.part("proxy", "service")
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def open_connections(self) -> int:
        """Number of open caller connections."""
        if self._runner is None or self._runner.server is None:
            return 0
        return len(self._runner.server.connections)

    async def run(self) -> None:
        """Serve callers until the application stops."""
        web_app = web.Application(client_max_size=BODY_LIMIT, middlewares=[self._convert_errors])
        web_app.router.add_post("/v1/routes/{route}", self._run_route)
        web_app.router.add_get("/v1/requests/{route}/{request_id}", self._look_up)
        web_app.router.add_post("/v1/transactions", self._begin)
        web_app.router.add_post("/v1/transactions/{transaction}/{end:commit|rollback}", self._end)
        web_app.router.add_get("/healthz", self._health)
        web_app.router.add_get("/readyz", self._ready)
        for path in self._app.registry.names("endpoint"):
            web_app.router.add_get(path, self._app.part("endpoint", path))
        self._runner = web.AppRunner(web_app, access_log=None, handle_signals=False)
        await self._runner.setup()
        host, _, port = self._app.settings["http.address"].rpartition(":")
        self._site = web.TCPSite(self._runner, host, int(port))
        await self._site.start()
        await self._app.wait_stopped()

    async def stop(self) -> None:
        """Wait for the balancer, stop accepting connections, and finish requests in progress.

        The health check fails from the request to stop on. Until the delay has passed, the
        balancer may still send new connections, and they are served. Each response closes
        its connection.
        """
        await asyncio.sleep(self._app.settings["http.stop_delay"])
        if self._site is not None:
            await self._site.stop()
        await self._service.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _convert_errors(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Convert each exception to a refusal, and close the connection during a stop."""
        try:
            response = await handler(request)
        except errors.RefusedError as error:
            response = refusal_response(error.refusal)
        except web.HTTPRequestEntityTooLarge:
            message = f"the body is larger than {BODY_LIMIT} bytes"
            response = refusal_response(_refusal("body_too_large", message))
        except web.HTTPException as error:
            code = _CODE_BY_HTTP_STATUS.get(error.status, "http_error")
            response = refusal_response(_refusal(code, error.reason), error.status)
        except Exception:
            logger.exception("request failed", extra={"path": request.path})
            unknown = errors.Outcome.UNKNOWN
            response = refusal_response(
                _refusal("internal_error", "unexpected error; see the log of the entry VM", unknown)
            )
        if self._app.stopping:
            response.force_close()
        return response

    async def _health(self, request: web.Request) -> web.Response:
        status = 503 if self._app.stopping else 200
        return web.json_response({"stopping": self._app.stopping}, status=status)

    async def _ready(self, request: web.Request) -> web.Response:
        ready = self._service.ready and not self._app.stopping
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _run_route(self, request: web.Request) -> web.Response:
        deadline = self._deadline(request)
        parameters, transaction = parse_body(await request.read())
        handled = await self._service.handle(
            self._caller_request(request, parameters, transaction, deadline)
        )
        return _answer_response(handled, render_answer)

    async def _look_up(self, request: web.Request) -> web.Response:
        handled = await self._service.look_up(
            self._caller_request(request, {}, "", self._deadline(request))
        )
        return _answer_response(handled, render_outcome)

    async def _begin(self, request: web.Request) -> web.Response:
        deadline = self._deadline(request)
        group = parse_group(await request.read())
        begun = await self._service.begin(self._transaction_request(request, deadline, group=group))
        if not pipeline.is_successful(begun):
            return refusal_response(begun.failure())
        return web.json_response({"transaction": begun.unwrap()})

    async def _end(self, request: web.Request) -> web.Response:
        handled = await self._service.end(
            self._transaction_request(request, self._deadline(request))
        )
        return _answer_response(handled, render_answer)

    def _deadline(self, request: web.Request) -> float:
        return self._app.clock() + parse_timeout(request.headers.get("Timeout-Ms", ""))

    def _caller_request(
        self,
        request: web.Request,
        parameters: dict[str, model.Value],
        transaction: str,
        deadline: float,
    ) -> model.CallerRequest:
        request_id = request.headers.get("Request-Id", "")
        return model.CallerRequest(
            route=request.match_info["route"],
            parameters=parameters,
            key=parse_key(request.headers.get("Authorization", "")),
            token=request.headers.get("Session-Token", ""),
            request_id=request.match_info.get("request_id", request_id),
            transaction=transaction,
            deadline=deadline,
        )

    def _transaction_request(
        self, request: web.Request, deadline: float, *, group: str = ""
    ) -> model.TransactionRequest:
        return model.TransactionRequest(
            group=group,
            transaction=request.match_info.get("transaction", ""),
            commit=request.match_info.get("end") == "commit",
            key=parse_key(request.headers.get("Authorization", "")),
            token=request.headers.get("Session-Token", ""),
            request_id=request.headers.get("Request-Id", ""),
            deadline=deadline,
        )


def _answer_response(
    handled: result.Result[model.CallerAnswer, errors.Refusal],
    render: abc.Callable[[model.CallerAnswer], dict[str, Any]],
) -> web.Response:
    if not pipeline.is_successful(handled):
        return refusal_response(handled.failure())
    answer = handled.unwrap()
    return web.json_response(render(answer), headers={"Session-Token": answer.token})


def setup(app: application.Application) -> None:
    """Register the HTTP front end."""
    app.add_setting(
        config.Setting(
            key="http.address",
            kind=str,
            doc="Address on which callers are served.",
            check=config.is_address,
        )
    )
    app.add_setting(
        config.Setting(
            key="http.stop_delay",
            kind=float,
            default=1.0,
            doc="Seconds of a stop in which the balancer learns of it from the health check.",
        )
    )
    app.add_part("frontend", "http", lambda app: HttpFrontend(app=app))
    app.add_part("service", "http-frontend", lambda app: app.part("frontend", "http"))
