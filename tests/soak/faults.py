"""Faults of a run, each injected from outside the processes and ended again.

A fault is a function that takes the world and the seeded random numbers. Faults are
started in series and overlap.
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


def _start(vm: entry_fleet.EntryVm) -> None:
    """Start a process, unless an overlapping fault has started it again already."""
    if vm.process.poll() is not None:
        vm.start()


async def _kill(vm: entry_fleet.EntryVm) -> None:
    # An overlapping fault may replace the process while this one waits for its end (seed 134).
    process = vm.process
    process.kill()
    await asyncio.to_thread(process.wait)


async def kill_entry_vm(world: "world_module.World", rng: random.Random) -> None:
    """Kill a process, and start it again after a while."""
    vm = rng.choice(world.fleet.vms)
    await _kill(vm)
    await asyncio.sleep(rng.choice((0.0, 0.5, 3.0)))
    _start(vm)


async def kill_all_entry_vms(world: "world_module.World", rng: random.Random) -> None:
    """Kill all processes at once, and start them again."""
    await asyncio.gather(*map(_kill, world.fleet.vms))
    await asyncio.sleep(rng.uniform(0, 1))
    for vm in world.fleet.vms:
        _start(vm)


async def stop_entry_vm(world: "world_module.World", rng: random.Random) -> None:
    """Stop a process as planned, and start it again."""
    vm = rng.choice(world.fleet.vms)
    process, ready = vm.process, vm.handles_signals
    process.send_signal(signal.SIGTERM)
    code = await asyncio.to_thread(process.wait)
    # Another fault may have killed it meanwhile, or started it so recently that the interpreter
    # was still loading and the signal ended it (seed 124); it had accepted nobody by then.
    allowed = (0, -signal.SIGKILL) if ready else (0, -signal.SIGKILL, -signal.SIGTERM)
    if code not in allowed:
        world.book.broken.append(f"STOP: {vm.name} ended with {code}")
    _start(vm)


async def pause_entry_vm(world: "world_module.World", rng: random.Random) -> None:
    """Pause a process past heartbeats, and at times past its leases."""
    vm = rng.choice(world.fleet.vms)
    vm.signal(signal.SIGSTOP)
    await asyncio.sleep(rng.choice((0.3, 2.0, 7.0)))
    vm.signal(signal.SIGCONT)


async def reload_entry_vms(world: "world_module.World", rng: random.Random) -> None:
    """Tell all processes that their settings changed."""
    for vm in world.fleet.vms:
        # The signal ends an interpreter that has not come to the program yet (seed 1519476860).
        if vm.process.poll() is None and vm.loads_modules:
            vm.signal(signal.SIGHUP)


async def refuse_store_calls(world: "world_module.World", rng: random.Random) -> None:
    """Let the store answer that it is not available."""
    world.store.down = True
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    world.store.down = False


async def lose_store_answers(world: "world_module.World", rng: random.Random) -> None:
    """Let writes to the store take effect without an answer."""
    world.store.lose_answers = rng.randrange(1, 4)
    await asyncio.sleep(2.0)
    world.store.lose_answers = 0


async def drop_store_history(world: "world_module.World", rng: random.Random) -> None:
    """Let the store forget its history."""
    world.store.lost_history_before = world.store.version + 1


async def cut_store(world: "world_module.World", rng: random.Random) -> None:
    """Silence, cut or delay the way of some entry VMs to the store."""
    await _disturb(world, rng, list(world.store_relays))


async def cut_target(world: "world_module.World", rng: random.Random) -> None:
    """Silence, cut or delay the way of all entry VMs to one target."""
    await _disturb(world, rng, [rng.choice(list(world.target_relays.values()))])


async def _disturb(world: "world_module.World", rng: random.Random, relays: list) -> None:
    chosen = rng.sample(relays, rng.randrange(1, len(relays) + 1))
    how = rng.choice(("silence", "cut", "delay", "to_server", "to_client"))
    for relay in chosen:
        relay.delay = rng.uniform(0.05, 0.4) if how == "delay" else 0.0
        relay.drop_to_server = how == "to_server"
        relay.drop_to_client = how == "to_client"
        for connection in relay.connections:
            if how == "silence":
                connection.silence()
            elif how == "cut":
                connection.cut()
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    for relay in chosen:
        relay.delay, relay.drop_to_server, relay.drop_to_client = 0.0, False, False


async def crash_target(world: "world_module.World", rng: random.Random) -> None:
    """Crash a target, the primary at times; it comes back with its log."""
    group = world.fleet.group
    name = rng.choice([group.primary, *group.targets])
    target = group.targets.get(name)
    if target is None or not target.port or name in world.away:
        return
    world.away.add(name)
    await target.stop()
    world.store.delete("servers", name)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    await target.start(target.port)
    group.copy()
    world.fleet.announce(target)
    world.away.discard(name)


async def part_primary(world: "world_module.World", rng: random.Random) -> None:
    """Partition a primary from its replicas; it goes on answering whoever reaches it."""
    target = world.fleet.group.targets.get(world.fleet.group.primary)
    if target is None or target.name in world.away:
        return
    world.away.add(target.name)
    relay = world.target_relays[target.name]
    target.partition()
    # Those that reach it on open connections go on; new connections get no answer.
    relay.drop_to_client = rng.random() < 0.5
    await asyncio.sleep(rng.uniform(0.5, 9.0))
    relay.drop_to_client = False
    target.end_partition()
    world.fleet.announce(target)
    world.away.discard(target.name)


async def drain_target(world: "world_module.World", rng: random.Random) -> None:
    """Let a target drain, the primary at times, and come back."""
    group = world.fleet.group
    target = group.targets.get(rng.choice([group.primary, *group.targets]))
    if target is None or target.name in world.away:
        return
    world.away.add(target.name)
    world.fleet.announce(target, state="draining")
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    world.fleet.announce(target)
    world.away.discard(target.name)


async def lose_target_answers(world: "world_module.World", rng: random.Random) -> None:
    """Let targets run statements and lose the answers."""
    for target in world.fleet.group.targets.values():
        target.lose_answers = rng.randrange(3)


async def slow_target(world: "world_module.World", rng: random.Random) -> None:
    """Slow one target down."""
    target = rng.choice(list(world.fleet.group.targets.values()))
    target.delay = rng.uniform(0.02, 0.3)
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    target.delay = 0.0


async def stop_replication(world: "world_module.World", rng: random.Random) -> None:
    """Let a replica receive nothing for a while."""
    group = world.fleet.group
    target = rng.choice([item for item in group.targets.values() if item.name != group.primary])
    target.replication_paused = True
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    target.replication_paused = False
    group.copy()


async def change_configuration(world: "world_module.World", rng: random.Random) -> None:
    """Write one or several configurations in quick succession."""
    for _ in range(rng.randrange(1, 5)):
        world.configure()
        await asyncio.sleep(rng.choice((0.0, 0.1)))


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
    part_primary,
    drain_target,
    lose_target_answers,
    slow_target,
    stop_replication,
    change_configuration,
)
