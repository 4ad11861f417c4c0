"""Planned stops of an entry VM: what callers with open sessions and late statements are told."""

import asyncio
import contextlib
import pathlib
import signal

import pytest

from support import entry_fleet

KEYS = {"one": ["key-one"]}

# Seconds from SIGTERM until the entry VM has ended its idle sessions: two failed health checks of
# the balancer, a second apart, and a margin.
IDLE_SESSIONS_ENDED = 2.8

# Seconds from SIGTERM until a transaction that awaits a statement has been aborted.
TRANSACTIONS_ENDED = entry_fleet.GRACE / 2 + 0.5


@pytest.fixture
async def open_caller(fleet):
    """Return a function that opens a session on the primary; sessions close with the test."""
    with contextlib.ExitStack() as stack:

        async def open_session() -> entry_fleet.Caller:
            opened = await entry_fleet.Caller.open(fleet.vms[0], "db_primary", "key-one")
            return stack.enter_context(contextlib.closing(opened))

        yield open_session


@pytest.fixture
async def fleet(tmp_path: pathlib.Path):
    """One entry VM that is ready."""
    async with entry_fleet.Fleet(folder=tmp_path, size=1) as running:
        running.configure(1, keys=KEYS)
        await running.wait_ready()
        yield running


async def _wait_ended(vm: entry_fleet.EntryVm) -> None:
    await asyncio.to_thread(vm.process.wait, entry_fleet.GRACE)
    assert vm.process.returncode == 0


def _ran(fleet: entry_fleet.Fleet) -> list[str]:
    return [run.text for target in fleet.group.targets.values() for run in target.runs]


async def test_statement_that_crosses_the_end_of_its_session_is_answered(fleet, open_caller):
    """Guards against a write on the way to a closed session, whose caller cannot tell if it ran."""
    vm = fleet.vms[0]
    caller = await open_caller()
    await caller.run("WRITE item first")
    vm.signal(signal.SIGTERM)
    await asyncio.sleep(IDLE_SESSIONS_ENDED)
    lines, state = await caller.run("WRITE item second")
    assert [line.split()[:2] for line in lines] == [["ERROR", "BUSY"]] and state == "I"
    lines, _ = await caller.run("WRITE item third")
    assert lines[-1].startswith("ERROR BUSY")
    await _wait_ended(vm)
    assert not any("second" in text or "third" in text for text in _ran(fleet))


async def test_statement_that_crosses_the_abort_of_its_transaction_is_answered(fleet, open_caller):
    """Guards against a COMMIT on the way to a transaction that a stop has rolled back."""
    vm = fleet.vms[0]
    caller = await open_caller()
    fleet.configure(2, keys=KEYS, idle_limit=2 * entry_fleet.GRACE)
    await asyncio.sleep(0.5)
    await caller.run("BEGIN")
    await caller.run("WRITE item value")
    vm.signal(signal.SIGTERM)
    await asyncio.sleep(TRANSACTIONS_ENDED)
    lines, _ = await caller.run("COMMIT")
    assert lines[-1].startswith("ERROR BUSY")
    await _wait_ended(vm)
    assert "COMMIT" not in _ran(fleet)


async def test_idle_session_learns_of_its_end_without_a_reset(fleet, open_caller):
    """Guards against sessions that a stop leaves open until the end of the grace."""
    vm = fleet.vms[0]
    caller = await open_caller()
    vm.signal(signal.SIGTERM)
    assert (await caller.read_line()).startswith("ERROR BUSY")
    caller.close()
    await asyncio.to_thread(vm.process.wait, 1.0)
    assert vm.process.returncode == 0
