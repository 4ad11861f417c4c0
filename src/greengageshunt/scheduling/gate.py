"""Admission of requests to the slots of one target."""

import asyncio
import contextlib
import logging
from collections import abc
from typing import Protocol

from greengageshunt import clock as clock_module
from greengageshunt import errors
from greengageshunt import invariants as invariants_module
from greengageshunt.scheduling import entry as entry_module

logger = logging.getLogger(__name__)

# Weight of the newest slot time in the exponential moving average.
_NEWEST_WEIGHT = 0.1


class Queue(Protocol):
    """State of a queue policy."""

    def __len__(self) -> int:
        """Return the number of waiting entries."""

    def push(self, entry: entry_module.QueueEntry) -> entry_module.QueueEntry | None:
        """Add an entry; return the entry that a full queue displaces, or None."""

    def pop(self) -> entry_module.QueueEntry | None:
        """Remove and return the next entry, or None."""

    def discard(self, entry: entry_module.QueueEntry) -> None:
        """Remove an entry that no longer waits."""

    def entries_ahead(self, entry: entry_module.QueueEntry) -> float:
        """Estimate the number of waiting entries that are served before a new one."""

    def charge(self, account: str, weight: float, seconds: float) -> None:
        """Charge an account for the slot time of a finished entry, in seconds."""

    def refund(self, account: str, weight: float) -> None:
        """Cancel the charge of a popped entry that did not use its slot."""


def expected_wait(*, waiting: float, slots: int, mean_slot_time: float) -> float:
    """Return the expected seconds that a new entry waits for a slot.

    Args:
        waiting: Entries that are served before the new entry.
        slots: Slots of the target.
        mean_slot_time: Mean seconds for which an entry holds a slot.
    """
    return waiting * mean_slot_time / slots


class SlotGate:
    """Assigns the slots of a target in the order of a queue policy."""

    def __init__(
        self,
        *,
        name: str,
        slots: int,
        queue: Queue,
        clock: clock_module.Clock,
        invariants: invariants_module.Invariants,
    ) -> None:
        self._name = name
        self._slots = slots
        self._free = slots
        self._queue = queue
        self._clock = clock
        self._invariants = invariants
        self._mean_slot_time = 0.0
        self._waiters: dict[entry_module.QueueEntry, asyncio.Future[None]] = {}

    @property
    def free(self) -> int:
        """Number of free slots."""
        return self._free

    @property
    def waiting(self) -> int:
        """Number of waiting entries."""
        return len(self._queue)

    @property
    def expected_wait(self) -> float:
        """Seconds that a new entry would wait behind all waiting entries."""
        return self._estimate_wait(len(self._queue))

    @contextlib.asynccontextmanager
    async def slot(self, entry: entry_module.QueueEntry) -> abc.AsyncIterator[None]:
        """Hold a slot for the body of the ``async with`` statement.

        Raises:
            RefusedError: The queue is full, or the deadline passes before a slot
                is free; the request did not run.
        """
        await self._acquire(entry)
        started = self._clock()
        try:
            yield
        finally:
            seconds = self._clock() - started
            self._mean_slot_time += _NEWEST_WEIGHT * (seconds - self._mean_slot_time)
            self._queue.charge(entry.account, entry.weight, seconds)
            self._release()

    async def _acquire(self, entry: entry_module.QueueEntry) -> None:
        now = self._clock()
        wait = self._estimate_wait(self._queue.entries_ahead(entry))
        if wait and now + wait > entry.deadline:
            raise self._refusal_error("overloaded", "the deadline passes before a slot is free")
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[entry] = waiter
        displaced = self._queue.push(entry)
        if displaced is not None:
            self._reject_waiter(displaced, "queue_full", "the queue for slots is full")
        self._dispatch()
        try:
            async with asyncio.timeout(max(0.0, entry.deadline - now)):
                await waiter
        except TimeoutError:
            self._abandon(entry, waiter)
            raise self._refusal_error(
                "overloaded", "the deadline passed while the request waited for a slot"
            ) from None
        except asyncio.CancelledError:
            self._abandon(entry, waiter)
            raise

    def _abandon(self, entry: entry_module.QueueEntry, waiter: asyncio.Future[None]) -> None:
        """Remove an entry from the queue, or release the slot that it has just acquired."""
        if self._waiters.pop(entry, None) is not None:
            self._queue.discard(entry)
        elif not waiter.cancelled() and waiter.exception() is None:
            self._queue.refund(entry.account, entry.weight)
            self._release()

    def _release(self) -> None:
        self._free += 1
        self._check()
        self._dispatch()

    def _dispatch(self) -> None:
        while self._free:
            entry = self._queue.pop()
            if entry is None:
                return
            waiter = self._waiters[entry]
            if waiter.done():
                # The entry's task was cancelled but has not run to remove the entry yet.
                self._skip(entry)
            elif entry.deadline <= self._clock():
                self._skip(entry)
                waiter.set_exception(
                    self._refusal_error(
                        "overloaded", "the deadline passed while the request waited for a slot"
                    )
                )
            else:
                del self._waiters[entry]
                self._free -= 1
                self._check()
                waiter.set_result(None)

    def _skip(self, entry: entry_module.QueueEntry) -> None:
        del self._waiters[entry]
        self._queue.refund(entry.account, entry.weight)

    def _reject_waiter(self, entry: entry_module.QueueEntry, code: str, message: str) -> None:
        waiter = self._waiters.pop(entry)
        if not waiter.done():
            waiter.set_exception(self._refusal_error(code, message))

    def _estimate_wait(self, waiting: float) -> float:
        return expected_wait(
            waiting=waiting + (0 if self._free else 1),
            slots=self._slots,
            mean_slot_time=self._mean_slot_time,
        )

    def _check(self) -> None:
        self._invariants.check(
            "slots-within-limit",
            0 <= self._free <= self._slots,
            target=self._name,
            free=self._free,
            slots=self._slots,
        )

    def _refusal_error(self, code: str, message: str) -> errors.RefusedError:
        return errors.RefusedError(
            errors.Refusal(
                code=code,
                message=f"target {self._name}: {message}",
                outcome=errors.Outcome.NOT_RUN,
                step="queue",
                peer=self._name,
            )
        )
