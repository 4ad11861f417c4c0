"""Builds Prometheus metric families from counts and values by label."""

from collections import abc

from prometheus_client import metrics_core

from greengageshunt.metrics import latency

PREFIX = latency.PREFIX

QUANTILES = (0.5, 0.9, 0.99, 0.999)

Values = abc.Mapping[tuple[str, ...], float]


def counter(name: str, doc: str, labels: tuple[str, ...], values: Values) -> metrics_core.Metric:
    """Return a counter family."""
    family = metrics_core.CounterMetricFamily(f"{PREFIX}_{name}", doc, labels=labels)
    return _with_samples(family, values)


def gauge(name: str, doc: str, labels: tuple[str, ...], values: Values) -> metrics_core.Metric:
    """Return a gauge family."""
    family = metrics_core.GaugeMetricFamily(f"{PREFIX}_{name}", doc, labels=labels)
    return _with_samples(family, values)


def summary(source: latency.LatencySummary) -> abc.Iterator[metrics_core.Metric]:
    """Return the summary of latencies, and a gauge family with their quantiles."""
    family = metrics_core.SummaryMetricFamily(source.name, source.doc, labels=[source.label])
    quantiles = metrics_core.GaugeMetricFamily(
        f"{source.name}_quantile",
        f"Quantiles: {source.doc}",
        labels=[source.label, "quantile"],
    )
    for label in source.values:
        family.add_metric([label], source.count(label), source.total(label))
        for quantile in QUANTILES:
            quantiles.add_metric([label, str(quantile)], source.quantile(label, quantile))
    yield family
    yield quantiles


def _with_samples(family: metrics_core.Metric, values: Values) -> metrics_core.Metric:
    for key, value in sorted(values.items()):
        family.add_metric(key, value)
    return family
