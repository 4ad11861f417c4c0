"""Ledger of request ids and outcomes, stored at the target in the write's transaction."""

import hashlib
import json
import logging
import math
from collections import abc
from typing import Any

from greengageshunt import errors, model
from greengageshunt.routing import history

logger = logging.getLogger(__name__)

UNIQUE_VIOLATION = "23505"  # SQLSTATE

# Values of the column ``state``.
STATE_DONE = "done"
STATE_REFUSED = "refused"

# Table that the database of each group must have; see docs/platform.md.
REQUESTS_TABLE_SQL = """CREATE TABLE IF NOT EXISTS ggs_requests (
    account TEXT NOT NULL,
    request_id TEXT NOT NULL,
    state TEXT NOT NULL,
    fingerprint TEXT NOT NULL,
    answer TEXT NOT NULL,
    PRIMARY KEY (account, request_id)
)"""

_INSERT = (
    "INSERT INTO ggs_requests (account, request_id, state, fingerprint, answer)"
    " VALUES (%(account)s, %(request_id)s, %(state)s, %(fingerprint)s, '')"
)
_COMPLETE = (
    "UPDATE ggs_requests SET answer = %(answer)s"
    " WHERE account = %(account)s AND request_id = %(request_id)s"
)
_LOOK_UP = (
    "SELECT state, fingerprint, answer FROM ggs_requests"
    " WHERE account = %(account)s AND request_id = %(request_id)s"
)


class CommitProgress:
    """Commit progress of one run of a write.

    When the connection is lost, it decides whether the outcome is known.
    """

    def __init__(self) -> None:
        self._commit_sent = False
        self._committed = False

    @property
    def commit_sent(self) -> bool:
        """Whether the transaction may have committed."""
        return self._commit_sent

    @property
    def committed(self) -> bool:
        """Whether the target confirmed the commit."""
        return self._committed

    def send_commit(self) -> None:
        """Record that the commit is about to be sent, so that its outcome is unknown."""
        self._commit_sent = True

    def reject_commit(self) -> None:
        """Record that the target rejected the commit."""
        self._commit_sent = False

    def confirm_commit(self) -> None:
        """Record that the target confirmed the commit."""
        self._committed = True


def fingerprint(route: str, parameters: abc.Mapping[str, model.Value]) -> str:
    """Return the digest of a request.

    It distinguishes a repeated request from another request with the same id.
    """
    content = json.dumps([route, dict(parameters)], sort_keys=True)
    return hashlib.sha256(content.encode("utf-8", "surrogatepass")).hexdigest()


def plain_value(value: Any) -> model.Value:
    """Return a column value in a type that JSON and CBOR can represent.

    Decimal numbers, dates and other values without a JSON form become text.
    """
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    if value is None or isinstance(value, str | int | float | bool):
        return value
    if isinstance(value, bytes | bytearray | memoryview):
        return bytes(value).hex()
    return str(value)


def _key(work: model.Work) -> dict[str, model.Value]:
    return {"account": work.account, "request_id": work.request_id}


def _parameters(work: model.Work) -> abc.Mapping[str, model.Value]:
    return {**work.parameters, "account": work.account}


def _answer(target: str, statement: Any, status: model.TargetStatus) -> model.Answer:
    return model.Answer(
        columns=tuple(statement.columns),
        rows=tuple(tuple(plain_value(value) for value in row) for row in statement.rows),
        row_count=statement.row_count,
        position=history.last_position(status),
        target=target,
    )


async def run_read(connection: Any, work: model.Work, now: float) -> model.Answer:
    """Run a read, or a statement inside an open transaction, without a ledger entry.

    The status is read first, so that the returned position is not newer than the rows.

    Raises:
        RefusedError: The target does not contain the position that the session has seen.
        TargetError: The target rejected the statement or the connection failed.
    """
    status, statement = await connection.run_after_status(
        "read", work.statement, _parameters(work), now
    )
    # Routing chose the target by an older status. A change of primary may have truncated
    # the log since.
    if work.after is not None and not history.contains(status, work.after):
        raise _refusal("position_not_reached", "the target lacks it", work, status.target)
    return _answer(connection.target.name, statement, status)


async def run_write(
    connection: Any, work: model.Work, now: float, progress: CommitProgress
) -> model.Answer:
    """Run a writing statement and store its request id in the same transaction.

    Without a request id, the statement is run and committed without a ledger entry.

    Args:
        connection: Connection to the primary.
        work: Statement with parameters and request id.
        now: Present time in monotonic seconds.
        progress: Records the progress of the commit.

    Returns:
        The answer of this run, or the answer or refusal that is already stored under the
        request id.

    Raises:
        RefusedError: The request id belongs to another request.
        TargetError: The target rejected a statement or the connection failed. The
            transaction did not commit if the error has a code or if
            ``progress.commit_sent`` is false.
    """
    try:
        if not await _claim(connection, work, STATE_DONE):
            return await look_up(connection, work, now)
        (statement,) = await connection.run("write", work.statement, _parameters(work))
        if work.request_id:
            await connection.run(
                "store-answer", _COMPLETE, {**_key(work), "answer": _encode_answer(statement)}
            )
    except errors.TargetError as error:
        if error.code:
            await connection.run("rollback", "ROLLBACK")
        raise
    status = await commit(connection, work, now, progress)
    return _answer(connection.target.name, statement, status)


async def store_refusal(
    connection: Any, work: model.Work, now: float, progress: CommitProgress
) -> model.Answer:
    """Store a refusal under a request id, so that the request can never run.

    Returns:
        An answer marked as refused, or the stored answer if the request has committed.

    Raises:
        RefusedError: The request id belongs to another request.
        TargetError: As for ``run_write``.
    """
    try:
        claimed = await _claim(connection, work, STATE_REFUSED)
    except errors.TargetError as error:
        if error.code:
            await connection.run("rollback", "ROLLBACK")
        raise
    if not claimed:
        return await look_up(connection, work, now)
    status = await commit(connection, work, now, progress)
    return _refused_answer(connection.target.name, status)


async def commit(
    connection: Any, work: model.Work, now: float, progress: CommitProgress
) -> model.TargetStatus:
    """Commit the open transaction and return the status after it.

    The commit and the status query are sent together, so the target may have rejected
    either. The commit succeeded if the ledger contains the request id.

    Raises:
        TargetError: As for ``run_write``.
    """
    progress.send_commit()
    try:
        status = await connection.commit(now)
    except errors.TargetError as error:
        if not error.code:
            raise
        await connection.run("rollback", "ROLLBACK")
        if not work.request_id:
            raise
        status, entry = await connection.run_after_status("look-up", _LOOK_UP, _key(work), now)
        if not entry.rows:
            progress.reject_commit()
            raise
    progress.confirm_commit()
    return status


async def commit_transaction(
    connection: Any, work: model.Work, now: float, progress: CommitProgress
) -> model.Answer:
    """Store the request id of a commit inside the open transaction, and commit.

    Returns:
        An answer without rows for this commit or an earlier one, or a stored refusal.

    Raises:
        TargetError: As for ``run_write``.
    """
    empty_answer = json.dumps({"columns": [], "rows": [], "row_count": 0})
    try:
        await connection.run("claim", _INSERT, _claim_values(work, STATE_DONE))
        await connection.run("store-answer", _COMPLETE, {**_key(work), "answer": empty_answer})
    except errors.TargetError as error:
        if error.code:
            await connection.run("rollback", "ROLLBACK")
        if error.code != UNIQUE_VIOLATION:
            raise
        return await look_up(connection, work, now)
    status = await commit(connection, work, now, progress)
    return model.Answer(
        columns=(),
        rows=(),
        row_count=0,
        position=history.last_position(status),
        target=connection.target.name,
    )


async def look_up(connection: Any, work: model.Work, now: float) -> model.Answer:
    """Return the stored answer of a request id.

    Raises:
        RefusedError: Nothing is stored, or the id is used by another request.
        TargetError: The connection failed.
    """
    status, entry = await connection.run_after_status("look-up", _LOOK_UP, _key(work), now)
    target = connection.target.name
    if not entry.rows:
        raise _refusal("request_unknown", "nothing is stored under this request id", work, target)
    state, stored_fingerprint, stored_answer = entry.rows[0]
    if work.action is not model.Action.LOOK_UP and stored_fingerprint != _fingerprint(work):
        raise _refusal(
            "request_id_reused", "the id is already used by another request", work, target
        )
    if state == STATE_REFUSED:
        return _refused_answer(target, status)
    document = json.loads(str(stored_answer))
    return model.Answer(
        columns=tuple(document["columns"]),
        rows=tuple(tuple(row) for row in document["rows"]),
        row_count=document["row_count"],
        position=history.last_position(status),
        target=target,
        repeated=True,
    )


def _fingerprint(work: model.Work) -> str:
    return fingerprint(work.route, work.parameters)


def _claim_values(work: model.Work, state: str) -> dict[str, model.Value]:
    return {**_key(work), "state": state, "fingerprint": _fingerprint(work)}


def _encode_answer(statement: Any) -> str:
    rows = [[plain_value(value) for value in row] for row in statement.rows]
    document = {
        "columns": list(statement.columns),
        "rows": rows,
        "row_count": statement.row_count,
    }
    return json.dumps(document)


async def _claim(connection: Any, work: model.Work, state: str) -> bool:
    """Begin a transaction and insert the request id; return False if it is stored already."""
    if not work.request_id:
        await connection.run("begin", "BEGIN")
        return True
    try:
        await connection.run("claim", f"BEGIN; {_INSERT}", _claim_values(work, state))
    except errors.TargetError as error:
        if error.code != UNIQUE_VIOLATION:
            raise
        await connection.run("rollback", "ROLLBACK")
        return False
    return True


def _refused_answer(target: str, status: model.TargetStatus) -> model.Answer:
    return model.Answer(
        columns=(),
        rows=(),
        row_count=0,
        position=history.last_position(status),
        target=target,
        refused=True,
    )


def _refusal(code: str, message: str, work: model.Work, target: str) -> errors.RefusedError:
    # A request whose id is not stored may still be in progress.
    unknown = code == "request_unknown"
    return errors.RefusedError(
        errors.Refusal(
            code=code,
            message=f"request {work.request_id!r}: {message}",
            outcome=errors.Outcome.UNKNOWN if unknown else errors.Outcome.NOT_RUN,
            step="look-up",
            peer=target,
        )
    )
