"""Connection pools of one entry VM for all targets, and their limits.

The connection limit of a target is divided evenly among the listed entry VMs. Outside a full
mesh, the quota of each can be too small for that. Then the entry VMs share the connections:
each may open more than its quota, and closes idle connections early.

A change of primary needs the status of replicas whose connections may all be in use. If commits
are acknowledged only after replicas received them, each entry VM therefore leaves one connection
of its quota unused while the group changes its primary.
"""

import math
from collections import abc

from greengageshunt import application
from greengageshunt.coordination import records, view
from greengageshunt.pooling import pool

# Connection limit assumed for a target while the configuration has no limits of its group.
ASSUMED_CONNECTION_LIMIT = 1

# Smallest quota of an entry VM, in connections. Below it, entry VMs share the connections of a
# target.
MIN_QUOTA = 2

# Most connections that an entry VM opens to a target whose connections are shared.
SHARED_CONNECTION_LIMIT = 4

# Seconds after which an idle shared connection is closed, so that other entry VMs can connect.
SHARED_IDLE_LIMIT = 0.3

# Fraction of its quota that an entry VM keeps open while idle. A target counts the connections
# of machines that lost power for another 3 s. The rest of its limit lets those machines connect
# again before that.
KEPT_IDLE_FRACTION = 0.5

# Seconds after which an idle connection above that fraction is closed.
SPARE_IDLE_LIMIT = 1.0

# Connections of its quota that an entry VM leaves unused during a change of primary.
CHANGE_RESERVE = 1


class TargetPools:
    """Connection pools of the listed targets."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("membership", "view")
        self._configuration = app.part("configuration", "state")
        self._pools: dict[str, pool.TargetPool] = {}
        app.events.connect("targets-changed", self._update)
        app.events.connect("control-changed", self._close_above_limit)

    @property
    def pools(self) -> abc.Collection[pool.TargetPool]:
        """All pools."""
        return self._pools.values()

    def pool(self, entry: records.TargetEntry) -> pool.TargetPool:
        """Return the pool of a target; it is created on first use."""
        target_pool = self._pools.get(entry.target)
        if target_pool is None:
            target_pool = pool.TargetPool(
                entry=entry,
                driver=self._driver,
                limit=lambda: self._limit(entry.group),
                idle_limit=lambda open_count: self._idle_limit(entry.group, open_count),
                clock=self._app.clock,
            )
            self._pools[entry.target] = target_pool
        return target_pool

    def _quota(self, group: str) -> int:
        """Return the even quota of this entry VM in the connections to a target of a group."""
        limits = self._configuration.current.groups_by_name.get(group)
        allowed = limits.connection_limit if limits else ASSUMED_CONNECTION_LIMIT
        return allowed // max(1, len(self._members.members))

    def _limit(self, group: str) -> int:
        quota = self._quota(group)
        reserve = CHANGE_RESERVE if self._must_leave_connections(group) else 0
        if quota >= MIN_QUOTA or self._members.full_mesh:
            return quota - reserve
        return SHARED_CONNECTION_LIMIT - reserve

    def _must_leave_connections(self, group: str) -> bool:
        """Return whether a change of primary may depend on the status of a busy replica."""
        record = self._view.primary_record(group)
        limits = self._configuration.current.groups_by_name.get(group)
        return record is not None and record.changing and bool(limits and limits.sync_replicas)

    def _close_above_limit(self, version: int) -> None:
        now = self._app.clock()
        for target_pool in self._pools.values():
            if self._must_leave_connections(target_pool.entry.group):
                target_pool.close_idle_above_limit(now)

    def _idle_limit(self, group: str, open_count: int) -> float:
        """Return the seconds for which a connection may stay idle.

        Args:
            group: Group of the target.
            open_count: Number of open connections to the target.
        """
        quota = self._quota(group)
        if quota < MIN_QUOTA and not self._members.full_mesh:
            return SHARED_IDLE_LIMIT
        return SPARE_IDLE_LIMIT if open_count > math.ceil(quota * KEPT_IDLE_FRACTION) else math.inf

    def _update(self, entries: tuple[records.TargetEntry, ...]) -> None:
        listed = {entry.target: entry for entry in entries}
        for name in list(self._pools):
            if name in listed:
                self._pools[name].update(listed[name])
            else:
                self._pools.pop(name).close_idle()


def setup(app: application.Application) -> None:
    """Register the connection pools."""
    app.add_part("pooling", "pools", lambda app: TargetPools(app=app))
