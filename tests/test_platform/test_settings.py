"""Decoding of the platform's settings file."""

import asyncio
import contextlib
import pathlib
import signal
import subprocess
import sys
import time
from collections import abc

import pytest

from greengageshunt import config, errors
from greengageshunt.platform import settings
from greengageshunt.programs import common, entry

FIELDS = {
    "node-name": "vm-1",
    "zone": "a",
    "ip": "10.1.0.2",
    "listen.front": "10.1.0.2:8465",
    "listen.ready": "10.1.0.2:8460",
    "internal-port-range": "7560,7575",
    "platform.address": "10.2.0.1:80",
    "cloud.address": "10.2.0.2:80",
    "bounds.grace-s": "6",
    "bounds.quota-window-s": "5",
    "bounds.quota-tolerance": "0.1",
    "bounds.quota-slack": "20",
    "later-field": "ignored",
}


# Addresses on which a program can listen; nothing answers at those of the store and the duties.
LOOPBACK = {
    "ip": "127.88.1.2",
    "listen.front": "127.88.1.2:8465",
    "listen.ready": "127.88.1.2:8460",
    "platform.address": "127.88.1.3:80",
    "cloud.address": "127.88.1.3:80",
}

# Seconds from the start of a process until its settings file is complete.
REPLACEMENT_SECONDS = 2.0


def _write(folder: pathlib.Path, **changed: str | None) -> pathlib.Path:
    fields = {**FIELDS, **changed}
    path = folder / "boot.conf"
    lines = [f"{name}={value}" for name, value in fields.items() if value is not None]
    path.write_text("\n".join(lines))
    return path


def _load(path: pathlib.Path):
    app = common.create("greengageshunt-entry", entry.EXTENSIONS)
    return settings.load(path, app.declared_settings, entry.DEFAULTS)


def test_fields_become_settings_of_the_product(tmp_path):
    """Guards against a field that sets the wrong setting or is converted to the wrong unit."""
    loaded = _load(_write(tmp_path))
    assert loaded["vm.name"] == "vm-1"
    assert loaded["vm.peer_address"] == "10.1.0.2:7560"
    assert loaded["stop.grace"] == 6.0
    assert loaded["limits.slack"] == 20.0


@pytest.mark.parametrize("end", ["\x0b", "\x0c", "\x1c", "\x85", "\xa0", "\u2028"])
def test_line_of_the_file_ends_only_at_a_line_feed(tmp_path, end):
    """Guards against a value that is cut at other white space, or whose rest is another field."""
    loaded = _load(_write(tmp_path, zone=f"a{end}node-name=vm-2{end}"))
    assert loaded["vm.failure_domain"] == f"a{end}node-name=vm-2{end}"
    assert loaded["vm.name"] == "vm-1"
    fields = settings.decode_fields(" a = b \r\n# c\r\n\r\nd=\r\n", "test")
    assert fields == {"a": "b", "d": ""}


@pytest.mark.parametrize(
    ("field", "value", "expected"),
    [
        ("node-name", None, "node-name: missing"),
        ("node-name", "vm-1\rX-Header: 1", "node-name: expected a name without"),
        ("listen.front", "10.1.0.2", "listen.front: expected an address"),
        ("internal-port-range", "9,8", "internal-port-range: expected two ports"),
        ("bounds.grace-s", "soon", "bounds.grace-s: expected a number"),
    ],
)
def test_bad_field_is_named(tmp_path, field, value, expected):
    """Guards against a start with an invalid field, and an error that does not name it."""
    path = _write(tmp_path, **{field: value})
    with pytest.raises(errors.SettingsError) as raised:
        _load(path)
    assert str(raised.value).startswith(f"{path}: {expected}")


def test_program_refuses_bad_settings_with_exit_code_2(tmp_path):
    """Guards against a program that starts without a required field, or fails without a reason."""
    path = _write(tmp_path, zone=None)
    ended = subprocess.run(
        [sys.executable, "-m", "greengageshunt.programs.entry", "--settings", str(path)],
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert ended.returncode == 2
    assert f"{path}: zone: missing" in ended.stderr


@contextlib.contextmanager
def _started(path: pathlib.Path) -> abc.Iterator[subprocess.Popen]:
    """Start the program; its output is a pipe."""
    process = subprocess.Popen(
        [sys.executable, "-m", "greengageshunt.programs.entry", "--settings", str(path)],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize("first", [None, "", "node-name=vm-1\nzone=a\nip=127.0", "half"])
def test_start_beside_a_replacement_of_the_file_goes_on(tmp_path, first):
    """Guards against a process that ends since its settings file is written at that moment."""
    path = _write(tmp_path, **LOOPBACK)
    whole = path.read_text() + "\n"
    if first is None:
        path.unlink()
    else:
        path.write_text(whole[: len(whole) // 2] if first == "half" else first)
    with _started(path) as process:
        time.sleep(REPLACEMENT_SECONDS)
        path.write_text(whole)
        time.sleep(1.0)
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=10)
    assert process.returncode == 0, output
    assert "settings file incomplete" in output and "starting" in output


def test_reload_beside_a_replacement_of_the_file_reads_it_again(tmp_path):
    """Guards against a change of the settings that is lost, as the file was empty for a moment."""
    path = _write(tmp_path, **LOOPBACK)
    whole = path.read_text() + "\n"
    with _started(path) as process:
        time.sleep(REPLACEMENT_SECONDS)
        path.write_text("")
        process.send_signal(signal.SIGHUP)
        time.sleep(0.5)
        path.write_text(whole)
        time.sleep(1.0)
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=10)
    assert process.returncode == 0
    assert "settings reloaded" in output and "settings not reloaded" not in output


async def test_value_of_a_cut_line_is_not_used(tmp_path):
    """Guards against a number that is read before its last digits are written."""
    path = _write(tmp_path)
    whole = path.read_text() + "\nbounds.quota-slack=20\n"
    path.write_text(whole[:-2])
    app = common.create("greengageshunt-entry", entry.EXTENSIONS)

    async def complete():
        await asyncio.sleep(config.COMPLETION_INTERVAL / 2)
        path.write_text(whole)

    loaded, _ = await asyncio.gather(
        config.load_when_complete(entry.LOAD, path, app.declared_settings, clock=time.monotonic),
        complete(),
    )
    assert loaded["limits.slack"] == 20.0


async def test_file_without_a_terminated_last_line_is_read(tmp_path):
    """Guards against a start that waits for the end of a line that never comes."""
    path = _write(tmp_path)
    app = common.create("greengageshunt-entry", entry.EXTENSIONS)
    started = time.monotonic()
    loaded = await config.load_when_complete(
        entry.LOAD, path, app.declared_settings, clock=time.monotonic
    )
    assert loaded["limits.slack"] == 20.0
    assert time.monotonic() - started < config.COMPLETION_TIMEOUT / 2


async def test_file_that_stays_incomplete_is_an_error(tmp_path, monkeypatch):
    """Guards against a process that waits for ever, and shows no fault to the operator."""
    monkeypatch.setattr(config, "COMPLETION_TIMEOUT", 0.3)
    app = common.create("greengageshunt-entry", entry.EXTENSIONS)
    with pytest.raises(errors.IncompleteSettingsError, match="cannot be read"):
        await config.load_when_complete(
            entry.LOAD, tmp_path / "none", app.declared_settings, clock=time.monotonic
        )


async def test_wrong_value_of_a_complete_file_is_an_error_at_once(tmp_path):
    """Guards against a faulty file that is taken for one that is being written."""
    path = _write(tmp_path, **{"bounds.grace-s": "soon"})
    path.write_text(path.read_text() + "\n")
    app = common.create("greengageshunt-entry", entry.EXTENSIONS)
    started = time.monotonic()
    with pytest.raises(errors.SettingsError, match="expected a number"):
        await config.load_when_complete(
            entry.LOAD, path, app.declared_settings, clock=time.monotonic
        )
    assert time.monotonic() - started < config.COMPLETION_INTERVAL
