"""Output and exit codes of greengageshuntctl, without a fleet."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

from greengageshunt.commands import settings, vms
from greengageshunt.programs import ctl

ROOT = pathlib.Path(__file__).parents[2]

INVALID_SHEET = """kind,name,rate,burst,account,digest,access
account,bintang-glue,fast,0
key,bintang.1,,,other,not a digest
rout,booking.place
account,bintang-glue,10,20
"""


def _run(*words: str, directory: pathlib.Path) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "src"), "COLUMNS": "80"}
    environment.pop(ctl.SETTINGS_VARIABLE, None)
    return subprocess.run(
        [sys.executable, "-m", "greengageshunt.programs.ctl", *words],
        cwd=directory,
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )


@pytest.mark.parametrize("words", [[], ["sheet"], ["sheet", "load"], ["key", "issue"]])
def test_help_has_examples_and_exit_codes(words, snapshot, monkeypatch, capsys):
    """Guards against help texts that change unintentionally or lack examples."""
    monkeypatch.setenv("COLUMNS", "80")
    with pytest.raises(SystemExit) as exit_result:
        ctl.build_parser(ctl.create()).parse_args([*words, "--help"])
    assert exit_result.value.code == 0
    assert capsys.readouterr().out == snapshot


def test_broken_sheet(tmp_path, snapshot):
    """Guards against sheet errors without row and column, and against a wrong exit code."""
    (tmp_path / "morning.csv").write_text(INVALID_SHEET)
    text = _run("sheet", "check", "morning.csv", directory=tmp_path)
    assert (text.returncode, text.stdout) == (1, "")
    assert text.stderr == snapshot
    document = _run("--json", "sheet", "check", "morning.csv", directory=tmp_path)
    assert document.returncode == 1
    assert json.loads(document.stdout) == snapshot


@pytest.mark.parametrize(
    "words",
    [
        ["sheet", "check"],
        ["sheet", "check", "missing.csv"],
        ["sheet", "status"],
        ["--platform", "localhost", "sheet", "status"],
        ["settings", "check", "faulty.toml"],
    ],
)
def test_wrong_usage_or_settings_exit_with_2(words, tmp_path, snapshot):
    """Guards against an exit code by which scripts confuse wrong usage with a refusal."""
    (tmp_path / "faulty.toml").write_text("[vm]\nname = 1\n")
    exit_result = _run(*words, directory=tmp_path)
    assert exit_result.returncode == 2
    assert exit_result.stderr == snapshot


def test_platform_down_exits_with_1(tmp_path):
    """Guards against a traceback when the platform does not answer."""
    exit_result = _run("--platform", "127.0.0.1:9", "sheet", "status", directory=tmp_path)
    assert exit_result.returncode == 1
    assert exit_result.stderr.startswith("refused: platform did not answer")


@pytest.mark.parametrize("accepted", [True, False])
def test_change_that_is_not_in_force_everywhere(accepted, snapshot):
    """Guards against output that calls a change complete while an entry VM lacks it."""
    missing = vms.LaggingVm(vm="vm-3", reason="no answer")
    rollout = vms.Rollout(accepted=accepted, in_force=("vm-1",), missing=(missing,), seconds=10.0)
    outcome = vms.rollout_outcome(rollout, "version 8")
    assert outcome.exit == 3
    assert (outcome.lines, outcome.document) == snapshot


def test_settings_page_is_current():
    """Guards against a settings reference that differs from the declared settings."""
    page = (ROOT / "docs/operators/settings.md").read_text()
    assert page == "\n".join(settings.reference()) + "\n", (
        "run: greengageshuntctl settings reference > docs/operators/settings.md"
    )
