"""Kills the primary of a group repeatedly and reports the gap in acknowledged writes.

The gap of a run is the time from the kill to the first acknowledgement by another
target; with ``--planned``, from the last acknowledgement by the old primary. Writers
send requests through all proxies during the run. After each kill, the script restarts the
target, and checks that the primary has each write that was acknowledged as replicated.
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
WRITE_INTERVAL = 0.02  # seconds between a response and the writer's next request
WAIT_TIMEOUT = 20.0  # seconds for a new primary, and for a restarted target to catch up
CALLER_TIMEOUT_MS = 5000
PAUSE_BOUNDS = (0.8, 1.6)  # seconds between the end of a change and the next one
SCHEMA = """CREATE TABLE IF NOT EXISTS bookings (
    id INTEGER PRIMARY KEY, item TEXT NOT NULL, account TEXT NOT NULL
);
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acknowledgement:
    """One acknowledged write.

    Attributes:
        at: Monotonic seconds at which the caller received the response.
        item: Item written.
        target: Target that acknowledged it.
        replicated: Whether the response says that a second target has it.
    """

    at: float
    item: str
    target: str
    replicated: bool


class Journal:
    """Acknowledged writes of all writers, and their number of errors by code and outcome."""

    def __init__(self) -> None:
        self.acknowledged: list[Acknowledgement] = []
        self.errors: collections.Counter[str] = collections.Counter()


def build_configuration() -> tuple[model.Configuration, str]:
    """Return a configuration with one client account, and its API key."""
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
    """Run a route through a proxy and return the response document."""
    address = started.layout.vms[vm % len(started.layout.vms)].http_address
    headers = {"Authorization": f"Bearer {key}", "Timeout-Ms": str(CALLER_TIMEOUT_MS)}
    url = f"http://{address}/v1/routes/{route}"
    async with started.session.post(
        url, json={"parameters": parameters}, headers=headers
    ) as response:
        if response.content_type != "application/json":
            return {"code": f"status {response.status}", "outcome": "unknown"}
        return await response.json()


async def write_until_cancelled(
    started: fleet.Fleet, key: str, writer: int, journal: Journal
) -> None:
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


async def wait_until(holds: abc.Callable[[], abc.Awaitable[bool]]) -> None:
    """Poll a condition until it holds."""
    async with asyncio.timeout(WAIT_TIMEOUT):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                if await holds():
                    return
            await asyncio.sleep(0.02)


async def wait_for_new_primary(journal: Journal, old: str) -> tuple[Acknowledgement, float]:
    """Wait for a write that a target other than ``old`` acknowledges.

    Returns:
        Its acknowledgement, and the seconds since the last one by the old target.
    """
    began = len(journal.acknowledged)

    async def is_acknowledged() -> bool:
        return any(each.target != old for each in journal.acknowledged[began:])

    await wait_until(is_acknowledged)
    after = next(each for each in journal.acknowledged[began:] if each.target != old)
    before = max(each.at for each in journal.acknowledged if each.target == old)
    return after, after.at - before


async def request_change(
    started: fleet.Fleet, group: model.GroupRecord, journal: Journal
) -> tuple[str, float]:
    """Request another primary; return the old one and the gap in seconds."""
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
    _, gap = await wait_for_new_primary(journal, old)
    return old, gap


async def kill_primary(
    started: fleet.Fleet, group: model.GroupRecord, journal: Journal
) -> tuple[str, float]:
    """Kill the primary and wait for the next one; return the killed target and the gap."""
    killed = journal.acknowledged[-1].target
    killed_at = time.monotonic()
    started.kill(killed)
    after, _ = await wait_for_new_primary(journal, killed)
    started.start_target(group, group.target(killed))

    async def follows() -> bool:
        promoted = await started.target_state(after.target)
        state = await started.target_state(killed)
        same = state["term"] == promoted["term"]
        return state["role"] == "replica" and same and state["offset"] >= promoted["offset"] - 20

    await wait_until(follows)
    return killed, after.at - killed_at


async def count_inconsistent_writes(
    started: fleet.Fleet, key: str, journal: Journal
) -> tuple[int, int]:
    """Return the number of lost replicated writes, and of surplus copies of writes."""
    expected = {each.item for each in journal.acknowledged if each.replicated}
    document = await call(started, 0, "booking.list", key)
    items = collections.Counter(row[0] for row in document["rows"])
    return len(expected - set(items)), sum(count - 1 for count in items.values())


async def measure(
    started: fleet.Fleet, key: str, runs: int, seed: int, *, planned: bool
) -> list[float]:
    """Run all changes of the primary; print a line for each, and return the gaps in seconds."""
    change = request_change if planned else kill_primary
    group = started.layout.groups[0]
    journal = Journal()
    rng = random.Random(seed)
    gaps = []
    async with asyncio.TaskGroup() as tasks:
        writers = [
            tasks.create_task(write_until_cancelled(started, key, writer, journal))
            for writer in range(WRITERS)
        ]
        for run in range(1, runs + 1):
            await asyncio.sleep(rng.uniform(*PAUSE_BOUNDS))
            old, gap = await change(started, group, journal)
            gaps.append(gap)
            lost, doubled = await count_inconsistent_writes(started, key, journal)
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
