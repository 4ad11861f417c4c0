"""The connections of one entry VM to one target.

Connections belong to client accounts, and there are fewer of them than accounts. A statement
takes an idle connection of its account, opens one while there is room, or replaces the
idle connection of another account that was not used for the longest time.
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

CONNECT_TIMEOUT = 0.4  # seconds

# Seconds for which the number of connections stays at what the target last allowed.
REFUSED_LIMIT_PERIOD = 1.0

# Seconds for which a target that did not answer is left alone.
UNREACHABLE_PERIOD = 0.3

# Seconds for which a target that refused the only connection is left alone.
REFUSED_PERIOD = 0.1

# Waiting statements of the connection's own account that may overtake others.
OVERTAKING = 4


class PoolBusyError(errors.GreengageshuntError):
    """No connection came free in time."""

    def __init__(self, *, peer: str, waiting: int) -> None:
        super().__init__(
            f"no free connection to {peer}; {waiting} statements wait", step="acquire", peer=peer
        )


class _Waiter:
    """A statement that waits for a connection, or for room to open one."""

    def __init__(self, *, account: str, priority: int) -> None:
        self.account = account
        self.priority = priority
        self.granted: asyncio.Future[Any] = asyncio.get_running_loop().create_future()


class TargetPool:
    """Lends the connections to one target."""

    def __init__(
        self,
        *,
        entry: records.TargetEntry,
        driver: Any,
        limit: abc.Callable[[], int],
        clock: clock_module.Clock,
        idle_limit: abc.Callable[[int], float] = lambda opened: math.inf,
    ) -> None:
        self._entry = entry
        self._driver = driver
        self._limit = limit
        self._idle_limit = idle_limit
        self._clock = clock
        self._idle: list[Any] = []
        self._open = 0
        self._waiters: collections.deque[_Waiter] = collections.deque()
        self._refused_limit = 0
        self._refused_at = -REFUSED_LIMIT_PERIOD
        self._failed_at = -UNREACHABLE_PERIOD
        self._failures = 0
        self._opening = 0
        self._answered_at = -1.0
        self._opened = 0

    @property
    def entry(self) -> records.TargetEntry:
        """The target."""
        return self._entry

    @property
    def open(self) -> int:
        """Connections that are open or being opened."""
        return self._open

    @property
    def opened(self) -> int:
        """Connections that were opened so far."""
        return self._opened

    @property
    def busy(self) -> int:
        """Statements that hold a connection or wait for one."""
        return self._open - len(self._idle) + len(self._waiters)

    @property
    def waiting(self) -> int:
        """Statements that wait for a connection."""
        return len(self._waiters)

    @property
    def answered_at(self) -> float:
        """Monotonic seconds of the last answer."""
        return self._answered_at

    @property
    def failures(self) -> int:
        """Failures to reach the target since its last answer."""
        return self._failures

    def limit(self, now: float) -> int:
        """Return the number of connections that may be open."""
        allowed = self._limit()
        if now - self._refused_at < REFUSED_LIMIT_PERIOD:
            allowed = min(allowed, self._refused_limit)
        return max(1, allowed)

    def reachable(self, now: float) -> bool:
        """Return whether the target may be tried; after a failure, by one statement at a time."""
        if self._failures and self._opening:
            return False
        return now - self._failed_at >= UNREACHABLE_PERIOD

    def has_idle(self, account: str) -> bool:
        """Return whether a connection of an account is free."""
        return any(item.account == account for item in self._idle)

    def note_answer(self, now: float) -> None:
        """Record that the target answered."""
        self._answered_at = now
        self._failures = 0

    def note_failure(self, now: float) -> None:
        """Record that the target did not answer or cannot be reached."""
        self._failed_at = now
        self.note_broken()

    def note_broken(self) -> None:
        """Record that a connection broke; the next one shows whether the target is reached."""
        self._failures += 1
        # What broke one connection may have broken the idle ones, unnoticed.
        self.close_idle()

    def update(self, entry: records.TargetEntry) -> None:
        """Take over a changed entry; connections to another address are closed."""
        moved = entry.address != self._entry.address
        self._entry = entry
        if moved:
            self.close_idle()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._drop(self._idle.pop())

    async def acquire(
        self, account: str, values: abc.Mapping[str, str], priority: int, deadline: float
    ) -> Any:
        """Return a connection of an account; the caller releases it.

        Args:
            account: Client account.
            values: Session values; a connection that has them is preferred.
            priority: Order among waiting statements; lower goes first.
            deadline: Monotonic seconds until which to wait.

        Raises:
            PoolBusyError: None came free by the deadline.
            TargetError: The target cannot be reached, or refused. A statement that waits
                is told so, too, when another one finds this out.
        """
        found = self._take_idle(account, values)
        if found is not None:
            return found
        if self._make_room():
            return await self._connect(account, deadline)
        waiter = _Waiter(account=account, priority=priority)
        self._enqueue(waiter)
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock())):
                granted = await waiter.granted
        except (TimeoutError, asyncio.CancelledError) as error:
            self._withdraw(waiter)
            if isinstance(error, TimeoutError):
                raise PoolBusyError(peer=self._entry.target, waiting=self.waiting) from error
            raise
        return granted if granted is not None else await self._connect(account, deadline)

    def release(self, connection: Any) -> None:
        """Take a connection back; it goes to who waits for it."""
        if (
            connection.closed
            or not connection.idle
            or self._open > self.limit(self._clock())
            or connection.entry.address != self._entry.address
        ):
            self._drop(connection)
            return
        connection.used_at = self._clock()
        waiter = self._next_waiter(connection.account)
        if waiter is None:
            self._keep_idle(connection)
        elif waiter.account == connection.account:
            waiter.granted.set_result(connection)
        else:
            connection.close()
            # The room of the closed connection goes to the waiter.
            waiter.granted.set_result(None)

    def _keep_idle(self, connection: Any) -> None:
        self._idle.append(connection)
        limit = self._idle_limit(self._open)
        if limit < math.inf:
            loop = asyncio.get_running_loop()
            loop.call_later(limit, self._close_unused, connection, connection.used_at)

    def _close_unused(self, connection: Any, used_at: float) -> None:
        """Close a connection that was not used since it became idle, if it may still go."""
        unused = connection.used_at == used_at and connection in self._idle
        if unused and self._idle_limit(self._open) < math.inf:
            self._idle.remove(connection)
            self._drop(connection)

    def _take_idle(self, account: str, values: abc.Mapping[str, str]) -> Any:
        own = []
        for item in list(self._idle):
            if item.closed:
                self._idle.remove(item)
                self._drop(item)
            elif item.account == account:
                own.append(item)
        if not own:
            return None
        # Fewer statements are needed where the values match, or at least none must go.
        best = max(
            own,
            key=lambda item: (
                item.values == values,
                item.values.items() <= values.items(),
                item.used_at,
            ),
        )
        self._idle.remove(best)
        return best

    def _make_room(self) -> bool:
        """Reserve room for one more connection; return whether there is any."""
        if self._open < self.limit(self._clock()):
            self._open += 1
            return True
        if not self._idle or self._open > self.limit(self._clock()):
            return False
        oldest = min(self._idle, key=lambda item: item.used_at)
        self._idle.remove(oldest)
        oldest.close()
        return True

    async def _connect(self, account: str, deadline: float) -> Any:
        """Open a connection in room that is reserved."""
        left = deadline - self._clock()
        timeout = min(CONNECT_TIMEOUT, left)
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
                self._note_refusal(self._clock())
            elif left >= CONNECT_TIMEOUT:
                # With less time left, the failure says nothing of the target.
                self.note_failure(self._clock())
                self._send_away(error)
            self._free_room()
            raise
        except BaseException:
            self._free_room()
            raise
        finally:
            self._opening -= 1
        self.note_answer(self._clock())
        return connection

    def _note_refusal(self, now: float) -> None:
        """Record that the target refused a connection, as it has too many."""
        self.note_answer(now)
        self._refused_limit, self._refused_at = self._open - 1, now
        if self._open == 1:
            # Connections of processes that ended in the dark count for seconds.
            self._failed_at = now - UNREACHABLE_PERIOD + REFUSED_PERIOD

    def _send_away(self, error: errors.TargetError) -> None:
        """End the waiting for a target that cannot be reached; others may serve."""
        while (waiter := self._next_waiter("")) is not None:
            waiter.granted.set_exception(error)

    def _drop(self, connection: Any) -> None:
        connection.abort()
        self._free_room()

    def _free_room(self) -> None:
        """Give the room of a closed connection to who waits."""
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
        """Take the next waiter from the queue; one of the account may overtake a few."""
        while self._waiters and self._waiters[0].granted.done():
            self._waiters.popleft()
        if not self._waiters:
            return None
        for index in range(min(OVERTAKING, len(self._waiters))):
            waiter = self._waiters[index]
            if waiter.account == account and not waiter.granted.done():
                del self._waiters[index]
                return waiter
        return self._waiters.popleft()

    def _withdraw(self, waiter: _Waiter) -> None:
        """Take back a waiter that gave up; what it was granted meanwhile is freed."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        answered = waiter.granted.done() and not waiter.granted.cancelled()
        if answered and waiter.granted.exception() is None:
            granted = waiter.granted.result()
            if granted is None:
                self._free_room()
            else:
                self.release(granted)
        else:
            waiter.granted.cancel()
