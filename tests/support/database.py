"""Direct views of what the targets stored."""

import asyncio
import collections
import json
import sqlite3

from greengageshunt.standins import fleet as fleet_module

# Seconds for a line to reach its file. A process writes its lines every 0.1 s, after the
# answer that they are about; the rest is for a busy machine.
LINE_DEADLINE = 5.0

LINE_INTERVAL = 0.02  # seconds between looks


def booked_items(fleet: fleet_module.Fleet, target: str = "") -> collections.Counter[str]:
    """Return the number of bookings by item, as the file of a target has them."""
    name = target or fleet.layout.groups[0].primary
    path = fleet.log_path(name).parent / "data" / f"{name}.sqlite"
    connection = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
    try:
        rows = connection.execute("SELECT item FROM bookings").fetchall()
    finally:
        connection.close()
    return collections.Counter(item for (item,) in rows)


def log_lines(fleet: fleet_module.Fleet, name: str) -> list[dict]:
    """Return the log lines of a process."""
    # The last line may be written in part.
    whole, _, _ = fleet.log_path(name).read_text().rpartition("\n")
    return [json.loads(line) for line in whole.splitlines() if line.startswith("{")]


async def route_line(fleet: fleet_module.Fleet, name: str, request: str) -> dict:
    """Return the last log line by which a process routed a request."""
    async with asyncio.timeout(LINE_DEADLINE):
        while True:
            routed = [
                line
                for line in log_lines(fleet, name)
                if line.get("decision") == "route" and line.get("request_id") == request
            ]
            if routed:
                return routed[-1]
            await asyncio.sleep(LINE_INTERVAL)


def violations(fleet: fleet_module.Fleet) -> list[dict]:
    """Return the violated invariants and the failures of which proxies logged."""
    bad = {"invariant violated", "job failed", "request failed", "stop step failed"}
    return [
        line
        for vm in fleet.layout.vms
        for line in log_lines(fleet, vm.member.vm)
        if line.get("message") in bad or "exc_info" in line
    ]
