"""Admission policy with shares that entry VMs lend each other."""

import asyncio
import logging

from greengageshunt import application, errors, logs, model
from greengageshunt.admission import decision, holding, ledger, loan_messages
from greengageshunt.peers import messages

logger = logging.getLogger(__name__)

# Seconds for which a request waits for a loan before it is refused.
LOAN_WAIT = 0.05

LOAN_TIMEOUT = 0.15  # seconds to wait for the answer of a lender

# Seconds after a round without a loan before the next one; doubles up to the longest.
SHORTEST_COOLDOWN = 0.02
LONGEST_COOLDOWN = 0.32

REFRESH_INTERVAL = 0.1  # seconds

# Loans are prolonged when they end sooner than this.
PROLONG_BEFORE = 0.6  # seconds

# Seconds within which a decision must follow the reading of the clock. A process
# that was paused in between may have lost what it spent, so it decides again.
DECISION_BOUND = 0.05


class LeasedShares:
    """Spends own and borrowed shares; one task for each round of loan requests."""

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
        self._returns: set[asyncio.Task[None]] = set()
        self._refilling: set[str] = set()
        self._arrivals: dict[str, asyncio.Event] = {}
        self._cooldowns: dict[str, float] = {}
        self._not_before: dict[str, float] = {}
        app.events.connect("shares-changed", self._refresh)
        app.events.connect("configuration-changed", self._adopt_configuration)
        app.events.connect("configuration-read", self._shares.note_configuration_read)
        app.part("peers", "server").add_handler(loan_messages.LoanRequest, self._lend)
        app.part("peers", "server").add_handler(loan_messages.LoanReturn, self._take_back)
        known = app.part("configuration", "state").current
        if known.version:
            self._adopt_configuration(known)

    @property
    def ready(self) -> bool:
        """Whether requests can be admitted."""
        return self._table.overdue or (
            self._table.seated and self._ledger.own_until > self._app.clock()
        )

    async def run(self) -> None:
        """Keep the share table, the own shares and the loans until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._table.run())
            group.create_task(self._keep_loans())

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
            self._borrow_ahead(account.name, now)
            return decision.AdmissionDecision(admitted=True, reason="within the held share")
        until = min(deadline, now + LOAN_WAIT)
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
        """Spend a token at the present time; return whether there was one."""
        while True:
            now = self._app.clock()
            if not self._ledger.spend(account, now):
                return False
            if self._app.clock() - now <= DECISION_BOUND:
                return True

    async def _spend_loan(self, account: str, until: float) -> bool:
        """Wait for loans and spend a token of them; return whether there was one."""
        while True:
            now = self._app.clock()
            round_ = self._start_round(account, now)
            if now >= until:
                return False
            if round_ is None:
                # The next round may find what other VMs return meanwhile.
                if self._not_before[account] >= until:
                    return False
                await asyncio.sleep(self._not_before[account] - now)
                continue
            arrival = self._arrivals.setdefault(account, asyncio.Event())
            try:
                async with asyncio.timeout(until - now):
                    await arrival.wait()
            except TimeoutError:
                return self._spend(account)
            if self._spend(account):
                return True

    async def _spend_refill(self, account: str, until: float) -> bool:
        """Wait for the next token if it comes in time; return whether it was spent.

        One request of an account waits at a time, so that an account above its
        rate does not fill the proxy with waiting requests.
        """
        now = self._app.clock()
        held = self._ledger.holding_of(account, now)
        delay = holding.retry_after(held, 1.0, now)
        if account in self._refilling or held.capacity < 1.0 or now + delay > until:
            return False
        self._refilling.add(account)
        try:
            await asyncio.sleep(delay)
        finally:
            self._refilling.discard(account)
        return self._spend(account)

    def _start_round(self, account: str, now: float) -> asyncio.Task[None] | None:
        """Return the round of loan requests in progress; None after a vain one."""
        if account not in self._rounds:
            if now < self._not_before.get(account, now):
                return None
            self._rounds[account] = asyncio.create_task(
                self._run_round(account), name=f"loans of {account}"
            )
        return self._rounds[account]

    async def _run_round(self, account: str) -> None:
        lenders = self._lenders(account)
        try:
            asked = [self._ask(account, vm, len(lenders)) for vm in lenders]
            gained = await asyncio.gather(*asked)
        finally:
            del self._rounds[account]
        if any(gained):
            self._cooldowns.pop(account, None)
        else:
            cooldown = self._cooldowns.get(account, SHORTEST_COOLDOWN / 2) * 2
            self._cooldowns[account] = min(cooldown, LONGEST_COOLDOWN)
            self._not_before[account] = self._app.clock() + self._cooldowns[account]
        self._wake(account)

    def _lenders(self, account: str) -> tuple[str, ...]:
        now = self._app.clock()
        return tuple(
            seat.vm
            for seat in self._shares.holders_of(account)
            if seat != self._shares.me and self._members.answers(seat.vm, now)
        )

    async def _ask(self, account: str, vm: str, lenders: int) -> bool:
        """Ask one lender; return whether its answer added anything."""
        sent_at = self._app.clock()
        wanted = self._ledger.wanted_loans(account, sent_at)
        request = loan_messages.LoanRequest(
            borrower=self._shares.me,
            account=account,
            fraction=self._ledger.wanted_fraction(account, lenders, sent_at),
            prolong=tuple(loan.loan_id for loan in wanted if loan.lender.vm == vm),
        )
        if not request.prolong and request.fraction < ledger.SMALLEST_LOAN:
            return False
        try:
            loan = await self._links.request(vm, request, LOAN_TIMEOUT)
        except (errors.PeerError, errors.RefusedError) as error:
            logger.info("no loan", extra={"account": account, "peer": vm, "reason": str(error)})
            return False
        gained = self._ledger.borrow(loan, sent_at, self._app.clock())
        if gained:
            self._wake(account)
            logs.log_decision(
                logger,
                "borrow",
                account=account,
                lender=vm,
                fraction=loan.fraction,
                tokens=loan.tokens,
            )
        return gained

    def _wake(self, account: str) -> None:
        arrival = self._arrivals.pop(account, None)
        if arrival is not None:
            arrival.set()

    def _borrow_ahead(self, account: str, now: float) -> None:
        """Ask for loans before the held share is used up."""
        if self._ledger.wanted_fraction(account, len(self._lenders(account)), now) > 0:
            self._start_round(account, now)

    async def _keep_loans(self) -> None:
        while True:
            now = self._app.clock()
            self._ledger.refresh(now)
            for account in self._ledger.busy(now):
                self._give_back(account, now)
                ends = [loan.ends_at for loan in self._ledger.wanted_loans(account, now)]
                if ends and min(ends) - now < PROLONG_BEFORE:
                    self._start_round(account, now)
            await asyncio.sleep(REFRESH_INTERVAL)

    async def _lend(
        self, request: loan_messages.LoanRequest, received_at: float
    ) -> loan_messages.Loan:
        now = self._app.clock()
        loan = self._ledger.lend(request, now)
        if request.fraction > 0:
            self._give_back(request.account, now)
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

    def _give_back(self, account: str, now: float) -> None:
        """Return the loans that others need more, each in a task of its own."""
        for returned in self._ledger.give_back(account, now):
            task = asyncio.create_task(self._send_return(returned))
            self._returns.add(task)
            task.add_done_callback(self._returns.discard)

    async def _send_return(self, returned: loan_messages.LoanReturn) -> None:
        try:
            await self._links.request(returned.lender.vm, returned, LOAN_TIMEOUT)
        except (errors.PeerError, errors.RefusedError) as error:
            fields = {"account": returned.account, "reason": str(error)}
            logger.info("loan not returned", extra={"peer": returned.lender.vm, **fields})

    async def _take_back(
        self, returned: loan_messages.LoanReturn, received_at: float
    ) -> messages.Acknowledged:
        self._ledger.take_back(returned, self._app.clock())
        return messages.Acknowledged()

    def _adopt_configuration(self, configuration: model.Configuration) -> None:
        if self._shares.adopt_configuration(configuration):
            self._refresh()

    def _refresh(self, _: object = None) -> None:
        self._ledger.refresh(self._app.clock())


class _Unused:
    """Service of a program that selects another admission policy."""

    async def run(self) -> None:
        """Do nothing until cancelled."""
        await asyncio.Event().wait()


def setup(app: application.Application) -> None:
    """Register the leased shares."""

    def create_service(app: application.Application) -> object:
        if app.settings["parts.admission"] != "leased_shares":
            return _Unused()
        return app.selected("admission")

    app.add_part("admission", "leased_shares", lambda app: LeasedShares(app=app))
    app.add_part("service", "leased-shares", create_service)
