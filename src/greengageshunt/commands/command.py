"""What a subcommand of ``greengageshuntctl`` is, gets and returns."""

import argparse
import dataclasses
import enum
from collections import abc
from typing import Any

from greengageshunt import application


class Exit(enum.IntEnum):
    """Exit codes."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NOT_EVERYWHERE = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """Result of a subcommand.

    Attributes:
        exit: Exit code.
        lines: Text for people.
        document: The same for ``--json``.
    """

    exit: Exit
    lines: tuple[str, ...]
    document: abc.Mapping[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Context:
    """What a subcommand gets.

    Attributes:
        app: Kernel; its settings are loaded if the subcommand needs the platform.
        arguments: Parsed command line.
        progress: Shows a line of progress.
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
        help: One sentence.
        examples: Example command lines without the program's name.
        run: Runs the subcommand.
        add_arguments: Adds its arguments to the parser.
        needs_platform: Whether it needs the address of the platform.
    """

    group: str
    name: str
    help: str
    examples: tuple[str, ...]
    run: abc.Callable[[Context], abc.Awaitable[Outcome]]
    add_arguments: abc.Callable[[argparse.ArgumentParser], None] = lambda parser: None
    needs_platform: bool = True


def refused(message: str, *lines: str, **document: Any) -> Outcome:
    """Return the outcome of a subcommand that changed nothing."""
    return Outcome(
        exit=Exit.REFUSED,
        lines=(f"refused: {message}", *lines),
        document={"refused": message, **document},
    )


def add(app: application.Application, command: Command) -> None:
    """Register a subcommand."""
    app.add_part("command", f"{command.group} {command.name}", lambda app: command)


def add_wait(parser: argparse.ArgumentParser) -> None:
    """Add the argument that limits a wait."""
    parser.add_argument(
        "--wait",
        type=float,
        default=10.0,
        metavar="SECONDS",
        help="seconds to wait until the change is in force everywhere (default: 10)",
    )
