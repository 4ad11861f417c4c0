"""Opens sessions, and admits their operations."""

import logging
import math

from returns import result

from greengageshunt import application, errors, logs, model
from greengageshunt.configuration import keys
from greengageshunt.pooling import execution, identity, reports, session, statements

logger = logging.getLogger(__name__)

# Seconds after a client account exceeded its rate limit during which no connection is opened for
# its operations before they are admitted.
REJECTED_PERIOD = 1.0


class SessionHost:
    """Opens sessions, and admits their operations."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._configuration = app.part("configuration", "state")
        self._confirmation = app.part("membership", "confirmation")
        self._admission = app.selected("admission")
        self._executor = app.part("pooling", "executor")
        self._rejected_at: dict[str, float] = {}

    @property
    def executor(self) -> execution.Executor:
        """Executor that places operations on connections."""
        return self._executor

    @property
    def idle_transaction_limit(self) -> float:
        """Seconds after which an idle transaction may be aborted."""
        return self._configuration.current.idle_transaction_limit

    def clock(self) -> float:
        """Return monotonic seconds."""
        return self._app.clock()

    def open(self, database: str, key: str) -> result.Result[session.Session, errors.Refusal]:
        """Open a session, or return the refusal.

        Args:
            database: Name of the database.
            key: Key that the caller sent, or an empty string.
        """
        configuration = self._configuration.current
        caller = identity.Identity(database=database, digest=keys.sha256_hex(key) if key else "")
        if not configuration.version:
            refused = identity.refusal(
                statements.Code.BUSY,
                "this entry VM has no configuration yet",
                step="open",
                retry_after=identity.BUSY_RETRY_AFTER,
            )
            return result.Failure(refused)
        authorized = identity.authorize(configuration, caller)
        if isinstance(authorized, result.Failure):
            self._log_refused("open-session", "", caller, authorized.failure())
            return authorized
        return result.Success(session.Session(host=self, caller=caller))

    async def admit(
        self,
        caller: identity.Identity,
        request: str,
        received_at: float,
        *,
        primary_only: bool,
        transaction: bool,
        last_commit_position: model.Position | None,
    ) -> result.Result[execution.Operation, errors.Refusal]:
        """Check the key, its confirmation and the rate limit at the start of an operation.

        The newest configuration applies, so a withdrawn key is rejected in open sessions, too.

        Args:
            caller: Identity with which the session was opened.
            request: Id of the operation's first statement.
            received_at: Monotonic seconds at which that statement was received.
            primary_only: Whether only the primary can run the operation.
            transaction: Whether the operation is a transaction.
            last_commit_position: Log position of the session's last commit, or None.

        Returns:
            The operation, or the refusal.
        """
        configuration = self._configuration.current
        authorized = identity.authorize(configuration, caller)
        if isinstance(authorized, result.Failure):
            self._log_refused("authorize", request, caller, authorized.failure())
            return authorized
        database, account = authorized.unwrap()
        operation = execution.Operation(
            id=request,
            database=database,
            account=account,
            began_at=received_at,
            primary_only=primary_only,
            transaction=transaction,
            last_commit_position=last_commit_position,
        )
        if account == identity.KEYLESS_ACCOUNT:
            self._executor.expect(operation)
            return result.Success(operation)
        if self._app.clock() >= self._confirmation.valid_until(self._app.clock()):
            refused = identity.refusal(
                statements.Code.BUSY,
                "keys are not confirmed",
                step="confirm",
                retry_after=1.0,
            )
            self._log_refused("confirm", request, caller, refused)
            return result.Failure(refused)
        limits = configuration.accounts_by_name[account]
        deadline = received_at + database.latency_goal
        if received_at - self._rejected_at.get(account, -math.inf) > REJECTED_PERIOD:
            self._executor.expect(operation)
        admission = await self._admission.admit(limits, deadline)
        if admission.admitted:
            return result.Success(operation)
        self._rejected_at[account] = self._app.clock()
        refused = identity.refusal(
            statements.Code.BUSY,
            "the client account is above its rate limit",
            step="admit",
            retry_after=admission.retry_after,
        )
        self._log_refused("admit", request, caller, refused, account, admission.reason)
        return result.Failure(refused)

    def refund(self, operation: execution.Operation) -> None:
        """Return the rate limit tokens of an operation that no target ran."""
        if operation.account != identity.KEYLESS_ACCOUNT:
            self._admission.refund(operation.account)

    def report(self, report: reports.Report) -> None:
        """Emit the result of a statement for the metrics."""
        self._app.events.emit("statement-ended", report)

    def _log_refused(
        self,
        step: str,
        request: str,
        caller: identity.Identity,
        refused: errors.Refusal,
        account: str = "",
        reason: str = "",
    ) -> None:
        now = self._app.clock()
        logs.log_decision(
            logger,
            step,
            level=logging.WARNING,
            request=request,
            account=account,
            database=caller.database,
            key=caller.digest[:8],
            configuration=self._configuration.version,
            configuration_age=round(now - self._confirmation.confirmed_at(now), 3),
            outcome=refused.code,
            reason=reason or refused.message,
        )
        self.report(
            reports.Report(
                consistency="",
                kind="",
                code=refused.code,
                step=refused.step,
                seconds=0.0,
                replica=False,
            )
        )


def setup(app: application.Application) -> None:
    """Register the session host."""
    app.add_event("statement-ended")
    app.add_part("pooling", "sessions", lambda app: SessionHost(app=app))
