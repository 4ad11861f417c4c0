"""Decisions of a promoter: who won, which target to promote, and when to open it."""

import dataclasses
import math
from collections import abc

from greengageshunt import model
from greengageshunt.failover import grants
from greengageshunt.routing import history

# Fraction by which a promoter waits longer than a write grant lasts. It covers clocks of
# entry VMs that run at different rates; if it is too small, two primaries may acknowledge.
CLOCK_RATE_MARGIN = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vote:
    """A target's acceptance of a term.

    Attributes:
        previous_term: Highest term that the target had accepted before.
        status: Status of the target after its acceptance.
        received_at: Monotonic seconds at which the promoter received the answer.
    """

    previous_term: int
    status: model.TargetStatus
    received_at: float


def is_won(record: model.GroupRecord, votes: abc.Sequence[Vote]) -> bool:
    """Return whether a majority of targets accepted the term."""
    return len(votes) >= record.majority


def choose_target(record: model.GroupRecord, votes: abc.Iterable[Vote], preferred: str) -> str:
    """Return the name of the target to promote.

    The target has the highest log position of all votes, so its log contains each
    write that a second target had confirmed. A draining target is chosen only if
    no other target has that position: an acknowledged write has precedence over
    the drain.

    Args:
        record: Record of the group.
        votes: Votes of a majority.
        preferred: Target that has precedence among equal positions; may be empty.
    """

    def key(vote: Vote) -> tuple[model.Position, bool, bool, str]:
        status = vote.status
        return (
            history.last_position(status),
            status.target not in record.draining,
            status.target == preferred,
            status.target,
        )

    return max(votes, key=key).status.target


def has_fenced_primary(record: model.GroupRecord, votes: abc.Iterable[Vote]) -> bool:
    """Return whether the votes prove that the old primary is fenced and no other is open.

    The record's primary accepted the new term while it was open, which fences it.
    None of the majority had accepted a term between the record's and the new one,
    so no other target can have been promoted in between.
    """
    votes = tuple(votes)
    if not is_won(record, votes) or any(vote.previous_term > record.term for vote in votes):
        return False
    return any(
        vote.status.target == record.primary
        and vote.previous_term == record.term
        and vote.status.role is model.Role.PRIMARY
        and bool(vote.status.history)
        and vote.status.history[-1].term == record.term
        for vote in votes
    )


def earliest_promotion(record: model.GroupRecord, votes: abc.Iterable[Vote]) -> float:
    """Return the monotonic seconds from which the new primary may be opened.

    By then, each write grant of an older term has expired. A grant is based on
    checks of a majority of targets. At least one of these targets is among the
    votes, and its check was sent before it accepted the new term.
    """
    answer_times = sorted(vote.received_at for vote in votes)
    if len(answer_times) < record.majority:
        return math.inf
    return answer_times[record.majority - 1] + grants.GRANT_DURATION * (1 + CLOCK_RATE_MARGIN)
