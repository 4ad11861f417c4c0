"""Entry point of ``greengageshunt-standin``: stand-ins for development and tests."""

import argparse
import asyncio
import pathlib
import tempfile

from aiohttp import web

from greengageshunt import logs, model
from greengageshunt.standins import platform, relay, replication, session, target


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


async def _serve_http(app: web.Application, address: str) -> None:
    runner = web.AppRunner(app)
    await runner.setup()
    host, port = _split_address(address)
    await web.TCPSite(runner, host, port).start()


async def run_platform(arguments: argparse.Namespace) -> None:
    """Run the platform stand-in until it is cancelled."""
    standin = platform.PlatformStandin()
    await _serve_http(standin.application(), arguments.address)
    await asyncio.Event().wait()


async def run_target(arguments: argparse.Namespace) -> None:
    """Run a target stand-in until it is cancelled."""
    limits = target.Limits(
        slots=arguments.slots,
        connections=arguments.connections,
        connect_time=arguments.connect_ms / 1000,
        service_time=arguments.service_ms / 1000,
    )
    schema = tuple(arguments.schema.read_text().split(";\n")) if arguments.schema else ()
    with tempfile.TemporaryDirectory() as scratch:
        directory = arguments.data or pathlib.Path(scratch)
        store = target.open_storage(directory, arguments.name, schema)
        standin = target.TargetStandin(
            name=arguments.name, store=store, limits=limits, password=arguments.password
        )
        standin.set_faults(target.Faults(lag=arguments.lag_ms / 1000))
        await _serve_http(standin.control(), arguments.control)
        host, port = _split_address(arguments.address)
        await asyncio.start_server(lambda r, w: session.serve_client(standin, r, w), host, port)
        host, port = _split_address(arguments.replication)
        await asyncio.start_server(
            lambda r, w: replication.serve_replica(standin, r, w), host, port, limit=2**24
        )
        standin.resume_replication()
        if arguments.primary and standin.term == 0:
            standin.raise_term(1, "initial")
            standin.promote(1, "initial")
        elif arguments.follow and standin.role is model.Role.REPLICA and standin.term == 0:
            standin.follow(1, arguments.follow)
        await asyncio.Event().wait()


async def run_relay(arguments: argparse.Namespace) -> None:
    """Run the relay until it is cancelled."""
    await relay.run(arguments.forward, arguments.delay_ms / 1000)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="greengageshunt-standin", description="Run a stand-in for development and tests."
    )
    parser.add_argument("--log-level", default="INFO", help="lowest level of log lines")
    parser.set_defaults(loop_factory=None)
    commands = parser.add_subparsers(dest="command", required=True)
    platform_parser = commands.add_parser("platform", help="rows, objects and the VM list")
    platform_parser.add_argument("--address", required=True, help="host:port to serve on")
    platform_parser.set_defaults(run=run_platform)
    target_parser = commands.add_parser("target", help="one database instance")
    target_parser.add_argument("--name", required=True, help="name of the target")
    target_parser.add_argument("--address", required=True, help="host:port of PostgreSQL")
    target_parser.add_argument("--replication", required=True, help="host:port of replication")
    target_parser.add_argument("--control", required=True, help="host:port of the fault control")
    target_parser.add_argument("--password", default="system", help="password of the system")
    target_parser.add_argument("--primary", action="store_true", help="start as primary of term 1")
    target_parser.add_argument("--follow", default="", help="replication address of the primary")
    target_parser.add_argument("--slots", type=int, default=2, help="statements at once")
    target_parser.add_argument("--connections", type=int, default=15, help="connection limit")
    target_parser.add_argument("--connect-ms", type=float, default=10.0, help="time to connect")
    target_parser.add_argument("--service-ms", type=float, default=2.0, help="time in a slot")
    target_parser.add_argument("--lag-ms", type=float, default=0.0, help="replication lag")
    target_parser.add_argument("--schema", type=pathlib.Path, help="SQL file run at the start")
    target_parser.add_argument("--data", type=pathlib.Path, help="directory that is kept")
    target_parser.set_defaults(run=run_target)
    relay_parser = commands.add_parser("relay", help="latency between failure domains")
    relay_parser.add_argument(
        "--forward",
        action="append",
        required=True,
        type=relay.parse_forward,
        help="host:port=host:port: address to serve on and address to forward to",
    )
    relay_parser.add_argument("--delay-ms", type=float, required=True, help="added one-way delay")
    relay_parser.set_defaults(run=run_relay, loop_factory=relay.create_loop)
    return parser


def main() -> None:
    """Run the stand-in that the command line names."""
    arguments = build_parser().parse_args()
    logs.configure(arguments.log_level)
    with asyncio.Runner(loop_factory=arguments.loop_factory) as runner:
        runner.run(arguments.run(arguments))


if __name__ == "__main__":
    main()
