"""Sending of requests to owners, and checks of their answers."""

import logging
from typing import Any

from greengageshunt import application, errors, model
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)


# Seconds beyond the deadline for the answer of an owner to arrive. Without them, the
# definite refusal of an owner that stops at the deadline would arrive after the request
# has timed out, and its outcome would be reported as unknown.
ANSWER_GRACE = 0.05


def refusal(
    code: str,
    message: str,
    step: str,
    *,
    peer: str = "",
    outcome: errors.Outcome = errors.Outcome.NOT_RUN,
) -> errors.RefusedError:
    """Return the error that carries a refusal."""
    return errors.RefusedError(
        errors.Refusal(code=code, message=message, outcome=outcome, step=step, peer=peer)
    )


class Forwarder:
    """Runs requests at the owner of their target: in this process or over a peer link."""

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
        """Run a request at an owner, and check the answer before it is acknowledged.

        Args:
            vm: Entry VM that owns the target.
            message: Request.
            now: Monotonic seconds before the message is sent.
            effect: Whether the request may have changed data although its answer is lost.

        Raises:
            RefusedError: The request did not run, or its outcome is unknown.
        """
        executed = await self.send(vm, message, now, effect=effect)
        self._check(executed, message, vm, now)
        return executed.answer

    async def send(self, vm: str, message: Any, now: float, *, effect: bool) -> Any:
        """Send a request to an owner and return its answer unchecked; see ``execute``."""
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
        mismatched = executed.trace != message.trace
        self._invariants.check("answer-of-request", not mismatched, peer=vm, trace=message.trace)
        if mismatched or executed.row_count != len(executed.answer.rows):
            raise refusal(
                "answer_incomplete",
                "the answer belongs to another request, or rows are missing",
                "check",
                peer=vm,
                outcome=errors.Outcome.UNKNOWN,
            )
        # The owner counts the rest of its grant from the receipt of the request. Counting it
        # from the earlier sending is safe without a common clock.
        if self._app.clock() >= now + executed.grant_after_receipt:
            raise refusal(
                "grant_expired",
                "the write grant expired before the acknowledgement",
                "check",
                peer=vm,
                outcome=errors.Outcome.UNKNOWN,
            )


def setup(app: application.Application) -> None:
    """Register the sending of requests to owners."""
    app.add_part("proxy", "forwarder", lambda app: Forwarder(app=app))
