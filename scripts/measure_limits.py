"""Measures admission and queue policies with 8 VMs and 8 accounts in virtual time.

The decision code of the entry VMs runs in one process (``standins.memory``).
Two accounts are large; the first small one sends five times its rate.
"""

import argparse
import asyncio
import collections
import dataclasses
import random
from collections import abc

from greengageshunt import application, invariants, model
from greengageshunt.admission import bucket
from greengageshunt.scheduling import entry as entry_module
from greengageshunt.scheduling import fair, fifo, gate
from greengageshunt.standins import memory

VMS = 8
WARM_UP = 10.0  # seconds from the start of the VMs to the first request, so that buckets fill
OVERLOADED = "small-1"
OVERLOAD_FACTOR = 5.0  # times its rate that the overloaded account sends
NORMAL_FACTOR = 0.8  # times their rate that the other accounts send
POLICIES = ("leased_shares", "static_split", "central_bucket")
QUEUES = {"fair": fair.FairQueue, "fifo": fifo.FifoQueue}
PLACEMENTS = ("one VM", "moving", "all VMs")
MOVE_INTERVAL = 10.0  # seconds after which "moving" puts an account on the next VM
DELAY = memory.MessageDelay(least=0.001, spread=0.002)

ACCOUNTS = (
    model.ClientAccount(name="large-1", weight=4.0, rate=400.0, burst=200.0),
    model.ClientAccount(name="large-2", weight=4.0, rate=400.0, burst=200.0),
    *(
        model.ClientAccount(name=f"small-{number}", weight=1.0, rate=50.0, burst=50.0)
        for number in range(1, 7)
    ),
)
CONFIGURATION = model.Configuration(
    version=1, accounts=ACCOUNTS, keys=(), routes=(), token_secret=""
)


class ExcessMeter:
    """Finds the highest excess of admitted requests over rate * length + burst in any window."""

    def __init__(self, *, account: model.ClientAccount, now: float) -> None:
        self._bucket = bucket.Bucket(
            rate=account.rate, capacity=account.burst, tokens=account.burst, updated_at=now
        )
        self._lowest = account.burst

    @property
    def excess(self) -> float:
        """Requests above the bound in the worst window, 0 if none."""
        return max(0.0, -self._lowest)

    def admit(self, now: float) -> None:
        """Count one admitted request."""
        filled = bucket.refill(self._bucket, now)
        self._bucket = dataclasses.replace(filled, tokens=filled.tokens - 1.0)
        self._lowest = min(self._lowest, self._bucket.tokens)


class Tally:
    """Counts of one account.

    Attributes:
        ideal: Bucket that decides which requests are within rate and burst.
        within: Requests within rate and burst.
        refused_within: Those of them that the policy rejected.
        admitted: All admitted requests.
        slowest: Longest admission decision in seconds.
    """

    def __init__(self, *, account: model.ClientAccount, now: float) -> None:
        self.window = ExcessMeter(account=account, now=now)
        self.ideal = bucket.Bucket(
            rate=account.rate, capacity=account.burst, tokens=account.burst, updated_at=now
        )
        self.within = 0
        self.refused_within = 0
        self.admitted = 0
        self.slowest = 0.0


def place(account: model.ClientAccount, placement: str, now: float, source: random.Random) -> int:
    """Return the number of the VM to which a request goes."""
    home = ACCOUNTS.index(account)
    if placement == "all VMs":
        return source.randrange(VMS)
    if placement == "moving":
        return (home + int(now / MOVE_INTERVAL)) % VMS
    return home % VMS


def offered_rate(account: model.ClientAccount) -> float:
    """Return the requests that an account sends a second."""
    return account.rate * (OVERLOAD_FACTOR if account.name == OVERLOADED else NORMAL_FACTOR)


async def send(
    account: model.ClientAccount,
    apps: abc.Sequence[application.Application],
    placement: str,
    tally: Tally,
    seconds: float,
    seed: int,
) -> None:
    """Send the requests of one account at random times, and count the decisions."""
    source = random.Random(f"{seed} {account.name}")
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds

    async def request(app: application.Application, sent_at: float) -> None:
        tally.ideal, within = bucket.take(tally.ideal, 1.0, sent_at)
        decided = await app.selected("admission").admit(account, sent_at + 1.0)
        now = loop.time()
        tally.slowest = max(tally.slowest, now - sent_at)
        tally.within += within
        tally.refused_within += within and not decided.admitted
        if decided.admitted:
            tally.admitted += 1
            tally.window.admit(now)

    async with asyncio.TaskGroup() as group:
        while True:
            await asyncio.sleep(source.expovariate(offered_rate(account)))
            if loop.time() >= end:
                return
            app = apps[place(account, placement, loop.time(), source)]
            group.create_task(request(app, loop.time()))


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionFigures:
    """Result of one run of an admission policy.

    Attributes:
        excess: Most requests above rate * length + burst in a window of an account.
        wrongful: Rejected fraction of the requests within rate and burst, without the overloaded
            account's.
        worst: The same for the account with the highest fraction.
        overloaded: Admitted requests of the overloaded account, per request within its rate.
        slowest: Longest admission decision in seconds.
        messages: Delivered messages a second and VM.
    """

    excess: float
    wrongful: float
    worst: float
    overloaded: float
    slowest: float
    messages: float


async def measure_admission(
    policy: str, placement: str, seconds: float, seed: int
) -> AdmissionFigures:
    """Run one admission policy."""
    members = tuple(
        model.Member(vm=f"vm-{number}", failure_domain="one", peer_address="127.0.0.1:1")
        for number in range(VMS)
    )
    platform = memory.MemoryPlatform(members=members)
    network = memory.MemoryNetwork(delay=DELAY, seed=seed)
    apps = [
        memory.create_vm(
            member,
            platform=platform,
            network=network,
            newest=lambda: CONFIGURATION,
            admission=policy,
        )
        for member in members
    ]
    services = [asyncio.create_task(memory.run_vm(app)) for app in apps]
    loop = asyncio.get_running_loop()
    await asyncio.sleep(WARM_UP)
    tallies = {account.name: Tally(account=account, now=loop.time()) for account in ACCOUNTS}
    delivered = network.delivered_messages
    async with asyncio.TaskGroup() as group:
        for account in ACCOUNTS:
            tally = tallies[account.name]
            group.create_task(send(account, apps, placement, tally, seconds, seed))
    delivered = network.delivered_messages - delivered
    for service in services:
        service.cancel()
    results = await asyncio.gather(*services, return_exceptions=True)
    failures = [error for error in results if not isinstance(error, asyncio.CancelledError)]
    if failures:
        raise SystemExit(f"a VM failed: {failures[0]!r}")
    normal = [tally for name, tally in tallies.items() if name != OVERLOADED]
    overloaded_tally = tallies[OVERLOADED]
    return AdmissionFigures(
        excess=max(tally.window.excess for tally in tallies.values()),
        wrongful=sum(t.refused_within for t in normal) / sum(t.within for t in normal),
        worst=max(t.refused_within / t.within for t in normal),
        overloaded=overloaded_tally.admitted / overloaded_tally.within,
        slowest=max(tally.slowest for tally in tallies.values()),
        messages=delivered / seconds / VMS,
    )


def max_min(capacity: float, demands: dict[str, tuple[float, float]]) -> dict[str, float]:
    """Return the max-min fair shares of a capacity.

    Args:
        capacity: Slot seconds available a second.
        demands: Weight, and requested slot seconds a second, by account.
    """
    shares: dict[str, float] = {}
    waiting = dict(demands)
    while waiting:
        level = capacity / sum(weight for weight, _ in waiting.values())
        satisfied = {name for name, (weight, demand) in waiting.items() if demand <= level * weight}
        for name in satisfied or set(waiting):
            weight, demand = waiting.pop(name)
            shares[name] = min(demand, level * weight)
            capacity -= shares[name]
        if not satisfied:
            break
    return shares


@dataclasses.dataclass(frozen=True, kw_only=True)
class Statement:
    """Load of one account: statements a second, and mean seconds of a statement."""

    rate: float
    seconds: float


# The small accounts stay below their fair share, except the first.
LOADS = {
    "large-1": Statement(rate=200.0, seconds=0.008),
    "large-2": Statement(rate=200.0, seconds=0.004),
    "small-1": Statement(rate=250.0, seconds=0.004),
    **{f"small-{number}": Statement(rate=50.0, seconds=0.003) for number in range(2, 7)},
}
SLOTS = 2
SLOT_TIMEOUT = 1.0  # seconds that a statement may wait for a slot


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueueFigures:
    """Result of one run of a queue policy.

    Attributes:
        worst: Lowest slot time of an account, as a fraction of its fair share.
        account: That account.
        used: Used fraction of all slot time.
        late: Statements that got a slot after their deadline.
    """

    worst: float
    account: str
    used: float
    late: int


async def measure_queue(queue: str, seconds: float, seed: int) -> QueueFigures:
    """Run one queue policy in front of one target, which the first small account overloads."""
    loop = asyncio.get_running_loop()
    checks = invariants.Invariants(strict=True)
    slots = gate.SlotGate(
        name="target", slots=SLOTS, queue=QUEUES[queue](), clock=loop.time, invariants=checks
    )
    served: collections.Counter[str] = collections.Counter()
    offered: collections.Counter[str] = collections.Counter()
    end = loop.time() + seconds
    late = 0

    async def request(account: model.ClientAccount, statement: Statement, length: float) -> None:
        nonlocal late
        entry = entry_module.QueueEntry(
            account=account.name,
            weight=account.weight,
            priority=model.Priority.NORMAL,
            deadline=loop.time() + SLOT_TIMEOUT,
            queued_at=loop.time(),
        )
        async with slots.slot(entry):
            late += loop.time() > entry.deadline
            await asyncio.sleep(length)
            if loop.time() <= end:
                served[account.name] += length

    async def load(account: model.ClientAccount) -> None:
        source = random.Random(f"{seed} {account.name}")
        statement = LOADS[account.name]
        tasks = []
        while loop.time() < end:
            await asyncio.sleep(source.expovariate(statement.rate))
            length = statement.seconds * source.uniform(0.5, 1.5)
            tasks.append(asyncio.create_task(request(account, statement, length)))
            offered[account.name] += length
        await asyncio.gather(*tasks, return_exceptions=True)

    await asyncio.gather(*(load(account) for account in ACCOUNTS))
    demands = {
        account.name: (account.weight, offered[account.name] / seconds) for account in ACCOUNTS
    }
    shares = max_min(SLOTS, demands)
    ratios = {name: served[name] / seconds / share for name, share in shares.items()}
    worst = min(ratios, key=ratios.get)
    return QueueFigures(
        worst=ratios[worst],
        account=worst,
        used=sum(served.values()) / seconds / SLOTS,
        late=late,
    )


def main() -> None:
    """Print the figures of all policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0, help="virtual length of a run")
    parser.add_argument("--policies", nargs="*", default=POLICIES, help="admission policies")
    parser.add_argument("--placements", nargs="*", default=PLACEMENTS, help="of connections")
    parser.add_argument("--seed", type=int, default=1, help="seed of the arrivals and delays")
    arguments = parser.parse_args()
    print(
        f"{'admission':<15} {'placement':<9} {'excess':>8} {'wrongful %':>10} {'worst %':>8}"
        f" {'overloaded %':>12} {'slowest ms':>10} {'messages/s/VM':>13}"
    )
    for placement in arguments.placements:
        for policy in arguments.policies:
            run = measure_admission(policy, placement, arguments.seconds, arguments.seed)
            result = memory.run(run)
            print(
                f"{policy:<15} {placement:<9} {result.excess:>8.3f} {result.wrongful * 100:>10.3f}"
                f" {result.worst * 100:>8.3f} {result.overloaded * 100:>12.1f}"
                f" {result.slowest * 1000:>10.1f} {result.messages:>13.1f}"
            )
    print(
        f"\n{'queue':<15} {'worst-served account':<22} {'% of fair share':>15} {'slots used %':>13}"
    )
    for queue in QUEUES:
        figures = memory.run(measure_queue(queue, arguments.seconds, arguments.seed))
        print(
            f"{queue:<15} {figures.account:<22} {figures.worst * 100:>15.1f}"
            f" {figures.used * 100:>13.1f}"
        )


if __name__ == "__main__":
    main()
