"""Derives a group's record from the statuses of its targets, without the platform."""

import dataclasses
from collections import abc

from greengageshunt import model


def with_promoted_target(
    record: model.GroupRecord, promoted: model.TargetStatus
) -> model.GroupRecord:
    """Return a record with the term, primary and history of a promoted target.

    Any change of primary clears an operator's request for one, so that an outdated request never
    replaces a later primary.

    Args:
        record: Newest known record of the group.
        promoted: Status of the promoted target.
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
    """Return the record of a later term that the statuses of a group prove, or None.

    A target that is open for its term was promoted by a promoter whose term a majority of targets
    accepted, so the target was the primary of that term. A later term may exist nevertheless.
    The record is therefore returned only if a majority of targets, the primary included, reported
    no higher term.

    Args:
        record: Newest known record of the group.
        statuses: Newest status of each target that has one.
    """
    group_statuses = [status for status in statuses if record.target(status.target)]
    promoted = [status for status in group_statuses if status.open and status.term > record.term]
    if not promoted:
        return None
    newest = max(promoted, key=lambda status: status.term)
    not_newer = [status for status in group_statuses if status.term <= newest.term]
    if len(not_newer) < record.majority:
        return None
    return with_promoted_target(record, newest)


def is_open_primary(status: model.TargetStatus | None, record: model.GroupRecord) -> bool:
    """Return whether a status is that of the record's primary, open for the record's term."""
    return (
        status is not None
        and status.target == record.primary
        and status.open
        and status.term == record.term
    )
