"""``request explain`` on the logs of several entry VMs."""

import json

import pytest

from greengageshunt.commands import command
from greengageshunt.programs import ctl

LINES = {
    "vm-1.log": [
        {"vm": "vm-1", "message": "store lost", "time": "2026-01-01T10:00:00+00:00"},
        {
            "vm": "vm-1",
            "message": "route",
            "request": "abc",
            "operation": "abc",
            "group": "g",
            "target": "t-1",
            "outcome": "INDOUBT",
            "time": "2026-01-01T10:00:02+00:00",
        },
    ],
    "vm-2.log": [
        {
            "vm": "vm-2",
            "message": "change-primary",
            "group": "g",
            "time": "2026-01-01T10:00:01+00:00",
        },
        {
            "vm": "vm-2",
            "message": "change-primary",
            "group": "other",
            "time": "2026-01-01T10:00:01+00:00",
        },
        {
            "vm": "vm-2",
            "message": "route",
            "request": "xyz",
            "operation": "xyz",
            "outcome": "ok",
            "time": "2026-01-01T10:00:02+00:00",
        },
    ],
}


@pytest.fixture
def files(tmp_path):
    """Logs of two entry VMs, with a supervisor's prefix on each line and a truncated last line."""
    paths = []
    for name, lines in LINES.items():
        path = tmp_path / name
        path.write_text("".join(f"  0.5 {json.dumps(line)}\n" for line in lines) + "{cut")
        paths.append(str(path))
    return paths


async def _explain(request: str, files: list[str]) -> command.Outcome:
    app = ctl.create()
    arguments = ctl.build_parser(app).parse_args(["request", "explain", request, *files])
    return await ctl.execute(app, arguments)


async def test_explanation_has_deciding_line_and_earlier_state_changes(files):
    """Guards against an explanation that lacks the cause or shows unrelated changes."""
    outcome = await _explain("abc", files)
    assert outcome.exit is command.Exit.DONE
    assert outcome.document["decided"]["outcome"] == "INDOUBT"
    state_changes = [(line["message"], line.get("group")) for line in outcome.document["context"]]
    assert state_changes == [("store lost", None), ("change-primary", "g")]
    assert outcome.lines[-1].startswith("> 10:00:02.000 vm-1 route")


async def test_unknown_request_is_refused(files):
    """Guards against an empty result that looks like the trail of a served request."""
    outcome = await _explain("nothing", files)
    assert outcome.exit is command.Exit.REFUSED
