"""Metrics of a daemon, collected from its events and its parts."""

import collections
from collections import abc
from typing import Any

from prometheus_client import metrics_core

from greengageshunt import application, model
from greengageshunt.metrics import families, latency
from greengageshunt.proxy import reports

PREFIX = families.PREFIX


class DaemonCollector:
    """Counts events, and reads gauges from parts when the metrics page is requested.

    Both daemons use it. A daemon has no metrics of parts that it lacks.
    """

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._requests: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._admissions: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._routings: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._late_answers: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._group_changes: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._group_terms: dict[str, int] = {}
        self._request_seconds = latency.LatencySummary(
            name=f"{PREFIX}_request_seconds",
            doc="Seconds from the receipt of a request to its answer.",
            label="kind",
        )
        self._loop_lag = latency.LatencySummary(
            name=f"{PREFIX}_loop_lag_seconds",
            doc="Seconds by which a timer of the event loop fired late.",
            label="program",
        )
        self._subscribe()

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Return all metrics."""
        yield from families.summary(self._request_seconds)
        yield from families.summary(self._loop_lag)
        yield families.counter("requests", "Requests by result.", ("kind", "code"), self._requests)
        yield families.counter(
            "admissions", "Admission decisions.", ("admitted", "reason"), self._admissions
        )
        yield families.counter(
            "routing_decisions", "Routing decisions.", ("reason",), self._routings
        )
        yield families.counter(
            "late_answers", "Answers without a waiting request.", ("peer",), self._late_answers
        )
        yield families.counter(
            "group_changes", "Changes of group records.", ("group",), self._group_changes
        )
        yield families.gauge(
            "group_term", "Term of each group.", ("group",), _by_label(self._group_terms)
        )
        yield from self._invariants()
        yield from self._gauges()

    def record_loop_lag(self, seconds: float) -> None:
        """Record by how much a timer of the event loop fired late."""
        self._loop_lag.record(self._app.name, seconds)

    def _subscribe(self) -> None:
        handlers = {
            "request-handled": self._count_request,
            "admission-decided": self._count_admission,
            "route-chosen": self._count_routing,
            "late-answer": self._count_late_answer,
            "group-changed": self._count_group_change,
        }
        for name in set(handlers) & set(self._app.events.names):
            self._app.events.connect(name, handlers[name])

    def _count_request(self, report: reports.RequestReport) -> None:
        self._requests[(report.kind, report.code)] += 1
        self._request_seconds.record(report.kind, report.seconds)

    def _count_admission(self, admission: Any) -> None:
        self._admissions[(str(admission.admitted).lower(), admission.reason)] += 1

    def _count_routing(self, routing: Any) -> None:
        self._routings[(routing.reason,)] += 1

    def _count_late_answer(self, peer: str) -> None:
        self._late_answers[(peer,)] += 1

    def _count_group_change(self, record: model.GroupRecord) -> None:
        self._group_changes[(record.group,)] += 1
        self._group_terms[record.group] = record.term

    def _part(self, role: str, name: str) -> Any:
        return self._app.part(role, name) if name in self._app.registry.names(role) else None

    def _invariants(self) -> abc.Iterator[metrics_core.Metric]:
        invariants = self._part("invariants", "default")
        if invariants is None:
            return
        checks, violations = _by_label(invariants.checks), _by_label(invariants.violations)
        yield families.counter("invariant_checks", "Checks of invariants.", ("invariant",), checks)
        yield families.counter(
            "invariant_violations",
            "Violations of invariants.",
            ("invariant",),
            {**dict.fromkeys(checks, 0), **violations},
        )

    def _gauges(self) -> abc.Iterator[metrics_core.Metric]:
        connections: dict[tuple[str, ...], float] = {}
        sources = (
            ("callers", "frontend", "http"),
            ("peers", "peers", "links"),
            ("targets", "proxy", "owner"),
        )
        for side, role, name in sources:
            part = self._part(role, name)
            if part is not None:
                connections[(side,)] = part.open_connections
        yield families.gauge("open_connections", "Open connections.", ("side",), connections)
        configuration = self._part("configuration", "state")
        if configuration is not None:
            values = {(): configuration.version}
            yield families.gauge("configuration_version", "Configuration in force.", (), values)
        view = self._part("membership", "view")
        if view is not None:
            live = len(view.live(self._app.clock()))
            values = {("listed",): len(view.members), ("live",): live}
            yield families.gauge("members", "Entry VMs.", ("state",), values)


def _by_label(values: abc.Mapping[str, float]) -> dict[tuple[str, ...], float]:
    return {(key,): value for key, value in values.items()}
