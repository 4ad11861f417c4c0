"""Watch of groups by the failover daemon."""

import asyncio
import logging

from greengageshunt import application, model
from greengageshunt.membership import ownership

logger = logging.getLogger(__name__)

WATCHERS = 3  # failover daemons for each group


def watchers(record: model.GroupRecord, members: tuple[model.Member, ...]) -> tuple[str, ...]:
    """Return the entry VMs whose failover daemons watch a group.

    Takes the first of each failure domain in the order of rendezvous weights,
    so that a lost failure domain leaves watchers in the others.
    """
    chosen: list[str] = []
    domains: set[str] = set()
    for member in ownership.rank(record.group, members):
        if member.failure_domain not in domains and len(chosen) < WATCHERS:
            chosen.append(member.vm)
            domains.add(member.failure_domain)
    return tuple(chosen)


class FailoverWatch:
    """Watches the groups that fall to this daemon."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app

    async def run(self) -> None:
        """Watch until cancelled."""
        await asyncio.Event().wait()


def setup(app: application.Application) -> None:
    """Register the watch."""
    app.add_part("service", "failover-watch", lambda app: FailoverWatch(app=app))
