"""Measures the routing policies, and the cost of storing request ids.

Usage: python scripts/measure_requests.py [--seconds 8] [--seed 7]
"""

import argparse
import asyncio
import dataclasses
import pathlib
import random
import tempfile
import time

from greengageshunt import model
from greengageshunt.configuration import keys
from greengageshunt.drivers import postgresql
from greengageshunt.requests import ledger
from greengageshunt.standins import fleet, layout

GROUP = "order-desk-1"
SCHEMA = """CREATE TABLE IF NOT EXISTS bookings (
    id INTEGER PRIMARY KEY, item TEXT NOT NULL, account TEXT NOT NULL
);
"""
INSERT = "INSERT INTO bookings (item, account) VALUES (%(item)s, %(account)s) RETURNING id"
COUNT = "SELECT count(*) FROM bookings WHERE account = %(account)s"
POLICIES = ("position", "waiting")
SESSIONS = 4  # callers that write and then read with staleness allowed
LOADERS = 8  # callers that read at the primary without a pause
LAG_MS = 30.0  # replication lag of the stand-ins
SERVICE_MS = 6.0  # time that the stand-ins take for a statement
LEDGER_WRITES = 400  # writes in each measurement of the ledger


def _route(name: str, statement: str, kind: model.RouteKind, staleness: float) -> model.Route:
    return model.Route(name=name, group=GROUP, kind=kind, statement=statement, staleness=staleness)


def _configuration() -> tuple[model.Configuration, str]:
    key, text = keys.create_key("measure", "workshop")
    account = model.ClientAccount(name="workshop", weight=1.0, rate=1e6, burst=1e6)
    routes = (
        _route("place", INSERT, model.RouteKind.WRITE, 0.0),
        _route("count", COUNT, model.RouteKind.READ, 0.0),
        _route("browse", COUNT, model.RouteKind.READ, 5.0),
    )
    configuration = model.Configuration(
        version=1, accounts=(account,), keys=(key,), routes=routes, token_secret="5e" * 32
    )
    return configuration, text


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] * 1000


class Session:
    """One caller; ``reads`` has the target and the seconds of each read with staleness allowed."""

    def __init__(self, *, started: fleet.Fleet, key: str, randomness: random.Random) -> None:
        self._started = started
        self._key = key
        self._random = randomness
        self._token = ""
        self.reads: list[tuple[str, float]] = []
        self.failures = 0

    async def call(self, route: str, parameters: dict[str, str]) -> tuple[str, float]:
        """Run a route; return the target and the latency in seconds."""
        vm = self._random.choice(self._started.layout.vms)
        url = f"http://{vm.http_address}/v1/routes/{route}"
        headers = {"Authorization": f"Bearer {self._key}", "Session-Token": self._token}
        began = time.perf_counter()
        async with self._started.session.post(
            url, json={"parameters": parameters}, headers=headers
        ) as response:
            document = await response.json()
            self._token = response.headers.get("Session-Token", self._token)
        self.failures += response.status != 200
        return document.get("target", ""), time.perf_counter() - began

    async def write_and_browse(self, until: float) -> None:
        """Repeat one write and three reads with staleness allowed, until a monotonic time."""
        while time.monotonic() < until:
            await self.call("place", {"item": "pot"})
            for _ in range(3):
                self.reads.append(await self.call("browse", {}))

    async def load(self, until: float) -> None:
        """Repeat reads at the primary until a monotonic time."""
        while time.monotonic() < until:
            await self.call("count", {})


async def measure_policy(policy: str, seconds: float, seed: int) -> str:
    """Run one routing policy; return a table row with its figures."""
    configuration, key = _configuration()
    base_port = fleet.free_base_port(layout.ports_needed(layout.SMALL))
    with tempfile.TemporaryDirectory() as directory:
        started = fleet.Fleet(
            layout=layout.build(layout.SMALL, base_port),
            directory=pathlib.Path(directory),
            schema=SCHEMA,
            service_ms=SERVICE_MS,
            lag_ms=LAG_MS,
            extra_settings=f'[parts]\nrouting = "{policy}"\n',
        )
        try:
            await started.start(configuration)
            await asyncio.sleep(1.0)
            sessions = [
                Session(started=started, key=key, randomness=random.Random(seed + number))
                for number in range(SESSIONS + LOADERS)
            ]
            until = time.monotonic() + seconds
            await asyncio.gather(
                *(session.write_and_browse(until) for session in sessions[:SESSIONS]),
                *(session.load(until) for session in sessions[SESSIONS:]),
            )
        finally:
            await started.stop()
    primary = started.layout.groups[0].primary
    reads = [read for session in sessions[:SESSIONS] for read in session.reads]
    latencies = [latency for _, latency in reads]
    share = sum(1 for target, _ in reads if target not in {primary, ""}) / len(reads)
    failures = sum(session.failures for session in sessions)
    return (
        f"| {policy} | {len(reads)} | {share:.3f} | {_quantile(latencies, 0.5):.1f}"
        f" | {_quantile(latencies, 0.95):.1f} | {_quantile(latencies, 0.99):.1f} | {failures} |"
    )


class CountedConnection(postgresql.Connection):
    """Counts the round trips of a connection."""

    round_trips = 0

    async def run(self, *arguments: object, **options: object) -> tuple:
        """Count and run one query."""
        self.round_trips += 1
        return await super().run(*arguments, **options)


async def measure_ledger() -> list[str]:
    """Return table rows with the cost of a write with and without a request id."""
    profile = dataclasses.replace(layout.SMALL, vms=0)
    base_port = fleet.free_base_port(layout.ports_needed(profile))
    lines = []
    with tempfile.TemporaryDirectory() as directory:
        built = layout.build(profile, base_port)
        started = fleet.Fleet(
            layout=built, directory=pathlib.Path(directory), schema=SCHEMA, service_ms=0.0
        )
        try:
            group = built.groups[0]
            target = group.targets[0]
            started.start_target(group, target)
            await asyncio.sleep(1.5)
            driver = postgresql.PostgresqlDriver(user="ggs", password="system")
            plain = await driver.connect(target)
            connection = CountedConnection(target=target, connection=plain._connection)
            for name, prefix in (("without id", ""), ("with id", "request-")) * 2:
                lines.append(await _write_many(connection, name, prefix))
        finally:
            await started.stop()
    return lines


async def _write_many(connection: CountedConnection, name: str, prefix: str) -> str:
    before = connection.round_trips
    latencies = []
    for number in range(LEDGER_WRITES):
        work = model.Work(
            statement=INSERT,
            parameters={"item": "pot"},
            write=True,
            account="workshop",
            request_id=f"{prefix}{before}-{number}" if prefix else "",
        )
        began = time.perf_counter()
        await ledger.run_write(connection, work, 0.0, ledger.CommitProgress())
        latencies.append(time.perf_counter() - began)
    trips = (connection.round_trips - before) / LEDGER_WRITES
    return (
        f"| {name} | {trips:.1f} | {_quantile(latencies, 0.5):.2f}"
        f" | {_quantile(latencies, 0.95):.2f} |"
    )


async def main() -> None:
    """Run the measurements and print them as Markdown tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0, help="length of each run")
    parser.add_argument("--seed", type=int, default=7, help="seed of the callers' choices")
    arguments = parser.parse_args()
    print("| policy | reads | replica share | p50 ms | p95 ms | p99 ms | failures |")
    print("|---|---|---|---|---|---|---|")
    for policy in POLICIES * 2:
        print(await measure_policy(policy, arguments.seconds, arguments.seed), flush=True)
    print("\n| write | round trips | p50 ms | p95 ms |\n|---|---|---|---|")
    for line in await measure_ledger():
        print(line)


if __name__ == "__main__":
    asyncio.run(main())
