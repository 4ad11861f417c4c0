"""Comparison of log positions across terms.

Each change of the primary starts a term, and may drop the last log entries of the old primary.
A position is therefore an offset together with the term of the entry at that offset.
"""

from collections import abc

from greengageshunt import model


def term_at(history: abc.Sequence[model.TermStart], offset: int) -> int:
    """Return the term of the log entry at an offset, or 0 before the first entry.

    Args:
        history: Start of each term in the log, in rising order.
        offset: Offset of the entry.
    """
    return next((start.term for start in reversed(history) if start.first_offset <= offset), 0)


def last_position(status: model.TargetStatus) -> model.Position:
    """Return the position of the last entry in a target's log.

    The term is that of the entry, not the newest term that the target has accepted.
    Logs are therefore equal up to positions that are equal.
    """
    return model.Position(term=term_at(status.history, status.offset), offset=status.offset)


def is_lost(position: model.Position, history: abc.Iterable[model.TermStart]) -> bool:
    """Return whether a promotion dropped the log entry at a position.

    Args:
        position: Position that a session has seen.
        history: Start of each term in the log of the current primary.
    """
    return any(
        start.term > position.term and start.first_offset <= position.offset for start in history
    )


def contains(status: model.TargetStatus, position: model.Position) -> bool:
    """Return whether a target's log contains the entry at a position.

    A comparison of offsets alone would accept the diverged log of an old primary.
    """
    if status.offset < position.offset:
        return False
    return term_at(status.history, position.offset) == position.term
