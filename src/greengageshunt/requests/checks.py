"""Checks of a request before any part of the system works on it."""

import functools
import re

from returns import result

from greengageshunt import errors, model

REQUEST_ID_LIMIT = 128  # characters

# Bound by the proxy itself.
ACCOUNT_PARAMETER = "account"

_REQUEST_ID = re.compile(r"[\x21-\x7e]*")
_PLACEHOLDER = re.compile(r"%(?:%|\(([^)]*)\)[sbt])")

Checked = result.Result[None, errors.Refusal]


def _refuse(code: str, message: str) -> result.Failure[errors.Refusal]:
    return result.Failure(
        errors.Refusal(code=code, message=message, outcome=errors.Outcome.NOT_RUN, step="check")
    )


@functools.lru_cache(maxsize=4096)
def placeholders(statement: str) -> frozenset[str]:
    """Return the names of the placeholders of a statement."""
    return frozenset(name for name in _PLACEHOLDER.findall(statement) if name)


def check_parameters(route: model.Route, request: model.CallerRequest) -> Checked:
    """Check that a request has exactly the parameters of its route's statement."""
    given = set(request.parameters)
    expected = placeholders(route.statement) - {ACCOUNT_PARAMETER}
    if expected - given:
        names = ", ".join(sorted(expected - given))
        return _refuse("parameter_missing", f"route {route.name!r} needs: {names}")
    if given - expected:
        names = ", ".join(sorted(given - expected))
        return _refuse("parameter_unknown", f"route {route.name!r} does not take: {names}")
    return result.Success(None)


def check_request_id(text: str, account: str, *, writes: bool) -> Checked:
    """Check a request id that a caller chose.

    Only the ids of writes are stored. Callers without a key share one name space,
    in which an id of one could give the stored answer of another.
    """
    if len(text) > REQUEST_ID_LIMIT or not _REQUEST_ID.fullmatch(text):
        message = f"Request-Id: expected up to {REQUEST_ID_LIMIT} visible ASCII characters"
        return _refuse("request_id_malformed", message)
    if text and writes and not account:
        return _refuse("request_id_needs_key", "a request id is stored for a client account")
    return result.Success(None)
