"""Texts of statements, values, shapes, rows and errors, byte for byte, and invalid lines."""

import asyncio
import pathlib

import pytest

from support import entry_fleet, line_target, texts

KEYS = {"one": ["key-one"], "two": ["key-two"]}

# Each piece is at the end of a field, within it, and the whole field.
FIELDS = ("", *(text for piece in texts.PIECES for text in (f"x{piece}", f"x{piece}y", piece)))

NEARLY_A_MIB = 2**20 - 200


@pytest.fixture
async def fleet(tmp_path: pathlib.Path):
    """One entry VM."""
    async with entry_fleet.Fleet(folder=tmp_path, size=1) as running:
        running.configure(1, keys=KEYS)
        await running.wait_ready()
        yield running


async def _open(fleet, database: str = "db_primary", key: str = "key-one") -> entry_fleet.Caller:
    return await entry_fleet.Caller.open(fleet.vms[0], database, key)


async def _succeed(caller: entry_fleet.Caller, text: str, statement_id: str = "") -> list[str]:
    lines, state = await caller.run(text, statement_id)
    assert lines[-1].startswith("COMPLETE ") and state == "I", (text[:80], lines)
    return lines


def _runs(fleet) -> list[line_target.Run]:
    return [run for target in fleet.group.targets.values() for run in target.runs]


@pytest.mark.parametrize(
    "template",
    ["READ {}", "WRITE item {}", "WRITE {} data", "EXECUTE s {}", "EXECUTE w item {}"],
    ids=["read", "write", "write-item", "execute", "execute-data"],
)
async def test_text_runs_as_it_was_sent(fleet, template):
    """Guards against a text that runs without its end, or whose end runs as another statement."""
    caller = await _open(fleet)
    await _succeed(caller, "PREPARE s READ q1")
    await _succeed(caller, "PREPARE w WRITE q2")
    sent = [template.format(field) for field in FIELDS]
    for text in sent:
        await _succeed(caller, text)
    prepared = template.startswith("EXECUTE")  # the target knows it by another name
    ran = [run.text.split(" ", 2)[2] if prepared else run.text for run in _runs(fleet)]
    assert ran == [text.split(" ", 2)[2] if prepared else text for text in sent]


async def test_session_value_is_set_as_it_was_sent(fleet):
    """Guards against a session value that the target has without its end."""
    caller = await _open(fleet)
    for field in FIELDS:
        await _succeed(caller, f"SET place {field}")
        await _succeed(caller, "READ item")
    assert [run.values for run in _runs(fleet)] == [(("place", field),) for field in FIELDS]


async def test_shape_is_prepared_as_it_was_sent(fleet):
    """Guards against a statement that runs in the shape without its end."""
    caller = await _open(fleet)
    shapes = [f"READ q{field}" for field in FIELDS]
    for shape in shapes:
        await _succeed(caller, f"PREPARE s {shape}")
        await _succeed(caller, "EXECUTE s item")
    assert [run.shape for run in _runs(fleet)] == shapes


async def test_row_arrives_as_the_target_sent_it(fleet):
    """Guards against a row that reaches the caller without its end, or as several messages."""
    caller = await _open(fleet)
    for field in FIELDS:
        await _succeed(caller, f"WRITE item {field}")
        lines = await _succeed(caller, "READ item")
        assert lines[:-1] == [f"ROW {field}"]


async def test_signature_arrives_as_the_target_sent_it(fleet):
    """Guards against a changed statement id or signature."""
    caller = await _open(fleet)
    for statement_id in (f"q{field}" for field in FIELDS if " " not in field):
        lines = await _succeed(caller, "WRITE item data", statement_id)
        assert lines == [f"COMPLETE t-1.{statement_id}"]


async def test_error_text_is_one_line(fleet):
    """Guards against an error text of a target that reaches the caller as several messages."""
    target = fleet.group.targets["t-1"]
    caller = await _open(fleet)
    target.refuse_share = 1.0
    for field in FIELDS[1:]:
        target.error_text = f"t-1{field}"
        lines, state = await caller.run("WRITE item data")
        assert (len(lines), state) == (1, "I") and lines[0].startswith("ERROR BUSY "), lines
    target.refuse_share = 0.0
    await _succeed(caller, "WRITE item data")


@pytest.mark.parametrize("database", ["db_primary", "db_bounded_staleness"])
async def test_text_of_nearly_a_mib_is_served(fleet, database):
    """Guards against a limit of lines below the 1 MiB of a message, on either side."""
    caller = await _open(fleet, database)
    data = "d" * NEARLY_A_MIB
    await _succeed(caller, f"WRITE item {data}")
    lines: list[str] = []
    async with asyncio.timeout(5):
        while lines[:1] != [f"ROW {data}"]:
            lines = await _succeed(caller, "READ item")
    await _succeed(caller, f"READ {data}")
    await _succeed(caller, f"SET place {data}")
    await _succeed(caller, "READ item")
    assert _runs(fleet)[-1].values == (("place", data),)


INVALID_LINES = {
    "too-long": b"QUERY q1 WRITE item " + b"d" * 2**20 + b"\r\n",
    "never-ends": b"QUERY q1 WRITE item " + b"d" * (2**20 + 2**16),
    "lf-only-never-ends": b"QUERY q1 WRITE item d\n" * 2**16,
    "no-message": b"HELLO\r\n",
    "empty": b"\r\n",
    "only-lf": b"\n\r\n",
    "no-id": b"QUERY\r\n",
    "empty-id": b"QUERY  READ item\r\n",
    "not-utf-8": b"\xff\xfe\r\n",
}


@pytest.mark.parametrize("line", INVALID_LINES.values(), ids=INVALID_LINES)
@pytest.mark.parametrize("opened", [True, False], ids=["session", "startup"])
async def test_invalid_line_ends_its_session_with_an_error(fleet, line, opened):
    """Guards against a close that tells nothing, and against a fault in other sessions."""
    other = await _open(fleet, key="key-two")
    vm = fleet.vms[0]
    if opened:
        caller = await _open(fleet)
    else:
        reader, writer = await asyncio.open_connection(vm.host, vm.front)
        caller = entry_fleet.Caller(reader=reader, writer=writer)
    caller.send(line)
    async with asyncio.timeout(5):
        assert (await caller.read_line()).startswith("ERROR ")
        assert await caller.read_line() == ""
    await _succeed(other, "WRITE item data")
    assert [run.text for run in _runs(fleet)] == ["WRITE item data"]


@pytest.mark.parametrize(
    "row",
    ["d" * (2**20 + 1), "x\r\nHELLO", "x\r\n", "x\r\nCOMPLETE -\r\nREADY X -"],
    ids=["too-long", "no-message", "empty-line", "unknown-state"],
)
async def test_invalid_line_of_a_target_fails_one_statement(fleet, row):
    """Guards against an invalid line of a target that reaches a caller or the next statement."""
    caller = await _open(fleet)
    fleet.group.targets["t-1"].log.append((1, "broken", row))
    lines, state = await caller.run("READ broken")
    assert (len(lines), state) == (1, "I") and lines[0].startswith("ERROR "), lines[0][:80]
    for _ in range(3):
        assert await _succeed(caller, "READ item") != lines


async def test_key_that_is_not_utf_8_is_denied(fleet):
    """Guards against a key that ends the session with an exception instead of a refusal."""
    with pytest.raises(AssertionError, match="ERROR DENIED "):
        await _open(fleet, key="key-one\udcff")
