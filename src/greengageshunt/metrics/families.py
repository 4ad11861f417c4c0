"""Metric families from counts and values by label."""

from collections import abc

from prometheus_client import metrics_core

PREFIX = "greengageshunt"

Values = abc.Mapping[tuple[str, ...], float]


def counter(name: str, doc: str, labels: tuple[str, ...], values: Values) -> metrics_core.Metric:
    """Return a counter family."""
    family = metrics_core.CounterMetricFamily(f"{PREFIX}_{name}", doc, labels=labels)
    return _filled(family, values)


def gauge(name: str, doc: str, labels: tuple[str, ...], values: Values) -> metrics_core.Metric:
    """Return a gauge family."""
    family = metrics_core.GaugeMetricFamily(f"{PREFIX}_{name}", doc, labels=labels)
    return _filled(family, values)


def _filled(family: metrics_core.Metric, values: Values) -> metrics_core.Metric:
    for key, value in sorted(values.items()):
        family.add_metric(key, value)
    return family
