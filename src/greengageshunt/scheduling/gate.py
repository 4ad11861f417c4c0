"""Admission of requests to the slots of one target."""

import asyncio
import contextlib
import logging
from collections import abc
from typing import Protocol

from greengageshunt import clock as clock_module
from greengageshunt import errors
from greengageshunt.scheduling import entry as entry_module

logger = logging.getLogger(__name__)

QUEUE_LIMIT = 1000  # entries

# Share of the newest slot time in the moving average.
_SMOOTHING = 0.1


class Queue(Protocol):
    """State of a queue policy."""

    def __len__(self) -> int:
        """Return the number of waiting entries."""

    def push(self, entry: entry_module.Entry) -> None:
        """Add an entry."""

    def pop(self) -> entry_module.Entry | None:
        """Remove and return the next entry, or None."""

    def discard(self, entry: entry_module.Entry) -> None:
        """Remove an entry that no longer waits."""

    def charge(self, account: str, weight: float, seconds: float) -> None:
        """Account for the slot time of a finished entry."""


def expected_wait(*, waiting: int, slots: int, mean_slot_time: float) -> float:
    """Return the seconds that a new entry waits for a slot.

    Args:
        waiting: Entries in the queue.
        slots: Slots of the target.
        mean_slot_time: Mean seconds for which an entry holds a slot.
    """
    return waiting * mean_slot_time / slots


class SlotGate:
    """Gives out the slots of a target in the order of a queue policy."""

    def __init__(self, *, name: str, slots: int, queue: Queue, clock: clock_module.Clock) -> None:
        self._name = name
        self._slots = slots
        self._free = slots
        self._queue = queue
        self._clock = clock
        self._mean_slot_time = 0.0
        self._waiters: dict[entry_module.Entry, asyncio.Future[None]] = {}

    @property
    def expected_wait(self) -> float:
        """Seconds that a new entry would wait for a slot."""
        return expected_wait(
            waiting=len(self._queue) + (0 if self._free else 1),
            slots=self._slots,
            mean_slot_time=self._mean_slot_time,
        )

    @contextlib.asynccontextmanager
    async def slot(self, entry: entry_module.Entry) -> abc.AsyncIterator[None]:
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
            self._queue.charge(entry.account, entry.weight, seconds)
            self._mean_slot_time += _SMOOTHING * (seconds - self._mean_slot_time)
            self._free += 1
            self._dispatch()

    async def _acquire(self, entry: entry_module.Entry) -> None:
        now = self._clock()
        if len(self._queue) >= QUEUE_LIMIT:
            raise self._refused("queue_full", f"{QUEUE_LIMIT} requests already wait")
        if now + self.expected_wait > entry.deadline:
            raise self._refused("overloaded", "the deadline passes before a slot is free")
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[entry] = waiter
        self._queue.push(entry)
        self._dispatch()
        try:
            async with asyncio.timeout(max(0.0, entry.deadline - now)):
                await waiter
        except (TimeoutError, asyncio.CancelledError) as error:
            self._abandon(entry, waiter)
            if isinstance(error, asyncio.CancelledError):
                raise
            raise self._refused("overloaded", "the deadline passed in the queue") from None

    def _abandon(self, entry: entry_module.Entry, waiter: asyncio.Future[None]) -> None:
        if self._waiters.pop(entry, None) is not None:
            self._queue.discard(entry)
        elif waiter.done() and not waiter.cancelled():
            # The slot was given at the moment at which the wait ended.
            self._free += 1
            self._dispatch()

    def _dispatch(self) -> None:
        while self._free:
            entry = self._queue.pop()
            if entry is None:
                return
            waiter = self._waiters.pop(entry)
            if waiter.done():
                # Its task was cancelled and has not run since; it takes no slot.
                continue
            self._free -= 1
            waiter.set_result(None)

    def _refused(self, code: str, message: str) -> errors.RefusedError:
        return errors.RefusedError(
            errors.Refusal(
                code=code,
                message=f"target {self._name}: {message}",
                outcome=errors.Outcome.NOT_RUN,
                step="queue",
                peer=self._name,
            )
        )
