"""Counts of a daemon, taken from events and from the parts that it has."""

import collections
from collections import abc
from typing import Any

from prometheus_client import metrics_core

from greengageshunt import application, model
from greengageshunt.metrics import families, latency
from greengageshunt.proxy import reports

PREFIX = families.PREFIX


class DaemonCollector:
    """Subscribes to events, and reads gauges from parts when the page is read.

    Both daemons use it; metrics of parts that a daemon lacks are left out.
    """

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._requests: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._admissions: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._routings: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._late: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._changes: collections.Counter[tuple[str, ...]] = collections.Counter()
        self._terms: dict[str, int] = {}
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
            "late_answers", "Answers without a waiting request.", ("peer",), self._late
        )
        yield families.counter(
            "group_changes", "Changes of group records.", ("group",), self._changes
        )
        yield families.gauge("group_term", "Term of each group.", ("group",), _keyed(self._terms))
        yield from self._invariants()
        yield from self._gauges()

    def note_loop_lag(self, seconds: float) -> None:
        """Record by how much a timer of the event loop fired late."""
        self._loop_lag.record(self._app.name, seconds)

    def _subscribe(self) -> None:
        handlers = {
            "request-handled": self._note_request,
            "admission-decided": self._note_admission,
            "route-chosen": self._note_routing,
            "late-answer": self._note_late,
            "group-changed": self._note_group,
        }
        for name in set(handlers) & set(self._app.events.names):
            self._app.events.connect(name, handlers[name])

    def _note_request(self, report: reports.RequestReport) -> None:
        self._requests[(report.kind, report.code)] += 1
        self._request_seconds.record(report.kind, report.seconds)

    def _note_admission(self, admitted: Any) -> None:
        self._admissions[(str(admitted.admitted).lower(), admitted.reason)] += 1

    def _note_routing(self, chosen: Any) -> None:
        self._routings[(chosen.reason,)] += 1

    def _note_late(self, peer: str) -> None:
        self._late[(peer,)] += 1

    def _note_group(self, record: model.GroupRecord) -> None:
        self._changes[(record.group,)] += 1
        self._terms[record.group] = record.term

    def _part(self, role: str, name: str) -> Any:
        return self._app.part(role, name) if name in self._app.registry.names(role) else None

    def _invariants(self) -> abc.Iterator[metrics_core.Metric]:
        invariants = self._part("invariants", "default")
        if invariants is None:
            return
        checks, violations = _keyed(invariants.checks), _keyed(invariants.violations)
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


def _keyed(values: abc.Mapping[str, float]) -> dict[tuple[str, ...], float]:
    return {(key,): value for key, value in values.items()}
