"""Latency summaries, recorded in HDR histograms."""

import collections
from collections import abc

from hdrh import histogram

PREFIX = "greengageshunt"  # of the names of all metrics

# Range of recorded latencies; one outside counts as the nearest bound.
LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 2


class LatencySummary:
    """One histogram of latencies for each value of a label."""

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
        """Help text of the metric."""
        return self._doc

    @property
    def label(self) -> str:
        """Name of the label."""
        return self._label

    @property
    def values(self) -> abc.Collection[str]:
        """Values of the label that have at least one latency."""
        return self._histograms.keys()

    def count(self, label: str) -> int:
        """Return the number of latencies for a value of the label.

        Raises:
            KeyError: The value has no latency.
        """
        return self._histograms[label].get_total_count()

    def total(self, label: str) -> float:
        """Return the sum of the latencies for a value of the label, in seconds."""
        return self._sums[label]

    def record(self, label: str, seconds: float) -> None:
        """Record one latency in seconds for a value of the label."""
        existing = self._histograms.get(label)
        if existing is None:
            existing = histogram.HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self._histograms[label] = existing
        existing.record_value(
            min(max(int(seconds * 1e6), LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        )
        self._sums[label] += seconds

    def quantile(self, label: str, quantile: float) -> float:
        """Return the seconds at a quantile between 0 and 1; 0 without a latency."""
        existing = self._histograms.get(label)
        return existing.get_value_at_percentile(quantile * 100) / 1e6 if existing else 0.0
