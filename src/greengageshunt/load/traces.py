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
        latency: Seconds from the time at which the request was due to the receipt of the
            response, with the simulated latency of both directions.
        code: ``ok``, the error code of the response, or ``connection_lost``,
            ``no_entry_vm`` or ``http_<status>`` if there is no valid response.
        outcome: ``committed``, ``not_run`` or ``unknown``; reads that succeed are committed.
        target: Name of the target that ran the statement, or an empty string.
        own_writes_missing: Whether a read did not return all acknowledged writes of its
            session.
        sent_late: Seconds by which the load tool itself sent the request late, in addition
            to the simulated latency between caller and entry VM.
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
        """Seconds from the start of the run at which the caller received the response."""
        return self.arrival.at + self.latency


@dataclasses.dataclass(frozen=True, kw_only=True)
class Audit:
    """Comparison of the rows that targets store with the outcomes that callers received.

    Attributes:
        writes: Number of acknowledged writes.
        lost: Acknowledged writes that no target stores.
        duplicated: Writes that are stored more than once.
        false_refusals: Writes that are stored although their outcome was ``not_run``.
        unknown_stored: Writes that are stored and whose outcome was ``unknown``.
        complete: Whether the rows of all groups and client accounts were read.
    """

    writes: int
    lost: int
    duplicated: int
    false_refusals: int
    unknown_stored: int
    complete: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class InvariantCount:
    """Checks and violations of one invariant, summed over all daemons that responded."""

    name: str
    checks: int
    violations: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Header:
    """First line of a trace.

    Attributes:
        format: Name and version of the trace format.
        variant: Name of the compared variant of the proxies' settings.
        workload: Name of the workload.
        plan: Parameters from which the arrivals were generated.
        settings: TOML text that the variant adds to the settings of each proxy.
        primaries: Name of each group's primary at the start of the run.
        faults: Faults that were applied, with the resolved names of their processes.
        audit: Audit after the run, or None if there was none.
        invariants: Counts of invariant checks in all daemons.
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
    """The header of a run and its samples in order of arrival."""

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
        ValueError: A line is not valid JSON or not of the expected format.
    """
    with path.open(encoding="utf-8") as stream:
        try:
            return _parse(stream)
        except (json.JSONDecodeError, ValueError) as error:
            raise ValueError(f"{path}: {error}") from error
