"""Direct views of what the targets stored."""

import collections
import json
import sqlite3

from greengageshunt.standins import fleet as fleet_module


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
    lines = fleet.log_path(name).read_text().splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]


def violations(fleet: fleet_module.Fleet) -> list[dict]:
    """Return the violated invariants and the failures of which proxies logged."""
    bad = {"invariant violated", "job failed", "request failed", "stop step failed"}
    return [
        line
        for vm in fleet.layout.vms
        for line in log_lines(fleet, vm.member.vm)
        if line.get("message") in bad or "exc_info" in line
    ]
