"""Sending of requests to owners, and the checks of their answers."""

import logging
from typing import Any

from greengageshunt import application, errors, model
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)


# Seconds for the answer of an owner whose work ended at the deadline. Without them,
# its definite refusal would come just after the request counts as lost.
ANSWER_GRACE = 0.05


def refusal(
    code: str,
    message: str,
    step: str,
    *,
    peer: str = "",
    outcome: errors.Outcome = errors.Outcome.NOT_RUN,
) -> errors.RefusedError:
    """Return the error that ends a request with a refusal."""
    return errors.RefusedError(
        errors.Refusal(code=code, message=message, outcome=outcome, step=step, peer=peer)
    )


class Forwarder:
    """Runs requests at the owner: here, or over a peer link."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view = app.part("membership", "view")
        self._links = app.part("peers", "links")
        self._owner = app.part("proxy", "owner")
        self._transactions = app.part("proxy", "transactions")
        self._invariants = app.part("invariants", "default")
        self._handlers = {
            messages.Execute: self._owner.execute,
            messages.TransactionBegin: self._transactions.begin,
            messages.TransactionEnd: self._transactions.end,
        }

    async def execute(
        self,
        vm: str,
        message: messages.Execute | messages.TransactionEnd,
        now: float,
        *,
        effect: bool,
    ) -> model.Answer:
        """Run a request at its owner and check the answer before its acknowledgement.

        Args:
            vm: The owner.
            message: Request.
            now: Monotonic seconds before the sending.
            effect: Whether the request has an effect when its answer is lost.

        Raises:
            RefusedError: The request did not run, or its outcome is unknown.
        """
        executed = await self.send(vm, message, now, effect=effect)
        self._check(executed, message, vm, now)
        return executed.answer

    async def send(self, vm: str, message: Any, now: float, *, effect: bool) -> Any:
        """Send a request to an owner and return its answer; see ``execute``."""
        if vm == self._view.me.vm:
            return await self._handlers[type(message)](message, now)
        try:
            return await self._links.request(vm, message, message.timeout + ANSWER_GRACE)
        except errors.PeerError as error:
            raise refusal(
                "owner_unreachable" if error.sent else "peer_link_down",
                str(error),
                error.step,
                peer=error.peer,
                outcome=errors.Outcome.UNKNOWN if error.sent and effect else errors.Outcome.NOT_RUN,
            ) from error

    def _check(self, executed: messages.Executed, message: Any, vm: str, now: float) -> None:
        crossed = executed.trace != message.trace
        self._invariants.check("answer-of-request", not crossed, peer=vm, trace=message.trace)
        if crossed or executed.row_count != len(executed.answer.rows):
            raise refusal(
                "answer_incomplete",
                "the answer is of another request, or lacks rows",
                "check",
                peer=vm,
                outcome=errors.Outcome.UNKNOWN,
            )
        # The owner counted from its receipt, which came after this sending.
        if self._app.clock() >= now + executed.grant_after_receipt:
            raise refusal(
                "grant_expired",
                "the write grant ended before the acknowledgement",
                "check",
                peer=vm,
                outcome=errors.Outcome.UNKNOWN,
            )


def setup(app: application.Application) -> None:
    """Register the sending of requests to owners."""
    app.add_part("proxy", "forwarder", lambda app: Forwarder(app=app))
