"""Starts the processes of a development fleet, for the demo, load runs and tests."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
from typing import Any

import aiohttp

from greengageshunt import codec, model
from greengageshunt.requests import ledger
from greengageshunt.standins import layout as layout_module
from greengageshunt.stores import polling

START_TIMEOUT = 20.0  # seconds until a started process must respond with status 200
POLL_INTERVAL = 0.05  # seconds between health checks of a starting process


def free_base_port(count: int) -> int:
    """Return the first of ``count`` consecutive ports that are free.

    Searches below the system's range of ephemeral ports, so that outgoing connections
    do not take a port before its process binds it. The search starts at a port that
    depends on the process id, so that parallel runs seldom find the same ports.
    """
    start = 10_000 + (os.getpid() * 331) % 18_000
    for base in [*range(start, 30_000 - count, count), *range(10_000, start, count)]:
        if all(_is_free(port) for port in range(base, base + count)):
            return base
    raise OSError(f"no {count} consecutive free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


class Fleet:
    """Processes of a fleet by name.

    Names are ``platform``, ``relay``, those of targets, ``vm-1`` and ``failover-vm-1``.
    ``published`` maps the addresses on which targets and peer servers listen to the
    addresses that the platform publishes, so that a test can put a relay in between.
    """

    def __init__(
        self,
        *,
        layout: layout_module.Layout,
        directory: pathlib.Path,
        schema: str,
        service_ms: float = 2.0,
        lag_ms: float = 5.0,
        strict: bool = True,
        extra_settings: str = "",
        published: dict[str, str] | None = None,
    ) -> None:
        self._layout = layout
        self._directory = directory
        self._schema = schema
        self._service_ms = service_ms
        self._lag_ms = lag_ms
        self._strict = strict
        self._extra_settings = extra_settings
        self._published = published or {}
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._started: dict[str, tuple[str, list[str]]] = {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def layout(self) -> layout_module.Layout:
        """Layout of the fleet."""
        return self._layout

    @property
    def processes(self) -> dict[str, subprocess.Popen[bytes]]:
        """Running processes by name."""
        return self._processes

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session for requests of callers and of the fault control."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session

    def log_path(self, name: str) -> pathlib.Path:
        """Return the file that receives the log lines of a process."""
        return self._directory / f"{name}.log"

    async def start(self, configuration: model.Configuration | None) -> None:
        """Start all processes, store the configuration, and wait until all proxies serve it.

        Without a configuration, wait until the health checks of the proxies succeed;
        operators load a configuration later.
        """
        await self.start_platform(configuration)
        self.start_relay()
        for group in self._layout.groups:
            for target in group.targets:
                self.start_target(group, target)
        for vm in self._layout.vms:
            self.start_proxy(vm)
            self.start_failover(vm)
        page = "readyz" if configuration else "healthz"
        urls = [f"http://{vm.http_address}/{page}" for vm in self._layout.vms]
        await asyncio.gather(*(self._wait_http(url) for url in urls))

    async def start_platform(self, configuration: model.Configuration | None) -> None:
        """Start the platform stand-in and store configuration, groups and VM list in it."""
        arguments = ["platform", "--address", self._layout.platform_address]
        self._start_process("platform", "standin", arguments)
        await self._wait_http(f"http://{self._layout.platform_address}/control/counts")
        if configuration is not None:
            await self.publish(configuration)
        for group in self._layout.groups:
            record = codec.to_json(self._with_published_addresses(group))
            await self._put(f"rows/{polling.GROUP_ROW_PREFIX}{group.group}", record)
        members = [self._vm_list_entry(vm) for vm in self._layout.vms]
        async with self.session.put(self._platform("control/vms"), json=members) as response:
            response.raise_for_status()

    def _vm_list_entry(self, vm: layout_module.EntryVm) -> dict[str, Any]:
        published = self._published_address(vm.member.peer_address)
        entry = codec.to_plain(dataclasses.replace(vm.member, peer_address=published))
        if self._layout.profile.domain_latency_ms:
            entry["relay_address"] = vm.relay_address
        return entry

    def start_relay(self) -> None:
        """Start the relay that adds the profile's latency between failure domains, if any."""
        delay = self._layout.profile.domain_latency_ms
        if not delay:
            return
        arguments = ["relay", "--delay-ms", str(delay)]
        for vm in self._layout.vms:
            arguments += ["--forward", f"{vm.relay_address}={vm.member.peer_address}"]
        self._start_process("relay", "standin", arguments)

    async def publish(self, configuration: model.Configuration) -> None:
        """Store a configuration as the current one, whatever version the platform has."""
        name = polling.default_object_name(configuration.version)
        await self._put(f"objects/{name}", codec.to_json(configuration))
        pointer = f'{{"version": {configuration.version}}}'
        await self._put(f"rows/{polling.CONFIGURATION_ROW}", pointer)

    def start_target(self, group: model.GroupRecord, target: model.Target) -> None:
        """Start a target stand-in; restarts keep its data in the fleet's directory."""
        profile = self._layout.profile
        schema_path = self._directory / "schema.sql"
        schema_path.write_text(f"{ledger.REQUESTS_TABLE_SQL};\n{self._schema}")
        data = self._directory / "data"
        data.mkdir(exist_ok=True)
        arguments = ["target", "--name", target.name, "--address", target.address]
        arguments += ["--replication", target.replication_address]
        arguments += ["--control", self._layout.control_addresses[target.name]]
        arguments += ["--slots", str(profile.slots), "--connections", str(profile.connections)]
        arguments += ["--connect-ms", str(profile.connect_ms)]
        arguments += ["--service-ms", str(self._service_ms), "--lag-ms", str(self._lag_ms)]
        arguments += ["--schema", str(schema_path), "--data", str(data)]
        primary = group.target(group.primary)
        if primary == target:
            arguments.append("--primary")
        elif primary is not None:
            arguments += ["--follow", primary.replication_address]
        self._start_process(target.name, "standin", arguments)

    def start_proxy(self, vm: layout_module.EntryVm) -> None:
        """Start the proxy of an entry VM."""
        text = layout_module.proxy_settings(self._layout, vm, self._strict)
        path = self._directory / f"{vm.member.vm}.toml"
        path.write_text(text + self._extra_settings)
        self._start_process(vm.member.vm, "proxy", ["--settings", str(path)])

    def start_failover(self, vm: layout_module.EntryVm) -> None:
        """Start the failover daemon of an entry VM."""
        name = f"failover-{vm.member.vm}"
        path = self._directory / f"{name}.toml"
        path.write_text(layout_module.failover_settings(self._layout, vm, self._strict))
        self._start_process(name, "failover", ["--settings", str(path)])

    async def set_target_faults(self, target: str, **faults: Any) -> None:
        """Set faults of a target stand-in."""
        url = f"http://{self._layout.control_addresses[target]}/control/faults"
        async with self.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform stand-in."""
        async with self.session.post(self._platform("control/faults"), json=faults) as response:
            response.raise_for_status()

    async def target_state(self, target: str) -> dict[str, Any]:
        """Return the state from the control interface of a target stand-in."""
        url = f"http://{self._layout.control_addresses[target]}/control/state"
        async with self.session.get(url) as response:
            return await response.json()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process with SIGKILL, and wait until it has ended."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def start_again(self, name: str) -> None:
        """Start a process that has ended, with the arguments of its last start."""
        program, arguments = self._started[name]
        self._start_process(name, program, arguments)

    async def stop(self) -> None:
        """Close the HTTP session, and end all processes with SIGKILL."""
        if self._session is not None:
            await self._session.close()
        for process in self._processes.values():
            # Resumes a process that a fault has stopped with SIGSTOP.
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()

    def _start_process(self, name: str, program: str, arguments: list[str]) -> None:
        self._started[name] = (program, arguments)
        command = [sys.executable, "-m", f"greengageshunt.programs.{program}", *arguments]
        with self.log_path(name).open("ab") as log:
            self._processes[name] = subprocess.Popen(command, stderr=log, stdout=log)

    def _published_address(self, address: str) -> str:
        return self._published.get(address, address)

    def _with_published_addresses(self, group: model.GroupRecord) -> model.GroupRecord:
        targets = tuple(
            dataclasses.replace(target, address=self._published_address(target.address))
            for target in group.targets
        )
        return dataclasses.replace(group, targets=targets)

    def _platform(self, path: str) -> str:
        return f"http://{self._layout.platform_address}/{path}"

    async def _put(self, path: str, body: str) -> None:
        async with self.session.put(self._platform(path), data=body) as response:
            response.raise_for_status()

    async def _wait_http(self, url: str) -> None:
        async with asyncio.timeout(START_TIMEOUT):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with self.session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(POLL_INTERVAL)
