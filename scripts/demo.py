"""Starts a small fleet, runs a short workload and prints a table."""

import argparse
import asyncio
import collections
import pathlib
import tempfile
import time

import aiohttp

from greengageshunt import model
from greengageshunt.configuration import keys
from greengageshunt.standins import fleet, layout

GROUP = "order-desk-1"
REQUESTS = 40  # rounds of one write and two reads
SCHEMA = """CREATE TABLE IF NOT EXISTS bookings (
    id INTEGER PRIMARY KEY, item TEXT NOT NULL, account TEXT NOT NULL
);
"""


def build_configuration() -> tuple[model.Configuration, str]:
    """Return a configuration with one client account, and the text of its key."""
    key, text = keys.issue("demo-key", "workshop")
    routes = (
        model.Route(
            name="booking.place",
            group=GROUP,
            kind=model.RouteKind.WRITE,
            statement=(
                "INSERT INTO bookings (item, account) VALUES (%(item)s, %(account)s) RETURNING id"
            ),
            priority=model.Priority.BOOKING,
        ),
        model.Route(
            name="booking.count",
            group=GROUP,
            kind=model.RouteKind.READ,
            statement="SELECT count(*) FROM bookings WHERE account = %(account)s",
        ),
        model.Route(
            name="booking.browse",
            group=GROUP,
            kind=model.RouteKind.READ,
            statement="SELECT count(*) FROM bookings WHERE account = %(account)s",
            staleness=5.0,
        ),
    )
    account = model.ClientAccount(name="workshop", weight=1.0, rate=500.0, burst=500.0)
    configuration = model.Configuration(
        version=1, accounts=(account,), keys=(key,), routes=routes, token_secret="5e" * 32
    )
    return configuration, text


async def run_workload(started: fleet.Fleet, key: str) -> dict[tuple[str, str], list[float]]:
    """Write and read through all proxies in turn; return latencies by route and target."""
    latencies: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    session_token = ""
    addresses = [vm.http_address for vm in started.layout.vms]
    for number in range(REQUESTS * 3):
        route = ("booking.place", "booking.count", "booking.browse")[number % 3]
        url = f"http://{addresses[number % len(addresses)]}/v1/routes/{route}"
        headers = {"Authorization": f"Bearer {key}", "Session-Token": session_token}
        parameters = {"item": f"pot {number}"} if route == "booking.place" else {}
        body = {"parameters": parameters}
        began = time.perf_counter()
        async with started.session.post(url, json=body, headers=headers) as response:
            document = await response.json()
            session_token = response.headers.get("Session-Token", session_token)
        elapsed = time.perf_counter() - began
        place = document.get("target") or document["code"]
        latencies[(route, place)].append(elapsed)
        if route != "booking.place" and response.status == 200:
            expected = number // 3 + 1
            if document["rows"] != [[expected]]:
                raise SystemExit(f"read {document['rows']} after {expected} writes")
    return latencies


def print_table(latencies: dict[tuple[str, str], list[float]]) -> None:
    """Print the number of requests and their latencies."""
    print(f"{'route':<16} {'answered by':<18} {'requests':>8} {'median ms':>10} {'max ms':>8}")
    for (route, place), values in sorted(latencies.items()):
        ordered = sorted(values)
        median = ordered[len(ordered) // 2] * 1000
        print(
            f"{route:<16} {place:<18} {len(ordered):>8} {median:>10.1f} {ordered[-1] * 1000:>8.1f}"
        )
    print("Each read saw all earlier writes of its session, through every proxy.")


async def main() -> None:
    """Run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--profile", choices=sorted(layout.PROFILES), default="small", help="sizes of the fleet"
    )
    profile = layout.PROFILES[parser.parse_args().profile]
    configuration, key = build_configuration()
    base_port = fleet.free_base_port(layout.ports_needed(profile))
    with tempfile.TemporaryDirectory() as directory:
        started = fleet.Fleet(
            layout=layout.build(profile, base_port),
            directory=pathlib.Path(directory),
            schema=SCHEMA,
        )
        try:
            await started.start(configuration)
            print(f"fleet of {len(started.processes)} processes is ready")
            print_table(await run_workload(started, key))
        except aiohttp.ClientError as error:
            raise SystemExit(f"the fleet did not answer: {error}") from error
        finally:
            await started.stop()


if __name__ == "__main__":
    asyncio.run(main())
