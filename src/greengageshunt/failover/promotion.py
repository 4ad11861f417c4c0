"""Promotion of a target by a watcher; see docs/design.md, decision 5."""

import asyncio
import dataclasses
import logging
from collections import abc
from typing import Any

from greengageshunt import application, errors, logs, model
from greengageshunt.failover import detection, election, rows, targets
from greengageshunt.groups import decide
from greengageshunt.routing import history

logger = logging.getLogger(__name__)

INTENT_TIMEOUT = 0.2  # seconds for the platform, whose answer a promotion does not need
VOTE_TIMEOUT = 0.45  # seconds for the answer of one target
LATE_VOTE_TIMEOUT = 0.05  # seconds to wait for further votes after those of a majority
HAND_OVER_TIMEOUT = 1.0  # seconds for a replica to copy the rest of a fenced primary's log
HAND_OVER_INTERVAL = 0.01  # seconds between checks of the replica's log position
PROMOTE_ATTEMPTS = 3

# Highest replica lag, in log entries, at which a planned change begins. Writes stop until
# the replica has copied these entries, so a larger lag makes the gap in writes longer.
MAX_HAND_OVER_LAG = 500

Links = abc.Mapping[str, targets.TargetLink]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Contested:
    """Result of a promotion that stopped because of another promoter's row at the platform.

    Attributes:
        stored: Group record that the platform has stored.
    """

    stored: model.GroupRecord


class Promoter:
    """Executes planned and unplanned changes of the primary."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._platform = app.selected("platform")

    async def promote(
        self, plan: detection.Plan, record: model.GroupRecord, links: Links
    ) -> model.GroupRecord | Contested | None:
        """Try to execute a plan.

        Args:
            plan: Change of the primary.
            record: Record on which the plan is based.
            links: Links to all targets of the group, by target name.

        Returns:
            The new record; or ``Contested``, if the platform has a newer term or
            another promoter's intent; or None, if no majority accepted the term or
            the chosen target was not opened.
        """
        self._log("promotion-started", plan, record)
        conflicting = await self._store_intent(plan, record)
        if conflicting is not None:
            self._log("promotion-contested", plan, record, stored_term=conflicting.term)
            return Contested(stored=conflicting)
        votes = await self._collect_votes(plan, record, links)
        accepted = {vote.status.target: vote.previous_term for vote in votes}
        if not election.is_won(record, votes):
            self._log("promotion-lost", plan, record, accepted=accepted)
            return None
        target = election.choose_target(record, votes, plan.preferred)
        fenced = election.has_fenced_primary(record, votes)
        self._log(
            "promotion-won", plan, record, accepted=accepted, target=target, old_fenced=fenced
        )
        if not fenced:
            wait = election.earliest_promotion(record, votes) - self._app.clock()
            await asyncio.sleep(max(0.0, wait))
        return await self._open_target(plan, record, links[target])

    async def _store_intent(
        self, plan: detection.Plan, record: model.GroupRecord
    ) -> model.GroupRecord | None:
        intent = model.Intent(term=plan.term, promoter=plan.promoter)
        try:
            async with asyncio.timeout(INTENT_TIMEOUT):
                return await rows.store_intent(self._platform, record, intent)
        except (TimeoutError, errors.PlatformError, ValueError) as error:
            # The votes of the targets decide who wins the term, so a promotion can
            # continue while the platform is down.
            self._log("promotion-unannounced", plan, record, problem=str(error) or "timeout")
            return None

    async def _collect_votes(
        self, plan: detection.Plan, record: model.GroupRecord, links: Links
    ) -> tuple[election.Vote, ...]:
        if not plan.planned:
            return await self._raise_terms(plan, record, links, frozenset())
        primary_vote = await self._hand_over(plan, record, links)
        if primary_vote is None:
            return ()
        return (
            primary_vote,
            *await self._raise_terms(plan, record, links, frozenset({record.primary})),
        )

    async def _hand_over(
        self, plan: detection.Plan, record: model.GroupRecord, links: Links
    ) -> election.Vote | None:
        """Fence the serving primary and wait until its successor has its whole log.

        Returns:
            The vote of the old primary; None if the change was postponed because the
            successor's lag is unknown or too large, or if the old primary gave no vote.
        """
        primary, successor = links[record.primary], links[plan.preferred]
        try:
            primary_status = await self._status(primary)
            lag = primary_status.offset - (await self._status(successor)).offset
        except errors.TargetError as error:
            self._log("promotion-postponed", plan, record, problem=str(error))
            return None
        if lag > MAX_HAND_OVER_LAG:
            self._log("promotion-postponed", plan, record, problem=f"{lag} entries of replica lag")
            return None
        vote = await self._raise_term(plan, primary)
        if vote is None:
            return None
        end = history.last_position(vote.status)
        deadline = self._app.clock() + HAND_OVER_TIMEOUT
        while self._app.clock() < deadline:
            try:
                if history.contains(await self._status(successor), end):
                    return vote
            except errors.TargetError:
                break
            await asyncio.sleep(HAND_OVER_INTERVAL)
        # The target is chosen by log position, so the old primary is promoted again unless
        # another vote has its position.
        self._log("hand-over-incomplete", plan, record, target=plan.preferred)
        return vote

    async def _raise_terms(
        self,
        plan: detection.Plan,
        record: model.GroupRecord,
        links: Links,
        voted: frozenset[str],
    ) -> tuple[election.Vote, ...]:
        """Raise the term concurrently at the targets that have not voted.

        Returns soon after the votes complete a majority, also if other targets have
        not answered.
        """
        tasks = [
            asyncio.create_task(self._raise_term(plan, link))
            for name, link in links.items()
            if name not in voted
        ]
        needed = record.majority - len(voted)
        pending = set(tasks)
        try:
            while pending and len(_accepted(tasks)) < needed:
                _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            if pending:
                await asyncio.wait(pending, timeout=LATE_VOTE_TIMEOUT)
            return _accepted(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _raise_term(
        self, plan: detection.Plan, link: targets.TargetLink
    ) -> election.Vote | None:
        try:
            async with asyncio.timeout(VOTE_TIMEOUT):
                answer = await link.run(
                    lambda connection: connection.raise_term(
                        plan.term, plan.promoter, self._app.clock()
                    )
                )
        except (errors.TargetError, TimeoutError) as error:
            fields = {"target": link.target.name, "reason": str(error) or "timeout"}
            logger.info("request to raise a target's term failed", extra=fields)
            return None
        if not answer.accepted:
            return None
        return election.Vote(
            previous_term=answer.previous_term,
            status=answer.status,
            received_at=self._app.clock(),
        )

    async def _open_target(
        self, plan: detection.Plan, record: model.GroupRecord, link: targets.TargetLink
    ) -> model.GroupRecord | None:
        """Promote the chosen target; retry while its answer is lost.

        The request is idempotent, so a retry after a lost answer has no second effect.
        """
        for _ in range(PROMOTE_ATTEMPTS):
            try:
                status = await link.run(
                    lambda connection: connection.promote(
                        plan.term, plan.promoter, self._app.clock()
                    )
                )
            except errors.TargetError as error:
                self._log("promotion-failed", plan, record, problem=str(error))
                if error.code:  # The target rejected the request.
                    return None
                continue
            promoted = decide.with_promoted_target(record, status)
            self._log("promoted", plan, promoted)
            return promoted
        return None

    async def _status(self, link: targets.TargetLink) -> model.TargetStatus:
        return await link.run(lambda connection: connection.status(self._app.clock()))

    def _log(
        self, kind: str, plan: detection.Plan, record: model.GroupRecord, **fields: Any
    ) -> None:
        logs.log_decision(
            logger,
            kind,
            group=record.group,
            term=plan.term,
            reason=plan.reason,
            primary=record.primary,
            **fields,
        )


def _accepted(
    tasks: abc.Iterable[asyncio.Task[election.Vote | None]],
) -> tuple[election.Vote, ...]:
    votes = (task.result() for task in tasks if task.done())
    return tuple(vote for vote in votes if vote is not None)
