"""Decoding of the platform's documents into types of the product.

The functions raise ``DecodeError`` for what they check themselves, and anything else for other
invalid values; callers decode through ``unreadable``.
"""

import json
import logging
import math
from typing import Any

from greengageshunt import config, model
from greengageshunt.configuration import keys
from greengageshunt.coordination import records

logger = logging.getLogger(__name__)

_MILLISECONDS = 0.001  # seconds in a millisecond

# Consistency of each value of the platform's `route-kind`.
_CONSISTENCY = {
    "primary": model.Consistency.PRIMARY,
    "bounded_staleness": model.Consistency.BOUNDED_STALENESS,
    "read_your_writes": model.Consistency.READ_YOUR_WRITES,
}

_STATES = ("ready", "draining")
_ROLES = ("primary", "replica")


class DecodeError(Exception):
    """A field of a document is missing, or has an unexpected type or value."""


def _field(document: Any, name: str, kind: type | tuple[type, ...]) -> Any:
    if not isinstance(document, dict):
        raise DecodeError(f"expected an object, got {type(document).__name__}")
    value = document.get(name)
    # In Python, a bool is an int too.
    is_unexpected_bool = isinstance(value, bool) and kind is not bool
    if not isinstance(value, kind) or is_unexpected_bool:
        raise DecodeError(f"{name}: unexpected {type(value).__name__}")
    return value


def _check_sendable(name: str) -> None:
    """Check that a name can be a field of the first line to a target.

    Otherwise no connection under this name could be opened, which would look like a target that
    cannot be reached.

    Raises:
        DecodeError: The name would end its field or its line, or has no encoding.
    """
    if not name or " " in name or "\r\n" in name:
        raise DecodeError(f"expected a name without a blank or line end, got {name!r}")
    try:
        name.encode()
    except UnicodeEncodeError as error:
        raise DecodeError(f"expected a name in Unicode, got {name!r}") from error


def _number(document: Any, name: str, default: float | None = None) -> float:
    """Return a finite number of at least 0; ``default`` replaces a missing one."""
    if default is not None and isinstance(document, dict) and document.get(name) is None:
        return default
    value = _field(document, name, (int, float))
    if not (math.isfinite(value) and value >= 0):
        raise DecodeError(f"{name}: expected a finite number of at least 0, got {value!r}")
    return float(value)


def _objects(document: Any, name: str) -> list[Any]:
    """Return a list; an empty one replaces a missing one."""
    if isinstance(document, dict) and document.get(name) is None:
        return []
    return _field(document, name, list)


def _choice(document: Any, name: str, choices: tuple[str, ...]) -> str:
    value = _field(document, name, str)
    if value not in choices:
        raise DecodeError(f"{name}: expected one of {', '.join(choices)}, got {value!r}")
    return value


def decode_document(body: bytes) -> dict[str, Any]:
    """Decode a response of the store, which names the store's version.

    Raises:
        DecodeError: The version is missing.
    """
    document = json.loads(body)
    _field(document, "row-version", int)
    return document


def decode_rows(body: bytes) -> dict[str, Any]:
    """Decode a response with rows, each with a key and a version; values may be invalid.

    Raises:
        DecodeError: A field is missing or malformed.
    """
    document = decode_document(body)
    for row in _field(document, "rows", list):
        _field(row, "key", str)
        if not row.get("tombstone"):
            _field(row, "row-version", int)
    return document


def _decode_database(route: Any) -> model.Database:
    kind = _choice(route, "route-kind", tuple(_CONSISTENCY))
    return model.Database(
        # The `host` of a route is the name of the database that callers give in STARTUP.
        name=_field(route, "host", str),
        # A service of the platform is one database group.
        group=_field(route, "service", str),
        consistency=_CONSISTENCY[kind],
        staleness=_number(route, "max-staleness-ms", 0.0) * _MILLISECONDS,
        statement_timeout=_number(route, "timeout-ms") * _MILLISECONDS,
        latency_goal=_number(route, "latency-goal-ms", 0.0) * _MILLISECONDS,
        priority=int(_number(route, "priority", 0.0)),
        open=bool(route.get("public", False)),
    )


def _decode_tenant(tenant: Any) -> tuple[model.ClientAccount, list[model.Key]]:
    account = model.ClientAccount(
        name=_field(tenant, "name", str),
        weight=1.0,
        rate=_number(tenant, "rate-per-s"),
        burst=_number(tenant, "burst"),
    )
    # The platform's keys have no public part, so a prefix of the digest is the id.
    digests = [keys.sha256_hex(key) for key in _objects(tenant, "api-keys")]
    return account, [
        model.Key(key_id=digest[:16], account=account.name, digest=digest) for digest in digests
    ]


def decode_configuration(document: Any) -> model.Configuration:
    """Decode the row ``op/config``, without tenants whose name cannot be sent to targets.

    Raises:
        DecodeError: A field is missing or malformed.
    """
    accounts, account_keys = [], []
    for tenant in _objects(document, "tenants"):
        account, tenant_keys = _decode_tenant(tenant)
        try:
            _check_sendable(account.name)
        except DecodeError as error:
            fields = {"tenant": account.name, "reason": str(error)}
            logger.warning("tenant left out", extra=fields)
            continue
        accounts.append(account)
        account_keys.extend(tenant_keys)
    limits = document.get("limits") or {}
    return model.Configuration(
        version=_field(document, "version", int),
        accounts=tuple(accounts),
        keys=tuple(account_keys),
        routes=(),
        token_secret="",
        databases=tuple(_decode_database(route) for route in _field(document, "routes", list)),
        groups=tuple(
            model.GroupLimits(
                group=_field(service, "name", str),
                connection_limit=int(_number(service, "max-conns", 0.0)) or 1,
                sync_replicas=int(_number(service, "sync-replicas", 0.0)),
            )
            for service in _objects(document, "services")
        ),
        idle_transaction_limit=_number(limits, "tx-idle-ms", 0.0) * _MILLISECONDS,
    )


def decode_target(name: str, document: Any) -> records.TargetEntry:
    """Decode a row ``servers/ID``.

    Args:
        name: Name of the target, which is the key of the row.
        document: Value of the row.

    Raises:
        DecodeError: A field is missing or malformed; the row defines no target.
    """
    group = _field(document, "service", str)
    _check_sendable(name)
    _check_sendable(group)
    address = _field(document, "address", str)
    expectation = config.is_address(address)
    if expectation:
        raise DecodeError(f"address: expected {expectation}, got {address!r}")
    return records.TargetEntry(
        target=name,
        group=group,
        address=address,
        failure_domain=_field(document, "zone", str),
        slots=_field(document, "slots", int),
        draining=_choice(document, "state", _STATES) == "draining",
        primary=_choice(document, "db-role", _ROLES) == "primary",
    )
