"""Assignment of slots under cancellations, deadlines and full queues."""

import asyncio
import random

import pytest

from greengageshunt import errors, invariants, model
from greengageshunt.scheduling import entry as entry_module
from greengageshunt.scheduling import fair, fifo, gate

QUEUES = [fair.FairQueue, fifo.FifoQueue]


class Clock:
    """Monotonic clock that a test sets, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self.now


def _gate(queue, clock, slots: int = 1) -> gate.SlotGate:
    return gate.SlotGate(
        name="target",
        slots=slots,
        queue=queue(),
        clock=clock,
        invariants=invariants.Invariants(strict=True),
    )


def _entry(clock, *, account: str = "account-1", timeout: float = 10.0) -> entry_module.QueueEntry:
    return entry_module.QueueEntry(
        account=account,
        weight=1.0,
        priority=model.Priority.NORMAL,
        deadline=clock() + timeout,
        queued_at=clock(),
    )


async def _hold(
    slots: gate.SlotGate, entry: entry_module.QueueEntry, release: asyncio.Event
) -> None:
    async with slots.slot(entry):
        await release.wait()


async def _start(slots, entry, release) -> asyncio.Task[None]:
    task = asyncio.create_task(_hold(slots, entry, release))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return task


@pytest.mark.parametrize("queue", QUEUES)
async def test_slot_freed_while_the_next_task_is_cancelled(queue):
    """Guards against a leaked slot whose new holder is cancelled before its task runs."""
    clock = Clock()
    slots = _gate(queue, clock)
    release = asyncio.Event()
    first = await _start(slots, _entry(clock), release)
    second = await _start(slots, _entry(clock), release)

    release.set()
    await asyncio.sleep(0)
    second.cancel()
    await asyncio.gather(first, second, return_exceptions=True)

    assert slots.free == 1
    assert slots.waiting == 0


@pytest.mark.parametrize("queue", QUEUES)
async def test_cancelled_waiter_is_skipped(queue):
    """Guards against an error in the task that releases a slot, for a cancelled waiter.

    Setting the result of a cancelled future raises an error in the releasing task.
    """
    clock = Clock()
    slots = _gate(queue, clock)
    release = asyncio.Event()
    first = await _start(slots, _entry(clock), release)
    second = await _start(slots, _entry(clock), release)

    first.cancel()
    second.cancel()
    results = await asyncio.gather(first, second, return_exceptions=True)

    assert all(isinstance(result, asyncio.CancelledError) for result in results)
    assert slots.free == 1
    async with slots.slot(_entry(clock)):
        assert slots.free == 0


@pytest.mark.parametrize("queue", QUEUES)
async def test_entry_past_its_deadline_gets_no_slot(queue):
    """Guards against a request that runs after a pause in which its deadline passed."""
    clock = Clock()
    slots = _gate(queue, clock)
    release = asyncio.Event()
    first = await _start(slots, _entry(clock), release)
    second = await _start(slots, _entry(clock, timeout=5.0), release)

    clock.now = 6.0
    release.set()
    await first
    with pytest.raises(errors.RefusedError) as raised:
        await second

    assert raised.value.refusal.outcome is errors.Outcome.NOT_RUN
    assert slots.free == 1


@pytest.mark.parametrize("queue", QUEUES)
async def test_request_that_cannot_meet_its_deadline_is_refused_early(queue):
    """Guards against a request that waits until its deadline although it has no chance."""
    clock = Clock()
    slots = _gate(queue, clock)
    for _ in range(50):
        async with slots.slot(_entry(clock)):
            clock.now += 1.0
    release = asyncio.Event()
    holder = await _start(slots, _entry(clock), release)

    with pytest.raises(errors.RefusedError) as raised:
        await _hold(slots, _entry(clock, timeout=0.5), release)

    assert raised.value.refusal.code == "overloaded"
    assert "before a slot is free" in raised.value.refusal.message
    assert raised.value.refusal.outcome is errors.Outcome.NOT_RUN
    release.set()
    await holder
    assert slots.free == 1


async def test_displaced_request_is_refused_as_not_run():
    """Guards against a displaced request that gets no answer when the queue is full."""
    clock = Clock()
    slots = _gate(fair.FairQueue, clock)
    release = asyncio.Event()
    flood = [
        asyncio.create_task(_hold(slots, _entry(clock, account="flood"), release))
        for _ in range(entry_module.MAX_QUEUE_LENGTH + 1)
    ]
    await asyncio.sleep(0)
    small = await _start(slots, _entry(clock, account="small"), release)

    release.set()
    results = await asyncio.gather(*flood, small, return_exceptions=True)

    refused = [result for result in results if result is not None]
    assert [error.refusal.code for error in refused] == ["queue_full"]
    assert results[-1] is None
    assert slots.free == 1


@pytest.mark.parametrize("queue", QUEUES)
async def test_no_slot_is_lost_in_random_histories(queue):
    """Guards against slots that leak by cancellations and deadlines in any order (seed 5)."""
    source = random.Random(5)
    clock = Clock()
    slots = _gate(queue, clock, slots=3)
    releases = [asyncio.Event() for _ in range(600)]
    tasks = []
    for number, release in enumerate(releases):
        timeout = source.choice([0.0005, 5.0])
        entry = _entry(clock, account=f"account-{source.randrange(4)}", timeout=timeout)
        tasks.append(asyncio.create_task(_hold(slots, entry, release)))
        await asyncio.sleep(source.choice([0, 0, 0.0005]))
        recent = range(max(0, number - 8), number + 1)
        for chosen in source.sample(recent, k=min(3, len(recent))):
            releases[chosen].set()
        for chosen in source.sample(recent, k=min(2, len(recent))):
            tasks[chosen].cancel()
    for release in releases:
        release.set()
    await asyncio.gather(*tasks, return_exceptions=True)

    assert slots.free == 3
    assert slots.waiting == 0
