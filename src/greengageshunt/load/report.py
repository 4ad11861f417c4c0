"""Reports on runs as a text table and as JSON."""

import json
from collections import abc

from greengageshunt import codec
from greengageshunt.load import measures, traces


def _percentage(part: float, whole: float) -> str:
    return f"{100 * part / whole:.2f}%" if whole else "-"


def _median_and_p99_ms(latency: tuple[float, float]) -> str:
    return f"{latency[0] * 1000:.1f} / {latency[1] * 1000:.1f}"


def _refusals_by_code(codes: abc.Mapping[str, int]) -> str:
    refused = {code: number for code, number in sorted(codes.items()) if code != "ok"}
    return ", ".join(f"{code} {number}" for code, number in refused.items()) or "none"


def _audit(audit: traces.Audit | None) -> str:
    if audit is None:
        return "not run"
    text = (
        f"{audit.lost} / {audit.duplicated} / {audit.false_refusals} of {audit.writes}"
        f" ({audit.unknown_stored} unknown stored)"
    )
    return text if audit.complete else f"{text}, incomplete"


def _invariants(counts: abc.Iterable[traces.InvariantCount]) -> str:
    by_invariant = list(counts)
    checks = sum(count.checks for count in by_invariant)
    violated = [f"{count.name} {count.violations}" for count in by_invariant if count.violations]
    return f"{', '.join(violated) or 'none'} in {checks} checks"


def rows(trace: traces.Trace, measured: measures.Measures) -> tuple[tuple[str, str], ...]:
    """Return the lines of the table for one run, each with the name and the value."""
    worst, gap = measured.worst, measured.gap
    return (
        ("requests", str(measured.requests)),
        ("reads by replicas, all", _percentage(measured.replica_reads, measured.reads)),
        (
            "reads by replicas, stale routes",
            _percentage(measured.replica_stale_reads, measured.stale_reads),
        ),
        ("longest gap in writes", f"{gap.seconds:.3f} s at {gap.start:.1f} s, {gap.group}"),
        ("worst-served account", f"{100 * worst.service:.1f}% of fair share, {worst.account}"),
        (
            "refused within rate",
            f"{measured.refused_within} of {measured.within}"
            f" ({_percentage(measured.refused_within, measured.within)})",
        ),
        ("above rate * time + burst", f"{measured.overshoot:.1f} requests"),
        ("reads, median / p99 ms", _median_and_p99_ms(measured.read_latency)),
        ("writes, median / p99 ms", _median_and_p99_ms(measured.write_latency)),
        ("sent late by the tool, ms", _median_and_p99_ms(measured.sent_late)),
        ("refusals by code", _refusals_by_code(measured.codes)),
        ("reads without own writes", str(measured.own_writes_missing)),
        ("lost / duplicate / run though refused", _audit(trace.header.audit)),
        ("violated invariants", _invariants(trace.header.invariants)),
    )


def table(recorded: abc.Sequence[traces.Trace]) -> str:
    """Return a text table of runs with one column for each run."""
    columns = [rows(trace, measures.measure(trace)) for trace in recorded]
    names = [name for name, _ in columns[0]]
    lines = [["", *(trace.header.variant for trace in recorded)]]
    for index, name in enumerate(names):
        lines.append([name, *(column[index][1] for column in columns)])
    widths = [max(len(line[index]) for line in lines) for index in range(len(lines[0]))]
    rendered = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    ]
    return "\n".join(rendered) + "\n"


def document(recorded: abc.Iterable[traces.Trace]) -> str:
    """Return the headers and measures of runs as a JSON document."""
    runs = []
    for trace in recorded:
        measured = measures.measure(trace)
        runs.append(
            {
                "header": codec.to_plain(trace.header),
                "measures": codec.to_plain(measured),
                "worst_service": measured.worst.service,
                "refused_within": measured.refused_within,
            }
        )
    return json.dumps({"runs": runs}, indent=2, sort_keys=True) + "\n"
