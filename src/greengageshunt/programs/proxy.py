"""Entry point of ``greengageshunt-proxy``: the data path of an entry VM."""

from greengageshunt.programs import common

EXTENSIONS = (
    "greengageshunt.invariants",
    "greengageshunt.drivers.postgresql",
    "greengageshunt.stores.http",
    "greengageshunt.membership.view",
    "greengageshunt.groups.directory",
    "greengageshunt.configuration.state",
    "greengageshunt.stores.polling",
    "greengageshunt.groups.monitor",
    "greengageshunt.failover.grants",
    "greengageshunt.failover.supersession",
    "greengageshunt.scheduling.fifo",
    "greengageshunt.scheduling.fair",
    "greengageshunt.routing.position",
    "greengageshunt.routing.waiting",
    "greengageshunt.peers.server",
    "greengageshunt.peers.links",
    "greengageshunt.membership.confirmation",
    "greengageshunt.membership.shares_table",
    "greengageshunt.admission.static_split",
    "greengageshunt.admission.central_bucket",
    "greengageshunt.admission.leased_shares",
    "greengageshunt.configuration.exchange",
    "greengageshunt.configuration.status",
    "greengageshunt.groups.spread",
    "greengageshunt.requests.budget",
    "greengageshunt.proxy.owner",
    "greengageshunt.proxy.transactions",
    "greengageshunt.proxy.forwarding",
    "greengageshunt.proxy.execution",
    "greengageshunt.proxy.transaction_calls",
    "greengageshunt.proxy.service",
    "greengageshunt.frontends.http",
    "greengageshunt.metrics.page",
)


def main() -> None:
    """Run the proxy."""
    common.run_daemon("greengageshunt-proxy", "Database proxy of an entry VM.", EXTENSIONS)


if __name__ == "__main__":
    main()
