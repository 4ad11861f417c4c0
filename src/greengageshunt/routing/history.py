"""Comparison of log positions across terms."""

from collections import abc

from greengageshunt import model


def term_at(history: abc.Sequence[model.TermStart], offset: int) -> int:
    """Return the term of the log entry at an offset, or 0 before the first.

    Args:
        history: Start of each term in the log, in rising order.
        offset: Offset of the entry.
    """
    return next((start.term for start in reversed(history) if start.first_offset <= offset), 0)


def last_position(status: model.TargetStatus) -> model.Position:
    """Return the position of the last entry in a target's log.

    The term is that of the entry, not the term that the target accepted, so
    that equal positions mean equal logs up to there.
    """
    return model.Position(term=term_at(status.history, status.offset), offset=status.offset)


def is_lost(position: model.Position, history: abc.Iterable[model.TermStart]) -> bool:
    """Return whether a promotion dropped the transaction at a position.

    Args:
        position: Position that a session has seen.
        history: Start of each term in the log that is valid now.
    """
    return any(
        start.term > position.term and start.first_offset <= position.offset for start in history
    )


def contains(status: model.TargetStatus, position: model.Position) -> bool:
    """Return whether a target's log contains the transaction at a position.

    Comparing offsets alone would accept the diverged log of an old primary.
    """
    if status.offset < position.offset:
        return False
    return term_at(status.history, position.offset) == position.term
