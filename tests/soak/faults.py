"""Faults of a run, each injected from outside the processes and ended again.

A fault is a coroutine function that takes the world and a seeded random number generator. Faults
start at random times and may overlap.
"""

import asyncio
import random
import signal
from collections import abc
from typing import TYPE_CHECKING

from support import entry_fleet

if TYPE_CHECKING:
    from soak import world as world_module

Fault = abc.Callable[["world_module.World", random.Random], abc.Awaitable[None]]


# Exit codes of processes that a fault ended.
_ENDED_BY_A_FAULT = (0, -signal.SIGKILL, -signal.SIGTERM)


def _start(world: "world_module.World", vm: entry_fleet.EntryVm) -> None:
    """Start a process, unless an overlapping fault has already restarted it."""
    code = vm.process.poll()
    if code is None:
        return
    if code not in _ENDED_BY_A_FAULT:
        world.run_ledger.failures.append(f"EXIT: {vm.name} ended with {code}")
    vm.start()


async def _kill(vm: entry_fleet.EntryVm) -> None:
    # An overlapping fault may replace the process while this one waits for its exit (seed 134).
    process = vm.process
    process.kill()
    await asyncio.to_thread(process.wait)


async def kill_entry_vm(world: "world_module.World", rng: random.Random) -> None:
    """Kill a process with SIGKILL, and restart it after up to 3 s."""
    vm = rng.choice(world.fleet.vms)
    await _kill(vm)
    await asyncio.sleep(rng.choice((0.0, 0.5, 3.0)))
    _start(world, vm)


async def kill_all_entry_vms(world: "world_module.World", rng: random.Random) -> None:
    """Kill all processes at once, and restart them."""
    await asyncio.gather(*map(_kill, world.fleet.vms))
    await asyncio.sleep(rng.uniform(0, 1))
    for vm in world.fleet.vms:
        _start(world, vm)


async def stop_entry_vm(world: "world_module.World", rng: random.Random) -> None:
    """Shut a process down with SIGTERM, and restart it."""
    await _stop_and_restart(world, rng.choice(world.fleet.vms))


async def _stop_and_restart(world: "world_module.World", vm: entry_fleet.EntryVm) -> None:
    process = vm.process
    handles_sigterm = process.poll() is None and vm.loads_modules
    process.send_signal(signal.SIGTERM)
    code = await asyncio.to_thread(process.wait)
    # An overlapping fault may have killed the process, or restarted it so recently that
    # SIGTERM ended it before the program's first line (seed 124).
    allowed_codes = (
        (0, -signal.SIGKILL) if handles_sigterm else (0, -signal.SIGKILL, -signal.SIGTERM)
    )
    if code not in allowed_codes:
        world.run_ledger.failures.append(f"STOP: {vm.name} ended with {code}")
    _start(world, vm)


async def stop_all_in_turn(world: "world_module.World", rng: random.Random) -> None:
    """Shut all processes down one after the other, before the earlier ones serve again."""
    pause = rng.uniform(0.3, 2.0)
    stops = []
    for vm in world.fleet.vms:
        stops.append(asyncio.create_task(_stop_and_restart(world, vm)))
        await asyncio.sleep(pause)
    await asyncio.gather(*stops)


async def replace_settings(world: "world_module.World", rng: random.Random) -> None:
    """Write settings files again in two steps, and send SIGHUP; processes may start meanwhile."""
    for vm in world.fleet.vms:
        if vm.name in world.replaced_settings:
            continue
        world.replaced_settings.add(vm.name)
        whole = vm.path.read_text(encoding="utf-8")
        vm.path.write_text(whole[: rng.randrange(len(whole))], encoding="utf-8")
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        vm.path.write_text(whole, encoding="utf-8")
        world.replaced_settings.discard(vm.name)
    await reload_entry_vms(world, rng)


async def pause_entry_vm(world: "world_module.World", rng: random.Random) -> None:
    """Pause a process, at times for longer than its heartbeat time-out or its leases."""
    vm = rng.choice(world.fleet.vms)
    vm.signal(signal.SIGSTOP)
    await asyncio.sleep(rng.choice((0.3, 2.0, 7.0)))
    vm.signal(signal.SIGCONT)


async def reload_entry_vms(world: "world_module.World", rng: random.Random) -> None:
    """Send SIGHUP to all processes, so that they reload their settings."""
    for vm in world.fleet.vms:
        # SIGHUP ends an interpreter that has not loaded the program yet (seed 1519476860).
        if vm.process.poll() is None and vm.loads_modules:
            vm.signal(signal.SIGHUP)


async def refuse_store_calls(world: "world_module.World", rng: random.Random) -> None:
    """Make the store reject all requests as unavailable."""
    world.store.down = True
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    world.store.down = False


async def lose_store_answers(world: "world_module.World", rng: random.Random) -> None:
    """Drop the responses to some store writes after they take effect."""
    world.store.lose_answers = rng.randrange(1, 4)
    await asyncio.sleep(2.0)
    world.store.lose_answers = 0


async def drop_store_history(world: "world_module.World", rng: random.Random) -> None:
    """Make the store drop its change history, so that feed readers must read all rows again."""
    world.store.lost_history_before = world.store.version + 1


async def restore_store(world: "world_module.World", rng: random.Random) -> None:
    """Take the store away, and return it from an older copy.

    The operator and the targets then write their rows again; the product's own rows stay lost.
    """
    store = world.store
    copy = store.copy()
    await asyncio.sleep(rng.uniform(0.5, 8.0))
    store.down = True
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    newest = {key: value for key, (value, _) in store.rows.items() if key[0] in ("op", "servers")}
    store.restore(copy)
    for key in [key for key in store.rows if key[0] == "servers" and key not in newest]:
        store.delete(*key)
    for (table, key), value in newest.items():
        store.put_raw(table, key, value)
    store.down = False


async def cut_store(world: "world_module.World", rng: random.Random) -> None:
    """Drop, cut or delay the traffic between some entry VMs and the store."""
    await _disturb(world, rng, list(world.store_relays))


async def cut_target(world: "world_module.World", rng: random.Random) -> None:
    """Drop, cut or delay the traffic between all entry VMs and one target."""
    await _disturb(world, rng, [rng.choice(list(world.target_relays.values()))])


async def _disturb(world: "world_module.World", rng: random.Random, relays: list) -> None:
    chosen = rng.sample(relays, rng.randrange(1, len(relays) + 1))
    disturbance = rng.choice(("silence", "cut", "delay", "to_server", "to_client"))
    for relay in chosen:
        relay.delay = rng.uniform(0.05, 0.4) if disturbance == "delay" else 0.0
        relay.drop_to_server = disturbance == "to_server"
        relay.drop_to_client = disturbance == "to_client"
        for connection in relay.connections:
            if disturbance == "silence":
                connection.silence()
            elif disturbance == "cut":
                connection.cut()
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for relay in chosen:
        relay.delay, relay.drop_to_server, relay.drop_to_client = 0.0, False, False


async def crash_target(world: "world_module.World", rng: random.Random) -> None:
    """Crash a target, at times the primary, and restart it with its log."""
    group = world.fleet.group
    name = rng.choice([group.primary, *group.targets])
    target = group.targets.get(name)
    if target is None or not target.port or name in world.faulty_targets:
        return
    world.faulty_targets.add(name)
    await target.stop()
    world.store.delete("servers", name)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    await target.start(target.port)
    group.copy()
    world.fleet.announce(target)
    world.faulty_targets.discard(name)


async def partition_primary(world: "world_module.World", rng: random.Random) -> None:
    """Partition a primary from its replicas; it still serves the entry VMs that reach it."""
    target = world.fleet.group.targets.get(world.fleet.group.primary)
    if target is None or target.name in world.faulty_targets:
        return
    world.faulty_targets.add(target.name)
    relay = world.target_relays[target.name]
    target.partition()
    # At times the entry VMs lose it too: the relay drops its responses.
    relay.drop_to_client = rng.random() < 0.5
    await asyncio.sleep(rng.uniform(0.5, 9.0))
    relay.drop_to_client = False
    target.end_partition()
    world.fleet.announce(target)
    world.faulty_targets.discard(target.name)


async def drain_target(world: "world_module.World", rng: random.Random) -> None:
    """Drain a target, at times the primary, and return it to service."""
    group = world.fleet.group
    target = group.targets.get(rng.choice([group.primary, *group.targets]))
    if target is None or target.name in world.faulty_targets:
        return
    world.faulty_targets.add(target.name)
    world.fleet.announce(target, state="draining")
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    world.fleet.announce(target)
    world.faulty_targets.discard(target.name)


async def lose_target_answers(world: "world_module.World", rng: random.Random) -> None:
    """Make targets run statements and drop the responses."""
    for target in world.fleet.group.targets.values():
        target.lose_answers = rng.randrange(3)


async def slow_target(world: "world_module.World", rng: random.Random) -> None:
    """Delay all responses of one target."""
    target = rng.choice(list(world.fleet.group.targets.values()))
    target.delay = rng.uniform(0.02, 0.3)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    target.delay = 0.0


async def repeat_target_answers(world: "world_module.World", rng: random.Random) -> None:
    """Make targets send some answers a second time, at once or later."""
    longest = rng.choice((0.0, 0.015, 0.2, 1.0))
    for target in world.fleet.group.targets.values():
        target.repeat_delay = (0.0, longest)
        target.repeat_share = rng.choice((0.01, 0.1, 0.3))
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for target in world.fleet.group.targets.values():
        target.repeat_share = 0.0


async def refuse_statements(world: "world_module.World", rng: random.Random) -> None:
    """Make targets refuse some statements, among them those that set up a connection."""
    for target in world.fleet.group.targets.values():
        target.refuse_share = rng.choice((0.01, 0.1))
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for target in world.fleet.group.targets.values():
        target.refuse_share = 0.0


async def stop_replication(world: "world_module.World", rng: random.Random) -> None:
    """Pause the replication to one replica."""
    group = world.fleet.group
    target = rng.choice([each for each in group.targets.values() if each.name != group.primary])
    target.replication_paused = True
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    target.replication_paused = False
    group.copy()


async def change_configuration(world: "world_module.World", rng: random.Random) -> None:
    """Write up to four configurations in quick succession."""
    for _ in range(rng.randrange(1, 5)):
        world.configure()
        await asyncio.sleep(rng.choice((0.0, 0.1)))


# Work that operators plan; no statement that a target runs may go without an answer.
PLANNED: tuple[Fault, ...] = (
    stop_entry_vm,
    stop_all_in_turn,
    reload_entry_vms,
    replace_settings,
    change_configuration,
)

ALL: tuple[Fault, ...] = (
    kill_entry_vm,
    kill_all_entry_vms,
    stop_entry_vm,
    pause_entry_vm,
    reload_entry_vms,
    refuse_store_calls,
    lose_store_answers,
    drop_store_history,
    cut_store,
    cut_target,
    crash_target,
    partition_primary,
    drain_target,
    lose_target_answers,
    slow_target,
    stop_replication,
    change_configuration,
)

# Faults of the targets' answers. A run draws them from a source of their own, so that the other
# faults of a seed stay as they were before these existed.
ANSWERS: tuple[Fault, ...] = (repeat_target_answers, refuse_statements)
