"""Metrics of an entry VM of the platform, served on a separate address."""

import asyncio
import collections
import importlib
from collections import abc

from greengageshunt import application, config
from greengageshunt.frontends import pages
from greengageshunt.metrics import latency
from greengageshunt.pooling import answers, reports

# Module that renders the page. It is imported at the first request, since its library takes
# 0.06 s to load and 3 MB of memory. An entry VM whose page is never requested saves both.
RENDERER_MODULE = "greengageshunt.metrics.entry_page"

LAG_INTERVAL = 2.0  # seconds between samples of the event loop's lag

Counts = abc.Mapping[tuple[str, ...], int]


class EntryCounts:
    """Counts events of an entry VM and records its latencies."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._statements: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._dependency_changes: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._store_calls: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._unreadable_values: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._task_failures: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._unexpected_answers: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._statement_latency = latency.LatencySummary(
            name=f"{latency.PREFIX}_statement_seconds",
            doc="Seconds from the receipt of a statement to its answer.",
            label="consistency",
        )
        self._loop_lag = latency.LatencySummary(
            name=f"{latency.PREFIX}_loop_lag_seconds",
            doc="Seconds by which a timer of the event loop fired late.",
            label="program",
        )
        app.events.connect("statement-ended", self._count_statement)
        app.events.connect("dependency-changed", self._count_dependency_change)
        app.events.connect("store-called", self._count_store_call)
        app.events.connect("value-unreadable", self._count_unreadable_value)
        app.events.connect("task-failed", self._count_task_failure)
        app.events.connect("answer-unexpected", self._count_unexpected_answer)

    @property
    def statements(self) -> Counts:
        """Number of statements by consistency, statement, code, step and role of the target."""
        return self._statements

    @property
    def dependency_changes(self) -> Counts:
        """Number of changes of dependencies, by name and by state (lost or regained)."""
        return self._dependency_changes

    @property
    def store_calls(self) -> Counts:
        """Number of calls to the store, by call and result."""
        return self._store_calls

    @property
    def unreadable_values(self) -> Counts:
        """Number of values from outside that could not be decoded, by table."""
        return self._unreadable_values

    @property
    def task_failures(self) -> Counts:
        """Number of failures of tasks that ran again, by task."""
        return self._task_failures

    @property
    def unexpected_answers(self) -> Counts:
        """Answers that were not taken for that to the awaited statement, by target and origin."""
        return self._unexpected_answers

    @property
    def latencies(self) -> tuple[latency.LatencySummary, ...]:
        """Latencies of statements, and of the event loop's timers."""
        return self._statement_latency, self._loop_lag

    def record_loop_lag(self, seconds: float) -> None:
        """Record by how much a timer of the event loop fired late."""
        self._loop_lag.record(self._app.name, seconds)

    def _count_statement(self, report: reports.Report) -> None:
        served_by = "replica" if report.replica else "primary"
        key = (report.consistency, report.kind, report.code, report.step, served_by)
        self._statements[key] += 1
        if report.consistency:
            self._statement_latency.record(report.consistency, report.seconds)

    def _count_dependency_change(self, change: tuple[str, bool]) -> None:
        name, available = change
        self._dependency_changes[(name, "regained" if available else "lost")] += 1

    def _count_store_call(self, call: tuple[str, str]) -> None:
        self._store_calls[call] += 1

    def _count_unreadable_value(self, table: str) -> None:
        self._unreadable_values[(table,)] += 1

    def _count_task_failure(self, task: str) -> None:
        self._task_failures[(task,)] += 1

    def _count_unexpected_answer(self, answer: answers.UnexpectedAnswer) -> None:
        self._unexpected_answers[(answer.target, answer.origin.value)] += 1


class EntryMetrics:
    """Serves ``GET /metrics`` and samples the lag of the event loop."""

    restartable = True

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._counts = EntryCounts(app=app)

    async def run(self) -> None:
        """Serve the page until cancelled."""
        address = self._app.settings["metrics.address"]
        async with asyncio.TaskGroup() as group:
            group.create_task(pages.serve("metrics", address, {"/metrics": self._respond}))
            group.create_task(self._sample_lag())

    async def _sample_lag(self) -> None:
        while True:
            due = self._app.clock() + LAG_INTERVAL
            await asyncio.sleep(LAG_INTERVAL)
            self._counts.record_loop_lag(max(0.0, self._app.clock() - due))

    def _respond(self) -> pages.Page:
        renderer = importlib.import_module(RENDERER_MODULE)
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
