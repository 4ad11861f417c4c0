"""Commands that give a connection to a target the session values and prepared statements it needs.

A target answers each of them with ``COMPLETE -``, and may send each such answer once more, at any
later moment. Where up to ``earlier`` such answers may still arrive, the one that follows a command
can be one of them, while the target has refused the command and its error arrives later. Each of
them delays that error by one place, so it arrives among the next ``earlier + 1`` answers. As many
harmless commands are added behind the last one that matters as make sure of that, and nothing else
is sent before all of them are answered.

In a transaction, an error also shows in the state that the next answers name, and a statement that
was not prepared is not run. So there only session values are followed by harmless commands. Where
these would be too many or too long, and no other connection can be used, none are added.
"""

import dataclasses
from collections import abc

# Most commands that are added. Above it, another connection costs less.
PADDING_LIMIT = 16

# The same in a transaction, which can't use another connection.
TRANSACTION_PADDING_LIMIT = 32

# Most characters that are added. Values of up to 1 MiB would otherwise fill the memory.
PADDING_SIZE_LIMIT = 2**16


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
        complete: Whether these are as many as needed.
        result: Session values and prepared statements afterwards.
    """

    commands: tuple[str, ...]
    padding: tuple[str, ...]
    complete: bool
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
        earlier: Most answers without a signature that may still arrive for earlier statements.
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
        return Plan(commands=(), padding=(), complete=True, result=current)
    needed = earlier + len(commands) - 1
    if in_transaction and not value_commands:
        needed = 0
    result = SessionSetup(values=dict(values), names=names, name_count=count + needed)
    padding = harmless_commands(dataclasses.replace(result, name_count=count), needed)
    too_many = in_transaction and len(padding) > TRANSACTION_PADDING_LIMIT
    complete = not too_many and sum(map(len, padding)) <= PADDING_SIZE_LIMIT
    return Plan(
        commands=tuple(commands),
        padding=padding if complete else (),
        complete=complete,
        result=result,
    )


def harmless_commands(current: SessionSetup, length: int) -> tuple[str, ...]:
    """Return commands that change nothing for the statements of a connection.

    They may use ``length`` further names.
    """
    if current.values:
        commands = (f"SET {name} {value}" for name, value in current.values.items())
        return (min(commands, key=len),) * length
    if current.names:
        # Names that are never executed. RESET would drop the others.
        shape, first = min(current.names, key=len), current.name_count
        return tuple(f"PREPARE p{number} {shape}" for number in range(first, first + length))
    return ("RESET",) * length


def is_cheap(planned: Plan, *, earlier: int) -> bool:
    """Return whether a plan is preferred to the set-up of another connection.

    Args:
        planned: The plan.
        earlier: Most answers without a signature that may still arrive for earlier statements.
    """
    return not earlier or (planned.complete and len(planned.padding) <= PADDING_LIMIT)
