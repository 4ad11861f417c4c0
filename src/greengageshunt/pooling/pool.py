"""Connection pool of one entry VM for one target.

Each connection belongs to one client account, and there are fewer connections than accounts.
A statement acquires an idle connection of its account. Otherwise it opens a connection: below
the connection limit an additional one, and at the limit one that replaces the least recently
used idle connection of another account.
"""

import asyncio
import collections
import logging
import math
from collections import abc
from typing import Any

from greengageshunt import clock as clock_module
from greengageshunt import errors, logs
from greengageshunt.coordination import records

logger = logging.getLogger(__name__)

# Seconds for which an attempt to connect waits for the target. After a shorter wait without an
# answer, the target isn't taken as unreachable.
CONNECT_TIMEOUT = 0.4

# Seconds for which the connection limit stays lowered after the target has rejected a connection.
LOWERED_LIMIT_PERIOD = 1.0

# Seconds for which statements avoid a target after it did not answer.
UNREACHABLE_BACKOFF = 0.3

# Seconds for which statements avoid a target after it rejected the only connection of the pool.
REJECTED_BACKOFF = 0.1

# Number of waiting statements at the head of the queue among which one of the released
# connection's client account goes first, because it needs no new connection.
OVERTAKE_WINDOW = 4


# Returns whether a statement may use a connection of its client account.
Suits = abc.Callable[[Any], bool]


def _suits_all(connection: Any) -> bool:
    return True


class PoolBusyError(errors.GreengageshuntError):
    """No connection became available by the deadline."""

    def __init__(self, *, peer: str, waiting: int) -> None:
        super().__init__(
            f"no connection to {peer} became available in time; {waiting} other statements wait",
            step="acquire",
            peer=peer,
        )


class _Waiter:
    """A statement that waits for a connection, or for capacity to open one.

    Attributes:
        account: Client account.
        priority: Order among waiting statements; lower goes first.
        suits: Whether the statement may use a connection of its account.
        granted: Future that completes with a connection, with None if capacity is reserved to
            open one, or with an error.
    """

    def __init__(self, *, account: str, priority: int, suits: Suits) -> None:
        self.account = account
        self.priority = priority
        self.suits = suits
        self.granted: asyncio.Future[Any] = asyncio.get_running_loop().create_future()


class _ExpectedConnection:
    """A connection that is being opened for an operation before its first statement.

    Attributes:
        account: Client account.
        claimed: Whether a statement waits for it.
        opened: Future that completes with the connection or an error if a statement waits.
    """

    def __init__(self, *, account: str) -> None:
        self.account = account
        self.claimed = False
        self.opened: asyncio.Future[Any] = asyncio.get_running_loop().create_future()


class TargetPool:
    """Connections of one entry VM to one target, with a queue of statements that wait for one.

    Args:
        entry: Entry of the target in the target list.
        driver: Opens connections.
        limit: Returns the number of connections that may be open.
        clock: Returns monotonic seconds.
        idle_limit: Returns the seconds for which a connection may stay idle, by the number
            of open connections.
    """

    def __init__(
        self,
        *,
        entry: records.TargetEntry,
        driver: Any,
        limit: abc.Callable[[], int],
        clock: clock_module.Clock,
        idle_limit: abc.Callable[[int], float] = lambda open_count: math.inf,
    ) -> None:
        self._entry = entry
        self._driver = driver
        self._limit = limit
        self._idle_limit = idle_limit
        self._clock = clock
        self._idle: list[Any] = []
        self._open = 0
        self._waiters: collections.deque[_Waiter] = collections.deque()
        self._lowered_limit = 0
        self._rejected_at = -LOWERED_LIMIT_PERIOD
        self._failed_at = -UNREACHABLE_BACKOFF
        self._failures = 0
        self._opening = 0
        self._answered_at = -1.0
        self._opened = 0
        self._expected: dict[_ExpectedConnection, asyncio.Task[None]] = {}

    @property
    def entry(self) -> records.TargetEntry:
        """Entry of the target in the target list."""
        return self._entry

    @property
    def open(self) -> int:
        """Connections that are open or being opened."""
        return self._open

    @property
    def opened(self) -> int:
        """Attempts to open a connection since the start, failed ones included."""
        return self._opened

    @property
    def busy(self) -> int:
        """Statements that hold a connection, open one or wait for one."""
        unclaimed = sum(not expected.claimed for expected in self._expected)
        return self._open - len(self._idle) - unclaimed + len(self._waiters)

    @property
    def waiting(self) -> int:
        """Statements that wait for a connection."""
        return len(self._waiters)

    @property
    def answered_at(self) -> float:
        """Monotonic seconds at which the target last answered, or -1 before its first answer."""
        return self._answered_at

    @property
    def failures(self) -> int:
        """Broken connections, failed attempts and missing answers since the last answer."""
        return self._failures

    def limit(self, now: float) -> int:
        """Return the connection limit in force, which is at least 1."""
        allowed = self._limit()
        if now - self._rejected_at < LOWERED_LIMIT_PERIOD:
            allowed = min(allowed, self._lowered_limit)
        return max(1, allowed)

    def reachable(self, now: float) -> bool:
        """Return whether statements may use the target.

        After a failure none may for ``UNREACHABLE_BACKOFF`` seconds; then one at a time
        connects until the target answers.
        """
        if self._failures and self._opening:
            return False
        return now - self._failed_at >= UNREACHABLE_BACKOFF

    def has_idle(self, account: str, suits: Suits = _suits_all) -> bool:
        """Return whether a client account has an idle connection that suits, or an expected one."""
        idle = any(c.account == account and c.idle and suits(c) for c in self._idle)
        return idle or self._unclaimed(account) is not None

    def record_answer(self, now: float) -> None:
        """Record that the target answered."""
        self._answered_at = now
        self._failures = 0

    def record_failure(self, now: float) -> None:
        """Record that the target did not answer or cannot be reached."""
        self._failed_at = now
        self.record_broken_connection()

    def record_broken_connection(self) -> None:
        """Record that a connection broke.

        Only the next connection attempt shows whether the target can still be reached.
        """
        self._failures += 1
        # The same fault may have broken the idle connections, which only shows when they are used.
        self.close_idle()

    def update(self, entry: records.TargetEntry) -> None:
        """Replace the entry of the target; if its address changed, close the idle connections."""
        moved = entry.address != self._entry.address
        self._entry = entry
        if moved:
            self.close_idle()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._discard(self._idle.pop())

    def close_idle_above_limit(self, now: float) -> None:
        """Close the least recently used idle connections while more are open than the limit allows.

        Args:
            now: Monotonic seconds.
        """
        while self._idle and self._open > self.limit(now):
            least_recent = min(self._idle, key=lambda connection: connection.used_at)
            self._idle.remove(least_recent)
            self._discard(least_recent)

    def open_ahead(self, account: str, now: float, suits: Suits = _suits_all) -> None:
        """Open a connection for a statement of a client account that is about to arrive.

        Nothing happens if the account has a connection already, or if one could only be opened
        in place of another one's.

        Args:
            account: Client account.
            now: Monotonic seconds.
            suits: Whether the statement may use an open connection.
        """
        if self._failures or self._waiters or self.has_idle(account, suits):
            return
        if self._open >= self.limit(now):
            return
        self._open += 1
        expected = _ExpectedConnection(account=account)
        self._expected[expected] = asyncio.create_task(self._open_expected(expected))

    async def _open_expected(self, expected: _ExpectedConnection) -> None:
        try:
            connection = await self._connect(expected.account, math.inf)
        except errors.TargetError as error:
            # ``_connect`` has logged the error.
            if expected.claimed:
                expected.opened.set_exception(error)
            return
        finally:
            del self._expected[expected]
        if expected.claimed:
            expected.opened.set_result(connection)
        else:
            self.release(connection)

    async def _claim(self, expected: _ExpectedConnection, deadline: float) -> Any:
        """Return a connection that is being opened; raises the errors of ``acquire``."""
        expected.claimed = True
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock())):
                return await asyncio.shield(expected.opened)
        except (TimeoutError, asyncio.CancelledError) as error:
            expected.claimed = False
            if expected.opened.done() and expected.opened.exception() is None:
                self.release(expected.opened.result())
            if isinstance(error, TimeoutError):
                raise PoolBusyError(peer=self._entry.target, waiting=self.waiting) from error
            raise

    def _unclaimed(self, account: str) -> _ExpectedConnection | None:
        matching = (
            expected
            for expected in self._expected
            if expected.account == account and not expected.claimed
        )
        return next(matching, None)

    async def acquire(
        self,
        account: str,
        values: abc.Mapping[str, str],
        priority: int,
        deadline: float,
        suits: Suits = _suits_all,
    ) -> Any:
        """Return a connection of a client account; the caller must release it.

        Args:
            account: Client account.
            values: Session variables; a connection that already has them is preferred.
            priority: Order among waiting statements; lower goes first.
            deadline: Monotonic seconds at which the wait ends.
            suits: Whether an open connection may be used; a new one always may.

        Raises:
            PoolBusyError: No connection became available by the deadline.
            TargetError: The target cannot be reached, or rejected the connection. Also raised
                to waiting statements when the attempt of another one shows that the target
                cannot be reached.
        """
        idle_connection = self._take_idle(account, values, suits)
        if idle_connection is not None:
            return idle_connection
        expected = self._unclaimed(account)
        if expected is not None:
            return await self._claim(expected, deadline)
        if self._reserve_capacity():
            return await self._connect(account, deadline)
        waiter = _Waiter(account=account, priority=priority, suits=suits)
        self._enqueue(waiter)
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock())):
                granted = await waiter.granted
        except (TimeoutError, asyncio.CancelledError) as error:
            self._remove_waiter(waiter)
            if isinstance(error, TimeoutError):
                raise PoolBusyError(peer=self._entry.target, waiting=self.waiting) from error
            raise
        return granted if granted is not None else await self._connect(account, deadline)

    def release(self, connection: Any) -> None:
        """Return a connection to the pool, which passes it on to a waiting statement if any.

        It is closed if it is unusable, inside a transaction or above the connection limit.
        """
        if (
            connection.closed
            or not connection.idle
            or self._open > self.limit(self._clock())
            or connection.entry.address != self._entry.address
        ):
            self._discard(connection)
            return
        connection.used_at = self._clock()
        waiter = self._next_waiter(connection.account)
        if waiter is None:
            self._add_idle(connection)
        elif waiter.account == connection.account and waiter.suits(connection):
            waiter.granted.set_result(connection)
        else:
            connection.close()
            # The waiter opens its own connection in place of the closed one.
            waiter.granted.set_result(None)

    def _add_idle(self, connection: Any) -> None:
        self._idle.append(connection)
        limit = self._idle_limit(self._open)
        if limit < math.inf:
            loop = asyncio.get_running_loop()
            loop.call_later(limit, self._close_unused, connection, connection.used_at)

    def _close_unused(self, connection: Any, used_at: float) -> None:
        """Close a connection that stayed idle since ``used_at``, if an idle limit still applies."""
        unused = connection.used_at == used_at and connection in self._idle
        if unused and self._idle_limit(self._open) < math.inf:
            self._idle.remove(connection)
            self._discard(connection)

    def _take_idle(self, account: str, values: abc.Mapping[str, str], suits: Suits) -> Any:
        matching = []
        for connection in list(self._idle):
            if connection.closed or not connection.idle:
                self._idle.remove(connection)
                self._discard(connection)
            elif connection.account == account and suits(connection):
                matching.append(connection)
        if not matching:
            return None
        # Equal values need no set-up statements, and a subset needs no RESET.
        best = max(
            matching,
            key=lambda connection: (
                connection.session_values == values,
                connection.session_values.items() <= values.items(),
                connection.used_at,
            ),
        )
        self._idle.remove(best)
        return best

    def _reserve_capacity(self) -> bool:
        """Reserve capacity for one connection, and return whether there was any.

        At the limit, the least recently used idle connection is closed to free its capacity.
        """
        if self._open < self.limit(self._clock()):
            self._open += 1
            return True
        if not self._idle or self._open > self.limit(self._clock()):
            return False
        least_recent = min(self._idle, key=lambda connection: connection.used_at)
        self._idle.remove(least_recent)
        least_recent.close()
        return True

    async def _connect(self, account: str, deadline: float) -> Any:
        """Open a connection with capacity that the caller has reserved."""
        seconds_left = deadline - self._clock()
        timeout = min(CONNECT_TIMEOUT, seconds_left)
        self._opened += 1
        self._opening += 1
        try:
            connection = await self._driver.connect(self._entry, account, timeout)
        except errors.TargetError as error:
            logs.log_decision(
                logger,
                "connect-failed",
                target=self._entry.target,
                code=error.code,
                open=self._open,
                reason=str(error),
            )
            if error.code:
                self._note_rejection(self._clock())
            elif seconds_left >= CONNECT_TIMEOUT:
                # After a shorter wait, the failure does not show that the target is down.
                self.record_failure(self._clock())
                self._fail_waiters(error)
            self._release_capacity()
            raise
        except BaseException:
            self._release_capacity()
            raise
        finally:
            self._opening -= 1
        self.record_answer(self._clock())
        return connection

    def _note_rejection(self, now: float) -> None:
        """Record that the target rejected a connection, as its limit is reached."""
        self.record_answer(now)
        self._lowered_limit, self._rejected_at = self._open - 1, now
        if self._open == 1:
            # For some seconds, the target still counts the connections of machines that lost power.
            self._failed_at = now - UNREACHABLE_BACKOFF + REJECTED_BACKOFF

    def _fail_waiters(self, error: errors.TargetError) -> None:
        """Fail all waiting statements, so that they try other targets."""
        while (waiter := self._next_waiter("")) is not None:
            waiter.granted.set_exception(error)

    def _discard(self, connection: Any) -> None:
        connection.abort()
        self._release_capacity()

    def _release_capacity(self) -> None:
        """Pass the capacity of a closed connection on to the next waiter."""
        self._open -= 1
        if self._open < self.limit(self._clock()):
            waiter = self._next_waiter("")
            if waiter is not None:
                self._open += 1
                waiter.granted.set_result(None)

    def _enqueue(self, waiter: _Waiter) -> None:
        position = len(self._waiters)
        while position and self._waiters[position - 1].priority > waiter.priority:
            position -= 1
        self._waiters.insert(position, waiter)

    def _next_waiter(self, account: str) -> _Waiter | None:
        """Remove the next waiter from the queue and return it, or None if none waits.

        A waiter of the account among the first ``OVERTAKE_WINDOW`` goes before the others.
        """
        while self._waiters and self._waiters[0].granted.done():
            self._waiters.popleft()
        if not self._waiters:
            return None
        for index in range(min(OVERTAKE_WINDOW, len(self._waiters))):
            waiter = self._waiters[index]
            if waiter.account == account and not waiter.granted.done():
                del self._waiters[index]
                return waiter
        return self._waiters.popleft()

    def _remove_waiter(self, waiter: _Waiter) -> None:
        """Remove a waiter that timed out or was cancelled.

        A connection or capacity that it was granted in the meantime is released.
        """
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        was_granted = waiter.granted.done() and not waiter.granted.cancelled()
        if was_granted and waiter.granted.exception() is None:
            granted = waiter.granted.result()
            if granted is None:
                self._release_capacity()
            else:
                self.release(granted)
        else:
            waiter.granted.cancel()
