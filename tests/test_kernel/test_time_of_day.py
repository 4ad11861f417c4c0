"""The time of day, which may jump by seconds on an entry VM."""

import ast
import pathlib

import greengageshunt

SOURCE = pathlib.Path(greengageshunt.__file__).parent

# Folders that may read the time of day: operators' commands, and stand-ins of other systems.
OUTSIDE_DAEMONS = ("commands", "load", "standins")

TIME_OF_DAY = {"time", "time_ns", "localtime", "gmtime", "ctime", "now", "utcnow", "today"}


def _time_of_day_lines(source: str) -> list[int]:
    """Return the lines of a module that read the time of day."""
    lines = []
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Attribute):
            continue
        owner = node.value
        name = getattr(owner, "id", getattr(owner, "attr", ""))
        if name in ("time", "datetime", "date") and node.attr in TIME_OF_DAY:
            lines.append(node.lineno)
    return lines


def test_daemons_do_not_read_the_time_of_day():
    """Guards against leases, limits or waits that a stepped clock ends early or prolongs."""
    reads = {
        str(path.relative_to(SOURCE)): lines
        for path in sorted(SOURCE.rglob("*.py"))
        if path.relative_to(SOURCE).parts[0] not in OUTSIDE_DAEMONS
        and (lines := _time_of_day_lines(path.read_text()))
    }
    assert reads == {}


def test_reads_of_the_time_of_day_are_recognized():
    """Guards against a check that passes because it recognizes nothing."""
    assert _time_of_day_lines("import time\nage = time.time() - 3") == [2]
    assert _time_of_day_lines("import datetime\nat = datetime.datetime.now()") == [2]
    assert _time_of_day_lines("import time\nage = time.monotonic()") == []
