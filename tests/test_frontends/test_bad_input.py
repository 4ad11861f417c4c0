"""Invalid input at the HTTP front end: refusal codes and outcomes, and service afterwards."""

import json

import pytest

from greengageshunt import errors
from greengageshunt.frontends import http
from support import callers, configurations, database

PLACE_ROUTE_PATH = "/v1/routes/booking.place"
VALID_BODY = json.dumps({"parameters": {"item": "bad input"}}).encode()


def _parameters(**values):
    return json.dumps({"parameters": values}).encode()


# Method, path, body, further headers, expected status and code.
CASES = [
    ("POST", PLACE_ROUTE_PATH, b"{", {}, 400, "body_malformed"),
    ("POST", PLACE_ROUTE_PATH, b"[]", {}, 400, "body_malformed"),
    ("POST", PLACE_ROUTE_PATH, b"\xff\xfe", {}, 400, "body_malformed"),
    ("POST", PLACE_ROUTE_PATH, b"[" * 100_000, {}, 400, "body_malformed"),
    ("POST", PLACE_ROUTE_PATH, b'{"parameters": {"item": NaN}}', {}, 400, "body_malformed"),
    ("POST", PLACE_ROUTE_PATH, b'{"parameters": {"item": "\\u0000"}}', {}, 400, "body_malformed"),
    ("POST", PLACE_ROUTE_PATH, b'{"parameters": {"item": "\\ud800"}}', {}, 400, "body_malformed"),
    ("POST", PLACE_ROUTE_PATH, _parameters(item=[1]), {}, 400, "body_malformed"),
    ("POST", PLACE_ROUTE_PATH, b'{"statement": "SELECT 1"}', {}, 400, "body_malformed"),
    ("POST", PLACE_ROUTE_PATH, b" " * (http.BODY_LIMIT + 1), {}, 413, "body_too_large"),
    ("POST", PLACE_ROUTE_PATH, b"{}", {}, 400, "parameter_missing"),
    ("POST", PLACE_ROUTE_PATH, _parameters(item="x", other=1), {}, 400, "parameter_unknown"),
    (
        "POST",
        PLACE_ROUTE_PATH,
        _parameters(item="x", account="account-2"),
        {},
        400,
        "parameter_unknown",
    ),
    ("POST", PLACE_ROUTE_PATH, VALID_BODY, {"Timeout-Ms": "soon"}, 400, "header_malformed"),
    ("POST", PLACE_ROUTE_PATH, VALID_BODY, {"Timeout-Ms": "9" * 5000}, 400, "header_malformed"),
    ("POST", PLACE_ROUTE_PATH, VALID_BODY, {"Request-Id": "x" * 129}, 400, "request_id_malformed"),
    ("POST", PLACE_ROUTE_PATH, VALID_BODY, {"Session-Token": "AAAA"}, 400, "token_invalid"),
    ("POST", PLACE_ROUTE_PATH, VALID_BODY, {"Session-Token": "!"}, 400, "token_invalid"),
    ("POST", PLACE_ROUTE_PATH, VALID_BODY, {"Authorization": "Bearer key-1.x"}, 401, "key_unknown"),
    ("POST", PLACE_ROUTE_PATH, VALID_BODY, {"Authorization": "Basic x"}, 401, "key_missing"),
    ("POST", "/v1/routes/nothing", VALID_BODY, {}, 404, "route_unknown"),
    ("POST", "/v2/routes/nothing", VALID_BODY, {}, 404, "path_unknown"),
    ("DELETE", PLACE_ROUTE_PATH, b"", {}, 405, "method_not_allowed"),
    ("GET", "/v1/requests/nothing/1", b"", {}, 404, "route_unknown"),
    ("POST", "/v1/transactions", b"{}", {}, 400, "body_malformed"),
    ("POST", "/v1/transactions", b'{"group": "nothing"}', {}, 404, "group_unknown"),
    ("POST", "/v1/transactions/AAAA/commit", b"", {}, 404, "transaction_invalid"),
    (
        "POST",
        PLACE_ROUTE_PATH,
        json.dumps({"parameters": {"item": "x"}, "transaction": "AAAA"}).encode(),
        {},
        404,
        "transaction_invalid",
    ),
]


async def test_invalid_input_is_refused_and_later_requests_are_served(start_fleet):
    """Guards against a wrong code or outcome, and against a front end that stops serving."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    vm = fleet.layout.vms[0]
    key = prepared.keys["account-1"]

    for method, path, body, headers, status, code in CASES:
        sent = {"Authorization": f"Bearer {key}", **headers}
        url = f"http://{vm.http_address}{path}"
        async with fleet.session.request(method, url, data=body, headers=sent) as response:
            document = await response.json()
            assert (response.status, document["code"]) == (status, code), (path, body[:80])
            assert document["outcome"] == "not_run"
            assert {"message", "step", "peer"} <= set(document)

    caller = callers.Caller(session=fleet.session, key=key)
    assert (await caller.call(vm.http_address, "booking.place", item="good")).status == 200
    assert database.booked_items(fleet) == {"good": 1}
    assert not database.violations(fleet)


@pytest.mark.parametrize("text", ["0", "-1", "1.5", "60001", "\u0661"])
def test_timeout_out_of_range_is_refused(text):
    """Guards against a deadline that has always passed already, or never passes."""
    with pytest.raises(errors.RefusedError):
        http.parse_timeout(text)
