"""Entry VMs as real processes on loopback, with the stand-ins of this folder behind them."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections import abc

from support import line_target, table_store

GROUP = "ledger"
METRICS_PORT = 9464  # as in deploy/system.toml
PEER_PORT = 17560
GRACE = 4  # seconds from SIGTERM until the platform kills an entry VM

BOUNDS = {
    "grace-s": GRACE,
    "contact-ms": 4000,
    "quota-window-s": 5,
    "quota-tolerance": 0,
    "quota-slack": 0,
}

# Ports for listeners. They lie below the range from which Linux takes the local ports of outgoing
# connections by default. In that range, a connection could take a port after ``free_port`` has
# checked it and before its listener binds it.
LISTENER_PORTS = range(20000, 32000)

# Each test process starts at a random port, so that parallel runs rarely choose the same one.
_ports = itertools.cycle(LISTENER_PORTS)
for _ in range(random.SystemRandom().randrange(len(LISTENER_PORTS))):
    next(_ports)


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now; later calls try all other ports first."""
    for port in itertools.islice(_ports, len(LISTENER_PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


def configuration(
    version: int,
    *,
    keys: abc.Mapping[str, list[str]],
    rate: float = 1000,
    timeout: float = 2.0,
    idle_limit: float = 1.0,
) -> dict:
    """Return an operator's configuration document: three databases on one group."""
    kinds = ("primary", "bounded_staleness", "read_your_writes")
    return {
        "version": version,
        "routes": [
            {
                "name": kind,
                "host": f"db_{kind}",
                "route-kind": kind,
                "timeout-ms": round(timeout * 1000),
                "latency-goal-ms": 300,
                "priority": 1,
                "service": GROUP,
                "max-staleness-ms": 1500,
                "public": False,
            }
            for kind in kinds
        ],
        "services": [{"name": GROUP, "max-conns": 16, "sync-replicas": 0}],
        "limits": {"tx-idle-ms": round(idle_limit * 1000)},
        "tenants": [
            {"name": name, "api-keys": api_keys, "rate-per-s": rate, "burst": rate}
            for name, api_keys in keys.items()
        ],
    }


def loads_modules(process_id: int) -> bool:
    """Return whether a process loads the program's modules, past the interpreter's start."""
    maps = pathlib.Path(f"/proc/{process_id}/maps").read_text(encoding="utf-8")
    # The event loop's module is among the first that the program loads.
    return "_asyncio" in maps


class EntryVm:
    """One entry VM: its process, its settings file and its log."""

    def __init__(
        self, *, name: str, host: str, folder: pathlib.Path, store_port: int, zone: str = "a"
    ) -> None:
        self.name = name
        self.host = host
        self.front = free_port(host)
        self.ready = free_port(host)
        self.path = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        fields = {
            "node-name": name,
            "zone": zone,
            "ip": host,
            "listen.front": f"{host}:{self.front}",
            "listen.ready": f"{host}:{self.ready}",
            "internal-port-range": f"{PEER_PORT},{PEER_PORT + 15}",
            "platform.address": f"127.0.0.1:{store_port}",
            "cloud.address": f"127.0.0.1:{store_port}",
            **{f"bounds.{key}": value for key, value in BOUNDS.items()},
        }
        self.path.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))

    def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "greengageshunt.programs.entry"],
                env={**os.environ, "GREENGAGESHUNT_BOOT": str(self.path)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def loads_modules(self) -> bool:
        """Whether the current process loads the program's modules, past the interpreter's start."""
        return loads_modules(self.process.pid)

    def lines(self, message: str = "") -> list[dict]:
        """Return the JSON log lines of all its processes; with ``message``, only those with it."""
        parsed = []
        for line in self.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                parsed.append(json.loads(line))
        return [line for line in parsed if not message or line.get("message") == message]


class Fleet:
    """A store, one group of three targets, and entry VMs.

    ``published`` maps a target to the port that its row names, if that is a relay's port.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        size: int,
        zones: str = "a",
        store_ports: abc.Sequence[int] = (),
    ) -> None:
        self.published: dict[str, int] = {}
        self.store = table_store.TableStore()
        self.group = line_target.LineGroup(
            name=GROUP, targets=("t-1", "t-2", "t-3"), connection_limit=16
        )
        self.store_port = free_port()
        # All entry VMs use the same port for peers, so each fleet needs host addresses of its own.
        network = f"127.{os.getpid() % 250 + 1}.{next(_FLEET_NUMBERS) % 250}"
        self.vms = [
            EntryVm(
                name=f"vm-{index}",
                host=f"{network}.{20 + index}",
                folder=folder,
                store_port=store_ports[index] if store_ports else self.store_port,
                zone=zones[index % len(zones)],
            )
            for index in range(size)
        ]

    async def __aenter__(self) -> "Fleet":
        self.store.promote = self._promote
        await self.store.start(self.store_port)
        for target in self.group.targets.values():
            await target.start(target.port or free_port())
            self.announce(target)
        for vm in self.vms:
            vm.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.signal(signal.SIGKILL)
        for vm in self.vms:
            if vm.process is not None:
                vm.process.wait()
        for target in self.group.targets.values():
            await target.stop()
        await self.store.stop()
        faults = [
            line
            for vm in self.vms
            for message in ("task failed", "event handler failed")
            for line in vm.lines(message)
        ]
        assert not faults, faults

    def announce(self, target: line_target.LineTarget, state: str = "ready") -> None:
        """Write the row of a target to the store, as a real target does for itself."""
        entry = {
            "service": GROUP,
            "address": f"127.0.0.1:{self.published.get(target.name, target.port)}",
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold-left-ms": 0,
            "db-role": "primary" if target.primary else "replica",
            "sequence": 1,
        }
        self.store.put("servers", target.name, entry)

    def configure(self, version: int, **fields: object) -> None:
        """Write a configuration to the store, as an operator does."""
        self.store.put("op", "config", configuration(version, **fields))

    async def wait_ready(self, limit: float = 15.0) -> None:
        """Wait up to ``limit`` seconds until all entry VMs are ready and the group has a record."""
        deadline = time.monotonic() + limit
        for vm in self.vms:
            while await ready(vm) != 200 or not self.lead():
                assert time.monotonic() < deadline, f"{vm.name} is not ready"
                await asyncio.sleep(0.05)

    def lead(self) -> dict | None:
        """Return the store's record of the group's primary, or None."""
        row = self.store.rows.get(("greengageshunt", f"groups/{GROUP}"))
        return json.loads(row[0]) if row else None

    async def _promote(self, group: str, name: str) -> bool:
        changed = await self.group.promote(name)
        for target in self.group.targets.values():
            if target.port:
                self.announce(target)
        return changed


async def ready(vm: EntryVm) -> int:
    """Return the HTTP status of the readiness check, or 0 without a response."""
    try:
        reader, writer = await asyncio.open_connection(vm.host, vm.ready)
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])
    except (OSError, IndexError):
        return 0


async def metrics(vm: EntryVm) -> str:
    """Return the text of the metrics page."""
    reader, writer = await asyncio.open_connection(vm.host, METRICS_PORT)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    text = (await reader.read()).decode()
    writer.close()
    return text


_FLEET_NUMBERS = itertools.count()

_STATEMENT_IDS = itertools.count(1)


class Caller:
    """One session of a caller."""

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, vm: EntryVm, database: str, key: str) -> "Caller":
        """Open a session.

        Raises:
            AssertionError: The entry VM rejected the session; the text is its response.
        """
        reader, writer = await asyncio.open_connection(
            vm.host, vm.front, limit=line_target.LINE_LIMIT
        )
        writer.write(line_target.encode(f"STARTUP {database} {key}\r\n"))
        line = await line_target.read_line(reader)
        assert line == "READY I -", line
        return cls(reader=reader, writer=writer)

    def next_id(self) -> str:
        """Return a statement id that is unique in this test process."""
        return f"q{next(_STATEMENT_IDS):08x}"

    async def read_line(self) -> str:
        """Return the next line that arrives, or an empty one at the end of the connection."""
        return await line_target.read_line(self._reader) or ""

    def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self._writer.write(data)

    async def run(self, text: str, statement_id: str = "") -> tuple[list[str], str]:
        """Run a statement; return its response lines, and the transaction state after it."""
        message = f"QUERY {statement_id or self.next_id()} {text}\r\n"
        self._writer.write(line_target.encode(message))
        lines = []
        while True:
            line = await line_target.read_line(self._reader)
            if line is None:
                raise ConnectionResetError(f"entry VM closed the connection during {text[:80]}")
            if line.startswith("READY "):
                return lines, line.split(" ")[1]
            lines.append(line)

    def close(self) -> None:
        """Close the connection without ending the session first."""
        self._writer.close()
