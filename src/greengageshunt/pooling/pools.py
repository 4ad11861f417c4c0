"""The pools of all targets on one entry VM."""

import math
from collections import abc

from greengageshunt import application
from greengageshunt.coordination import records, view
from greengageshunt.pooling import pool

# Connections that a target accepts while its group's limits are unknown.
UNKNOWN_LIMIT = 1

# Connections of an even part below which entry VMs share the connections of a target instead.
SMALLEST_PART = 2

# Connections to one target that an entry VM opens at most where they are shared.
SHARED_LIMIT = 4

# Seconds for which a shared connection stays open without use; then others may have its place.
SHARED_IDLE_LIMIT = 0.3

# Part of its connections that an entry VM keeps open without use. Connections of machines that
# lost power count at a target for 3 s more; the rest of its limit lets them return before.
KEPT_PART = 0.5

# Seconds for which further connections stay open without use.
SPARE_IDLE_LIMIT = 1.0


class TargetPools:
    """Keeps one pool for each listed target."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._driver = app.selected("driver")
        self._view: view.StoreView = app.part("coordination", "view")
        self._members = app.part("membership", "view")
        self._configuration = app.part("configuration", "state")
        self._pools: dict[str, pool.TargetPool] = {}
        app.events.connect("targets-changed", self._update)

    @property
    def all(self) -> abc.Collection[pool.TargetPool]:
        """All pools."""
        return self._pools.values()

    def pool(self, entry: records.TargetEntry) -> pool.TargetPool:
        """Return the pool of a target."""
        known = self._pools.get(entry.target)
        if known is None:
            known = pool.TargetPool(
                entry=entry,
                driver=self._driver,
                limit=lambda: self._limit(entry.group),
                idle_limit=lambda opened: self._idle_limit(entry.group, opened),
                clock=self._app.clock,
            )
            self._pools[entry.target] = known
        return known

    def _even_part(self, group: str) -> int:
        limits = self._configuration.current.groups_by_name.get(group)
        allowed = limits.connection_limit if limits else UNKNOWN_LIMIT
        return allowed // max(1, len(self._members.members))

    def _limit(self, group: str) -> int:
        part = self._even_part(group)
        if part >= SMALLEST_PART or self._members.full_mesh:
            return part
        return SHARED_LIMIT

    def _idle_limit(self, group: str, opened: int) -> float:
        """Return the seconds for which a connection may stay open without use.

        Args:
            group: Group of the target.
            opened: Connections that are open to the target.
        """
        part = self._even_part(group)
        if part < SMALLEST_PART and not self._members.full_mesh:
            return SHARED_IDLE_LIMIT
        return SPARE_IDLE_LIMIT if opened > math.ceil(part * KEPT_PART) else math.inf

    def _update(self, entries: tuple[records.TargetEntry, ...]) -> None:
        listed = {entry.target: entry for entry in entries}
        for name in list(self._pools):
            if name in listed:
                self._pools[name].update(listed[name])
            else:
                self._pools.pop(name).close_idle()


def setup(app: application.Application) -> None:
    """Register the pools."""
    app.add_part("pooling", "pools", lambda app: TargetPools(app=app))
