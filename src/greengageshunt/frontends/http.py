"""Front end for callers over HTTP with JSON."""

import json
import logging
from typing import Any

from aiohttp import web
from returns import pipeline

from greengageshunt import application, config, errors, model

logger = logging.getLogger(__name__)

BODY_LIMIT = 2**20  # bytes
DEFAULT_TIMEOUT_MS = 5_000
MAXIMUM_TIMEOUT_MS = 60_000

# HTTP status of each refusal code; other codes give 503.
_STATUS_BY_CODE = {
    "answer_incomplete": 502,
    "body_malformed": 400,
    "body_too_large": 413,
    "internal_error": 500,
    "key_missing": 401,
    "key_unknown": 401,
    "key_withdrawn": 401,
    "position_lost": 409,
    "rate_exceeded": 429,
    "request_refused": 409,
    "route_unknown": 404,
    "statement_rejected": 422,
    "token_invalid": 400,
}


def _malformed(message: str) -> errors.RefusedError:
    return errors.RefusedError(
        errors.Refusal(
            code="body_malformed",
            message=message,
            outcome=errors.Outcome.NOT_RUN,
            step="parse",
        )
    )


def parse_body(body: bytes) -> tuple[dict[str, model.Value], str]:
    """Return the parameters and the transaction id of a request's body.

    Raises:
        RefusedError: The body is not as the interface says.
    """
    try:
        document = json.loads(body) if body else {}
    except ValueError as error:
        raise _malformed(f"the body is not JSON: {error}") from error
    if not isinstance(document, dict) or set(document) - {"parameters", "transaction"}:
        raise _malformed('expected an object with "parameters" and "transaction"')
    parameters = document.get("parameters", {})
    transaction = document.get("transaction", "")
    if not isinstance(parameters, dict) or not isinstance(transaction, str):
        raise _malformed('expected an object as "parameters" and a string as "transaction"')
    for name, value in parameters.items():
        if value is not None and not isinstance(value, str | int | float | bool):
            raise _malformed(f"parameter {name!r}: expected a string, number, boolean or null")
    return parameters, transaction


def parse_timeout(text: str) -> float:
    """Return the seconds of a ``Timeout-Ms`` header.

    Raises:
        RefusedError: The header is not a number of milliseconds in range.
    """
    if not text:
        return DEFAULT_TIMEOUT_MS / 1000
    if not text.isdigit() or not 0 < int(text) <= MAXIMUM_TIMEOUT_MS:
        raise _malformed(f"Timeout-Ms: expected 1 to {MAXIMUM_TIMEOUT_MS} milliseconds")
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


def refusal_response(refusal: errors.Refusal) -> web.Response:
    """Return the HTTP response of a refusal."""
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
    status = _STATUS_BY_CODE.get(refusal.code, 503)
    return web.json_response(document, status=status, headers=headers)


class HttpFrontend:
    """Serves callers; aiohttp runs one task for each connection."""

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
        web_app = web.Application(client_max_size=BODY_LIMIT)
        web_app.router.add_post("/v1/routes/{route}", self._run_route)
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
        """Stop accepting, and wait for the requests in progress."""
        if self._site is not None:
            await self._site.stop()
        await self._service.stop()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _health(self, request: web.Request) -> web.Response:
        status = 503 if self._app.stopping else 200
        return web.json_response({"stopping": self._app.stopping}, status=status)

    async def _ready(self, request: web.Request) -> web.Response:
        ready = self._service.ready and not self._app.stopping
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _run_route(self, request: web.Request) -> web.Response:
        try:
            caller_request = await self._parse(request)
        except errors.RefusedError as error:
            return refusal_response(error.refusal)
        except web.HTTPRequestEntityTooLarge:
            return refusal_response(
                errors.Refusal(
                    code="body_too_large",
                    message=f"the body is larger than {BODY_LIMIT} bytes",
                    outcome=errors.Outcome.NOT_RUN,
                    step="parse",
                )
            )
        handled = await self._service.handle(caller_request)
        if not pipeline.is_successful(handled):
            return refusal_response(handled.failure())
        answer = handled.unwrap()
        headers = {"Session-Token": answer.token}
        return web.json_response(render_answer(answer), headers=headers)

    async def _parse(self, request: web.Request) -> model.CallerRequest:
        timeout = parse_timeout(request.headers.get("Timeout-Ms", ""))
        deadline = self._app.clock() + timeout
        parameters, transaction = parse_body(await request.read())
        return model.CallerRequest(
            route=request.match_info["route"],
            parameters=parameters,
            key=parse_key(request.headers.get("Authorization", "")),
            token=request.headers.get("Session-Token", ""),
            request_id=request.headers.get("Request-Id", ""),
            transaction=transaction,
            deadline=deadline,
        )


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
    app.add_part("frontend", "http", lambda app: HttpFrontend(app=app))
    app.add_part("service", "http-frontend", lambda app: app.part("frontend", "http"))
