"""Graceful shutdown of proxies, with real processes: no request in progress is interrupted."""

import asyncio
import signal
import time

import aiohttp

from support import callers, configurations, database, placement

WORKERS = 6
LOAD_TIME = 1.2  # seconds of load before and during the stop
HEALTH_INTERVAL = 0.1  # seconds between the health checks of the balancer
DEADLINE = 10.0  # seconds
EXIT_TIMEOUT = 25.0  # seconds from SIGTERM to the exit of the process


class Balancer:
    """Spreads requests over the healthy proxies, as the platform's load balancer does."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._healthy = list(fleet.layout.vms)
        self._next = 0

    async def watch(self):
        """Check the health of all proxies until cancelled."""
        while True:
            healthy = []
            for vm in self._fleet.layout.vms:
                try:
                    url = f"http://{vm.http_address}/healthz"
                    async with self._fleet.session.get(url) as response:
                        healthy += [vm] if response.status == 200 else []
                except aiohttp.ClientError:
                    continue
            self._healthy = healthy
            await asyncio.sleep(HEALTH_INTERVAL)

    def next_proxy(self):
        """Return the next healthy proxy."""
        self._next += 1
        return self._healthy[self._next % len(self._healthy)]


async def _send_bookings(fleet, key, balancer, worker, until, replies):
    number = 0
    while time.monotonic() < until:
        number += 1
        item = f"{worker}-{number}"
        caller = callers.Caller(session=fleet.session, key=key)
        address = balancer.next_proxy().http_address
        # A connection error means that the shutdown interrupted the request, and fails the test.
        replies[item] = await caller.call(address, "booking.place", request_id=item, item=item)


async def _wait_for_exit(process):
    async with asyncio.timeout(EXIT_TIMEOUT):
        while process.poll() is None:  # noqa: ASYNC110 - processes of subprocess have no event
            await asyncio.sleep(0.02)
    return process.returncode


async def test_shutdown_under_load_interrupts_no_request(start_fleet):
    """Guards against a graceful shutdown that interrupts requests of callers or of peers."""
    prepared = configurations.prepare(rate=100_000.0, burst=100_000.0)
    fleet = await start_fleet(prepared.configuration)
    key = prepared.keys["account-1"]
    await placement.wait_agreed(fleet, key)
    leaving = placement.owner_of_primary(fleet).member.vm
    balancer = Balancer(fleet)
    health_checks = asyncio.create_task(balancer.watch())
    until = time.monotonic() + 2 * LOAD_TIME
    replies = {}
    workers = [
        asyncio.create_task(_send_bookings(fleet, key, balancer, worker, until, replies))
        for worker in range(WORKERS)
    ]
    await asyncio.sleep(LOAD_TIME)
    process = fleet.processes[leaving]

    fleet.signal(leaving, signal.SIGTERM)
    code = await _wait_for_exit(process)
    await asyncio.gather(*workers)
    health_checks.cancel()

    failed = {item: reply for item, reply in replies.items() if reply.status != 200}
    stored = database.booked_items(fleet)
    assert code == 0
    assert not failed
    assert stored == dict.fromkeys(replies, 1)
    assert not database.violations(fleet)


async def test_open_transaction_ends_before_its_owner_stops(start_fleet):
    """Guards against a graceful shutdown that rolls back a transaction in progress."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    key = prepared.keys["account-1"]
    await placement.wait_agreed(fleet, key)
    owner = placement.owner_of_primary(fleet)
    entry = next(vm for vm in fleet.layout.vms if vm != owner)
    caller = callers.Caller(session=fleet.session, key=key)
    begun = await caller.begin(entry.http_address, configurations.GROUP)
    transaction = begun.document["transaction"]
    await caller.call(entry.http_address, "booking.place", transaction=transaction, item="before")
    process = fleet.processes[owner.member.vm]

    fleet.signal(owner.member.vm, signal.SIGTERM)
    # Peers are notified before the services stop, so new requests go to the next owner.
    await asyncio.sleep(1.5)
    assert process.poll() is None
    await caller.call(entry.http_address, "booking.list", request_id="after-stop")
    line = await database.route_line(fleet, entry.member.vm, "after-stop")
    assert line["owner"] != owner.member.vm
    placed = await caller.call(
        entry.http_address, "booking.place", transaction=transaction, item="after"
    )
    committed = await caller.end(entry.http_address, transaction, "commit")

    assert placed.status == 200, placed.document
    assert committed.status == 200, committed.document
    assert await _wait_for_exit(process) == 0
    assert database.booked_items(fleet) == {"before": 1, "after": 1}
    assert not database.violations(fleet)
