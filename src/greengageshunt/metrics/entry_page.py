"""The Prometheus text page of an entry VM of the platform."""

from collections import abc

import prometheus_client
from prometheus_client import exposition, metrics_core

from greengageshunt import application, logs
from greengageshunt.coordination import records
from greengageshunt.frontends import pages
from greengageshunt.metrics import entry, families


class EntryCollector:
    """Converts counts to metrics, and reads gauges from parts."""

    def __init__(self, *, app: application.Application, counts: entry.EntryCounts) -> None:
        self._app = app
        self._counts = counts
        self._view = app.part("coordination", "view")
        self._leases = app.part("coordination", "leases")
        self._pools = app.part("pooling", "pools")
        self._members = app.part("membership", "view")
        self._configuration = app.part("configuration", "state")
        self._confirmation = app.part("membership", "confirmation")
        self._frontend = app.part("frontend", "lines")

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Return all metrics."""
        labels = ("consistency", "statement", "code", "step", "target")
        yield families.counter(
            "statements", "Statements by result.", labels, self._counts.statements
        )
        for source in self._counts.latencies:
            yield from families.summary(source)
        yield families.counter(
            "dependency_changes",
            "Dependencies lost and regained.",
            ("name", "state"),
            self._counts.dependency_changes,
        )
        yield families.counter(
            "store_calls", "Calls to the store.", ("call", "result"), self._counts.store_calls
        )
        yield families.counter(
            "value_unreadable",
            "Values from outside that could not be decoded.",
            ("table",),
            self._counts.unreadable_values,
        )
        yield families.counter(
            "task_failures",
            "Failures of tasks, which then run again.",
            ("task",),
            self._counts.task_failures,
        )
        yield families.counter(
            "unexpected_answers",
            "Answers of targets that were not taken for that to the awaited statement.",
            ("target", "origin"),
            self._counts.unexpected_answers,
        )
        yield families.counter(
            "event_handler_failures",
            "Failures of event handlers.",
            ("event",),
            {(name,): count for name, count in self._app.events.failures.items()},
        )
        yield families.counter(
            "log_lines_dropped", "Log lines left out.", (), {(): logs.dropped_line_count()}
        )
        yield from self._gauges()

    def _gauges(self) -> abc.Iterator[metrics_core.Metric]:
        now = self._app.clock()
        unlabelled_gauges = {
            "configuration_version": self._configuration.version,
            "configuration_age_seconds": now - self._confirmation.confirmed_at(now),
            "targets_age_seconds": now - self._view.copy(records.Section.TARGETS).as_of,
            "control_age_seconds": now - self._view.copy(records.Section.CONTROL).as_of,
            "store_era": self._view.copy(records.Section.CONTROL).era,
            "members": len(self._members.members),
            "members_live": len(self._members.live(now)),
            "hub": float(self._members.is_hub),
            "sessions": self._frontend.open_connections,
        }
        for name, value in unlabelled_gauges.items():
            yield families.gauge(name, name.replace("_", " ").capitalize() + ".", (), {(): value})
        groups = self._view.primary_records
        yield families.gauge(
            "primary_permitted",
            "Whether the primary of a group may be used.",
            ("group",),
            {(name,): float(self._leases.lease(name, now).valid) for name in groups},
        )
        yield families.gauge(
            "fencing_token",
            "Fencing token of a group's record.",
            ("group",),
            {(name,): record.token for name, record in groups.items()},
        )
        pools = {pool.entry.target: pool for pool in self._pools.pools}
        for name, doc, read_value in (
            ("open", "Open connections to a target.", lambda pool: pool.open),
            ("busy", "Statements that hold or await a connection.", lambda pool: pool.busy),
            ("waiting", "Statements that await a connection.", lambda pool: pool.waiting),
            ("opened", "Connections opened so far.", lambda pool: pool.opened),
        ):
            values = {(target,): read_value(pool) for target, pool in pools.items()}
            yield families.gauge(f"pool_{name}", doc, ("target",), values)


def render(app: application.Application, counts: entry.EntryCounts) -> pages.Page:
    """Return the page as Prometheus text."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(EntryCollector(app=app, counts=counts))
    return pages.Page(
        status=200,
        body=exposition.generate_latest(registry),
        content_type=exposition.CONTENT_TYPE_PLAIN_0_0_4,
    )
