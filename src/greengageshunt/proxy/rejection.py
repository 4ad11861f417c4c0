"""Refusals by the owner of a target, and the mapping of target errors to refusals."""

from greengageshunt import errors

# SQLSTATE of a write on a primary that a higher term has fenced: read-only transaction.
READ_ONLY_TRANSACTION = "25006"

# SQLSTATEs of statements that may succeed when retried: serialization failure,
# deadlock, lock not available.
_CONFLICT_STATES = frozenset({"40001", "40P01", "55P03"})

# SQLSTATE of a session that the target closed because its transaction was idle too long.
IDLE_IN_TRANSACTION_TIMEOUT = "25P03"

# SQLSTATE classes of a target that is failing or shutting down: connection exception,
# insufficient resources, operator intervention.
_LOST_CLASSES = frozenset({"08", "53", "57"})


def _refused(code: str, message: str, target: str, outcome: errors.Outcome) -> errors.RefusedError:
    return errors.RefusedError(
        errors.Refusal(code=code, message=message, outcome=outcome, step="owner", peer=target)
    )


def not_run(code: str, message: str, target: str) -> errors.RefusedError:
    """Return the error for a request that had no effect at the target."""
    return _refused(code, message, target, errors.Outcome.NOT_RUN)


def unknown(code: str, message: str, target: str) -> errors.RefusedError:
    """Return the error for a request of unknown outcome."""
    return _refused(code, message, target, errors.Outcome.UNKNOWN)


def _refusal_code(sqlstate: str) -> str:
    if sqlstate == READ_ONLY_TRANSACTION:
        return "not_primary"
    if sqlstate in _CONFLICT_STATES:
        return "conflict"
    if not sqlstate or sqlstate == IDLE_IN_TRANSACTION_TIMEOUT or sqlstate[:2] in _LOST_CLASSES:
        return "target_lost"
    return "statement_rejected"


def from_target_error(error: errors.TargetError, *, commit_sent: bool) -> errors.RefusedError:
    """Return the refusal that corresponds to an error of a target.

    Args:
        error: Error of the driver or of the pool.
        commit_sent: Whether a commit was sent and the target has not answered it.
    """
    if commit_sent:
        return unknown("target_lost", str(error), error.peer)
    return not_run(_refusal_code(error.code), str(error), error.peer)
