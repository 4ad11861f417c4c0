"""Measures latency, throughput and memory of a proxy, and the costs of peers and changes.

All figures come from real processes on loopback without added latency. The
machine may be shared, so compare only figures of the same run.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections import abc

import aiohttp

from greengageshunt import model
from greengageshunt.configuration import keys
from greengageshunt.drivers import postgresql
from greengageshunt.membership import ownership
from greengageshunt.requests import ledger
from greengageshunt.standins import fleet, layout

GROUP = "speed-1"
WARM_UP = 2.0  # seconds between the start of the fleet and the measurement
READ = "SELECT name FROM pots WHERE id = 1"
SCHEMA = """CREATE TABLE IF NOT EXISTS pots (id INTEGER PRIMARY KEY, name TEXT NOT NULL);
INSERT OR IGNORE INTO pots VALUES (1, 'double-walled pot');
CREATE TABLE IF NOT EXISTS orders (id INTEGER PRIMARY KEY, name TEXT NOT NULL);
"""
PROFILE = layout.Profile(
    name="speed",
    failure_domains=("klang",),
    vms=2,
    service="speed",
    groups=1,
    instances=3,
    slots=16,
    connections=60,
    connect_ms=0.0,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """Processor seconds since the start, and resident bytes, of a process."""

    cpu: float
    memory: int


def usage(pid: int) -> Usage:
    """Return the processor time and the memory that a process uses."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    memory = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return Usage(cpu=ticks / os.sysconf("SC_CLK_TCK"), memory=memory * os.sysconf("SC_PAGE_SIZE"))


class ProfiledFleet(fleet.Fleet):
    """A fleet whose first proxy can run under cProfile."""

    profile_path: pathlib.Path | None = None

    def _start_process(self, name: str, program: str, arguments: list[str]) -> None:
        if name != "vm-1" or self.profile_path is None:
            super()._start_process(name, program, arguments)
            return
        module = f"greengageshunt.programs.{program}"
        command = [sys.executable, "-m", "cProfile", "-o", str(self.profile_path), "-m", module]
        with self.log_path(name).open("ab") as log:
            self.processes[name] = subprocess.Popen([*command, *arguments], stderr=log, stdout=log)


def configuration(
    accounts: int = 1, version: int = 1, rate: float = 1e6
) -> tuple[model.Configuration, str]:
    """Return a configuration with client accounts, and the API key of the first one."""
    key, text = keys.create_key("speed-key", "account-0")
    client_accounts = [
        model.ClientAccount(name=f"account-{number}", weight=1.0, rate=rate, burst=rate)
        for number in range(accounts)
    ]
    issued = [key, *(keys.create_key(f"key-{n}", f"account-{n}")[0] for n in range(1, accounts))]
    read = model.Route(name="read", group=GROUP, kind=model.RouteKind.READ, statement=READ)
    write = model.Route(
        name="write",
        group=GROUP,
        kind=model.RouteKind.WRITE,
        statement="INSERT INTO orders (name) VALUES ('pot')",
    )
    built = model.Configuration(
        version=version,
        accounts=tuple(client_accounts),
        keys=tuple(issued),
        routes=(read, write),
        token_secret="5e" * 32,
    )
    return built, text


@contextlib.asynccontextmanager
async def running_fleet(
    profile: layout.Profile,
    built: model.Configuration,
    *,
    log_level: str = "INFO",
    profile_path: pathlib.Path | None = None,
    failover: bool = False,
) -> abc.AsyncIterator[fleet.Fleet]:
    """Run a fleet of stand-ins and proxies until the block ends."""
    base_port = fleet.free_base_port(layout.ports_needed(profile))
    with tempfile.TemporaryDirectory() as directory:
        running = ProfiledFleet(
            layout=layout.build(profile, base_port),
            directory=pathlib.Path(directory),
            schema=SCHEMA,
            service_ms=0.0,
            lag_ms=0.0,
            strict=False,
            extra_settings=f'[log]\nlevel = "{log_level}"\n',
        )
        running.profile_path = profile_path
        if not failover:
            running.start_failover = lambda vm: None
        try:
            await running.start(built)
            await asyncio.sleep(WARM_UP)
            yield running
        finally:
            await running.stop()


async def call(running: fleet.Fleet, address: str, route: str, key: str) -> None:
    """Run a route once.

    Raises:
        RuntimeError: The request failed for another reason than its rate limit.
    """
    url = f"http://{address}/v1/routes/{route}"
    headers = {"Authorization": f"Bearer {key}"}
    async with running.session.post(url, json={"parameters": {}}, headers=headers) as response:
        body = await response.read()
        if response.status not in (200, 429):
            raise RuntimeError(body.decode())


def split_by_owner(running: fleet.Fleet) -> tuple[layout.EntryVm, layout.EntryVm]:
    """Return the entry VM that owns the primary, and another one."""
    record = running.layout.groups[0]
    vms = running.layout.vms
    owner = ownership.owner(record.target(record.primary), [vm.member for vm in vms])
    owning = next(vm for vm in vms if vm.member == owner)
    return owning, next(vm for vm in vms if vm.member != owner)


def describe(seconds: list[float]) -> dict[str, float]:
    """Return the median and the 99th percentile in milliseconds."""
    ordered = sorted(seconds)
    return {
        "median_ms": round(statistics.median(ordered) * 1000, 3),
        "p99_ms": round(ordered[int(len(ordered) * 0.99)] * 1000, 3),
    }


async def measure_latency(running: fleet.Fleet, key: str, count: int) -> dict[str, object]:
    """Measure reads directly at the target, through its owner and through another VM, in turn."""
    record = running.layout.groups[0]
    driver = postgresql.PostgresqlDriver(user="ggs", password="system")
    connection = await driver.connect(record.target(record.primary))
    work = model.Work(statement=READ, parameters={}, write=False, account="account-0")
    owner, other = split_by_owner(running)
    measured: dict[str, list[float]] = {"direct": [], "owner": [], "forwarded": []}
    for _ in range(count):
        began = time.perf_counter()
        await ledger.run_read(connection, work, began)
        direct = time.perf_counter()
        await call(running, owner.http_address, "read", key)
        owned = time.perf_counter()
        await call(running, other.http_address, "read", key)
        measured["direct"].append(direct - began)
        measured["owner"].append(owned - direct)
        measured["forwarded"].append(time.perf_counter() - owned)
    await connection.close()
    described = {name: describe(values) for name, values in measured.items()}
    for name in ("owner", "forwarded"):
        for figure in ("median_ms", "p99_ms"):
            added = described[name][figure] - described["direct"][figure]
            described[name][f"added_{figure}"] = round(added, 3)
    return described


async def measure_rate(
    running: fleet.Fleet, vm: layout.EntryVm, route: str, key: str, seconds: float
) -> dict[str, float]:
    """Load one VM from 16 callers; return statements per second and per core."""
    pid = running.processes[vm.member.vm].pid
    finished = 0
    before, began = usage(pid), time.perf_counter()
    until = began + seconds

    async def caller() -> None:
        nonlocal finished
        while time.perf_counter() < until:
            await call(running, vm.http_address, route, key)
            finished += 1

    await asyncio.gather(*(caller() for _ in range(16)))
    elapsed = time.perf_counter() - began
    cpu_seconds = usage(pid).cpu - before.cpu
    return {
        "per_second": round(finished / elapsed, 1),
        "per_core_second": round(finished / cpu_seconds, 1),
        "cpu_us": round(cpu_seconds / finished * 1e6, 1),
    }


async def hold_idle_connections(
    address: str, pid: int, counts: abc.Sequence[int], settle: float = 1.0
) -> list[dict[str, float]]:
    """Open idle caller connections; return the resident memory at each count.

    Each connection sends one request first, as connections of real callers do. Memory and idle
    processor time are taken after ``settle`` seconds, over another ``settle`` seconds.
    """
    host, _, port = address.rpartition(":")
    request = f"GET /healthz HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
    writers: list[asyncio.StreamWriter] = []
    rows = [{"connections": 0, "memory": usage(pid).memory}]

    async def open_one() -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        await reader.readuntil(b"}")
        writers.append(writer)

    for count in counts:
        while len(writers) < count:
            await asyncio.gather(*(open_one() for _ in range(min(100, count - len(writers)))))
        await asyncio.sleep(settle)
        before = usage(pid)
        await asyncio.sleep(settle)
        after = usage(pid)
        rows.append(
            {
                "connections": count,
                "memory": after.memory,
                "bytes_each": round((after.memory - rows[0]["memory"]) / count),
                "idle_cpu": round((after.cpu - before.cpu) / settle, 4),
            }
        )
    for writer in writers:
        writer.close()
    return rows


async def idle_cpu(running: fleet.Fleet, seconds: float) -> float:
    """Return the mean processor time of the proxies without load, in cores."""
    pids = [running.processes[vm.member.vm].pid for vm in running.layout.vms]
    before = [usage(pid).cpu for pid in pids]
    began = time.perf_counter()
    await asyncio.sleep(seconds)
    elapsed = time.perf_counter() - began
    used = [usage(pid).cpu - start for pid, start in zip(pids, before, strict=True)]
    return statistics.mean(used) / elapsed


async def measure_change(running: fleet.Fleet, accounts: int, changes: int = 10) -> float:
    """Return the processor seconds that one configuration change costs one proxy."""
    base = await idle_cpu(running, 3.0)
    pids = [running.processes[vm.member.vm].pid for vm in running.layout.vms]
    before = [usage(pid).cpu for pid in pids]
    began = time.perf_counter()
    for version in range(2, 2 + changes):
        built, _ = configuration(accounts, version)
        await running.publish(built)
        await asyncio.sleep(1.0)
    elapsed = time.perf_counter() - began
    used = [usage(pid).cpu - start for pid, start in zip(pids, before, strict=True)]
    return (statistics.mean(used) - base * elapsed) / changes


async def measure(arguments: argparse.Namespace) -> dict[str, object]:
    """Run all measurements."""
    figures: dict[str, object] = {"load_average": os.getloadavg(), "cores": os.cpu_count()}
    built, key = configuration()
    async with running_fleet(PROFILE, built, log_level=arguments.log_level) as running:
        owner, other = split_by_owner(running)
        await measure_latency(running, key, 100)  # fills caches and opens connections
        figures["read"] = await measure_latency(running, key, arguments.requests)
        for name, vm, route in (
            ("reads_owner", owner, "read"),
            ("reads_forwarded_entry", other, "read"),
            ("writes_owner", owner, "write"),
        ):
            figures[name] = await measure_rate(running, vm, route, key, arguments.seconds)
        pid = running.processes[owner.member.vm].pid
        figures["idle_connections"] = await hold_idle_connections(owner.http_address, pid, (1000,))
        figures["idle_cores_2_vms"] = round(await idle_cpu(running, arguments.seconds), 4)
    limited, limited_key = configuration(rate=1.0)
    async with running_fleet(PROFILE, limited, log_level=arguments.log_level) as running:
        owner, _ = split_by_owner(running)
        figures["refusals"] = await measure_rate(
            running, owner, "read", limited_key, arguments.seconds
        )
    if not arguments.short:
        six = dataclasses.replace(PROFILE, vms=6)
        async with running_fleet(six, built, log_level=arguments.log_level) as running:
            idle = await idle_cpu(running, arguments.seconds)
            per_peer = (idle - figures["idle_cores_2_vms"]) / 4
            figures["cores_per_peer"] = round(per_peer, 5)
            figures["change_cpu_ms"] = round(1000 * await measure_change(running, 1), 2)
    return figures


async def profile(arguments: argparse.Namespace) -> None:
    """Run one proxy under cProfile, with load on a route whose target it owns."""
    built, key = configuration()
    async with running_fleet(
        dataclasses.replace(PROFILE, vms=1),
        built,
        log_level=arguments.log_level,
        profile_path=arguments.profile,
    ) as running:
        (vm,) = running.layout.vms
        print(await measure_rate(running, vm, arguments.route, key, arguments.seconds))
        process = running.processes[vm.member.vm]
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait, 30)


def main() -> None:
    """Measure, and print JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=1500, help="reads of each kind")
    parser.add_argument("--seconds", type=float, default=5.0, help="length of each measurement")
    parser.add_argument("--log-level", default="INFO", help="lowest level of the proxies' lines")
    parser.add_argument("--short", action="store_true", help="leave out peers and changes")
    parser.add_argument("--profile", type=pathlib.Path, help="write a cProfile file instead")
    parser.add_argument("--route", choices=("read", "write"), default="read", help="profiled route")
    arguments = parser.parse_args()
    if arguments.profile:
        asyncio.run(profile(arguments))
        return
    try:
        print(json.dumps(asyncio.run(measure(arguments)), indent=2))
    except aiohttp.ClientError as error:
        raise SystemExit(f"the fleet did not answer: {error}") from error


if __name__ == "__main__":
    main()
