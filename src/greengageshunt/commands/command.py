"""Interface between ``greengageshuntctl`` and its subcommands."""

import argparse
import dataclasses
import enum
from collections import abc
from typing import Any

from greengageshunt import application


class Exit(enum.IntEnum):
    """Exit codes of ``greengageshuntctl``."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NOT_EVERYWHERE = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Result of a subcommand.

    Attributes:
        exit: Exit code.
        lines: Human-readable output.
        document: The same content as a JSON document, for ``--json``.
    """

    exit: Exit
    lines: tuple[str, ...]
    document: abc.Mapping[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """Input of a subcommand.

    Attributes:
        app: Application; its settings are loaded if the subcommand needs the platform.
        arguments: Parsed command line.
        progress: Prints a progress message to the operator.
    """

    app: application.Application
    arguments: argparse.Namespace
    progress: abc.Callable[[str], None]

    @property
    def platform(self) -> Any:
        """Platform client."""
        return self.app.selected("platform")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Command:
    """A subcommand; plug-ins register it under the role ``command``.

    Attributes:
        group: First word, such as ``sheet``.
        name: Second word, such as ``load``.
        help: One sentence for the help text.
        examples: Example command lines without the program's name.
        run: Runs the subcommand and returns its result.
        add_arguments: Adds its arguments to the parser.
        needs_platform: Whether it accesses the platform and needs its address.
    """

    group: str
    name: str
    help: str
    examples: tuple[str, ...]
    run: abc.Callable[[Context], abc.Awaitable[Outcome]]
    add_arguments: abc.Callable[[argparse.ArgumentParser], None] = lambda parser: None
    needs_platform: bool = True


def refused(message: str, *lines: str, **document: Any) -> Outcome:
    """Return the outcome of a refused or failed subcommand, with extra document fields."""
    return Outcome(
        exit=Exit.REFUSED,
        lines=(f"refused: {message}", *lines),
        document={"refused": message, **document},
    )


def add(app: application.Application, command: Command) -> None:
    """Register a subcommand."""
    app.add_part("command", f"{command.group} {command.name}", lambda app: command)


def add_wait_argument(parser: argparse.ArgumentParser) -> None:
    """Add the argument that limits the wait until a change is in force."""
    parser.add_argument(
        "--wait",
        type=float,
        default=10.0,
        metavar="SECONDS",
        help="seconds to wait until the change is in force everywhere (default: 10)",
    )
