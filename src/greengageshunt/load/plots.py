"""Plots of runs: latency, answers per second by account, and time since the last write."""

import pathlib
from collections import abc

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import axes, pyplot, ticker

from greengageshunt import model
from greengageshunt.load import traces

RATE_WINDOW = 0.5  # seconds over which answers are counted for one point of a rate plot
GAP_SAMPLING_INTERVAL = 0.02  # seconds between the points of a write gap plot
PANEL_INCHES = (6.4, 3.2)
DOTS_PER_INCH = 110


def _plot_latency(axis: axes.Axes, trace: traces.Trace) -> None:
    for kind, colour in ((model.RouteKind.READ, "tab:blue"), (model.RouteKind.WRITE, "tab:orange")):
        answered = [s for s in trace.samples if s.code == "ok" and s.arrival.kind is kind]
        axis.scatter(
            [sample.arrival.at for sample in answered],
            [sample.latency * 1000 for sample in answered],
            s=3,
            color=colour,
            label=f"{kind} answered",
        )
    refused = [sample for sample in trace.samples if sample.code != "ok"]
    axis.scatter(
        [sample.arrival.at for sample in refused],
        [sample.latency * 1000 for sample in refused],
        s=5,
        marker="x",
        color="tab:red",
        label="refused",
    )
    axis.set_yscale("log")
    axis.yaxis.set_major_locator(ticker.LogLocator(subs=(1, 2, 5)))
    axis.yaxis.set_major_formatter(ticker.FormatStrFormatter("%g"))
    axis.yaxis.set_minor_formatter(ticker.NullFormatter())
    axis.set_ylabel("latency (ms)")


def _plot_rates(axis: axes.Axes, trace: traces.Trace) -> None:
    windows = int(trace.header.plan.duration / RATE_WINDOW) + 1
    names = sorted({sample.arrival.account for sample in trace.samples})
    for name in names:
        counts = [0] * windows
        for sample in trace.samples:
            if sample.arrival.account == name and sample.code == "ok":
                counts[min(int(sample.arrival.at / RATE_WINDOW), windows - 1)] += 1
        times = [index * RATE_WINDOW for index in range(windows - 1)]
        axis.plot(times, [count / RATE_WINDOW for count in counts[:-1]], lw=1, label=name)
    axis.set_ylabel("answers per second")


def _plot_gap(axis: axes.Axes, trace: traces.Trace) -> None:
    duration = trace.header.plan.duration
    steps = [
        index * GAP_SAMPLING_INTERVAL for index in range(int(duration / GAP_SAMPLING_INTERVAL) + 1)
    ]
    for group in sorted(trace.header.primaries):
        acknowledged = sorted(
            sample.answered_at
            for sample in trace.samples
            if sample.code == "ok"
            and sample.arrival.kind is model.RouteKind.WRITE
            and sample.arrival.group == group
        )
        axis.plot(steps, _seconds_since_last(acknowledged, steps), lw=1, label=group)
    axis.set_ylabel("since last write (s)")


def _seconds_since_last(times: abc.Sequence[float], steps: abc.Sequence[float]) -> list[float]:
    last, index, values = 0.0, 0, []
    for step in steps:
        while index < len(times) and times[index] <= step:
            last = times[index]
            index += 1
        values.append(step - last)
    return values


def _add_faults_and_time_axis(axis: axes.Axes, trace: traces.Trace) -> None:
    for fault in trace.header.faults:
        axis.axvline(fault.at, color="black", lw=0.8, ls=":")
    axis.set_xlim(0, trace.header.plan.duration)
    axis.set_xlabel("time (s)")
    axis.grid(alpha=0.3)
    axis.legend(fontsize=6, loc="lower center", bbox_to_anchor=(0.5, 1.0), ncol=4, frameon=False)


def save(recorded: abc.Sequence[traces.Trace], path: pathlib.Path) -> None:
    """Write a PNG file with the plots of runs, one column for each run.

    Dotted vertical lines mark the times of faults.
    """
    panels = (_plot_latency, _plot_rates, _plot_gap)
    width, height = PANEL_INCHES
    figure, grid = pyplot.subplots(
        len(panels),
        len(recorded),
        figsize=(width * len(recorded), height * len(panels)),
        squeeze=False,
        sharey="row",
    )
    for column, trace in enumerate(recorded):
        for row, panel in enumerate(panels):
            panel(grid[row][column], trace)
            _add_faults_and_time_axis(grid[row][column], trace)
        grid[0][column].set_title(f"{trace.header.workload}: {trace.header.variant}", pad=18)
    figure.tight_layout()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
