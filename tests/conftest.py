"""Fixtures, and the deselection of tests that KNOWN-RED.txt lists."""

import contextlib
import logging
import pathlib
from collections import abc

import pytest

from greengageshunt import model
from greengageshunt.standins import fleet, layout
from support import configurations

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that also runs the tests of KNOWN-RED.txt."""
    parser.addoption("--run-known-red", action="store_true", help="run tests of KNOWN-RED.txt")


def _known_red() -> frozenset[str]:
    if not KNOWN_RED.exists():
        return frozenset()
    prefix = "test: "
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(line.removeprefix(prefix) for line in lines if line.startswith(prefix))


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the tests that KNOWN-RED.txt lists."""
    if config.getoption("--run-known-red"):
        return
    listed = _known_red()
    deselected = [item for item in items if item.nodeid in listed]
    if deselected:
        items[:] = [item for item in items if item.nodeid not in listed]
        config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests that KNOWN-RED.txt lists, also if they were run or not collected."""
    for node_id in sorted(_known_red()):
        terminalreporter.write_line(f"known red, not run: {node_id}")


# Log messages of faults that a program survives.
FAULT_MESSAGES = ("task failed", "event handler failed")


@pytest.fixture(autouse=True)
def _no_hidden_faults(
    request: pytest.FixtureRequest, caplog: pytest.LogCaptureFixture
) -> abc.Iterator[None]:
    """Fail a test in which a task or event handler failed, although the program went on."""
    yield
    if request.node.get_closest_marker("expects_faults"):
        return
    faults = [record for record in caplog.get_records("call") if record.msg in FAULT_MESSAGES]
    assert not faults, [logging.Formatter().format(record) for record in faults]


FleetStarter = abc.Callable[..., abc.Awaitable[fleet.Fleet]]


@pytest.fixture
async def start_fleet(tmp_path: pathlib.Path) -> abc.AsyncIterator[FleetStarter]:
    """Return a function that starts a fleet of real processes, which ends with the test."""
    async with contextlib.AsyncExitStack() as stack:

        async def start(
            configuration: model.Configuration,
            profile: layout.Profile = layout.SMALL,
            schema: str = configurations.SCHEMA,
            relays: abc.Callable[[layout.Layout], abc.Awaitable[dict[str, str]]] | None = None,
            **options: object,
        ) -> fleet.Fleet:
            base_port = fleet.free_base_port(layout.ports_needed(profile))
            built = layout.build(profile, base_port)
            if relays is not None:
                options["published"] = await relays(built)
            started = fleet.Fleet(
                layout=built,
                directory=tmp_path,
                schema=schema,
                **options,
            )
            stack.push_async_callback(started.stop)
            await started.start(configuration)
            return started

        yield start
