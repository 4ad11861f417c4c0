"""Decoding of the platform's settings file."""

import pathlib
import subprocess
import sys

import pytest

from greengageshunt import errors
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


@pytest.mark.parametrize(
    ("field", "value", "expected"),
    [
        ("node-name", None, "node-name: missing"),
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
