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

INTENT_TIMEOUT = 0.2  # seconds; promotion goes on without the platform
VOTE_TIMEOUT = 0.45  # seconds
LATE_VOTES = 0.05  # seconds for further votes once a majority has accepted
HAND_OVER_TIMEOUT = 1.0  # seconds for a replica to copy the rest of a fenced primary's log
HAND_OVER_INTERVAL = 0.01  # seconds between looks at the replica
PROMOTE_TRIES = 3

# Entries by which a replica may lag behind when a planned change begins.
HAND_OVER_LAG = 500

Links = abc.Mapping[str, targets.TargetLink]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Contested:
    """Another promoter was faster.

    Attributes:
        stored: Group record as the platform has it.
    """

    stored: model.GroupRecord


class Promoter:
    """Carries out plans."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._platform = app.selected("platform")

    async def promote(
        self, plan: detection.Plan, record: model.GroupRecord, links: Links
    ) -> model.GroupRecord | Contested | None:
        """Try to carry out a plan.

        Args:
            plan: What to do.
            record: Record that the plan goes by.
            links: Links to all targets of the group.

        Returns:
            The new record; or what the platform has, if another promoter was
            faster; or None, if the term was not won or the promotion failed.
        """
        self._log("promotion-started", plan, record)
        contested = await self._announce(plan, record)
        if contested is not None:
            self._log("promotion-contested", plan, record, stored_term=contested.term)
            return Contested(stored=contested)
        votes = await self._collect(plan, record, links)
        accepted = {vote.status.target: vote.previous_term for vote in votes}
        if not election.is_won(record, votes):
            self._log("promotion-lost", plan, record, accepted=accepted)
            return None
        target = election.choose(record, votes, plan.preferred)
        fenced = election.has_fenced_primary(record, votes)
        self._log(
            "promotion-won", plan, record, accepted=accepted, target=target, old_fenced=fenced
        )
        if not fenced:
            wait = election.promote_at(record, votes) - self._app.clock()
            await asyncio.sleep(max(0.0, wait))
        return await self._open(plan, record, links[target])

    async def _announce(
        self, plan: detection.Plan, record: model.GroupRecord
    ) -> model.GroupRecord | None:
        intent = model.Intent(term=plan.term, promoter=plan.promoter)
        try:
            async with asyncio.timeout(INTENT_TIMEOUT):
                return await rows.announce(self._platform, record, intent)
        except (TimeoutError, errors.PlatformError, ValueError) as error:
            # Only targets decide who wins the term, so the platform may be down.
            self._log("promotion-unannounced", plan, record, problem=str(error) or "timeout")
            return None

    async def _collect(
        self, plan: detection.Plan, record: model.GroupRecord, links: Links
    ) -> tuple[election.Vote, ...]:
        if not plan.planned:
            return await self._raise_all(plan, record, links, frozenset())
        first = await self._hand_over(plan, record, links)
        if first is None:
            return ()
        return (
            first,
            *await self._raise_all(plan, record, links, frozenset({record.primary})),
        )

    async def _hand_over(
        self, plan: detection.Plan, record: model.GroupRecord, links: Links
    ) -> election.Vote | None:
        """Fence the serving primary and wait until its successor has its whole log."""
        primary, successor = links[record.primary], links[plan.preferred]
        try:
            before = await self._status(primary)
            behind = before.offset - (await self._status(successor)).offset
        except errors.TargetError as error:
            self._log("promotion-postponed", plan, record, problem=str(error))
            return None
        if behind > HAND_OVER_LAG:
            self._log("promotion-postponed", plan, record, problem=f"{behind} entries behind")
            return None
        vote = await self._raise(plan, primary)
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
        # The votes decide by position, so the old primary is opened again.
        self._log("hand-over-incomplete", plan, record, target=plan.preferred)
        return vote

    async def _raise_all(
        self,
        plan: detection.Plan,
        record: model.GroupRecord,
        links: Links,
        without: frozenset[str],
    ) -> tuple[election.Vote, ...]:
        """Raise the term at targets at once; do not wait for those that stay silent."""
        tasks = [
            asyncio.create_task(self._raise(plan, link))
            for name, link in links.items()
            if name not in without
        ]
        needed = record.majority - len(without)
        pending = set(tasks)
        try:
            while pending and len(_accepted(tasks)) < needed:
                _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            if pending:
                await asyncio.wait(pending, timeout=LATE_VOTES)
            return _accepted(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _raise(self, plan: detection.Plan, link: targets.TargetLink) -> election.Vote | None:
        try:
            async with asyncio.timeout(VOTE_TIMEOUT):
                answer = await link.run(
                    lambda connection: connection.raise_term(
                        plan.term, plan.promoter, self._app.clock()
                    )
                )
        except (errors.TargetError, TimeoutError) as error:
            fields = {"target": link.target.name, "reason": str(error) or "timeout"}
            logger.info("no vote", extra=fields)
            return None
        if not answer.accepted:
            return None
        return election.Vote(
            previous_term=answer.previous_term,
            status=answer.status,
            received_at=self._app.clock(),
        )

    async def _open(
        self, plan: detection.Plan, record: model.GroupRecord, link: targets.TargetLink
    ) -> model.GroupRecord | None:
        """Open the chosen target; a repetition after a lost answer changes nothing."""
        for _ in range(PROMOTE_TRIES):
            try:
                status = await link.run(
                    lambda connection: connection.promote(
                        plan.term, plan.promoter, self._app.clock()
                    )
                )
            except errors.TargetError as error:
                self._log("promotion-failed", plan, record, problem=str(error))
                if error.code:
                    return None
                continue
            promoted = decide.with_primary(record, status)
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
