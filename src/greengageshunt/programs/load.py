"""Entry point of ``greengageshunt-load``: measurement with generated and replayed loads."""

import argparse
import asyncio
import pathlib
import sys
from collections import abc

from greengageshunt import errors, logs
from greengageshunt.load import arrivals, faults, plots, report, runner, traces, workload

EXIT_DIFFERENT_CODES = 1
EXIT_INVALID_SETTINGS = 2


def _save(recorded: abc.Sequence[traces.Trace], output: pathlib.Path | None) -> None:
    """Print the table, and write traces, table, JSON and plots to a directory if one is given."""
    table = report.table(recorded)
    print(table, end="")
    if output is None:
        return
    output.mkdir(parents=True, exist_ok=True)
    (output / "report.txt").write_text(table, encoding="utf-8")
    (output / "report.json").write_text(report.document(recorded), encoding="utf-8")
    for trace in recorded:
        traces.write(output / f"{trace.header.variant}.jsonl", trace)
    plots.save(recorded, output / "report.png")


def _run_all(
    options: runner.Options,
    variants: abc.Iterable[runner.Variant],
    planned: abc.Sequence[arrivals.Arrival],
) -> tuple[traces.Trace, ...]:
    async def run() -> tuple[traces.Trace, ...]:
        # Fleets run one after the other, because concurrent ones slow each other down.
        return tuple([await runner.run(options, variant, planned) for variant in variants])

    return asyncio.run(run())


def _options(arguments: argparse.Namespace, name: str, plan: arrivals.Plan) -> runner.Options:
    return runner.Options(
        workload=name,
        plan=plan,
        faults=faults.load(arguments.faults) if arguments.faults else (),
        service_ms=arguments.service_ms,
        lag_ms=arguments.lag_ms,
        log_level=arguments.proxy_log_level,
        directory=arguments.keep,
    )


def run_load(arguments: argparse.Namespace) -> int:
    """Send generated arrivals to one fleet for each variant."""
    plan = arrivals.Plan(
        seed=arguments.seed,
        duration=arguments.duration,
        offered=arguments.offered,
        greedy=arguments.greedy,
        greedy_factor=arguments.greedy_factor,
        balance=arguments.balance,
    )
    planned = arrivals.generate(workload.WORKLOADS[arguments.workload], plan)
    options = _options(arguments, arguments.workload, plan)
    variants = arguments.variant or [runner.Variant(name="default")]
    _save(_run_all(options, variants, planned), arguments.output)
    return 0


def differences(recorded: traces.Trace, replayed: traces.Trace) -> tuple[str, ...]:
    """Return a line for each request whose code differs between two traces."""
    return tuple(
        f"request {before.arrival.number} ({before.arrival.route}): {before.code} -> {after.code}"
        for before, after in zip(recorded.samples, replayed.samples, strict=True)
        if before.code != after.code
    )


def replay(arguments: argparse.Namespace) -> int:
    """Send the arrivals of a trace again and compare the codes."""
    recorded = traces.read(arguments.trace)
    planned = tuple(sample.arrival for sample in recorded.samples)
    options = _options(arguments, recorded.header.workload, recorded.header.plan)
    variants = arguments.variant or [
        runner.Variant(name="replay", settings=recorded.header.settings)
    ]
    replayed = _run_all(options, variants, planned)
    _save((recorded, *replayed), arguments.output)
    different = [line for trace in replayed for line in differences(recorded, trace)]
    print(f"requests with another code than recorded: {len(different)}")
    for line in different[: arguments.show]:
        print(line)
    return EXIT_DIFFERENT_CODES if different and arguments.check else 0


def show(arguments: argparse.Namespace) -> int:
    """Print and write the report on recorded traces."""
    _save([traces.read(path) for path in arguments.trace], arguments.output)
    return 0


def _add_fleet_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--faults", type=pathlib.Path, help="schedule of faults, TOML")
    parser.add_argument("--service-ms", type=float, default=2.0, help="time in a target's slot")
    parser.add_argument("--lag-ms", type=float, default=5.0, help="replication lag")
    parser.add_argument("--proxy-log-level", default="INFO", help="lowest level of log lines")
    parser.add_argument("--keep", type=pathlib.Path, help="directory for the fleets' logs and data")
    parser.add_argument(
        "--variant",
        action="append",
        type=runner.parse_variant,
        help="name:table.key=value,...: compared settings of the proxies; may be repeated",
    )


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="greengageshunt-load", description="Measure fleets of stand-ins under load."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    run_parser = commands.add_parser("run", help="send generated arrivals")
    run_parser.add_argument(
        "--workload", choices=sorted(workload.WORKLOADS), default="ppgm", help="deployment"
    )
    run_parser.add_argument("--seed", type=int, default=1, help="seed of the arrivals")
    run_parser.add_argument("--duration", type=float, default=20.0, help="seconds of arrivals")
    run_parser.add_argument(
        "--offered", type=float, default=0.6, help="part of its rate that each account offers"
    )
    run_parser.add_argument("--greedy", default="", help="account that offers more")
    run_parser.add_argument(
        "--greedy-factor", type=float, default=5.0, help="multiple of its rate that it offers"
    )
    run_parser.add_argument(
        "--balance", choices=("pinned", "spread"), default="pinned", help="what the balancer does"
    )
    _add_fleet_options(run_parser)
    run_parser.set_defaults(run=run_load)
    replay_parser = commands.add_parser("replay", help="send the arrivals of a trace again")
    replay_parser.add_argument("--trace", type=pathlib.Path, required=True, help="recorded trace")
    replay_parser.add_argument(
        "--check", action="store_true", help="fail if a request gets another code"
    )
    replay_parser.add_argument("--show", type=int, default=20, help="differences to print")
    _add_fleet_options(replay_parser)
    replay_parser.set_defaults(run=replay)
    report_parser = commands.add_parser("report", help="report on recorded traces")
    report_parser.add_argument("--trace", type=pathlib.Path, nargs="+", required=True, help="trace")
    report_parser.set_defaults(run=show)
    for command in (run_parser, replay_parser, report_parser):
        command.add_argument("--output", type=pathlib.Path, help="directory for reports and traces")
        command.add_argument("--log-level", default="WARNING", help="lowest level of log lines")
    return parser


def main() -> None:
    """Run the load tool."""
    arguments = build_parser().parse_args()
    logs.configure(arguments.log_level)
    try:
        sys.exit(arguments.run(arguments))
    except (errors.SettingsError, ValueError) as error:
        print(f"greengageshunt-load: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)


if __name__ == "__main__":
    main()
