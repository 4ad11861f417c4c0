"""Command line of the soak: runs seeds one after the other, and prints violations and logs."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from soak import world

SEED_LIMIT = 2**31  # seeds chosen at random are smaller


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="scripts/soak",
        description="Plays randomised runs of the platform's program under faults.",
        epilog="Example: bash scripts/soak --first 1 --count 50 --seconds 20",
    )
    parser.add_argument("--first", type=int, help="first seed; by default a fresh one")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="seconds of faults in a run")
    parser.add_argument("--size", type=int, default=4, help="number of entry VMs")
    parser.add_argument(
        "--restores", action="store_true", help="also restore the store from older copies"
    )
    parser.add_argument(
        "--planned",
        action="store_true",
        help="only planned work: stops, reloads and changes of the settings and configuration",
    )
    parser.add_argument("--logs", type=pathlib.Path, help="folder for the logs of each run")
    return parser


def main() -> int:
    """Run the seeds; return 1 if a run had a violation."""
    arguments = _parser().parse_args()
    first = arguments.first
    if first is None:
        first = random.SystemRandom().randrange(SEED_LIMIT)
    folder = arguments.logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    failed = 0
    for seed in range(first, first + arguments.count):
        logs = folder / str(seed)
        logs.mkdir(parents=True, exist_ok=True)
        played = world.World(
            folder=logs,
            seed=seed,
            size=arguments.size,
            restores=arguments.restores,
            planned=arguments.planned,
        )
        report = asyncio.run(played.run(arguments.seconds))
        print(f"seed {seed}: {len(report.violations)} violations, {len(report.faults)} faults")
        print(f"  answers {report.codes}", flush=True)
        for violation in report.violations[:10]:
            print(f"  {violation}")
        if report.violations:
            print(f"  faults {report.faults}\n  logs {logs}", flush=True)
        failed += bool(report.violations)
    print(f"{arguments.count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
