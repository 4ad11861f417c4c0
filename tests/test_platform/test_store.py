"""The client of the store before a stand-in."""

import asyncio

import pytest

from greengageshunt import application, config, errors
from greengageshunt.coordination import records
from greengageshunt.platform import store
from greengageshunt.stores import rows
from support import entry_fleet, table_store


@pytest.fixture
async def world():
    """A running stand-in and a client of it."""
    stand_in = table_store.TableStore()
    port = entry_fleet.free_port()
    await stand_in.start(port)
    app = application.Application(name="test")
    store.setup(app)
    values = {"store.address": f"127.0.0.1:{port}"}
    app.configure(config.Settings(values=values, source="test"))
    yield stand_in, app.part("platform", "table")
    await stand_in.stop()


async def test_condition_decides_between_two_writers(world):
    """Guards against two entry VMs that both believe to have written a row."""
    _, client = world
    first = await client.put_row("a", {"n": 1}, None)
    assert isinstance(first, rows.Row)
    assert isinstance(await client.put_row("a", {"n": 2}, None), rows.Conflict)
    assert isinstance(await client.put_row("a", {"n": 3}, first.etag), rows.Row)


async def test_lost_answer_is_reported_as_unknown(world):
    """Guards against a write that took effect and is reported as failed."""
    stand_in, client = world
    stand_in.lose_answers = 1
    with pytest.raises(errors.PlatformError) as raised:
        await client.put_row("a", {"n": 1}, None)
    assert raised.value.effect_unknown
    changes = await client.read(records.Section.CONTROL)
    assert [row.key for row in changes.rows] == ["a"]


async def test_refused_call_had_no_effect(world):
    """Guards against doubt about calls that the store refused."""
    stand_in, client = world
    stand_in.down = True
    with pytest.raises(errors.PlatformError) as raised:
        await client.put_row("a", {"n": 1}, None)
    assert not raised.value.effect_unknown


async def test_lost_history_is_told_apart(world):
    """Guards against a watch that goes on without the changes which it missed."""
    stand_in, client = world
    stand_in.put("op", "config", {})
    stand_in.lost_history_before = 5
    with pytest.raises(errors.HistoryLostError):
        await client.changes(records.Section.CONFIGURATION, 1, 0.1)


async def test_watch_returns_as_soon_as_something_changes(world):
    """Guards against a configuration that is seen only after the wait."""
    _, client = world
    watching = asyncio.create_task(client.changes(records.Section.CONTROL, 0, 5.0))
    await asyncio.sleep(0.1)
    await client.put_row("a", {"n": 1}, None)
    changes = await asyncio.wait_for(watching, 1.0)
    assert [row.key for row in changes.rows] == ["a"]


async def test_dropped_rows_are_removed(world):
    """Guards against a dropped row that stays in use."""
    _, client = world
    written = await client.put_row("a", {"n": 1}, None)
    await client.delete_row("a", written.etag)
    changes = await client.changes(records.Section.CONTROL, 0, 0.1)
    assert changes.removed == ("a",) and not changes.rows


def test_store_clock_never_tells_a_time_before_the_state():
    """Guards against a confirmation that is newer than what the store said."""
    clock = store._StoreClock()
    # Answers that took 0.5 s: the store read its clock somewhere in between.
    assert clock.local(1000.0, 10.0, 10.5) <= 10.5
    for now_ms, sent_at, received_at, truth in (
        (3000.0, 10.6, 12.5, 12.4),
        (3200.0, 12.55, 12.7, 12.6),
        (100.0, 20.0, 20.1, 20.05),
    ):
        told = clock.local(now_ms, sent_at, received_at)
        assert sent_at <= told <= truth + 0.1
