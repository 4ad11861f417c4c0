"""Entry point of ``greengageshunt-entry``: everything that an entry VM of the platform runs."""

import functools

from greengageshunt.programs import early_signals

if __name__ == "__main__":
    early_signals.install()

from greengageshunt.platform import settings
from greengageshunt.programs import common

SETTINGS_VARIABLE = "GREENGAGESHUNT_BOOT"

# Default values of settings for which the platform's settings file has no field. The platform
# charges for bytes between failure domains, so heartbeats are less frequent than by default.
DEFAULTS = {
    "parts.platform": "table",
    "parts.driver": "lines",
    "parts.admission": "granted",
    "peers.heartbeat": 0.5,
    "peers.silence": 1.5,
    "members.deadline": 1.6,
    "members.sparse": True,
    "confirmation.limit": 7.0,
}

EXTENSIONS = (
    "greengageshunt.invariants",
    "greengageshunt.platform.store",
    "greengageshunt.platform.duties",
    "greengageshunt.platform.targets",
    "greengageshunt.membership.view",
    "greengageshunt.groups.directory",
    "greengageshunt.configuration.state",
    "greengageshunt.peers.server",
    "greengageshunt.peers.links",
    "greengageshunt.coordination.view",
    "greengageshunt.coordination.watch",
    "greengageshunt.coordination.copies",
    "greengageshunt.coordination.members",
    "greengageshunt.coordination.lease",
    "greengageshunt.coordination.eras",
    "greengageshunt.membership.confirmation",
    "greengageshunt.admission.granted",
    "greengageshunt.configuration.exchange",
    "greengageshunt.pooling.pools",
    "greengageshunt.coordination.isolation",
    "greengageshunt.pooling.freshness",
    "greengageshunt.pooling.execution",
    "greengageshunt.pooling.host",
    "greengageshunt.coordination.detection",
    "greengageshunt.coordination.orders",
    "greengageshunt.coordination.succession",
    "greengageshunt.coordination.recall",
    "greengageshunt.coordination.promotion",
    "greengageshunt.frontends.readiness",
    "greengageshunt.platform.frontend",
    "greengageshunt.metrics.entry",
)


# Reads the platform's settings file.
LOAD = functools.partial(settings.load, defaults=DEFAULTS)


def main() -> None:
    """Run the entry VM."""
    common.run_daemon(
        "greengageshunt-entry",
        "Entry VM of the platform: sessions, limits and changes of primaries.",
        EXTENSIONS,
        load=LOAD,
        settings_variable=SETTINGS_VARIABLE,
    )


if __name__ == "__main__":
    main()
