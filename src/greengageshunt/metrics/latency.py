"""Latency summaries over hdrhistogram."""

import collections
from collections import abc

from hdrh import histogram

PREFIX = "greengageshunt"  # of the names of all metrics

LOWEST = 1  # microsecond
HIGHEST = 120_000_000  # microseconds
SIGNIFICANT_DIGITS = 2


class LatencySummary:
    """Histograms of seconds by label."""

    def __init__(self, *, name: str, doc: str, label: str) -> None:
        self._name = name
        self._doc = doc
        self._label = label
        self._histograms: dict[str, histogram.HdrHistogram] = {}
        self._sums: collections.Counter[str] = collections.Counter()

    @property
    def name(self) -> str:
        """Name of the metric."""
        return self._name

    @property
    def doc(self) -> str:
        """What the seconds are."""
        return self._doc

    @property
    def label(self) -> str:
        """Name of the label."""
        return self._label

    @property
    def values(self) -> abc.Collection[str]:
        """Values of the label that were seen."""
        return self._histograms.keys()

    def count(self, label: str) -> int:
        """Return the number of latencies under a label that was seen."""
        return self._histograms[label].get_total_count()

    def total(self, label: str) -> float:
        """Return the sum of the seconds."""
        return self._sums[label]

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
