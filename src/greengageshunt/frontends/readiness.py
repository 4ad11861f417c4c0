"""Tells the balancer whether this entry VM takes new connections."""

import logging

from greengageshunt import application, config, logs
from greengageshunt.coordination import records
from greengageshunt.frontends import pages

logger = logging.getLogger(__name__)

# Seconds after its start at which an entry VM that could not register takes callers anyway; it
# can serve reads that may be stale.
REGISTRATION_LIMIT = 5.0

# Seconds without a confirmation of the target list, by the store or a peer, after which
# other entry VMs serve new connections better.
STALE_AFTER = 20.0


def decide(
    *,
    stopping: bool,
    configured: bool,
    registered: bool,
    isolated: bool,
    targets: int,
    age: float,
) -> tuple[bool, str]:
    """Return whether an entry VM is ready, and why.

    Args:
        stopping: Whether a stop was requested.
        configured: Whether a configuration is in force.
        registered: Whether it is registered, or has waited for that long enough.
        isolated: Whether it is cut off from all other failure domains, whose entry
            VMs serve new connections better.
        targets: Number of known targets.
        age: Seconds since the target list was confirmed.
    """
    if stopping:
        return False, "stopping"
    if not configured:
        return False, "no configuration"
    if not registered:
        return False, "not registered"
    if isolated:
        return False, "isolated"
    if not targets:
        return False, "no targets"
    if age > STALE_AFTER:
        return False, "the target list is not confirmed"
    return True, "serving"


class Readiness:
    """Serves ``GET /readiness``."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view = app.part("coordination", "view")
        self._configuration = app.part("configuration", "state")
        self._members = app.part("coordination", "members")
        self._isolation = app.part("coordination", "isolation")
        self._started_at = app.clock()
        self._was_registered = False
        self._told: tuple[bool, str] | None = None
        self._refusals = 0

    @property
    def refusals(self) -> int:
        """Answers in a row by which the balancer was told not to send callers."""
        return self._refusals

    async def run(self) -> None:
        """Serve the page until cancelled."""
        await pages.serve(self._app.settings["readiness.address"], {"/readiness": self._show})

    def _show(self) -> pages.Page:
        copy = self._view.copy(records.Section.TARGETS)
        now = self._app.clock()
        age = now - copy.as_of
        waited = now - self._started_at > REGISTRATION_LIMIT
        self._was_registered = self._was_registered or waited or self._members.registered
        ready, reason = told = decide(
            stopping=self._app.stopping,
            configured=self._configuration.version > 0,
            registered=self._was_registered,
            isolated=self._isolation.isolated_seconds(now) > 0,
            targets=len(copy.rows),
            age=age,
        )
        self._refusals = 0 if ready else self._refusals + 1
        if told != self._told:
            self._told = told
            logs.log_decision(
                logger,
                "readiness",
                ready=ready,
                reason=reason,
                configuration=self._configuration.version,
                targets=len(copy.rows),
                targets_age=round(age, 3),
            )
        return pages.Page(status=200 if ready else 503, body=f"{reason}\n".encode())


def setup(app: application.Application) -> None:
    """Register the readiness page."""
    app.add_setting(
        config.Setting(
            key="readiness.address",
            kind=str,
            doc="Address of the readiness page that the balancer asks.",
            check=config.is_address,
        )
    )
    app.add_part("frontend", "readiness", lambda app: Readiness(app=app))
    app.add_part("service", "readiness", lambda app: app.part("frontend", "readiness"))
