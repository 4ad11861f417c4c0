"""The pools of all targets on one entry VM."""

from collections import abc

from greengageshunt import application
from greengageshunt.coordination import records, view
from greengageshunt.pooling import pool

# Connections that a target accepts while its group's limits are unknown.
UNKNOWN_LIMIT = 1


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
                clock=self._app.clock,
            )
            self._pools[entry.target] = known
        return known

    def _limit(self, group: str) -> int:
        limits = self._configuration.current.groups_by_name.get(group)
        allowed = limits.connection_limit if limits else UNKNOWN_LIMIT
        return allowed // max(1, len(self._members.members))

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
