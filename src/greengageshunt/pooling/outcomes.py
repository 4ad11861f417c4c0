"""What the answer of a target, or the loss of one, means for the caller."""

from greengageshunt import errors
from greengageshunt.pooling import identity, statements


def refusal_of(code: statements.Code, message: str, *, step: str, peer: str = "") -> errors.Refusal:
    """Return a refusal that says when to come back if the statement did not run."""
    retry_after = identity.BUSY_RETRY_AFTER if code in statements.NOT_RUN else None
    return identity.refusal(code, message, step=step, peer=peer, retry_after=retry_after)


def broken_code(
    error: errors.TargetError, *, in_transaction: bool, writes: bool
) -> statements.Code:
    """Return the code for a statement whose connection broke or gave no answer."""
    if in_transaction:
        # The target rolls back what is open on a closed connection.
        return statements.Code.ABORTED
    if writes:
        return statements.Code.INDOUBT
    if error.code == statements.Code.TIMEOUT:
        return statements.Code.TIMEOUT
    return statements.Code.BUSY


def target_refusal(answer: statements.TargetAnswer, target: str) -> errors.Refusal:
    """Return the refusal for a statement that its target refused or failed."""
    known = answer.code in set(statements.Code)
    code = statements.Code(answer.code) if known else statements.Code.FAILED
    if code is statements.Code.NO_STATEMENT:
        code = statements.Code.BUSY
    step = "refused by target" if code in statements.NOT_RUN else "target"
    return refusal_of(code, answer.message, step=step, peer=target)


def begin_refusal(
    answer: statements.TargetAnswer | errors.TargetError, target: str
) -> errors.Refusal:
    """Return the refusal for a transaction that could not begin; nothing of it ran."""
    if isinstance(answer, errors.TargetError):
        reason = str(answer)
    else:
        reason = f"{answer.code} {answer.message}"
    return refusal_of(statements.Code.BUSY, reason, step="begin", peer=target)
