"""Workloads of the two deployments: accounts, keys, routes and the mix of requests."""

import dataclasses

from greengageshunt import model
from greengageshunt.configuration import keys
from greengageshunt.standins import layout

SCHEMA = """CREATE TABLE IF NOT EXISTS entries (
    id INTEGER PRIMARY KEY, ref TEXT NOT NULL, account TEXT NOT NULL, session TEXT NOT NULL
);
CREATE INDEX IF NOT EXISTS entries_by_session ON entries (account, session);
"""

_INSERT = (
    "INSERT INTO entries (ref, account, session)"
    " VALUES (%(ref)s, %(account)s, %(session)s) RETURNING id"
)
_COUNT = "SELECT count(*) FROM entries WHERE account = %(account)s AND session = %(session)s"
_SELECT_REFERENCES = "SELECT ref FROM entries WHERE account = %(account)s"

LARGE_ACCOUNT_RATE = 120.0  # requests per second
SMALL_ACCOUNT_RATE = 30.0  # requests per second
ACCOUNT_COUNT = 8
LARGE_ACCOUNT_COUNT = 2

# Rate limit, in requests per second, of the client account that reads the stored rows
# after a run. It is too high to reject an audit request. The account sends no other
# requests, so the measures do not include it.
_AUDITOR_RATE = 10_000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class MixedRoute:
    """A route and its fraction of the requests of a workload.

    Attributes:
        name: Name of the route.
        group: Number of the group that serves the route, from 0.
        kind: Whether the route reads or writes.
        part: Fraction of all requests; the fractions of a workload add up to 1.
        staleness: Replica lag in seconds that a read permits; 0 for none.
        priority: Priority among queued statements.
    """

    name: str
    group: int
    kind: model.RouteKind
    part: float
    staleness: float = 0.0
    priority: model.Priority = model.Priority.NORMAL


@dataclasses.dataclass(frozen=True, kw_only=True)
class Workload:
    """Requests of one deployment.

    Attributes:
        profile: Sizes of the fleet.
        routes: Routes and their fractions of the requests.
        peak_factor: Arrival rate during peaks as a multiple of the rate outside of them;
            1 for a workload without peaks.
        peak_length: Length of a peak in seconds.
        peak_period: Seconds from the start of one peak to the start of the next.
        sessions: Number of sessions of each client account.
    """

    profile: layout.Profile
    routes: tuple[MixedRoute, ...]
    peak_factor: float = 1.0
    peak_length: float = 0.0
    peak_period: float = 1.0
    sessions: int = 20


_READ, _WRITE = model.RouteKind.READ, model.RouteKind.WRITE
_BOOKING, _BROWSE = model.Priority.BOOKING, model.Priority.BROWSE

_PPGM_ROUTES = (
    MixedRoute(name="booking.place", group=0, kind=_WRITE, part=0.15, priority=_BOOKING),
    MixedRoute(name="booking.list", group=0, kind=_READ, part=0.10),
    MixedRoute(
        name="catalogue.browse", group=1, kind=_READ, part=0.50, staleness=5.0, priority=_BROWSE
    ),
    MixedRoute(name="catalogue.update", group=1, kind=_WRITE, part=0.05),
    MixedRoute(name="member.update", group=2, kind=_WRITE, part=0.08),
    MixedRoute(name="member.show", group=2, kind=_READ, part=0.12, staleness=1.0),
)

_HIMAL_ROUTES = (
    MixedRoute(name="order.place", group=0, kind=_WRITE, part=0.10, priority=_BOOKING),
    MixedRoute(name="order.list", group=0, kind=_READ, part=0.10),
    MixedRoute(name="shop.page", group=0, kind=_READ, part=0.15, staleness=2.0, priority=_BROWSE),
    MixedRoute(name="print.add", group=1, kind=_WRITE, part=0.08),
    MixedRoute(name="print.show", group=1, kind=_READ, part=0.22, staleness=0.5),
    MixedRoute(name="casting.step", group=2, kind=_WRITE, part=0.10),
    MixedRoute(name="casting.track", group=2, kind=_READ, part=0.25, staleness=0.3),
)

WORKLOADS = {
    "ppgm": Workload(
        profile=layout.PPGM,
        routes=_PPGM_ROUTES,
        peak_factor=2.0,
        peak_length=0.5,
        peak_period=4.0,
    ),
    "himal": Workload(profile=layout.HIMAL, routes=_HIMAL_ROUTES),
    "small": Workload(
        profile=layout.SMALL,
        routes=(
            MixedRoute(name="booking.place", group=0, kind=_WRITE, part=0.2, priority=_BOOKING),
            MixedRoute(name="booking.list", group=0, kind=_READ, part=0.2),
            MixedRoute(name="catalogue.browse", group=0, kind=_READ, part=0.6, staleness=5.0),
        ),
    ),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Prepared:
    """A configuration and the secrets of its API keys.

    Attributes:
        configuration: Configuration that the platform publishes to the entry VMs.
        keys: API key by client account name, as callers send it.
        auditor: Name of the client account that reads all references after a run.
    """

    configuration: model.Configuration
    keys: dict[str, str]
    auditor: str = "auditor"


def group_name(workload: Workload, number: int) -> str:
    """Return the name of the group with a number, from 0."""
    return f"{workload.profile.service}-{number + 1}"


def accounts() -> tuple[model.ClientAccount, ...]:
    """Return the client accounts, of which the first ``LARGE_ACCOUNT_COUNT`` are large."""
    built = []
    for number in range(ACCOUNT_COUNT):
        rate = LARGE_ACCOUNT_RATE if number < LARGE_ACCOUNT_COUNT else SMALL_ACCOUNT_RATE
        # Weights are proportional to the rate limits, so that the fair share of a large
        # account under overload is larger by the same factor.
        weight = rate / SMALL_ACCOUNT_RATE
        name = f"account-{number + 1}"
        built.append(model.ClientAccount(name=name, weight=weight, rate=rate, burst=rate))
    return tuple(built)


def audit_route(group: str) -> str:
    """Return the name of a group's route that lists the references of a client account."""
    return f"audit.{group}"


def _route(workload: Workload, mixed: MixedRoute) -> model.Route:
    return model.Route(
        name=mixed.name,
        group=group_name(workload, mixed.group),
        kind=mixed.kind,
        statement=_INSERT if mixed.kind is _WRITE else _COUNT,
        staleness=mixed.staleness,
        repeatable=mixed.kind is _READ,
        priority=mixed.priority,
    )


def prepare(workload: Workload) -> Prepared:
    """Return the configuration of a workload with newly issued API keys."""
    load_accounts = accounts()
    issued = {
        account.name: keys.create_key(f"key-{account.name}", account.name)
        for account in load_accounts
    }
    routes = [_route(workload, mixed) for mixed in workload.routes]
    for number in range(workload.profile.groups):
        group = group_name(workload, number)
        routes.append(
            model.Route(
                name=audit_route(group),
                group=group,
                kind=_READ,
                statement=_SELECT_REFERENCES.replace("%(account)s", "%(audited)s"),
            )
        )
    auditor = model.ClientAccount(
        name="auditor", weight=1.0, rate=_AUDITOR_RATE, burst=_AUDITOR_RATE
    )
    issued[auditor.name] = keys.create_key("key-auditor", auditor.name)
    configuration = model.Configuration(
        version=1,
        accounts=(*load_accounts, auditor),
        keys=tuple(key for key, _ in issued.values()),
        routes=tuple(routes),
        token_secret="5e" * 32,
    )
    return Prepared(
        configuration=configuration, keys={name: text for name, (_, text) in issued.items()}
    )
