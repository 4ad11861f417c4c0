"""Who opened a session, what it may use, and the refusals that callers see."""

import dataclasses

from returns import result

from greengageshunt import errors, model
from greengageshunt.pooling import statements

# Account under which statements run that need no key.
OPEN_ACCOUNT = "-"

# Seconds after which a statement that did not run may be tried again.
BUSY_RETRY_AFTER = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identity:
    """Who opened a session, and which database.

    Attributes:
        database: Name of the database.
        digest: Digest of the key, or an empty string.
    """

    database: str
    digest: str


def refusal(
    code: statements.Code,
    message: str,
    *,
    step: str,
    peer: str = "",
    retry_after: float | None = None,
) -> errors.Refusal:
    """Return an error for a caller; its code says whether the statement ran."""
    not_run = code in statements.NOT_RUN or code in (
        statements.Code.ABORTED,
        statements.Code.DENIED,
        statements.Code.NO_DATABASE,
        statements.Code.MALFORMED,
    )
    return errors.Refusal(
        code=code,
        message=message,
        outcome=errors.Outcome.NOT_RUN if not_run else errors.Outcome.UNKNOWN,
        step=step,
        peer=peer,
        retry_after=retry_after,
    )


def authorize(
    configuration: model.Configuration, identity: Identity
) -> result.Result[tuple[model.Database, str], errors.Refusal]:
    """Return the database and the client account of a session, by a configuration."""
    database = configuration.databases_by_name.get(identity.database)
    if database is None:
        return result.Failure(
            refusal(statements.Code.NO_DATABASE, "no such database", step="authorize")
        )
    account = configuration.accounts_by_digest.get(identity.digest)
    if account is not None:
        return result.Success((database, account))
    if database.open:
        return result.Success((database, OPEN_ACCOUNT))
    return result.Failure(refusal(statements.Code.DENIED, "the key is unknown", step="authorize"))
