"""Circumstances of a start under which an entry VM must not end by itself."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import tomllib

import pytest

from support import entry_fleet

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Seconds after which a process has started, on a busy machine too.
START_LIMIT = 15.0


@pytest.fixture
def settings(tmp_path: pathlib.Path) -> pathlib.Path:
    """Settings file of an entry VM without a store."""
    vm = entry_fleet.EntryVm(
        name="vm-1", host="127.89.1.2", folder=tmp_path, store_port=entry_fleet.free_port()
    )
    return vm.path


def _deployed_command() -> list[str]:
    """Return the command of the deploy file, with the interpreter of this environment."""
    document = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
    program, *arguments = document["roles"]["entry"]["run"].split()
    assert program == "python3"
    return [sys.executable, *arguments]


@pytest.mark.parametrize(
    "command", [[sys.executable, "-m", "greengageshunt.programs.entry"], _deployed_command()]
)
def test_signals_while_modules_are_loaded_do_not_end_the_process(settings, command):
    """Guards against a reload, or a planned stop, during a start that looks like a crash."""
    process = subprocess.Popen(
        command,
        cwd=ROOT,
        # The deploy file's command skips the environment's packages, and a test has no build.
        env={
            **os.environ,
            "GREENGAGESHUNT_BOOT": str(settings),
            "PYTHONPATH": os.pathsep.join(path for path in sys.path if path),
        },
    )
    try:
        until = time.monotonic() + START_LIMIT
        while not entry_fleet.loads_modules(process.pid):
            assert time.monotonic() < until
            time.sleep(0.001)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.02)
        process.send_signal(signal.SIGTERM)
        assert process.wait(entry_fleet.GRACE) == 0
    finally:
        process.kill()
        process.wait()


# Runs the script in ``sys.argv[1]``; the first module that it loads sends both signals.
_SIGNALS_AT_FIRST_IMPORT = """
import _signal, posix, sys

class Finder:
    def find_spec(*_):
        for number in (_signal.SIGHUP, _signal.SIGTERM):
            posix.kill(posix.getpid(), number)

del sys.argv[0]
with open(sys.argv[0]) as script:
    code = compile(script.read(), sys.argv[0], "exec")
sys.meta_path.insert(0, Finder)
exec(code, {"__name__": "__main__", "__file__": sys.argv[0]})
"""


def test_signals_before_the_first_import_of_the_deployed_script():
    """Guards against some milliseconds of imports in which SIGHUP ends a starting process."""
    _, *options, script = _deployed_command()
    process = subprocess.run(
        [sys.executable, *options, "-c", _SIGNALS_AT_FIRST_IMPORT, script],
        cwd=ROOT,
        timeout=START_LIMIT,
        check=False,
    )
    assert process.returncode == 0


# Runs the entry VM; each change of a signal's action to the default one sends that signal.
_SIGNALS_AT_DEFAULT_ACTION = """
import os, signal

set_action = signal.signal

def set_and_send(number, action):
    previous = set_action(number, action)
    if action is signal.SIG_DFL:
        os.kill(os.getpid(), number)
    return previous

signal.signal = set_and_send

from greengageshunt.programs import early_signals, entry

early_signals.install()
entry.main()
"""


def test_signals_at_the_end_of_the_event_loop_do_not_end_the_process(settings):
    """Guards against a planned stop that looks like a crash as the event loop removes handlers."""
    process = subprocess.Popen(
        [sys.executable, "-c", _SIGNALS_AT_DEFAULT_ACTION],
        env={**os.environ, "GREENGAGESHUNT_BOOT": str(settings)},
    )
    try:
        until = time.monotonic() + START_LIMIT
        while not _listens(settings):
            assert process.poll() is None, "the process has ended"
            assert time.monotonic() < until
            time.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        assert process.wait(entry_fleet.GRACE) == 0
    finally:
        process.kill()
        process.wait()


def _listens(settings: pathlib.Path) -> bool:
    """Return whether the readiness page of an entry VM answers."""
    lines = settings.read_text(encoding="utf-8").splitlines()
    address = dict(line.split("=", 1) for line in lines)["listen.ready"]
    host, _, port = address.rpartition(":")
    with socket.socket() as probe:
        return probe.connect_ex((host, int(port))) == 0


@pytest.mark.parametrize("closed", [(1,), (2,), (0, 1, 2)])
def test_closed_standard_streams_do_not_end_the_process(settings, closed):
    """Guards against a start that fails, or logs to a socket, as its output is closed."""
    process = subprocess.Popen(
        [sys.executable, "-m", "greengageshunt.programs.entry"],
        env={**os.environ, "GREENGAGESHUNT_BOOT": str(settings)},
        preexec_fn=lambda: [os.close(descriptor) for descriptor in closed],
    )
    try:
        until = time.monotonic() + START_LIMIT
        while not _listens(settings):
            assert process.poll() is None, "the process has ended"
            assert time.monotonic() < until
            time.sleep(0.05)
        streams = [os.readlink(f"/proc/{process.pid}/fd/{descriptor}") for descriptor in closed]
        assert streams == [os.devnull] * len(closed)
        process.send_signal(signal.SIGTERM)
        assert process.wait(entry_fleet.GRACE) == 0
    finally:
        process.kill()
        process.wait()
