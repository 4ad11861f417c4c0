"""Cancelled requests in front of a target's slots."""

import asyncio

from greengageshunt import clock, invariants, model
from greengageshunt.scheduling import entry, fifo, gate


def _entry() -> entry.Entry:
    now = clock.monotonic()
    return entry.Entry(
        account="a",
        weight=1.0,
        priority=model.Priority.NORMAL,
        deadline=now + 30.0,
        queued_at=now,
    )


async def test_slot_passes_over_a_request_that_was_just_cancelled():
    """Guards against a slot that is lost, and an error for its former holder."""
    slots = gate.SlotGate(
        name="t",
        slots=1,
        queue=fifo.FifoQueue(),
        clock=clock.monotonic,
        invariants=invariants.Invariants(strict=True),
    )
    leave = asyncio.Event()
    served = []

    async def hold(name: str) -> None:
        async with slots.slot(_entry()):
            served.append(name)
            if name == "first":
                await leave.wait()

    first = asyncio.create_task(hold("first"))
    await asyncio.sleep(0)
    second = asyncio.create_task(hold("second"))
    third = asyncio.create_task(hold("third"))
    await asyncio.sleep(0)
    # The first leaves in the same pass of the event loop in which the second is
    # cancelled, before the second's task can leave the queue.
    leave.set()
    second.cancel()
    async with asyncio.timeout(10):
        await asyncio.gather(first, third)

    assert served == ["first", "third"]
    assert second.cancelled()
