"""Entry point of ``greengageshunt-failover``: detection of failed primaries and promotion."""

from greengageshunt.programs import common

EXTENSIONS = (
    "greengageshunt.invariants",
    "greengageshunt.drivers.postgresql",
    "greengageshunt.stores.http",
    "greengageshunt.groups.directory",
    "greengageshunt.failover.watch",
    "greengageshunt.metrics.page",
)


def main() -> None:
    """Run the failover daemon."""
    common.run_daemon(
        "greengageshunt-failover", "Promotes replicas of failed primaries.", EXTENSIONS
    )


if __name__ == "__main__":
    main()
