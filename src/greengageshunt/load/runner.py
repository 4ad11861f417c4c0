"""Runs a workload against fleets, with a new fleet for each compared variant."""

import asyncio
import dataclasses
import pathlib
import tempfile
from collections import abc

from greengageshunt.load import arrivals, audit, sender, traces
from greengageshunt.load import faults as faults_module
from greengageshunt.load import workload as workload_module
from greengageshunt.standins import fleet as fleet_module
from greengageshunt.standins import layout as layout_module

# Seconds from the start of the fleet to the first request. Entry VMs meanwhile agree on
# the owner of each client account's rate and check the status of the targets; otherwise
# the measures would include requests that are refused during the start.
SETTLE_DELAY = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Variant:
    """Settings of the proxies that are compared with other settings.

    Attributes:
        name: Name of the column in the report.
        settings: TOML text that is appended to the settings file of each proxy.
    """

    name: str
    settings: str = ""


def parse_variant(text: str) -> Variant:
    """Return the variant that ``name`` or ``name:key=value,key=value`` describes.

    A key consists of table and field, such as ``parts.admission``; values are strings.

    Raises:
        ValueError: A setting has no value, or its key names no table.
    """
    name, _, assignments = text.partition(":")
    tables: dict[str, list[str]] = {}
    for assignment in filter(None, assignments.split(",")):
        key, separator, value = assignment.partition("=")
        table, dot, field = key.rpartition(".")
        if not separator or not dot:
            raise ValueError(f"expected table.key=value, got {assignment!r}")
        tables.setdefault(table, []).append(f'{field} = "{value}"\n')
    settings = "".join(f"[{table}]\n{''.join(lines)}" for table, lines in tables.items())
    return Variant(name=name, settings=settings)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Options that all variants of a run share.

    Attributes:
        workload: Name of the workload.
        plan: Parameters from which the arrivals are generated.
        faults: Faults in order of time.
        service_ms: Milliseconds for which a statement occupies a slot of its target.
        lag_ms: Milliseconds by which replicas apply log entries late.
        log_level: Lowest level of the log lines that the proxies write.
        directory: Parent directory of the fleets' logs and data, or None for a temporary one.
    """

    workload: str
    plan: arrivals.Plan
    faults: tuple[faults_module.Fault, ...] = ()
    service_ms: float = 2.0
    lag_ms: float = 5.0
    log_level: str = "INFO"
    directory: pathlib.Path | None = None


async def run(
    options: Options, variant: Variant, planned: abc.Sequence[arrivals.Arrival]
) -> traces.Trace:
    """Start a fleet, send the arrivals, audit the stored writes, and return the trace."""
    workload = workload_module.WORKLOADS[options.workload]
    profile = workload.profile
    prepared = workload_module.prepare(workload)
    base_port = fleet_module.free_base_port(layout_module.ports_needed(profile))
    with tempfile.TemporaryDirectory() as scratch:
        directory = pathlib.Path(scratch)
        if options.directory is not None:
            directory = options.directory / variant.name
            directory.mkdir(parents=True)
        fleet = fleet_module.Fleet(
            layout=layout_module.build(profile, base_port),
            directory=directory,
            schema=workload_module.SCHEMA,
            service_ms=options.service_ms,
            lag_ms=options.lag_ms,
            strict=False,
            extra_settings=f'[log]\nlevel = "{options.log_level}"\n{variant.settings}',
        )
        try:
            await fleet.start(prepared.configuration)
            await asyncio.sleep(SETTLE_DELAY)
            return await _run_started(options, variant, planned, fleet, prepared)
        finally:
            await fleet.stop()


async def _run_started(
    options: Options,
    variant: Variant,
    planned: abc.Sequence[arrivals.Arrival],
    fleet: fleet_module.Fleet,
    prepared: workload_module.Prepared,
) -> traces.Trace:
    callers = sender.Sender(
        layout=fleet.layout, session=fleet.session, keys=prepared.keys, seed=options.plan.seed
    )
    started_at = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as group:
        sending = group.create_task(callers.run(planned, started_at))
        applying = group.create_task(faults_module.run(options.faults, fleet, started_at))
    samples = sending.result()
    stored, complete = await audit.stored_references(fleet, prepared)
    header = traces.Header(
        variant=variant.name,
        workload=options.workload,
        plan=options.plan,
        settings=variant.settings,
        primaries={group.group: group.primary for group in fleet.layout.groups},
        faults=applying.result(),
        audit=audit.compare(samples, stored, callers.reference, complete),
        invariants=await audit.invariants(fleet),
    )
    return traces.Trace(header=header, samples=samples)
