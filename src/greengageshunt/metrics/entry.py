"""Metrics of an entry VM of the platform, on an address of its own."""

import asyncio
import collections
from collections import abc

import prometheus_client
from prometheus_client import exposition, metrics_core

from greengageshunt import application, config, logs
from greengageshunt.coordination import records
from greengageshunt.frontends import pages
from greengageshunt.metrics import families, latency
from greengageshunt.pooling import reports

PREFIX = families.PREFIX

LAG_INTERVAL = 2.0  # seconds between samples of the event loop's lag


class EntryCollector:
    """Counts events, and reads gauges from parts when the page is read."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view = app.part("coordination", "view")
        self._leases = app.part("coordination", "leases")
        self._pools = app.part("pooling", "pools")
        self._members = app.part("membership", "view")
        self._configuration = app.part("configuration", "state")
        self._confirmation = app.part("membership", "confirmation")
        self._frontend = app.part("frontend", "lines")
        self._statements: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._losses: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._calls: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._seconds = latency.LatencySummary(
            name=f"{PREFIX}_statement_seconds",
            doc="Seconds from the receipt of a statement to its answer.",
            label="consistency",
        )
        self._lag = latency.LatencySummary(
            name=f"{PREFIX}_loop_lag_seconds",
            doc="Seconds by which a timer of the event loop fired late.",
            label="program",
        )
        app.events.connect("statement-ended", self._note_statement)
        app.events.connect("dependency-changed", self._note_dependency)
        app.events.connect("store-called", self._note_call)

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Return all metrics."""
        labels = ("consistency", "statement", "code", "step", "target")
        yield families.counter("statements", "Statements by result.", labels, self._statements)
        yield from self._seconds.collect()
        yield from self._lag.collect()
        yield families.counter(
            "dependency_changes", "Dependencies lost and regained.", ("name", "state"), self._losses
        )
        yield families.counter(
            "store_calls", "Calls to the store.", ("call", "result"), self._calls
        )
        yield families.counter("log_lines_dropped", "Log lines left out.", (), {(): logs.dropped()})
        yield from self._gauges()

    def note_lag(self, seconds: float) -> None:
        """Record by how much a timer of the event loop fired late."""
        self._lag.record(self._app.name, seconds)

    def _gauges(self) -> abc.Iterator[metrics_core.Metric]:
        now = self._app.clock()
        simple = {
            "configuration_version": self._configuration.version,
            "configuration_age_seconds": now - self._confirmation.confirmed_at(now),
            "targets_age_seconds": now - self._view.copy(records.Section.TARGETS).as_of,
            "control_age_seconds": now - self._view.copy(records.Section.CONTROL).as_of,
            "members": len(self._members.members),
            "members_live": len(self._members.live(now)),
            "hub": float(self._members.is_hub),
            "sessions": self._frontend.connections,
        }
        for name, value in simple.items():
            yield families.gauge(name, name.replace("_", " ").capitalize() + ".", (), {(): value})
        groups = self._view.leads
        yield families.gauge(
            "primary_permitted",
            "Whether the primary of a group may be used.",
            ("group",),
            {(name,): float(self._leases.permission(name, now).granted) for name in groups},
        )
        yield families.gauge(
            "fencing_token",
            "Fencing token of a group's record.",
            ("group",),
            {(name,): record.token for name, record in groups.items()},
        )
        pools = {pool.entry.target: pool for pool in self._pools.all}
        for name, doc, read in (
            ("open", "Open connections to a target.", lambda pool: pool.open),
            ("busy", "Statements that hold or await a connection.", lambda pool: pool.busy),
            ("waiting", "Statements that await a connection.", lambda pool: pool.waiting),
            ("opened", "Connections opened so far.", lambda pool: pool.opened),
        ):
            values = {(target,): read(pool) for target, pool in pools.items()}
            yield families.gauge(f"pool_{name}", doc, ("target",), values)

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
        self._collector = EntryCollector(app=app)
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self._collector)

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
            self._collector.note_lag(max(0.0, self._app.clock() - due))

    def _show(self) -> pages.Page:
        body = exposition.generate_latest(self._registry)
        return pages.Page(status=200, body=body, content_type=exposition.CONTENT_TYPE_PLAIN_0_0_4)


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
