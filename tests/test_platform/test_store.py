"""The client of the platform's store, against a stand-in."""

import asyncio

import pytest
from aiohttp import web

from greengageshunt import application, config, errors
from greengageshunt.coordination import records
from greengageshunt.platform import store
from greengageshunt.stores import rows
from support import entry_fleet, table_store


@pytest.fixture
async def store_and_client():
    """A running stand-in of the store, and a client of it."""
    stand_in = table_store.TableStore()
    port = entry_fleet.free_port()
    await stand_in.start(port)
    client = _client(port)
    yield stand_in, client
    await stand_in.stop()


def _client(port: int) -> store.TableStore:
    app = application.Application(name="test")
    store.setup(app)
    values = {"store.address": f"127.0.0.1:{port}"}
    app.configure(config.Settings(values=values, source="test"))
    return app.part("platform", "table")


async def test_write_with_an_old_version_conflicts(store_and_client):
    """Guards against two entry VMs that both get a success for a write of the same version."""
    _, client = store_and_client
    first = await client.put_row("a", {"n": 1}, None)
    assert isinstance(first, rows.Row)
    assert isinstance(await client.put_row("a", {"n": 2}, None), rows.Conflict)
    assert isinstance(await client.put_row("a", {"n": 3}, first.etag), rows.Row)


async def test_lost_answer_is_reported_as_unknown(store_and_client):
    """Guards against a write that took effect but is reported as having had no effect."""
    stand_in, client = store_and_client
    stand_in.lose_answers = 1
    with pytest.raises(errors.PlatformError) as raised:
        await client.put_row("a", {"n": 1}, None)
    assert raised.value.effect_unknown
    changes = await client.read(records.Section.CONTROL)
    assert [row.key for row in changes.rows] == ["a"]


async def test_rejected_write_is_reported_without_effect(store_and_client):
    """Guards against treating a write as possibly done although the store rejected it."""
    stand_in, client = store_and_client
    stand_in.down = True
    with pytest.raises(errors.PlatformError) as raised:
        await client.put_row("a", {"n": 1}, None)
    assert not raised.value.effect_unknown


async def test_lost_history_has_its_own_error(store_and_client):
    """Guards against a watch that continues although the store dropped changes it needs."""
    stand_in, client = store_and_client
    stand_in.put("op", "config", {})
    stand_in.lost_history_before = 5
    with pytest.raises(errors.HistoryLostError):
        await client.changes(records.Section.CONFIGURATION, 1, 0.1)


def test_clock_of_a_restored_store_is_unrelated_to_that_of_before():
    """Guards against a lease that lasts too long, because a restored store has another clock."""
    clock = store._StoreClock()
    clock.to_local(1_000.0, 10.0, 10.0)
    # The store reads its rows at 20.0 by the local clock, on which its own one shows 56 s.
    assert clock.to_local(56_000.0, 20.0, 23.0, 2) <= 20.0
    assert clock.to_local(57_000.0, 20.5, 24.0, 2) <= 21.0


async def test_watch_returns_at_the_first_change(store_and_client):
    """Guards against a change that is returned only at the end of the store's wait."""
    _, client = store_and_client
    watching = asyncio.create_task(client.changes(records.Section.CONTROL, 0, 5.0))
    await asyncio.sleep(0.1)
    await client.put_row("a", {"n": 1}, None)
    changes = await asyncio.wait_for(watching, 1.0)
    assert [row.key for row in changes.rows] == ["a"]


async def test_deleted_rows_are_reported_as_removed(store_and_client):
    """Guards against a deleted row that stays in use."""
    _, client = store_and_client
    written = await client.put_row("a", {"n": 1}, None)
    await client.delete_row("a", written.etag)
    changes = await client.changes(records.Section.CONTROL, 0, 0.1)
    assert changes.removed == ("a",) and not changes.rows


def test_converted_store_time_is_not_after_the_store_read_its_rows():
    """Guards against a confirmation time later than the state that the store returned.

    The last response comes from a restarted store, whose clock went back.
    """
    clock = store._StoreClock()
    # The response took 0.5 s; the store read its clock at an unknown time in between.
    assert clock.to_local(1000.0, 10.0, 10.5) <= 10.5
    for now_ms, sent_at, received_at, store_read_at in (
        (3000.0, 10.6, 12.5, 12.4),
        (3200.0, 12.55, 12.7, 12.6),
        (100.0, 20.0, 20.1, 20.05),
    ):
        converted = clock.to_local(now_ms, sent_at, received_at)
        assert sent_at <= converted <= store_read_at + 0.1


MALFORMED_DOCUMENTS = [
    b"{}",
    b"[]",
    b"nonsense",
    b'{"row-version": 5}',
    b'{"row-version": 5, "rows": {}}',
    b'{"row-version": 5, "rows": [null]}',
    b'{"row-version": 5, "rows": [{"key": 7, "row-version": 1}]}',
    b'{"row-version": 5, "rows": [{"key": "a", "row-version": "1"}]}',
    b"[" * 100_000,
    b"\xff\xfe",
    b'{"row-version": 5, "rows": [], "has-more": true, "now-ms": 1e999, "x": ' + b"[" * 100_000,
]


@pytest.mark.parametrize("body", MALFORMED_DOCUMENTS)
async def test_malformed_response_is_a_failed_call(body):
    """Guards against one malformed response that ends the whole process.

    An error of another type passed through the task that watches a section.
    """
    app = web.Application()
    app.router.add_get("/{call}", lambda request: _respond(body))
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    port = entry_fleet.free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    client = _client(port)
    for section in records.Section:
        with pytest.raises(errors.PlatformError):
            await client.read(section)
        with pytest.raises(errors.PlatformError):
            await client.changes(section, 1, 0.0)
    await runner.cleanup()


async def _respond(body: bytes) -> web.Response:
    return web.Response(body=body, content_type="application/json")


async def _client_of(
    body: bytes, headers: dict[str, str]
) -> tuple[store.TableStore, web.AppRunner]:
    app = web.Application()
    app.router.add_get("/{call}", lambda request: _respond_with(body, headers))
    app.router.add_post("/{call}", lambda request: _respond_with(body, headers))
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    port = entry_fleet.free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return _client(port), runner


async def _respond_with(body: bytes, headers: dict[str, str]) -> web.Response:
    return web.Response(body=body, headers=headers, content_type="application/json")


async def test_era_that_is_no_readable_number_is_a_failed_call():
    """Guards against a header that ends the process: ``int`` rejects numbers of many digits."""
    client, runner = await _client_of(b'{"row-version": 5, "rows": []}', {"Store-Era": "9" * 5000})
    with pytest.raises(errors.PlatformError):
        await client.read(records.Section.CONTROL)
    with pytest.raises(errors.PlatformError) as raised:
        await client.put_row("a", {}, None)
    assert raised.value.effect_unknown
    await runner.cleanup()


async def test_empty_page_that_announces_more_is_a_failed_call():
    """Guards against an answer without rows that ends the process with an IndexError."""
    client, runner = await _client_of(b'{"row-version": 5, "rows": [], "has-more": true}', {})
    with pytest.raises(errors.PlatformError):
        await client.read(records.Section.TARGETS)
    await runner.cleanup()


def test_store_time_that_is_not_finite_counts_as_none():
    """Guards against a lease that lasts too long because the store's clock shows infinity."""
    clock = store._StoreClock()
    for now_ms in (float("inf"), float("-inf"), float("nan")):
        assert clock.to_local(now_ms, 10.0, 12.0) == 10.0


async def test_row_with_an_invalid_value_names_nothing(store_and_client):
    """Guards against one malformed row that hides the valid ones, or ends the process."""
    stand_in, client = store_and_client
    values = (
        b"\xff\xfe",
        b'{"version": "x"}',
        b"[1]",
        b"null",
        # Nested too deeply for the decoder, whole and cut off.
        b'{"service": "svc", "slots": ' + b"[" * 20_000,
        b'{"version": 1, "routes": [], "tenants": ' + b"[" * 20_000 + b"]" * 20_000 + b"}",
        # Numbers that a float holds as infinity.
        b'{"version": 1, "routes": [], "services": [{"name": "a", "max-conns": 1e999}]}',
        b'{"version": 1, "routes": [], "tenants": [{"name": "a", "rate-per-s": 1e999,'
        b' "burst": 1}]}',
        b'{"service": "a", "address": "127.0.0.1:65536", "zone": "a", "slots": 1,'
        b' "state": "ready", "db-role": "replica"}',
    )
    for table in ("op", "servers", store.CONTROL_TABLE):
        for number, value in enumerate(values):
            stand_in.put_raw(table, f"broken-{number}", value)
    for section in records.Section:
        changes = await client.read(section)
        assert all(getattr(row, "entry", None) is None for row in changes.rows)
    for value in values:
        stand_in.put_raw("op", "config", value)
        assert (await client.read(records.Section.CONFIGURATION)).configuration is None


async def test_unreadable_rows_are_counted_and_logged_within_a_bound(store_and_client, caplog):
    """Guards against rows that are dropped silently, and against a log full of one of them."""
    stand_in, client = store_and_client
    counted = []
    client._app.events.connect("value-unreadable", counted.append)
    for number in range(20):
        stand_in.put_raw("servers", "another-writer", b"[" * 20_000 + str(number).encode())
        await client.changes(records.Section.TARGETS, stand_in.version - 1, 0.1)
    assert counted == ["servers"] * 20
    lines = [line for line in caplog.records if line.message == "value cannot be decoded"]
    assert [(line.table, line.key, line.error) for line in lines] == [
        ("servers", "another-writer", "RecursionError")
    ]
