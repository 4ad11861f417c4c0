"""Identity and authorization of sessions, and the refusals that callers receive."""

import dataclasses

from returns import result

from greengageshunt import errors, model
from greengageshunt.pooling import statements

# Client account of statements without a known key, which only open databases accept.
KEYLESS_ACCOUNT = "-"

# Seconds after which a caller may retry a statement that did not run.
BUSY_RETRY_AFTER = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identity:
    """Database and key with which a session was opened.

    Attributes:
        database: Name of the database.
        digest: Digest of the key, or an empty string without a key.
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
    """Return a refusal whose outcome, derived from its code, shows whether the statement ran."""
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
    """Return the database and the client account of a session as configured.

    An open database accepts callers without a known key under ``KEYLESS_ACCOUNT``.
    """
    database = configuration.databases_by_name.get(identity.database)
    if database is None:
        return result.Failure(
            refusal(
                statements.Code.NO_DATABASE,
                "no such database",
                step="authorize",
            )
        )
    account = configuration.accounts_by_digest.get(identity.digest)
    if account is not None:
        return result.Success((database, account))
    if database.open:
        return result.Success((database, KEYLESS_ACCOUNT))
    return result.Failure(refusal(statements.Code.DENIED, "the key is unknown", step="authorize"))
