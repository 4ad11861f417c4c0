"""Decision of a group's record from the statuses of its targets, without the platform."""

import dataclasses
from collections import abc

from greengageshunt import model


def with_primary(record: model.GroupRecord, promoted: model.TargetStatus) -> model.GroupRecord:
    """Return a record with the term, primary and history of a promoted target.

    An operator's request ends with the next change of primary, whichever it is,
    so that an old request never moves a later primary.
    """
    return dataclasses.replace(
        record,
        term=promoted.term,
        primary=promoted.target,
        history=promoted.history,
        intent=None,
        requested_primary="",
    )


def newer_record(
    record: model.GroupRecord, statuses: abc.Iterable[model.TargetStatus]
) -> model.GroupRecord | None:
    """Return the record of a later term that the statuses of a group show, or None.

    A target that is open for its term was promoted by a promoter to which a
    majority gave that term, so it was the primary of the term. It still may
    not be the newest one: the record is decided only if a majority of targets,
    the primary included, reported no higher term.

    Args:
        record: Record known so far.
        statuses: Newest status of each target that has one.
    """
    known = [status for status in statuses if record.target(status.target)]
    promoted = [status for status in known if status.open and status.term > record.term]
    if not promoted:
        return None
    newest = max(promoted, key=lambda status: status.term)
    agreeing = [status for status in known if status.term <= newest.term]
    if len(agreeing) < record.majority:
        return None
    return with_primary(record, newest)


def serves(status: model.TargetStatus | None, record: model.GroupRecord) -> bool:
    """Return whether a status shows the primary of the record open for the record's term."""
    return (
        status is not None
        and status.target == record.primary
        and status.open
        and status.term == record.term
    )
