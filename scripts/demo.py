"""Starts a small fleet, runs a short workload and prints a table."""

import argparse
import asyncio
import collections
import json
import pathlib
import sys
import tempfile
import time
from typing import Any

import aiohttp

from greengageshunt.standins import fleet, layout

SHEET = pathlib.Path(__file__).parent.parent / "examples" / "ppgm-sheet.csv"
SERVICE = "order-desk"  # service of the groups that the sheet names
ACCOUNT = "bintang-glue"
ROUNDS = 40  # each of one booking, one member update and three reads
ROUTES = (
    "booking.place",
    "booking.count",
    "catalogue.browse",
    "member.update",
    "member.show",
)
PARAMETERS = {"booking.place": ("item",), "member.update": ("address",)}
SCHEMA = """CREATE TABLE IF NOT EXISTS bookings (
    id INTEGER PRIMARY KEY, item TEXT NOT NULL, account TEXT NOT NULL
);
CREATE TABLE IF NOT EXISTS pots (id INTEGER PRIMARY KEY, name TEXT NOT NULL, stock INTEGER);
INSERT OR IGNORE INTO pots VALUES (1, 'double-walled pot', 12);
CREATE TABLE IF NOT EXISTS members (account TEXT PRIMARY KEY, address TEXT NOT NULL);
"""


async def run_ctl(started: fleet.Fleet, *words: str) -> dict[str, Any]:
    """Run a greengageshuntctl command, print it, and return its JSON document."""
    shown_words = (word.removeprefix(f"{SHEET.parents[1]}/") for word in words)
    print(f"$ greengageshuntctl {' '.join(shown_words)}")
    command = [sys.executable, "-m", "greengageshunt.programs.ctl", "--json"]
    command += ["--platform", started.layout.platform_address, *words]
    process = await asyncio.create_subprocess_exec(*command, stdout=asyncio.subprocess.PIPE)
    output, _ = await process.communicate()
    if process.returncode:
        raise SystemExit(output.decode())
    return json.loads(output)


def check_read(route: str, rows: list[Any], number: int) -> None:
    """End the demo with an error if a read misses an earlier write of its session."""
    expected = {"booking.count": [[number + 1]], "member.show": [[f"Lot {number}"]]}
    if route in expected and rows != expected[route]:
        raise SystemExit(f"{route}: read {rows}, expected {expected[route]}")


async def run_workload(started: fleet.Fleet, key: str) -> dict[tuple[str, str], list[float]]:
    """Write and read through all proxies in turn.

    Returns:
        Latencies in seconds by route and target, or by route and error code.
    """
    latencies: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    session_token = ""
    addresses = [vm.http_address for vm in started.layout.vms]
    for number in range(ROUNDS * len(ROUTES)):
        round_number, place = divmod(number, len(ROUTES))
        route = ROUTES[place]
        url = f"http://{addresses[number % len(addresses)]}/v1/routes/{route}"
        headers = {"Authorization": f"Bearer {key}", "Session-Token": session_token}
        body = {"parameters": {name: f"Lot {round_number}" for name in PARAMETERS.get(route, ())}}
        began = time.perf_counter()
        async with started.session.post(url, json=body, headers=headers) as response:
            document = await response.json()
            session_token = response.headers.get("Session-Token", session_token)
        elapsed = time.perf_counter() - began
        latencies[(route, document.get("target") or document["code"])].append(elapsed)
        if response.status == 200:
            check_read(route, document["rows"], round_number)
    return latencies


def print_table(latencies: dict[tuple[str, str], list[float]]) -> None:
    """Print the number of requests and their latencies, by route and by target or error code."""
    print(f"{'route':<16} {'answered by':<18} {'requests':>8} {'median ms':>10} {'max ms':>8}")
    for (route, place), values in sorted(latencies.items()):
        ordered = sorted(values)
        median = ordered[len(ordered) // 2] * 1000
        print(
            f"{route:<16} {place:<18} {len(ordered):>8} {median:>10.1f} {ordered[-1] * 1000:>8.1f}"
        )
    print("Each read saw all earlier writes of its session, through every proxy.")


def _profiles() -> list[str]:
    """Return the profiles whose groups match the demo's sheet."""
    return sorted(name for name, profile in layout.PROFILES.items() if profile.service == SERVICE)


async def main() -> None:
    """Run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--profile", choices=_profiles(), default="small", help="sizes of the fleet"
    )
    profile = layout.PROFILES[parser.parse_args().profile]
    base_port = fleet.free_base_port(layout.ports_needed(profile))
    with tempfile.TemporaryDirectory() as directory:
        started = fleet.Fleet(
            layout=layout.build(profile, base_port),
            directory=pathlib.Path(directory),
            schema=SCHEMA,
        )
        try:
            await started.start(None)
            print(f"fleet of {len(started.processes)} processes is ready")
            loaded = await run_ctl(started, "sheet", "load", str(SHEET))
            print(f"in force on {', '.join(loaded['in_force'])} after {loaded['seconds']:.1f} s")
            issued = await run_ctl(started, "key", "issue", ACCOUNT)
            print_table(await run_workload(started, issued["key"]))
        except aiohttp.ClientError as error:
            raise SystemExit(f"the fleet did not answer: {error}") from error
        finally:
            await started.stop()


if __name__ == "__main__":
    asyncio.run(main())
