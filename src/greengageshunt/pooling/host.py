"""Opens sessions, and admits their operations."""

import logging

from returns import result

from greengageshunt import application, errors, logs, model
from greengageshunt.configuration import keys
from greengageshunt.pooling import execution, identity, reports, session, statements

logger = logging.getLogger(__name__)


class SessionHost:
    """Opens sessions, and admits their operations."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._configuration = app.part("configuration", "state")
        self._confirmation = app.part("membership", "confirmation")
        self._admission = app.selected("admission")
        self._executor = app.part("pooling", "executor")

    @property
    def executor(self) -> execution.Executor:
        """What runs statements."""
        return self._executor

    @property
    def idle_transaction_limit(self) -> float:
        """Seconds after which an idle transaction may be ended."""
        return self._configuration.current.idle_transaction_limit

    def clock(self) -> float:
        """Return monotonic seconds."""
        return self._app.clock()

    def open(self, database: str, key: str) -> result.Result[session.Session, errors.Refusal]:
        """Open a session, or say why not."""
        configuration = self._configuration.current
        who = identity.Identity(database=database, digest=keys.digest(key) if key else "")
        if not configuration.version:
            refused = identity.refusal(
                statements.Code.BUSY,
                "no configuration yet",
                step="open",
                retry_after=identity.BUSY_RETRY_AFTER,
            )
            return result.Failure(refused)
        authorized = identity.authorize(configuration, who)
        if isinstance(authorized, result.Failure):
            self._log_refused("open-session", "", who, authorized.failure())
            return authorized
        return result.Success(session.Session(host=self, who=who))

    async def admit(
        self, who: identity.Identity, request: str, received_at: float
    ) -> result.Result[tuple[model.Database, str], errors.Refusal]:
        """Check key, confirmation and rate of an operation by the newest configuration."""
        configuration = self._configuration.current
        authorized = identity.authorize(configuration, who)
        if isinstance(authorized, result.Failure):
            self._log_refused("authorize", request, who, authorized.failure())
            return authorized
        database, account = authorized.unwrap()
        if account == identity.OPEN_ACCOUNT:
            return authorized
        if self._app.clock() >= self._confirmation.valid_until(self._app.clock()):
            refused = identity.refusal(
                statements.Code.BUSY,
                "keys are not confirmed",
                step="confirm",
                retry_after=1.0,
            )
            self._log_refused("confirm", request, who, refused)
            return result.Failure(refused)
        limits = configuration.accounts_by_name[account]
        deadline = received_at + database.latency_goal
        decided = await self._admission.admit(limits, deadline)
        if decided.admitted:
            return authorized
        refused = identity.refusal(
            statements.Code.BUSY,
            "the account is above its rate",
            step="admit",
            retry_after=decided.retry_after,
        )
        self._log_refused("admit", request, who, refused, account, decided.reason)
        return result.Failure(refused)

    def give_back(self, operation: execution.Operation) -> None:
        """Give back what the admission of an operation cost that no target ran."""
        if operation.account != identity.OPEN_ACCOUNT:
            self._admission.give_back(operation.account)

    def report(self, report: reports.Report) -> None:
        """Tell the metrics how a statement ended."""
        self._app.events.emit("statement-ended", report)

    def _log_refused(
        self,
        step: str,
        request: str,
        who: identity.Identity,
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
            database=who.database,
            key=who.digest[:8],
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
    """Register the sessions."""
    app.add_event("statement-ended")
    app.add_part("pooling", "sessions", lambda app: SessionHost(app=app))
