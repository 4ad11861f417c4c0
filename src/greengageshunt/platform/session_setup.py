"""Commands that give a connection to a target the session values and prepared statements it needs.

A target answers each of them with ``COMPLETE -``, and may send each such answer once more, at any
later moment. After ``earlier`` such answers, the one that follows a command can therefore be a
repeated one, while the target has refused the command and its error arrives later. Each repeated
answer delays that error by one place, so it arrives among the next ``earlier + 1`` answers. As many
harmless commands are added behind the last one that matters as make sure of that, and nothing else
is sent before all of them are answered.

In a transaction, an error also shows in the state that the next answers name, and a statement that
was not prepared is not run. So there only session values are followed by harmless commands, and by
none where they would be too many.
"""

import dataclasses
from collections import abc

# Most commands that are added. Above it, another connection costs less.
PADDING_LIMIT = 16

# The same in a transaction, which can't use another connection.
TRANSACTION_PADDING_LIMIT = 32

# Bytes of the longest command that is repeated on a connection that was set up before.
PADDING_SIZE_LIMIT = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class SessionSetup:
    """Session values and prepared statements of a connection.

    Attributes:
        values: Session values by name.
        names: Name of each prepared statement, by its shape.
        name_count: Number of names that were used so far. None is used twice on a connection.
    """

    values: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    names: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    name_count: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Commands, and what the connection has once all of them succeeded.

    Attributes:
        commands: Texts of the commands that matter.
        padding: Texts of the harmless commands that follow them.
        result: Session values and prepared statements afterwards.
    """

    commands: tuple[str, ...]
    padding: tuple[str, ...]
    result: SessionSetup


def plan(
    current: SessionSetup,
    values: abc.Mapping[str, str],
    shapes: abc.Collection[str],
    *,
    earlier: int,
    in_transaction: bool = False,
) -> Plan:
    """Return the commands that a connection needs for a statement of a session.

    Args:
        current: What the connection has.
        values: Session values that it must have, and no others.
        shapes: Shapes that must be prepared.
        earlier: Answers without a signature that have arrived on the connection.
        in_transaction: Whether a transaction is open on it.
    """
    commands = []
    if not current.values.keys() <= values.keys():
        commands.append("RESET")
        current = SessionSetup(name_count=current.name_count)
    commands.extend(
        f"SET {name} {value}" for name, value in values.items() if current.values.get(name) != value
    )
    value_commands = len(commands)
    names = dict(current.names)
    count = current.name_count
    for shape in shapes:
        if shape not in names:
            names[shape] = f"p{count}"
            count += 1
            commands.append(f"PREPARE {names[shape]} {shape}")
    if not commands:
        return Plan(commands=(), padding=(), result=current)
    length = earlier + len(commands) - 1
    if in_transaction and (not value_commands or length > TRANSACTION_PADDING_LIMIT):
        length = 0
    if values:
        padding = [min((f"SET {name} {value}" for name, value in values.items()), key=len)] * length
    elif names:
        # Names that are never executed. RESET would drop the others.
        shape = min(names, key=len)
        padding = [f"PREPARE p{number} {shape}" for number in range(count, count + length)]
        count += length
    else:
        padding = ["RESET"] * length
    result = SessionSetup(values=dict(values), names=names, name_count=count)
    return Plan(commands=tuple(commands), padding=tuple(padding), result=result)


def is_cheap(planned: Plan, *, earlier: int) -> bool:
    """Return whether a plan costs less than another connection, with its own set-up."""
    if not earlier:
        return True
    longest = max(map(len, planned.padding), default=0)
    return len(planned.padding) <= PADDING_LIMIT and longest <= PADDING_SIZE_LIMIT
