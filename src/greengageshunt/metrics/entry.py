"""Metrics of an entry VM of the platform, on an address of its own."""

import asyncio
import collections
import importlib
from collections import abc

from greengageshunt import application, config
from greengageshunt.frontends import pages
from greengageshunt.metrics import latency
from greengageshunt.pooling import reports

# Renders the page. Its library takes 0.06 s to load and 3 MB, which an entry VM whose page nobody
# reads does without.
RENDERER = "greengageshunt.metrics.entry_page"

LAG_INTERVAL = 2.0  # seconds between samples of the event loop's lag

Counts = abc.Mapping[tuple[str, ...], int]


class EntryCounts:
    """Counts events."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._statements: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._losses: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._calls: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._seconds = latency.LatencySummary(
            name=f"{latency.PREFIX}_statement_seconds",
            doc="Seconds from the receipt of a statement to its answer.",
            label="consistency",
        )
        self._lag = latency.LatencySummary(
            name=f"{latency.PREFIX}_loop_lag_seconds",
            doc="Seconds by which a timer of the event loop fired late.",
            label="program",
        )
        app.events.connect("statement-ended", self._note_statement)
        app.events.connect("dependency-changed", self._note_dependency)
        app.events.connect("store-called", self._note_call)

    @property
    def statements(self) -> Counts:
        """Statements by consistency, statement, code, step and kind of target."""
        return self._statements

    @property
    def dependency_changes(self) -> Counts:
        """Dependencies lost and regained, by name and state."""
        return self._losses

    @property
    def store_calls(self) -> Counts:
        """Calls to the store by call and result."""
        return self._calls

    @property
    def latencies(self) -> tuple[latency.LatencySummary, ...]:
        """Latencies of statements, and of the event loop's timers."""
        return self._seconds, self._lag

    def note_lag(self, seconds: float) -> None:
        """Record by how much a timer of the event loop fired late."""
        self._lag.record(self._app.name, seconds)

    def _note_statement(self, report: reports.Report) -> None:
        served_by = "replica" if report.replica else "primary"
        key = (report.consistency, report.kind, report.code, report.step, served_by)
        self._statements[key] += 1
        if report.consistency:
            self._seconds.record(report.consistency, report.seconds)

    def _note_dependency(self, change: tuple[str, bool]) -> None:
        name, available = change
        self._losses[(name, "regained" if available else "lost")] += 1

    def _note_call(self, call: tuple[str, str]) -> None:
        self._calls[call] += 1


class EntryMetrics:
    """Serves ``GET /metrics``."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._counts = EntryCounts(app=app)

    async def run(self) -> None:
        """Serve the page until cancelled."""
        address = self._app.settings["metrics.address"]
        async with asyncio.TaskGroup() as group:
            group.create_task(pages.serve(address, {"/metrics": self._show}))
            group.create_task(self._sample_lag())

    async def _sample_lag(self) -> None:
        while True:
            due = self._app.clock() + LAG_INTERVAL
            await asyncio.sleep(LAG_INTERVAL)
            self._counts.note_lag(max(0.0, self._app.clock() - due))

    def _show(self) -> pages.Page:
        renderer = importlib.import_module(RENDERER)
        return renderer.render(self._app, self._counts)


def setup(app: application.Application) -> None:
    """Register the metrics of an entry VM."""
    app.add_setting(
        config.Setting(
            key="metrics.address",
            kind=str,
            doc="Address of the metrics page.",
            check=config.is_address,
        )
    )
    app.add_part("metrics", "entry", lambda app: EntryMetrics(app=app))
    app.add_part("service", "metrics", lambda app: app.part("metrics", "entry"))
