"""Cancellation of requests that wait for a target's slots."""

import asyncio

from greengageshunt import clock, invariants, model
from greengageshunt.scheduling import entry, fifo, gate


def _entry() -> entry.QueueEntry:
    now = clock.monotonic()
    return entry.QueueEntry(
        account="a",
        weight=1.0,
        priority=model.Priority.NORMAL,
        deadline=now + 30.0,
        queued_at=now,
    )


async def test_slot_skips_a_request_that_was_just_cancelled():
    """Guards against a leaked slot, and against an error in the request that releases it."""
    slots = gate.SlotGate(
        name="t",
        slots=1,
        queue=fifo.FifoQueue(),
        clock=clock.monotonic,
        invariants=invariants.Invariants(strict=True),
    )
    release = asyncio.Event()
    served = []

    async def hold(name: str) -> None:
        async with slots.slot(_entry()):
            served.append(name)
            if name == "first":
                await release.wait()

    first = asyncio.create_task(hold("first"))
    await asyncio.sleep(0)
    second = asyncio.create_task(hold("second"))
    third = asyncio.create_task(hold("third"))
    await asyncio.sleep(0)
    # The first request releases its slot in the same iteration of the event loop in
    # which the second is cancelled, before the second's task can leave the queue.
    release.set()
    second.cancel()
    async with asyncio.timeout(10):
        await asyncio.gather(first, third)

    assert served == ["first", "third"]
    assert second.cancelled()
