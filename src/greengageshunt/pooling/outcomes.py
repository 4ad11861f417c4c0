"""Maps errors and lost answers of targets to the refusals that callers receive."""

from greengageshunt import errors
from greengageshunt.pooling import identity, statements


def refusal_of(code: statements.Code, message: str, *, step: str, peer: str = "") -> errors.Refusal:
    """Return a refusal, with a time for the retry if the statement did not run."""
    retry_after = identity.BUSY_RETRY_AFTER if code in statements.NOT_RUN else None
    return identity.refusal(code, message, step=step, peer=peer, retry_after=retry_after)


def lost_answer_code(
    error: errors.TargetError, *, in_transaction: bool, writes: bool
) -> statements.Code:
    """Return the code for a statement whose connection broke or timed out."""
    if in_transaction:
        # A target rolls back the open transaction of a connection that closes.
        return statements.Code.ABORTED
    if writes and error.sent:
        return statements.Code.INDOUBT
    if error.code == statements.Code.TIMEOUT:
        return statements.Code.TIMEOUT
    return statements.Code.BUSY


def target_refusal(answer: statements.TargetAnswer, target: str) -> errors.Refusal:
    """Return the refusal for a statement that its target answered with an error."""
    is_known = answer.code in set(statements.Code)
    code = statements.Code(answer.code) if is_known else statements.Code.FAILED
    if code is statements.Code.NO_STATEMENT:
        code = statements.Code.BUSY
    step = "refused by target" if code in statements.NOT_RUN else "target"
    return refusal_of(code, answer.message, step=step, peer=target)


def begin_refusal(
    answer: statements.TargetAnswer | errors.TargetError, target: str
) -> errors.Refusal:
    """Return the refusal for a transaction whose ``BEGIN`` failed; no statement of it ran."""
    if isinstance(answer, errors.TargetError):
        reason = str(answer)
    else:
        reason = f"{answer.code} {answer.message}"
    return refusal_of(statements.Code.BUSY, reason, step="begin", peer=target)
