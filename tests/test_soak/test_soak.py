"""Short seeded runs of the soak test, with all seeds that failed in longer runs."""

import pathlib

import pytest

from soak import faults, world
from support import entry_fleet

SECONDS = 8.0  # seconds of faults in a run

# Seeds that failed in longer runs, with the cause. All but 124 and 1519476860 were faults of the
# soak test itself.
REGRESSIONS = {
    103: "two overlapping faults started one entry VM twice",
    112: "two callers used the same statement ids",
    116: "a new session was expected to see the writes of an earlier one of its client",
    124: "SIGHUP ended a process that had just stopped as planned",
    1519476860: "SIGHUP ended a process that was loading its modules",
    134: "a fault waited for the end of a process that another one had replaced",
}


@pytest.mark.parametrize("seed", [1, 2, *REGRESSIONS])
async def test_promises_hold_under_faults(seed, tmp_path):
    """Guards against guarantees that hold under each fault alone, but not under several at once."""
    report = await world.World(folder=tmp_path, seed=seed, size=4).run(SECONDS)
    assert not report.violations, report
    assert report.codes["ok"] > 100


@pytest.mark.parametrize("seed", [201, 202])
async def test_promises_hold_when_the_store_is_restored_under_faults(seed, tmp_path):
    """Guards against a store that returns from older copies, among other faults, unnoticed."""
    played = world.World(folder=tmp_path, seed=seed, size=4, restores=True)
    report = await played.run(SECONDS)
    assert not report.violations, report
    assert report.codes["ok"] > 100


@pytest.mark.parametrize("seed", [401, 402])
async def test_planned_work_cuts_no_statement(seed, tmp_path):
    """Guards against stops, reloads and changes in series that cut what a target runs."""
    played = world.World(folder=tmp_path, seed=seed, size=4, planned=True)
    report = await played.run(SECONDS)
    assert not report.violations, report
    assert report.codes["ok"] > 100


@pytest.mark.parametrize("seed", [3600])
async def test_promises_hold_with_repeated_answers_and_unusual_texts(seed, tmp_path):
    """Guards against answers of other statements, and texts cut at their ends, under other faults.

    Targets send answers twice and refuse statements while processes, targets and the store fail.
    """
    report = await world.World(folder=tmp_path, seed=seed, size=4).run(SECONDS)
    assert not report.violations, report
    assert report.codes["ok"] > 100
    drawn = {name for _, name in report.faults}
    assert {fault.__name__ for fault in faults.ANSWERS} <= drawn
    assert len(drawn) > len(faults.ANSWERS)


def test_listeners_use_ports_that_outgoing_connections_do_not():
    """Guards against an outgoing connection that takes a listener's port before it is bound."""
    text = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="ascii")
    assert entry_fleet.LISTENER_PORTS.stop <= int(text.split()[0])
    chosen = [entry_fleet.free_port() for _ in range(100)]
    assert len(set(chosen)) == 100
    assert set(chosen) <= set(entry_fleet.LISTENER_PORTS)
