"""Checks of a request id and of parameters, before a request is admitted."""

import functools
import re

from returns import result

from greengageshunt import errors, model

MAXIMUM_REQUEST_ID_LENGTH = 128  # characters

# Placeholder that the proxy fills with the client account; callers may not send it.
ACCOUNT_PARAMETER = "account"

_REQUEST_ID = re.compile(r"[\x21-\x7e]*")
_PLACEHOLDER = re.compile(r"%(?:%|\(([^)]*)\)[sbt])")

CheckResult = result.Result[None, errors.Refusal]


def _refuse(code: str, message: str) -> result.Failure[errors.Refusal]:
    return result.Failure(
        errors.Refusal(code=code, message=message, outcome=errors.Outcome.NOT_RUN, step="check")
    )


@functools.lru_cache(maxsize=4096)
def placeholders(statement: str) -> frozenset[str]:
    """Return the names of the placeholders in a statement, such as ``%(item)s``."""
    return frozenset(name for name in _PLACEHOLDER.findall(statement) if name)


def check_parameters(route: model.Route, request: model.CallerRequest) -> CheckResult:
    """Check that a request has exactly the parameters of its route's statement."""
    sent = set(request.parameters)
    expected = placeholders(route.statement) - {ACCOUNT_PARAMETER}
    if expected - sent:
        names = ", ".join(sorted(expected - sent))
        return _refuse("parameter_missing", f"route {route.name!r}: missing parameters: {names}")
    if sent - expected:
        names = ", ".join(sorted(sent - expected))
        return _refuse("parameter_unknown", f"route {route.name!r}: unknown parameters: {names}")
    return result.Success(None)


def check_request_id(text: str, account: str, *, writes: bool) -> CheckResult:
    """Check a request id that a caller chose.

    Only the request ids of writes are stored. Callers without a key share one name space,
    so a request id of one caller could return the stored answer of another caller. The
    request id of a write therefore needs a client account.
    """
    if len(text) > MAXIMUM_REQUEST_ID_LENGTH or not _REQUEST_ID.fullmatch(text):
        message = f"Request-Id: expected up to {MAXIMUM_REQUEST_ID_LENGTH} visible ASCII characters"
        return _refuse("request_id_malformed", message)
    if text and writes and not account:
        return _refuse(
            "request_id_needs_key", "a write with a request id needs the key of a client account"
        )
    return result.Success(None)
