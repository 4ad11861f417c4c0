"""Refusals of the owner of a target, and what errors of targets say to callers."""

from greengageshunt import errors

# SQLSTATE of a primary that a higher term has fenced.
READ_ONLY = "25006"

# SQLSTATEs after which the same statement may succeed: serialization failure,
# deadlock, lock not available.
_CONFLICTS = frozenset({"40001", "40P01", "55P03"})

# SQLSTATE of a session that the target ended because its transaction was idle.
IDLE_IN_TRANSACTION = "25P03"

# SQLSTATE classes of a target that is going away: connection exception,
# insufficient resources, operator intervention.
_LOST_CLASSES = frozenset({"08", "53", "57"})


def _refused(code: str, message: str, target: str, outcome: errors.Outcome) -> errors.RefusedError:
    return errors.RefusedError(
        errors.Refusal(code=code, message=message, outcome=outcome, step="owner", peer=target)
    )


def not_run(code: str, message: str, target: str) -> errors.RefusedError:
    """Return the error for a request that has no effect at the target."""
    return _refused(code, message, target, errors.Outcome.NOT_RUN)


def unknown(code: str, message: str, target: str) -> errors.RefusedError:
    """Return the error for a request whose outcome is not known."""
    return _refused(code, message, target, errors.Outcome.UNKNOWN)


def _code(sqlstate: str) -> str:
    if sqlstate == READ_ONLY:
        return "not_primary"
    if sqlstate in _CONFLICTS:
        return "conflict"
    if not sqlstate or sqlstate == IDLE_IN_TRANSACTION or sqlstate[:2] in _LOST_CLASSES:
        return "target_lost"
    return "statement_rejected"


def of_target_error(error: errors.TargetError, *, commit_sent: bool) -> errors.RefusedError:
    """Return the refusal that an error of a target means for the caller.

    Args:
        error: Error of the driver or of the pool.
        commit_sent: Whether a commit was sent whose answer did not come.
    """
    if commit_sent:
        return unknown("target_lost", str(error), error.peer)
    return not_run(_code(error.code), str(error), error.peer)
