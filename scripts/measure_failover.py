"""Kills the primary of a group again and again and reports the gap in acknowledged writes.

The gap of a run is the time from the kill to the first acknowledgement by another
target; with ``--planned``, from the last acknowledgement by the old primary. Writers
go on through all proxies meanwhile. After each kill the target starts again, and each
write acknowledged as replicated is looked for at the primary.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import random
import statistics
import tempfile
import time
from collections import abc

import aiohttp

from greengageshunt import codec, model
from greengageshunt.configuration import keys
from greengageshunt.standins import fleet, layout
from greengageshunt.stores import http, polling

GROUP = "order-desk-1"
WRITERS = 4
WRITE_INTERVAL = 0.02  # seconds
RUN_TIMEOUT = 20.0  # seconds
CALLER_TIMEOUT_MS = 5000
PAUSE_BOUNDS = (0.8, 1.6)  # seconds between a settled group and the next kill
SCHEMA = """CREATE TABLE IF NOT EXISTS bookings (
    id INTEGER PRIMARY KEY, item TEXT NOT NULL, account TEXT NOT NULL
);
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acknowledgement:
    """One acknowledged write.

    Attributes:
        at: Monotonic seconds at which the caller had the answer.
        item: Item written.
        target: Target that acknowledged it.
        replicated: Whether a second target had it.
    """

    at: float
    item: str
    target: str
    replicated: bool


class Journal:
    """What the writers saw."""

    def __init__(self) -> None:
        self.acknowledged: list[Acknowledgement] = []
        self.errors: collections.Counter[str] = collections.Counter()


def build_configuration() -> tuple[model.Configuration, str]:
    """Return a configuration with one client account, and the text of its key."""
    key, text = keys.create_key("measure-key", "workshop")
    routes = (
        model.Route(
            name="booking.place",
            group=GROUP,
            kind=model.RouteKind.WRITE,
            statement=(
                "INSERT INTO bookings (item, account) VALUES (%(item)s, %(account)s) RETURNING id"
            ),
            priority=model.Priority.BOOKING,
        ),
        model.Route(
            name="booking.list",
            group=GROUP,
            kind=model.RouteKind.READ,
            statement="SELECT item FROM bookings WHERE account = %(account)s",
        ),
    )
    account = model.ClientAccount(name="workshop", weight=1.0, rate=5000.0, burst=5000.0)
    configuration = model.Configuration(
        version=1, accounts=(account,), keys=(key,), routes=routes, token_secret="5e" * 32
    )
    return configuration, text


async def call(started: fleet.Fleet, vm: int, route: str, key: str, **parameters: str) -> dict:
    """Run a route through a proxy and return the document of its answer."""
    address = started.layout.vms[vm % len(started.layout.vms)].http_address
    headers = {"Authorization": f"Bearer {key}", "Timeout-Ms": str(CALLER_TIMEOUT_MS)}
    url = f"http://{address}/v1/routes/{route}"
    async with started.session.post(
        url, json={"parameters": parameters}, headers=headers
    ) as response:
        if response.content_type != "application/json":
            return {"code": f"status {response.status}", "outcome": "unknown"}
        return await response.json()


async def write_always(started: fleet.Fleet, key: str, writer: int, journal: Journal) -> None:
    """Write numbered items one after another until cancelled."""
    number = 0
    while True:
        number += 1
        item = f"{writer}-{number}"
        document = await call(started, writer + number, "booking.place", key, item=item)
        if "code" in document:
            journal.errors[f"{document['code']} ({document['outcome']})"] += 1
        else:
            journal.acknowledged.append(
                Acknowledgement(
                    at=time.monotonic(),
                    item=item,
                    target=document["target"],
                    replicated=document["replicated"],
                )
            )
        await asyncio.sleep(WRITE_INTERVAL)


async def until(holds: abc.Callable[[], abc.Awaitable[bool]]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(RUN_TIMEOUT):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if await holds():
                    return
            await asyncio.sleep(0.02)


async def wait_moved(journal: Journal, old: str) -> tuple[Acknowledgement, float]:
    """Wait for an acknowledgement by another target.

    Returns:
        The acknowledgement, and the seconds since the last one by the old target.
    """
    began = len(journal.acknowledged)

    async def is_acknowledged() -> bool:
        return any(each.target != old for each in journal.acknowledged[began:])

    await until(is_acknowledged)
    after = next(each for each in journal.acknowledged[began:] if each.target != old)
    before = max(each.at for each in journal.acknowledged if each.target == old)
    return after, after.at - before


async def request_once(
    started: fleet.Fleet, group: model.GroupRecord, journal: Journal
) -> tuple[str, float]:
    """Request another primary; return the old one and the gap in acknowledgements."""
    old = journal.acknowledged[-1].target
    names = [target.name for target in group.targets]
    wanted = names[(names.index(old) + 1) % len(names)]
    platform = http.HttpPlatform(address=started.layout.platform_address, vm="measure")
    try:
        row = await platform.get_row(f"{polling.GROUP_ROW_PREFIX}{group.group}")
        record = codec.from_plain(row.value, model.GroupRecord).changed(requested_primary=wanted)
        await platform.put_row(row.key, codec.to_plain(record), row.etag)
    finally:
        await platform.close()
    _, gap = await wait_moved(journal, old)
    return old, gap


async def kill_once(
    started: fleet.Fleet, group: model.GroupRecord, journal: Journal
) -> tuple[str, float]:
    """Kill the primary, wait for the next one; return the killed target and the gap."""
    killed = journal.acknowledged[-1].target
    killed_at = time.monotonic()
    started.kill(killed)
    after, _ = await wait_moved(journal, killed)
    started.start_target(group, group.target(killed))

    async def follows() -> bool:
        promoted = await started.target_state(after.target)
        state = await started.target_state(killed)
        same = state["term"] == promoted["term"]
        return state["role"] == "replica" and same and state["offset"] >= promoted["offset"] - 20

    await until(follows)
    return killed, after.at - killed_at


async def count_faults(started: fleet.Fleet, key: str, journal: Journal) -> tuple[int, int]:
    """Return the number of lost acknowledged writes and of writes that ran twice."""
    expected = {each.item for each in journal.acknowledged if each.replicated}
    document = await call(started, 0, "booking.list", key)
    items = collections.Counter(row[0] for row in document["rows"])
    return len(expected - set(items)), sum(count - 1 for count in items.values())


async def measure(
    started: fleet.Fleet, key: str, runs: int, seed: int, *, planned: bool
) -> list[float]:
    """Run all changes of primary; print a line for each and return the gaps."""
    change = request_once if planned else kill_once
    group = started.layout.groups[0]
    journal = Journal()
    chance = random.Random(seed)
    gaps = []
    async with asyncio.TaskGroup() as tasks:
        writers = [
            tasks.create_task(write_always(started, key, writer, journal))
            for writer in range(WRITERS)
        ]
        for run in range(1, runs + 1):
            await asyncio.sleep(chance.uniform(*PAUSE_BOUNDS))
            old, gap = await change(started, group, journal)
            gaps.append(gap)
            lost, doubled = await count_faults(started, key, journal)
            print(f"run {run:>3}: from {old}, gap {gap:.3f} s, {lost} lost, {doubled} doubled")
        for writer in writers:
            writer.cancel()
    unreplicated = sum(not each.replicated for each in journal.acknowledged)
    print(f"acknowledged writes: {len(journal.acknowledged)}, unreplicated: {unreplicated}")
    print(f"errors that callers saw: {dict(journal.errors) or 'none'}")
    return gaps


async def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", choices=sorted(layout.PROFILES), default="small")
    parser.add_argument("--runs", type=int, default=20, help="changes of the primary")
    parser.add_argument("--seed", type=int, default=1, help="seed of the pauses between kills")
    parser.add_argument("--planned", action="store_true", help="request changes instead of kills")
    parser.add_argument("--logs", type=pathlib.Path, help="directory that keeps logs and data")
    arguments = parser.parse_args()
    profile = layout.PROFILES[arguments.profile]
    configuration, key = build_configuration()
    base_port = fleet.free_base_port(layout.ports_needed(profile))
    with tempfile.TemporaryDirectory() as scratch:
        started = fleet.Fleet(
            layout=layout.build(profile, base_port),
            directory=arguments.logs or pathlib.Path(scratch),
            schema=SCHEMA,
        )
        try:
            await started.start(configuration)
            gaps = await measure(
                started, key, arguments.runs, arguments.seed, planned=arguments.planned
            )
        finally:
            await started.stop()
    print(
        f"profile {profile.name}, seed {arguments.seed}, {len(gaps)} changes: gap min"
        f" {min(gaps):.3f} s, median {statistics.median(gaps):.3f} s, max {max(gaps):.3f} s"
    )


if __name__ == "__main__":
    asyncio.run(main())
