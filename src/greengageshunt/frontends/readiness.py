"""Health check by which the balancer decides whether this entry VM gets new connections."""

import logging

from greengageshunt import application, config, logs
from greengageshunt.coordination import records
from greengageshunt.frontends import pages

logger = logging.getLogger(__name__)

# Seconds after the start from which an entry VM counts as ready even if its registration has
# not succeeded. Without a registration it can still serve reads that may be stale.
REGISTRATION_WAIT_LIMIT = 5.0

# Seconds since the store or a peer last confirmed the target list. With an older list, this
# entry VM is not ready, so that other entry VMs get the new connections.
TARGET_LIST_AGE_LIMIT = 20.0


def decide(
    *,
    stopping: bool,
    listening: bool,
    configured: bool,
    registered: bool,
    isolated: bool,
    targets: int,
    target_list_age: float,
) -> tuple[bool, str]:
    """Return whether this entry VM is ready, and the reason.

    Args:
        stopping: Whether the process has been requested to stop.
        listening: Whether the process listens for sessions and for peers.
        configured: Whether a configuration is in force.
        registered: Whether the entry VM has been registered once, or has waited for
            ``REGISTRATION_WAIT_LIMIT``.
        isolated: Whether the entry VM is cut off from all other failure domains, whose
            entry VMs then get the new connections.
        targets: Number of targets in the target list.
        target_list_age: Seconds since the store or a peer confirmed the target list.
    """
    if stopping:
        return False, "stopping"
    if not listening:
        return False, "an address is not available"
    if not configured:
        return False, "no configuration"
    if not registered:
        return False, "not registered"
    if isolated:
        return False, "isolated"
    if not targets:
        return False, "no targets"
    if target_list_age > TARGET_LIST_AGE_LIMIT:
        return False, "the target list is not confirmed"
    return True, "serving"


class Readiness:
    """Serves ``GET /readiness`` and logs each change of its result."""

    restartable = True

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._view = app.part("coordination", "view")
        self._configuration = app.part("configuration", "state")
        self._members = app.part("coordination", "members")
        self._isolation = app.part("coordination", "isolation")
        self._peer_server = app.part("peers", "server")
        self._frontend = app.part("frontend", "lines")
        self._started_at = app.clock()
        self._registered_or_waited = False
        self._last_reported: tuple[bool, str] | None = None
        self._consecutive_unready_responses = 0

    @property
    def consecutive_unready_responses(self) -> int:
        """Number of responses with status 503 since the last one with status 200."""
        return self._consecutive_unready_responses

    async def run(self) -> None:
        """Serve the page until cancelled."""
        address = self._app.settings["readiness.address"]
        await pages.serve("readiness", address, {"/readiness": self._respond})

    def _respond(self) -> pages.Page:
        copy = self._view.copy(records.Section.TARGETS)
        now = self._app.clock()
        target_list_age = now - copy.as_of
        wait_expired = now - self._started_at > REGISTRATION_WAIT_LIMIT
        self._registered_or_waited = (
            self._registered_or_waited or wait_expired or self._members.registered
        )
        ready, reason = reported = decide(
            stopping=self._app.stopping,
            listening=self._peer_server.listening and self._frontend.listening,
            configured=self._configuration.version > 0,
            registered=self._registered_or_waited,
            isolated=self._isolation.isolated_seconds(now) > 0,
            targets=len(copy.rows),
            target_list_age=target_list_age,
        )
        self._consecutive_unready_responses = (
            0 if ready else self._consecutive_unready_responses + 1
        )
        if reported != self._last_reported:
            self._last_reported = reported
            logs.log_decision(
                logger,
                "readiness",
                ready=ready,
                reason=reason,
                configuration=self._configuration.version,
                targets=len(copy.rows),
                targets_age=round(target_list_age, 3),
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
