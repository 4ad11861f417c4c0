"""Configurations for tests."""

import dataclasses

from greengageshunt import model
from greengageshunt.configuration import keys

SCHEMA = """CREATE TABLE IF NOT EXISTS bookings (
    id INTEGER PRIMARY KEY, item TEXT NOT NULL, account TEXT NOT NULL
);
CREATE TABLE IF NOT EXISTS pots (id INTEGER PRIMARY KEY, name TEXT NOT NULL, stock INTEGER);
INSERT OR IGNORE INTO pots VALUES (1, 'double-walled pot', 12);
"""

GROUP = "order-desk-1"


@dataclasses.dataclass(frozen=True, kw_only=True)
class PreparedConfiguration:
    """A configuration, and the API key that a caller sends for each client account."""

    configuration: model.Configuration
    keys: dict[str, str]


def _routes(group: str) -> tuple[model.Route, ...]:
    return (
        model.Route(
            name="booking.place",
            group=group,
            kind=model.RouteKind.WRITE,
            statement=(
                "INSERT INTO bookings (item, account) VALUES (%(item)s, %(account)s) RETURNING id"
            ),
            priority=model.Priority.BOOKING,
        ),
        model.Route(
            name="booking.list",
            group=group,
            kind=model.RouteKind.READ,
            statement="SELECT id, item FROM bookings WHERE account = %(account)s ORDER BY id",
        ),
        model.Route(
            name="booking.browse",
            group=group,
            kind=model.RouteKind.READ,
            statement="SELECT id, item FROM bookings WHERE account = %(account)s ORDER BY id",
            staleness=5.0,
            priority=model.Priority.BROWSE,
        ),
        model.Route(
            name="catalogue",
            group=group,
            kind=model.RouteKind.READ,
            statement="SELECT id, name, stock FROM pots ORDER BY id",
            staleness=5.0,
            open=True,
            priority=model.Priority.BROWSE,
        ),
    )


def prepare(
    *, accounts: int = 2, rate: float = 1000.0, burst: float = 1000.0, group: str = GROUP
) -> PreparedConfiguration:
    """Return a configuration with client accounts that have one key each."""
    client_accounts = []
    account_keys = []
    key_texts = {}
    for number in range(1, accounts + 1):
        name = f"account-{number}"
        key, text = keys.create_key(f"key-{number}", name)
        client_accounts.append(model.ClientAccount(name=name, weight=1.0, rate=rate, burst=burst))
        account_keys.append(key)
        key_texts[name] = text
    configuration = model.Configuration(
        version=1,
        accounts=tuple(client_accounts),
        keys=tuple(account_keys),
        routes=_routes(group),
        token_secret="5e" * 32,
    )
    return PreparedConfiguration(configuration=configuration, keys=key_texts)
