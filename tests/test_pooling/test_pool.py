"""Tests of the connection pool for one target, shared by several client accounts."""

import asyncio
import math
import random

import pytest

from greengageshunt import errors
from greengageshunt.coordination import records
from greengageshunt.pooling import pool

ENTRY = records.TargetEntry(
    target="t-1",
    group="g",
    address="127.0.0.1:1",
    failure_domain="a",
    slots=2,
    draining=False,
    primary=True,
)


class FakeConnection:
    """A connection whose state the tests set directly."""

    def __init__(self, driver: "FakeDriver", account: str) -> None:
        self.driver = driver
        self.account = account
        self.entry = ENTRY
        self.session_values: dict[str, str] = {}
        self.closed = False
        self.idle = True
        self.used_at = 0.0
        self.in_use = False

    def abort(self) -> None:
        """Close."""
        if not self.closed:
            self.closed = True
            self.driver.open -= 1

    close = abort


class FakeDriver:
    """Counts open connections, and fails as many attempts to connect as a test sets."""

    def __init__(self) -> None:
        self.open = 0
        self.peak = 0
        self.failures_left = 0
        self.code = ""

    async def connect(self, entry, account, timeout):
        """Open a connection, or raise an error while failures are left."""
        await asyncio.sleep(0)
        if self.failures_left:
            self.failures_left -= 1
            raise errors.TargetError(
                "failed", step="connect", peer="t-1", sent=False, code=self.code
            )
        self.open += 1
        self.peak = max(self.peak, self.open)
        return FakeConnection(self, account)


def _pool(
    driver: FakeDriver, limit: int = 2, idle_limit: float = math.inf, kept_idle: int = 0
) -> pool.TargetPool:
    return pool.TargetPool(
        entry=ENTRY,
        driver=driver,
        limit=lambda: limit,
        idle_limit=lambda open_count: idle_limit if open_count > kept_idle else math.inf,
        clock=asyncio.get_running_loop().time,
    )


async def _acquire(target_pool: pool.TargetPool, account: str, seconds: float = 1.0):
    deadline = asyncio.get_running_loop().time() + seconds
    return await target_pool.acquire(account, {}, 1, deadline)


async def test_connection_of_another_account_is_replaced_not_shared():
    """Guards against a statement that runs on the connection of another client account."""
    driver = FakeDriver()
    target_pool = _pool(driver, limit=1)
    target_pool.release(await _acquire(target_pool, "one"))
    second = await _acquire(target_pool, "two")
    assert second.account == "two" and driver.peak == 1


async def test_connection_inside_a_transaction_is_not_reused():
    """Guards against a statement that runs inside the transaction of another caller."""
    driver = FakeDriver()
    target_pool = _pool(driver, limit=1)
    first = await _acquire(target_pool, "one")
    first.idle = False
    target_pool.release(first)
    assert first.closed
    assert await _acquire(target_pool, "one") is not first


async def test_waiting_ends_at_the_deadline():
    """Guards against waits beyond the deadline, and against capacity lost to a timed-out waiter."""
    target_pool = _pool(FakeDriver(), limit=1)
    held = await _acquire(target_pool, "one")
    with pytest.raises(pool.PoolBusyError):
        await _acquire(target_pool, "one", seconds=0.01)
    target_pool.release(held)
    assert await _acquire(target_pool, "one") is held


async def test_rejected_connection_lowers_the_limit_for_a_while():
    """Guards against repeated attempts to connect above the target's connection limit."""
    driver = FakeDriver()
    target_pool = _pool(driver, limit=2)
    held = await _acquire(target_pool, "one")
    driver.failures_left, driver.code = 1, "CONNLIMIT"
    with pytest.raises(errors.TargetError):
        await _acquire(target_pool, "one")
    with pytest.raises(pool.PoolBusyError):
        await _acquire(target_pool, "one", seconds=0.01)
    target_pool.release(held)


async def test_unreachable_target_is_avoided_for_a_while():
    """Guards against statements that spend their time limit on a dead target."""
    driver = FakeDriver()
    target_pool = _pool(driver)
    driver.failures_left = 1
    with pytest.raises(errors.TargetError):
        await _acquire(target_pool, "one")
    now = asyncio.get_running_loop().time()
    assert not target_pool.reachable(now)
    assert target_pool.reachable(now + pool.UNREACHABLE_BACKOFF)


async def test_time_out_of_a_late_statement_does_not_mark_its_target_unreachable():
    """Guards against avoiding a target because a statement had too little time left to connect."""
    driver = FakeDriver()
    target_pool = _pool(driver)
    driver.failures_left = 1
    with pytest.raises(errors.TargetError):
        await _acquire(target_pool, "one", seconds=pool.CONNECT_TIMEOUT / 2)
    assert target_pool.reachable(asyncio.get_running_loop().time()) and not target_pool.failures


async def test_waiting_statements_fail_when_the_target_cannot_be_reached():
    """Guards against statements that wait in vain for connections which cannot be opened."""
    driver = FakeDriver()
    target_pool = _pool(driver, limit=1)
    driver.failures_left = 1
    opening = asyncio.create_task(_acquire(target_pool, "one"))
    waiting = asyncio.create_task(_acquire(target_pool, "two"))
    for task in (opening, waiting):
        with pytest.raises(errors.TargetError):
            await task
    assert not target_pool.waiting and not target_pool.open


async def test_one_statement_at_a_time_tries_a_target_that_failed():
    """Guards against many statements that spend their time limit on a target that is still dead."""
    driver = FakeDriver()
    target_pool = _pool(driver)
    driver.failures_left = 1
    with pytest.raises(errors.TargetError):
        await _acquire(target_pool, "one")
    now = asyncio.get_running_loop().time
    later = now() + pool.UNREACHABLE_BACKOFF
    assert target_pool.reachable(later)
    trying = asyncio.create_task(_acquire(target_pool, "one"))
    await asyncio.sleep(0)
    assert not target_pool.reachable(later)
    await trying
    assert target_pool.reachable(later)


async def test_broken_connection_does_not_make_its_target_unreachable():
    """Guards against avoiding a target that resets some connections but still answers."""
    target_pool = _pool(FakeDriver())
    target_pool.release(await _acquire(target_pool, "one"))
    now = asyncio.get_running_loop().time()
    target_pool.record_broken_connection()
    assert target_pool.reachable(now)
    assert not target_pool.has_idle("one") and target_pool.failures == 1


@pytest.mark.parametrize("seed", range(20))
async def test_random_use_keeps_the_limit_and_loses_no_capacity(seed):
    """Guards against leaked capacity, double use of a connection, and exceeding the limit."""
    rng = random.Random(seed)
    driver = FakeDriver()
    target_pool = _pool(driver, limit=3)

    async def use(account: str) -> None:
        for _ in range(10):
            if rng.random() < 0.3:
                target_pool.open_ahead(account, asyncio.get_running_loop().time())
            try:
                connection = await _acquire(target_pool, account, rng.choice((0.0, 0.001, 0.05)))
            except (pool.PoolBusyError, errors.TargetError):
                continue
            assert connection.account == account and not connection.in_use
            connection.in_use = True
            try:
                await asyncio.sleep(rng.choice((0, 0, 0.001, 0.002)))
            finally:
                connection.in_use = False
                if rng.random() < 0.1:
                    connection.abort()
                if rng.random() < 0.1:
                    connection.idle = False
                if rng.random() < 0.1:
                    driver.failures_left = 1
                target_pool.release(connection)

    users = [asyncio.create_task(use(f"account-{index % 4}")) for index in range(12)]
    await asyncio.sleep(0.01)
    for task in rng.sample(users, 2):
        task.cancel()
    await asyncio.gather(*users, return_exceptions=True)
    await asyncio.sleep(0.01)
    target_pool.close_idle()
    assert driver.peak <= 3
    assert target_pool.waiting == 0 and target_pool.open == 0


async def test_shared_connection_is_closed_after_the_idle_limit():
    """Guards against idle connections that block other entry VMs at a small connection limit."""
    driver = FakeDriver()
    target_pool = _pool(driver, idle_limit=0.05)
    now = asyncio.get_running_loop().time
    connection = await target_pool.acquire("one", {}, 1, now() + 1)
    target_pool.release(connection)
    assert await target_pool.acquire("one", {}, 1, now() + 1) is connection
    await asyncio.sleep(0.1)
    assert not connection.closed
    target_pool.release(connection)
    await asyncio.sleep(0.1)
    assert connection.closed and not target_pool.open


async def test_spare_connections_are_closed_and_some_are_kept():
    """Guards against targets that reject restarted entry VMs after all of them lost power.

    A target counts the connections of machines that lost power for some seconds more.
    """
    driver = FakeDriver()
    target_pool = _pool(driver, limit=4, idle_limit=0.05, kept_idle=2)
    now = asyncio.get_running_loop().time
    in_use = [await target_pool.acquire("one", {}, 1, now() + 1) for _ in range(4)]
    for connection in in_use:
        target_pool.release(connection)
    await asyncio.sleep(0.15)
    assert target_pool.open == 2


class SlowDriver(FakeDriver):
    """Opens connections after a handshake that takes as long as the real one."""

    async def connect(self, entry, account, timeout):
        """Open a connection, or raise an error."""
        await asyncio.sleep(0.012)
        return await super().connect(entry, account, timeout)


async def test_statement_waits_for_the_connection_that_is_opened_ahead():
    """Guards against two handshakes, each of which takes a slot, for one statement."""
    driver = SlowDriver()
    target_pool = _pool(driver, limit=4)
    target_pool.open_ahead("one", asyncio.get_running_loop().time())
    target_pool.open_ahead("one", asyncio.get_running_loop().time())
    assert target_pool.busy == 0 and target_pool.has_idle("one")
    await asyncio.sleep(0.006)
    started_at = asyncio.get_running_loop().time()
    connection = await _acquire(target_pool, "one")
    assert asyncio.get_running_loop().time() - started_at < 0.012
    assert target_pool.opened == 1
    target_pool.release(connection)
    assert await _acquire(target_pool, "one") is connection


async def test_failed_connection_ahead_is_told_to_its_statement_at_once():
    """Guards against a statement that waits for its deadline although the target is full."""
    driver = SlowDriver()
    driver.failures_left, driver.code = 1, "CONNLIMIT"
    target_pool = _pool(driver, limit=1)
    target_pool.open_ahead("one", asyncio.get_running_loop().time())
    with pytest.raises(errors.TargetError):
        await asyncio.wait_for(_acquire(target_pool, "one"), 0.2)
    assert target_pool.open == 0 and target_pool.opened == 1


async def test_no_connection_is_opened_ahead_in_place_of_another():
    """Guards against idle connections of other accounts that a mere expectation closes."""
    driver = FakeDriver()
    target_pool = _pool(driver, limit=1)
    target_pool.release(await _acquire(target_pool, "one"))
    target_pool.open_ahead("two", asyncio.get_running_loop().time())
    await asyncio.sleep(0)
    assert target_pool.opened == 1 and target_pool.has_idle("one")
