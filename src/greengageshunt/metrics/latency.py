"""Latency summaries over hdrhistogram."""

import collections
from collections import abc

from hdrh import histogram
from prometheus_client import metrics_core

LOWEST = 1  # microsecond
HIGHEST = 120_000_000  # microseconds
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class LatencySummary:
    """Histograms of seconds by label, shown as a Prometheus summary."""

    def __init__(self, *, name: str, doc: str, label: str) -> None:
        self._name = name
        self._doc = doc
        self._label = label
        self._histograms: dict[str, histogram.HdrHistogram] = {}
        self._sums: collections.Counter[str] = collections.Counter()

    def record(self, label: str, seconds: float) -> None:
        """Add one latency in seconds."""
        known = self._histograms.get(label)
        if known is None:
            known = histogram.HdrHistogram(LOWEST, HIGHEST, SIGNIFICANT_DIGITS)
            self._histograms[label] = known
        known.record_value(min(max(int(seconds * 1e6), LOWEST), HIGHEST))
        self._sums[label] += seconds

    def quantile(self, label: str, quantile: float) -> float:
        """Return the seconds at a quantile between 0 and 1; 0 without values."""
        known = self._histograms.get(label)
        return known.get_value_at_percentile(quantile * 100) / 1e6 if known else 0.0

    def collect(self) -> abc.Iterator[metrics_core.Metric]:
        """Return the summary, with a gauge for each quantile."""
        summary = metrics_core.SummaryMetricFamily(self._name, self._doc, labels=[self._label])
        quantiles = metrics_core.GaugeMetricFamily(
            f"{self._name}_quantile", f"Quantiles: {self._doc}", labels=[self._label, "quantile"]
        )
        for label, known in self._histograms.items():
            summary.add_metric([label], known.get_total_count(), self._sums[label])
            for quantile in QUANTILES:
                quantiles.add_metric([label, str(quantile)], self.quantile(label, quantile))
        yield summary
        yield quantiles
