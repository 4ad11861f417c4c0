"""Measures how costs grow with size. docs/CAPACITY.md extrapolates them to two years.

Each subcommand prints one JSON row for each size. ``peers``, ``connections``,
``changes`` and ``checks`` use real processes on loopback; ``accounts`` and ``groups``
call the code of the proxies in this process, and so do ``request`` and ``lag``.
"""

import argparse
import asyncio
import dataclasses
import functools
import gc
import json
import os
import pathlib
import statistics
import time
import tracemalloc
from collections import abc
from typing import Any

import measure_speed

from greengageshunt import codec, model
from greengageshunt.drivers import postgresql
from greengageshunt.groups import directory as directory_module
from greengageshunt.membership import ownership
from greengageshunt.peers import messages
from greengageshunt.standins import layout

REPEATS = 5  # runs of an action, of which the median counts


def cpu_of(action: abc.Callable[[], Any], repeats: int = REPEATS) -> float:
    """Return the median processor seconds of several runs of an action."""
    taken = []
    for _ in range(repeats):
        began = time.process_time()
        action()
        taken.append(time.process_time() - began)
    return statistics.median(taken)


def memory_of(create: abc.Callable[[], Any]) -> int:
    """Return the bytes that remain allocated for a created object."""
    gc.collect()
    tracemalloc.start()
    created = create()
    retained, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return retained


def loopback_bytes(pid: int) -> int:
    """Return the bytes received on loopback in the network namespace of a process."""
    lines = pathlib.Path(f"/proc/{pid}/net/dev").read_text().splitlines()
    line = next(line for line in lines if line.strip().startswith("lo:"))
    return int(line.split(":")[1].split()[0])


async def measure_peers(sizes: abc.Iterable[int], seconds: float) -> None:
    """Measure proxies of one group without callers, by the number of entry VMs."""
    built, _ = measure_speed.configuration()
    for size in sizes:
        profile = dataclasses.replace(
            measure_speed.PROFILE, vms=size, connections=15, failure_domains=("klang", "shah-alam")
        )
        async with measure_speed.running_fleet(profile, built) as running:
            await asyncio.sleep(2.0)
            pids = {vm.member.vm: running.processes[vm.member.vm].pid for vm in running.layout.vms}
            owners = {
                ownership.owner(target, [vm.member for vm in running.layout.vms]).vm
                for target in running.layout.groups[0].targets
            }
            before = {vm: measure_speed.usage(pid) for vm, pid in pids.items()}
            reads_before = await platform_reads(running)
            sent = loopback_bytes(next(iter(pids.values())))
            began = time.perf_counter()
            await asyncio.sleep(seconds)
            elapsed = time.perf_counter() - began
            sent = loopback_bytes(next(iter(pids.values()))) - sent
            reads_after = await platform_reads(running)
            after = {vm: measure_speed.usage(pid) for vm, pid in pids.items()}
        used = {vm: (after[vm].cpu - before[vm].cpu) / elapsed for vm in pids}
        others = [used[vm] for vm in pids if vm not in owners]
        row = {
            "vms": size,
            "cores_owners": round(statistics.mean(used[vm] for vm in owners), 4),
            "cores_others": round(statistics.mean(others), 4) if others else None,
            "memory_mb": round(statistics.mean(u.memory for u in after.values()) / 1e6, 1),
            "loopback_bytes_per_second": round(sent / elapsed),
            "platform_reads_per_second_and_vm": round(
                (reads_after - reads_before) / elapsed / size, 2
            ),
            "load_average": round(os.getloadavg()[0], 1),
        }
        print(json.dumps(row), flush=True)


async def platform_reads(running: Any) -> int:
    """Return the number of reads that the platform stand-in has served."""
    url = f"http://{running.layout.platform_address}/control/counts"
    async with running.session.get(url) as response:
        return (await response.json())["reads"]


async def measure_connections(sizes: abc.Sequence[int]) -> None:
    """Measure the memory of idle caller connections of one proxy."""
    built, _ = measure_speed.configuration()
    profile = dataclasses.replace(measure_speed.PROFILE, vms=1, connections=15)
    async with measure_speed.running_fleet(profile, built) as running:
        (vm,) = running.layout.vms
        pid = running.processes[vm.member.vm].pid
        for row in await measure_speed.hold_idle_connections(vm.http_address, pid, sizes):
            print(json.dumps(row), flush=True)


async def measure_changes(sizes: abc.Iterable[int]) -> None:
    """Measure a proxy's cost of one configuration change, by the number of accounts."""
    for size in sizes:
        built, _ = measure_speed.configuration(size)
        profile = dataclasses.replace(measure_speed.PROFILE, vms=2, connections=15)
        async with measure_speed.running_fleet(profile, built) as running:
            seconds = await measure_speed.measure_change(running, size, changes=5)
        row = {
            "accounts": size,
            "cpu_ms": round(seconds * 1000, 1),
            "object_bytes": len(codec.to_json(built)),
        }
        print(json.dumps(row), flush=True)


async def measure_checks(count: int) -> None:
    """Measure the processor time and the bytes of one status check of a target."""
    built, _ = measure_speed.configuration()
    profile = dataclasses.replace(measure_speed.PROFILE, vms=1)
    async with measure_speed.running_fleet(profile, built) as running:
        driver = postgresql.PostgresqlDriver(user="ggs", password="system")
        connection = await driver.connect(running.layout.groups[0].targets[1])
        began = time.process_time()
        for _ in range(count):
            await connection.status(0.0)
        taken = (time.process_time() - began) / count
        await connection.close()
    print(json.dumps({"checks": count, "cpu_us": round(taken * 1e6, 1)}), flush=True)


def measure_accounts(sizes: abc.Iterable[int]) -> None:
    """Measure the time and the memory of decoding a configuration, by the number of accounts."""
    for size in sizes:
        built, _ = measure_speed.configuration(size)
        data = codec.to_json(built)
        read = functools.partial(codec.from_json, data, model.Configuration)
        row = {
            "accounts": size,
            "object_bytes": len(data),
            "read_ms": round(1000 * cpu_of(read), 2),
            "held_bytes": memory_of(read),
        }
        print(json.dumps(row), flush=True)


def _records(count: int) -> tuple[model.GroupRecord, ...]:
    profile = dataclasses.replace(layout.PPGM, groups=count)
    return layout.build(profile, 10_000).groups


def _members(count: int) -> tuple[model.Member, ...]:
    return tuple(
        model.Member(
            vm=f"vm-{number}",
            failure_domain=layout.PPGM.failure_domains[number % 4],
            peer_address="127.0.0.1:7000",
        )
        for number in range(count)
    )


def _reports(records: abc.Iterable[model.GroupRecord]) -> tuple[messages.StatusReport, ...]:
    return tuple(
        messages.StatusReport(
            status=model.TargetStatus(
                target=target.name,
                term=record.term,
                promoter="",
                role=model.Role.REPLICA,
                offset=1,
                history=record.history,
                observed_at=0.0,
            ),
            age=0.1,
        )
        for record in records
        for target in record.targets
    )


def _acknowledgement(records: tuple[model.GroupRecord, ...]) -> messages.HeartbeatAck:
    """Return a heartbeat response with the status of each target of three groups.

    In two years, a VM is expected to own one target in each of eight groups.
    """
    return messages.HeartbeatAck(
        vm="vm-1",
        configuration_version=1,
        leaving=False,
        statuses=_reports(records[:3]),
        groups=records,
        extras={"waits": {}},
    )


def _learn(records: abc.Iterable[model.GroupRecord]) -> dict[str, model.GroupRecord]:
    return {record.group: record for record in records}


def measure_groups(sizes: abc.Iterable[int]) -> None:
    """Measure heartbeats, polls of group records and placement, by the number of groups."""
    members = _members(16)
    for size in sizes:
        records = _records(size)
        ack = _acknowledgement(records)
        frame = messages.encode(ack, 1)
        rows = json.dumps(
            [{"key": r.group, "value": codec.to_plain(r), "etag": '"1"'} for r in records]
        )
        plain = json.loads(rows)
        heartbeat = messages.Heartbeat(vm="vm-1", configuration_version=1, leaving=False)
        row = {
            "groups": size,
            "question_bytes": len(messages.encode(heartbeat, 1)),
            "heartbeat_bytes": len(frame),
            "encode_ms": round(1000 * cpu_of(lambda a=ack: messages.encode(a, 1)), 3),
            "decode_ms": round(1000 * cpu_of(lambda f=frame: messages.decode(f)), 3),
            "poll_bytes": len(rows),
            "poll_ms": round(1000 * cpu_of(lambda r=rows: _read_poll(r)), 3),
            "held_bytes": memory_of(lambda p=plain: _read_rows(p)),
            "place_ms": round(1000 * cpu_of(lambda r=records: _place(r, members)), 3),
        }
        print(json.dumps(row), flush=True)


def _read_poll(rows: str) -> tuple[model.GroupRecord, ...]:
    return _read_rows(json.loads(rows))


def _read_rows(rows: abc.Iterable[dict[str, Any]]) -> tuple[model.GroupRecord, ...]:
    return tuple(codec.from_plain(row["value"], model.GroupRecord) for row in rows)


def _place(records: abc.Iterable[model.GroupRecord], members: tuple[model.Member, ...]) -> None:
    """Compute the owners of all targets, as the owner and monitor parts do in each interval."""
    for record in records:
        for target in record.targets:
            ownership.owner(target, members)


def measure_request(sizes: abc.Iterable[int]) -> None:
    """Measure the parts of a request that depend on the number of entry VMs."""
    (record,) = _records(1)
    for size in sizes:
        members = _members(size)
        owner_cost = cpu_of(lambda m=members: ownership.owner(record.targets[0], m), 200)
        row = {"members": size, "owner_us": round(owner_cost * 1e6, 1)}
        print(json.dumps(row), flush=True)


def measure_lag() -> None:
    """Measure the cost of computing the lag of a target, at its newest and oldest position."""
    status = _reports(_records(1))[0].status
    log = [
        directory_module.Observation(
            observed_at=number * 0.15, position=model.Position(term=1, offset=number + 1)
        )
        for number in range(directory_module.MAX_OBSERVATIONS)
    ]
    newest = dataclasses.replace(status, offset=len(log))
    for name, checked in (("keeps-up", newest), ("oldest", status)):
        seconds = cpu_of(lambda c=checked: directory_module.lag(c, log, 40.0), 200)
        print(json.dumps({"target": name, "lag_us": round(seconds * 1e6, 1)}), flush=True)


def main() -> None:
    """Run the measurement that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    defaults = {
        "peers": (2, 4, 8, 16, 32),
        "connections": (1000, 2000, 5000, 10_000, 15_000),
        "changes": (10, 100, 1000),
        "checks": (2000,),
        "accounts": (10, 100, 1000),
        "groups": (3, 30, 300),
        "request": (8, 32, 128, 550, 2200),
        "lag": (),
    }
    for name, sizes in defaults.items():
        command = commands.add_parser(name)
        command.add_argument("--sizes", type=int, nargs="+", default=sizes)
        command.add_argument("--seconds", type=float, default=8.0)
    arguments = parser.parse_args()
    sizes = arguments.sizes
    actions: dict[str, abc.Callable[[], Any]] = {
        "peers": lambda: asyncio.run(measure_peers(sizes, arguments.seconds)),
        "connections": lambda: asyncio.run(measure_connections(sizes)),
        "changes": lambda: asyncio.run(measure_changes(sizes)),
        "checks": lambda: asyncio.run(measure_checks(sizes[0])),
        "accounts": lambda: measure_accounts(sizes),
        "groups": lambda: measure_groups(sizes),
        "request": lambda: measure_request(sizes),
        "lag": measure_lag,
    }
    actions[arguments.command]()


if __name__ == "__main__":
    main()
