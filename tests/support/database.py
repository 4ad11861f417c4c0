"""Reads the database files of targets and the log files of processes, past the proxies."""

import asyncio
import collections
import json
import sqlite3

from greengageshunt.standins import fleet as fleet_module

# Time for a log line to reach its file. A process writes buffered lines every 0.1 s, so a line can
# follow the response that it describes. The margin covers a busy machine.
LOG_LINE_TIMEOUT = 5.0  # seconds

LOG_POLL_INTERVAL = 0.02  # seconds


def booked_items(fleet: fleet_module.Fleet, target: str = "") -> collections.Counter[str]:
    """Return the number of bookings of each item in the database file of a target.

    Without a target, this is the first group's primary at the start of the fleet.
    """
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
    # The process may still be writing the last line.
    complete, _, _ = fleet.log_path(name).read_text().rpartition("\n")
    return [json.loads(line) for line in complete.splitlines() if line.startswith("{")]


async def route_line(fleet: fleet_module.Fleet, name: str, request: str) -> dict:
    """Wait for the routing decision on a request in a process's log; return its last line."""
    async with asyncio.timeout(LOG_LINE_TIMEOUT):
        while True:
            routed = [
                line
                for line in log_lines(fleet, name)
                if line.get("decision") == "route" and line.get("request_id") == request
            ]
            if routed:
                return routed[-1]
            await asyncio.sleep(LOG_POLL_INTERVAL)


def violations(fleet: fleet_module.Fleet) -> list[dict]:
    """Return the proxies' log lines that report a violated invariant, a failure or an exception."""
    failure_messages = {"invariant violated", "job failed", "request failed", "stop step failed"}
    return [
        line
        for vm in fleet.layout.vms
        for line in log_lines(fleet, vm.member.vm)
        if line.get("message") in failure_messages or "exc_info" in line
    ]
