"""Faults of one task or event handler, which the rest of the program survives."""

import asyncio
import itertools

import pytest

from greengageshunt import application, events, supervision
from greengageshunt.coordination import records
from greengageshunt.standins import memory
from support import store_fleet


@pytest.mark.expects_faults
def test_failed_task_runs_again_with_growing_pauses(caplog):
    """Guards against a fault that ends a program, and against a log full of its lines."""
    starts = []

    async def fail() -> None:
        starts.append(asyncio.get_running_loop().time())
        raise LookupError("fault")

    async def play() -> None:
        reported: list[str] = []
        task = asyncio.create_task(
            supervision.keep_running(
                "task", fail, clock=asyncio.get_running_loop().time, report=reported.append
            )
        )
        await asyncio.sleep(60.0)
        task.cancel()
        assert reported == ["task"] * len(starts)

    memory.run(play())
    pauses = [after - before for before, after in itertools.pairwise(starts)]
    assert pauses[0] == pytest.approx(supervision.MIN_RESTART_DELAY)
    assert max(pauses) == pytest.approx(supervision.MAX_RESTART_DELAY)
    assert sum(record.msg == "task failed" for record in caplog.records) == len(starts)
    assert all(record.exc_info for record in caplog.records if record.msg == "task failed")


async def test_task_that_returns_or_is_cancelled_does_not_run_again():
    """Guards against a service that outlives the shutdown of its program."""
    reported: list[str] = []

    async def end() -> None:
        return

    await supervision.keep_running("a", end, clock=lambda: 0.0, report=reported.append)
    waiting = asyncio.create_task(
        supervision.keep_running(
            "b", asyncio.Event().wait, clock=lambda: 0.0, report=reported.append
        )
    )
    await asyncio.sleep(0)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert not reported


@pytest.mark.expects_faults
def test_failed_handler_affects_neither_the_emitter_nor_other_handlers():
    """Guards against a fault in one handler that ends the task which emits the event.

    The later subscribers would not receive the event either.
    """
    bus = events.EventBus()
    bus.add("changed")
    received = []

    def receive(payload: int) -> None:
        if payload == 1:
            raise LookupError("fault")
        received.append(payload)

    bus.connect("changed", receive)
    others: list[int] = []
    bus.connect("changed", others.append)
    bus.emit("changed", 1)
    bus.emit("changed", 2)
    assert received == [2] and others == [1, 2]
    assert bus.failures == {"changed": 1}


@pytest.mark.expects_faults
def test_fault_of_one_watch_leaves_the_others_running():
    """Guards against a fault in one section that ends the watches of all, and the program."""

    async def play() -> None:
        fleet = store_fleet.Fleet(size=3, domains=("a", "b", "c"))
        for member in fleet.listed:
            fleet.start(member)
        await asyncio.sleep(5.0)
        vm = fleet.running[fleet.listed[0].vm]
        failed = []
        vm.app.events.connect("task-failed", failed.append)
        changes = vm.client.changes

        async def fail_for_targets(section, after, wait):
            if section is records.Section.TARGETS and not failed:
                raise LookupError("fault")
            return await changes(section, after, wait)

        vm.client.changes = fail_for_targets
        fleet.store.change_configuration()
        await asyncio.sleep(20.0)
        assert failed == ["watch targets"]
        view = vm.app.part("coordination", "view")
        for section in (records.Section.TARGETS, records.Section.CONTROL):
            assert vm.app.clock() - view.copy(section).as_of < 11.0
        assert vm.configuration.version == fleet.store.configuration_version
        assert not any(task.done() for task in vm.tasks)
        await fleet.stop()

    memory.run(play())


@pytest.mark.expects_faults
@pytest.mark.parametrize("restartable", [True, False])
def test_only_restartable_services_run_again(restartable):
    """Guards against a second run of a service that its first run left half closed."""
    starts = []

    class Service:
        def __init__(self) -> None:
            self.restartable = restartable

        async def run(self) -> None:
            starts.append(None)
            raise LookupError("fault")

    async def play() -> None:
        app = application.Application(name="test", clock=asyncio.get_running_loop().time)
        await asyncio.wait_for(app._run_service("service", Service()), 3.0)

    with pytest.raises(TimeoutError if restartable else LookupError):
        memory.run(play())
    assert len(starts) == (3 if restartable else 1)
