"""Entry point of ``greengageshunt-entry``: everything that an entry VM of the platform runs."""

from greengageshunt.platform import settings
from greengageshunt.programs import common

SETTINGS_VARIABLE = "GREENGAGESHUNT_BOOT"

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
    "greengageshunt.coordination.members",
    "greengageshunt.coordination.lease",
    "greengageshunt.coordination.rows",
    "greengageshunt.membership.confirmation",
    "greengageshunt.membership.shares_table",
    "greengageshunt.admission.leased_shares",
    "greengageshunt.configuration.exchange",
    "greengageshunt.pooling.pools",
    "greengageshunt.pooling.freshness",
    "greengageshunt.pooling.execution",
    "greengageshunt.pooling.session",
    "greengageshunt.coordination.promotion",
    "greengageshunt.frontends.readiness",
    "greengageshunt.platform.frontend",
)


def main() -> None:
    """Run the entry VM."""
    common.run_daemon(
        "greengageshunt-entry",
        "Entry VM of the platform: sessions, limits and changes of primaries.",
        EXTENSIONS,
        load=settings.load,
        settings_variable=SETTINGS_VARIABLE,
    )


if __name__ == "__main__":
    main()
