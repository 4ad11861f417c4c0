"""Connections to one target, lent to statements of several client accounts."""

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
    """A connection whose state a test sets."""

    def __init__(self, driver: "FakeDriver", account: str) -> None:
        self.driver = driver
        self.account = account
        self.entry = ENTRY
        self.values: dict[str, str] = {}
        self.closed = False
        self.idle = True
        self.used_at = 0.0
        self.lent = False

    def abort(self) -> None:
        """Close."""
        if not self.closed:
            self.closed = True
            self.driver.open -= 1

    close = abort


class FakeDriver:
    """Counts open connections."""

    def __init__(self) -> None:
        self.open = 0
        self.peak = 0
        self.failing = 0
        self.code = ""

    async def connect(self, entry, account, timeout):
        """Open a connection, or fail as told."""
        await asyncio.sleep(0)
        if self.failing:
            self.failing -= 1
            raise errors.TargetError(
                "failed", step="connect", peer="t-1", sent=False, code=self.code
            )
        self.open += 1
        self.peak = max(self.peak, self.open)
        return FakeConnection(self, account)


def _pool(
    driver: FakeDriver, limit: int = 2, idle_limit: float = math.inf, kept: int = 0
) -> pool.TargetPool:
    return pool.TargetPool(
        entry=ENTRY,
        driver=driver,
        limit=lambda: limit,
        idle_limit=lambda opened: idle_limit if opened > kept else math.inf,
        clock=asyncio.get_running_loop().time,
    )


async def _acquire(tested: pool.TargetPool, account: str, seconds: float = 1.0):
    deadline = asyncio.get_running_loop().time() + seconds
    return await tested.acquire(account, {}, 1, deadline)


async def test_connection_of_another_account_is_replaced_not_shared():
    """Guards against a statement on a connection of another client account."""
    driver = FakeDriver()
    tested = _pool(driver, limit=1)
    tested.release(await _acquire(tested, "one"))
    second = await _acquire(tested, "two")
    assert second.account == "two" and driver.peak == 1


async def test_connection_inside_a_transaction_is_not_lent_again():
    """Guards against a statement inside another caller's transaction."""
    driver = FakeDriver()
    tested = _pool(driver, limit=1)
    first = await _acquire(tested, "one")
    first.idle = False
    tested.release(first)
    assert first.closed
    assert await _acquire(tested, "one") is not first


async def test_waiting_ends_at_the_deadline():
    """Guards against a statement that waits after its time, and against a lost place."""
    tested = _pool(FakeDriver(), limit=1)
    held = await _acquire(tested, "one")
    with pytest.raises(pool.PoolBusyError):
        await _acquire(tested, "one", seconds=0.01)
    tested.release(held)
    assert await _acquire(tested, "one") is held


async def test_refused_connection_lowers_the_limit_for_a_while():
    """Guards against attempts beyond what the target accepts from all entry VMs."""
    driver = FakeDriver()
    tested = _pool(driver, limit=2)
    held = await _acquire(tested, "one")
    driver.failing, driver.code = 1, "CONNLIMIT"
    with pytest.raises(errors.TargetError):
        await _acquire(tested, "one")
    with pytest.raises(pool.PoolBusyError):
        await _acquire(tested, "one", seconds=0.01)
    tested.release(held)


async def test_unreachable_target_is_left_alone_for_a_while():
    """Guards against statements that spend their time at a dead target."""
    driver = FakeDriver()
    tested = _pool(driver)
    driver.failing = 1
    with pytest.raises(errors.TargetError):
        await _acquire(tested, "one")
    now = asyncio.get_running_loop().time()
    assert not tested.reachable(now)
    assert tested.reachable(now + pool.UNREACHABLE_PERIOD)


async def test_statement_without_time_left_says_nothing_of_its_target():
    """Guards against a target that is left alone because of a statement that came too late."""
    driver = FakeDriver()
    tested = _pool(driver)
    driver.failing = 1
    with pytest.raises(errors.TargetError):
        await _acquire(tested, "one", seconds=pool.CONNECT_TIMEOUT / 2)
    assert tested.reachable(asyncio.get_running_loop().time()) and not tested.failures


async def test_waiting_statements_leave_a_target_that_gives_no_answer():
    """Guards against statements that wait for connections which cannot be opened."""
    driver = FakeDriver()
    tested = _pool(driver, limit=1)
    driver.failing = 1
    opening = asyncio.create_task(_acquire(tested, "one"))
    waiting = asyncio.create_task(_acquire(tested, "two"))
    for task in (opening, waiting):
        with pytest.raises(errors.TargetError):
            await task
    assert not tested.waiting and not tested.open


async def test_one_statement_at_a_time_tries_a_target_that_failed():
    """Guards against many statements that spend their time at a target which is still dead."""
    driver = FakeDriver()
    tested = _pool(driver)
    driver.failing = 1
    with pytest.raises(errors.TargetError):
        await _acquire(tested, "one")
    now = asyncio.get_running_loop().time
    later = now() + pool.UNREACHABLE_PERIOD
    assert tested.reachable(later)
    trying = asyncio.create_task(_acquire(tested, "one"))
    await asyncio.sleep(0)
    assert not tested.reachable(later)
    await trying
    assert tested.reachable(later)


async def test_broken_connection_does_not_make_its_target_unreachable():
    """Guards against a target that resets some connections and is then left alone."""
    tested = _pool(FakeDriver())
    tested.release(await _acquire(tested, "one"))
    now = asyncio.get_running_loop().time()
    tested.note_broken()
    assert tested.reachable(now)
    assert not tested.has_idle("one") and tested.failures == 1


@pytest.mark.parametrize("seed", range(20))
async def test_random_use_keeps_the_limit_and_loses_no_room(seed):
    """Guards against leaked room, double lending and more connections than allowed."""
    rng = random.Random(seed)
    driver = FakeDriver()
    tested = _pool(driver, limit=3)

    async def use(account: str) -> None:
        for _ in range(10):
            try:
                connection = await _acquire(tested, account, rng.choice((0.0, 0.001, 0.05)))
            except (pool.PoolBusyError, errors.TargetError):
                continue
            assert connection.account == account and not connection.lent
            connection.lent = True
            await asyncio.sleep(rng.choice((0, 0, 0.001, 0.002)))
            connection.lent = False
            if rng.random() < 0.1:
                connection.abort()
            if rng.random() < 0.1:
                connection.idle = False
            if rng.random() < 0.1:
                driver.failing = 1
            tested.release(connection)

    users = [asyncio.create_task(use(f"account-{index % 4}")) for index in range(12)]
    await asyncio.sleep(0.01)
    for task in rng.sample(users, 2):
        task.cancel()
    await asyncio.gather(*users, return_exceptions=True)
    tested.close_idle()
    assert driver.peak <= 3
    assert tested.waiting == 0


async def test_shared_connection_is_closed_when_it_is_not_used():
    """Guards against entry VMs that keep the few connections of a target from each other."""
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
    """Guards against targets whose limit is full of connections when all entry VMs lose power."""
    driver = FakeDriver()
    target_pool = _pool(driver, limit=4, idle_limit=0.05, kept=2)
    now = asyncio.get_running_loop().time
    lent = [await target_pool.acquire("one", {}, 1, now() + 1) for _ in range(4)]
    for connection in lent:
        target_pool.release(connection)
    await asyncio.sleep(0.15)
    assert target_pool.open == 2
