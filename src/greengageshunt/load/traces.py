"""Traces of runs as JSON Lines: a header, then one line for each request."""

import dataclasses
import json
import pathlib
from collections import abc

from greengageshunt import codec
from greengageshunt.load import arrivals
from greengageshunt.load import faults as faults_module

FORMAT = "greengageshunt-trace-1"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """One request and its result.

    Attributes:
        arrival: The request.
        latency: Seconds from the intended time of arrival to the receipt of the answer.
        code: ``ok``, the code of the refusal, or ``connection_lost``.
        outcome: ``committed``, ``not_run`` or ``unknown``; reads that succeed are committed.
        target: Target that answered, or an empty string.
        own_writes_missing: Whether a read lacked acknowledged writes of its session.
        sent_late: Seconds by which the tool itself sent the request late.
    """

    arrival: arrivals.Arrival
    latency: float
    code: str
    outcome: str
    target: str = ""
    own_writes_missing: bool = False
    sent_late: float = 0.0

    @property
    def answered_at(self) -> float:
        """Seconds from the start of the run at which the caller had the answer."""
        return self.arrival.at + self.latency


@dataclasses.dataclass(frozen=True, kw_only=True)
class Audit:
    """Comparison of the targets' content with what callers were told.

    Attributes:
        writes: Acknowledged writes.
        lost: Acknowledged writes that are missing.
        duplicated: Writes that are stored more than once.
        false_refusals: Writes that are stored although the refusal said ``not_run``.
        unknown_stored: Writes of unknown outcome that are stored.
        complete: Whether all groups could be read.
    """

    writes: int
    lost: int
    duplicated: int
    false_refusals: int
    unknown_stored: int
    complete: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class InvariantCount:
    """Checks and violations of one invariant, over all daemons that answered."""

    name: str
    checks: int
    violations: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Header:
    """First line of a trace.

    Attributes:
        format: Name of the format.
        variant: Name of the compared setting.
        workload: Name of the workload.
        plan: What the arrivals were drawn from.
        settings: Settings that were added to those of the proxies.
        primaries: Primary of each group at the start.
        faults: Faults that were applied.
        audit: Audit after the run, or None.
        invariants: Counts of the daemons' invariants.
    """

    format: str = FORMAT
    variant: str
    workload: str
    plan: arrivals.Plan
    settings: str
    primaries: dict[str, str]
    faults: tuple[faults_module.Fault, ...] = ()
    audit: Audit | None = None
    invariants: tuple[InvariantCount, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Trace:
    """A header and its samples in order of arrival."""

    header: Header
    samples: tuple[Sample, ...]


def write(path: pathlib.Path, trace: Trace) -> None:
    """Write a trace to a file."""
    with path.open("w", encoding="utf-8") as stream:
        stream.write(codec.to_json(trace.header) + "\n")
        stream.writelines(codec.to_json(sample) + "\n" for sample in trace.samples)


def _parse(lines: abc.Iterable[str]) -> Trace:
    numbered = iter(lines)
    header = codec.from_json(next(numbered, "null"), Header)
    if header.format != FORMAT:
        raise ValueError(f"expected format {FORMAT}, got {header.format!r}")
    return Trace(header=header, samples=tuple(codec.from_json(line, Sample) for line in numbered))


def read(path: pathlib.Path) -> Trace:
    """Read a trace from a file.

    Raises:
        ValueError: The file is not a trace.
    """
    with path.open(encoding="utf-8") as stream:
        try:
            return _parse(stream)
        except (json.JSONDecodeError, ValueError) as error:
            raise ValueError(f"{path}: {error}") from error
