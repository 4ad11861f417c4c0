"""Admission policy with a share of each account on some entry VMs, which lend it to others."""

import asyncio
import logging

from greengageshunt import application, errors, logs, model
from greengageshunt.admission import decision, holding, ledger, loan_messages
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)

# Seconds for which a request waits for a loan or a refill before it is rejected.
MAX_ADMISSION_WAIT = 0.05

LOAN_TIMEOUT = 0.15  # seconds to wait for a lender's response

# Seconds between a round of loan requests that gained nothing and the next round. The back-off
# doubles from MIN_BACKOFF to MAX_BACKOFF.
MIN_BACKOFF = 0.02
MAX_BACKOFF = 0.32

REFRESH_INTERVAL = 0.1  # seconds between updates of all holdings

# Seconds before the end of a loan from which the borrower requests its prolongation.
PROLONG_BEFORE = 0.6

# Longest time in seconds between reading the clock and the end of a decision. If the process was
# paused in between, the spent token may have expired, so the process decides again.
MAX_DECISION_TIME = 0.05


class LeasedShares:
    """Spends tokens of own and borrowed shares.

    Each round of loan requests for an account is one task.
    """

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._links = app.part("peers", "links")
        self._members = app.part("membership", "view")
        self._table = app.part("membership", "share-table")
        self._shares = app.part("membership", "shares")
        self._ledger = ledger.ShareLedger(
            view=self._shares, invariants=app.part("invariants", "default")
        )
        self._rounds: dict[str, asyncio.Task[None]] = {}
        self._return_tasks: set[asyncio.Task[None]] = set()
        self._awaiting_refill: set[str] = set()
        self._loan_events: dict[str, asyncio.Event] = {}
        self._backoffs: dict[str, float] = {}
        self._next_round_at: dict[str, float] = {}
        app.events.connect("shares-changed", self._refresh)
        app.events.connect("configuration-changed", self._apply_configuration)
        app.events.connect("configuration-read", self._shares.record_configuration_read)
        app.part("peers", "server").add_handler(loan_messages.LoanRequest, self._handle_request)
        app.part("peers", "server").add_handler(loan_messages.LoanReturn, self._handle_return)
        known = app.part("configuration", "state").current
        if known.version:
            self._apply_configuration(known)

    @property
    def ready(self) -> bool:
        """Whether requests can be admitted."""
        return self._table.overdue or (
            self._table.seated and self._ledger.own_shares_valid_until > self._app.clock()
        )

    async def run(self) -> None:
        """Maintain the share table, the own shares and the loans until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._table.run())
            group.create_task(self._maintain_loans())

    async def admit(
        self, account: model.ClientAccount, deadline: float
    ) -> decision.AdmissionDecision:
        """Decide whether one request of a client account may run.

        Args:
            account: The client account.
            deadline: Monotonic seconds after which the caller no longer waits.
        """
        now = self._app.clock()
        self._ledger.count_request(account.name, now)
        if self._spend(account.name):
            self._borrow_early(account.name, now)
            return decision.AdmissionDecision(admitted=True, reason="within the held share")
        until = min(deadline, now + MAX_ADMISSION_WAIT)
        if await self._spend_loan(account.name, until):
            return decision.AdmissionDecision(admitted=True, reason="within a loan")
        if await self._spend_refill(account.name, until):
            return decision.AdmissionDecision(admitted=True, reason="within the refill")
        now = self._app.clock()
        held = self._ledger.holding_of(account.name, now)
        return decision.AdmissionDecision(
            admitted=False,
            reason="above the held share, and no loan",
            retry_after=min(holding.retry_after(held, 1.0, now), 1.0),
        )

    def _spend(self, account: str) -> bool:
        """Spend a token at the current time; return whether there was one."""
        while True:
            now = self._app.clock()
            if not self._ledger.spend(account, now):
                return False
            if self._app.clock() - now <= MAX_DECISION_TIME:
                return True

    async def _spend_loan(self, account: str, until: float) -> bool:
        """Wait for loans until a token can be spent; return whether one was spent."""
        while True:
            now = self._app.clock()
            round_ = self._start_round(account, now)
            if now >= until:
                return False
            if round_ is None:
                # By the next round, other VMs may have returned loans to the lenders.
                if self._next_round_at[account] >= until:
                    return False
                await asyncio.sleep(self._next_round_at[account] - now)
                continue
            loan_event = self._loan_events.setdefault(account, asyncio.Event())
            try:
                async with asyncio.timeout(until - now):
                    await loan_event.wait()
            except TimeoutError:
                return self._spend(account)
            if self._spend(account):
                return True

    async def _spend_refill(self, account: str, until: float) -> bool:
        """Wait for the next token if it is due in time; return whether it was spent.

        Only one request of an account waits at a time, so that an account above its
        rate does not accumulate waiting requests on the entry VM.
        """
        now = self._app.clock()
        held = self._ledger.holding_of(account, now)
        delay = holding.retry_after(held, 1.0, now)
        if account in self._awaiting_refill or held.capacity < 1.0 or now + delay > until:
            return False
        self._awaiting_refill.add(account)
        try:
            await asyncio.sleep(delay)
        finally:
            self._awaiting_refill.discard(account)
        return self._spend(account)

    def _start_round(self, account: str, now: float) -> asyncio.Task[None] | None:
        """Return the running round of loan requests, which this starts if there is none.

        Returns None during the back-off after a round that gained nothing.
        """
        if account not in self._rounds:
            if now < self._next_round_at.get(account, now):
                return None
            self._rounds[account] = asyncio.create_task(
                self._run_round(account), name=f"loans of {account}"
            )
        return self._rounds[account]

    async def _run_round(self, account: str) -> None:
        lenders = self._lenders(account)
        try:
            requests = [self._request_loan(account, vm, len(lenders)) for vm in lenders]
            gained = await asyncio.gather(*requests)
        finally:
            del self._rounds[account]
        if any(gained):
            self._backoffs.pop(account, None)
        else:
            backoff = self._backoffs.get(account, MIN_BACKOFF / 2) * 2
            self._backoffs[account] = min(backoff, MAX_BACKOFF)
            self._next_round_at[account] = self._app.clock() + self._backoffs[account]
        self._notify_waiting(account)

    def _lenders(self, account: str) -> tuple[str, ...]:
        """Return the names of the live peers that have a share of an account."""
        now = self._app.clock()
        return tuple(
            seat.vm
            for seat in self._shares.holders_of(account)
            if seat != self._shares.me and self._members.is_live(seat.vm, now)
        )

    async def _request_loan(self, account: str, vm: str, lenders: int) -> bool:
        """Request a loan from one lender; return whether it increased the held fraction."""
        sent_at = self._app.clock()
        current = self._ledger.loans_to_prolong(account, sent_at)
        request = loan_messages.LoanRequest(
            borrower=self._shares.me,
            account=account,
            fraction=self._ledger.requested_fraction(account, lenders, sent_at),
            prolong=tuple(loan.loan_id for loan in current if loan.lender.vm == vm),
        )
        if not request.prolong and request.fraction < ledger.MIN_LOAN_FRACTION:
            return False
        try:
            loan = await self._links.request(vm, request, LOAN_TIMEOUT)
        except (errors.PeerError, errors.RefusedError) as error:
            logger.info(
                "loan not received", extra={"account": account, "peer": vm, "reason": str(error)}
            )
            return False
        gained = self._ledger.borrow(loan, sent_at, self._app.clock())
        if gained:
            self._notify_waiting(account)
            logs.log_decision(
                logger,
                "borrow",
                account=account,
                lender=vm,
                fraction=loan.fraction,
                tokens=loan.tokens,
            )
        return gained

    def _notify_waiting(self, account: str) -> None:
        loan_event = self._loan_events.pop(account, None)
        if loan_event is not None:
            loan_event.set()

    def _borrow_early(self, account: str, now: float) -> None:
        """Start a round of loan requests before the tokens are used up."""
        if self._ledger.requested_fraction(account, len(self._lenders(account)), now) > 0:
            self._start_round(account, now)

    async def _maintain_loans(self) -> None:
        """Prolong the loans that are needed and return the others until cancelled."""
        while True:
            now = self._app.clock()
            self._ledger.refresh(now)
            for account in self._ledger.active_accounts(now):
                self._return_loans(account, now)
                ends = [loan.ends_at for loan in self._ledger.loans_to_prolong(account, now)]
                if ends and min(ends) - now < PROLONG_BEFORE:
                    self._start_round(account, now)
            await asyncio.sleep(REFRESH_INTERVAL)

    async def _handle_request(
        self, request: loan_messages.LoanRequest, received_at: float
    ) -> loan_messages.Loan:
        now = self._app.clock()
        loan = self._ledger.lend(request, now)
        if request.fraction > 0:
            self._return_loans(request.account, now)
        if loan.fraction:
            logs.log_decision(
                logger,
                "lend",
                account=loan.account,
                borrower=request.borrower.vm,
                fraction=loan.fraction,
                tokens=loan.tokens,
                seconds=loan.seconds,
            )
        return loan

    def _return_loans(self, account: str, now: float) -> None:
        """Return the loans that this VM does not need to their lenders, each in its own task."""
        for returned in self._ledger.return_loans(account, now):
            task = asyncio.create_task(self._send_return(returned))
            self._return_tasks.add(task)
            task.add_done_callback(self._return_tasks.discard)

    async def _send_return(self, returned: loan_messages.LoanReturn) -> None:
        try:
            await self._links.request(returned.lender.vm, returned, LOAN_TIMEOUT)
        except (errors.PeerError, errors.RefusedError) as error:
            fields = {"account": returned.account, "reason": str(error)}
            logger.info("loan not returned", extra={"peer": returned.lender.vm, **fields})

    async def _handle_return(
        self, returned: loan_messages.LoanReturn, received_at: float
    ) -> messages.Acknowledged:
        self._ledger.accept_return(returned, self._app.clock())
        return messages.Acknowledged()

    def _apply_configuration(self, configuration: model.Configuration) -> None:
        if self._shares.adopt_configuration(configuration):
            self._refresh()

    def _refresh(self, _: object = None) -> None:
        self._ledger.refresh(self._app.clock())


class _IdleService:
    """Service of a program that selects another admission policy."""

    async def run(self) -> None:
        """Wait until cancelled."""
        await asyncio.Event().wait()


def setup(app: application.Application) -> None:
    """Register the policy and its service."""

    def create_service(app: application.Application) -> object:
        if app.settings["parts.admission"] != "leased_shares":
            return _IdleService()
        return app.selected("admission")

    app.add_part("admission", "leased_shares", lambda app: LeasedShares(app=app))
    app.add_part("service", "leased-shares", create_service)
