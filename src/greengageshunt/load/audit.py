"""Audits a fleet after a run: stored writes and counts of invariant checks."""

import asyncio
import collections
import json
import logging
from collections import abc

import aiohttp
from prometheus_client import parser

from greengageshunt import errors, model
from greengageshunt.load import traces
from greengageshunt.load import workload as workload_module
from greengageshunt.standins import fleet as fleet_module

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 20  # requests for the rows of one client account in one group
RETRY_DELAY = 0.5  # seconds between attempts

_PREFIX = "greengageshunt_invariant_"


def compare(
    samples: abc.Iterable[traces.Sample],
    stored: abc.Mapping[str, int],
    reference: abc.Callable[[int], str],
    complete: bool,
) -> traces.Audit:
    """Compare the outcomes that callers received with the rows that targets store.

    Args:
        samples: Results of a run.
        stored: Number of stored rows by reference.
        reference: Returns the reference of the write with a given arrival number.
        complete: Whether the rows of all groups and client accounts were read.
    """
    counts: collections.Counter[str] = collections.Counter()
    for sample in samples:
        if sample.arrival.kind is not model.RouteKind.WRITE:
            continue
        row_count = stored.get(reference(sample.arrival.number), 0)
        counts["writes"] += sample.code == "ok"
        counts["lost"] += sample.code == "ok" and not row_count
        counts["false"] += sample.outcome == errors.Outcome.NOT_RUN and bool(row_count)
        counts["unknown"] += sample.outcome == errors.Outcome.UNKNOWN and bool(row_count)
    return traces.Audit(
        writes=counts["writes"],
        lost=counts["lost"],
        duplicated=sum(number > 1 for number in stored.values()),
        false_refusals=counts["false"],
        unknown_stored=counts["unknown"],
        complete=complete,
    )


async def _references(
    fleet: fleet_module.Fleet, key: str, group: str, account: str
) -> list[str] | None:
    """Return the references that a group stores for a client account.

    Tries the running entry VMs in turn. Returns None if none has answered with
    status 200 after ``MAX_ATTEMPTS`` requests.
    """
    route = workload_module.audit_route(group)
    for attempt in range(MAX_ATTEMPTS):
        vms = [vm for vm in fleet.layout.vms if vm.member.vm in fleet.processes]
        url = f"http://{vms[attempt % len(vms)].http_address}/v1/routes/{route}"
        body = {"parameters": {"audited": account}}
        headers = {"Authorization": f"Bearer {key}"}
        try:
            async with fleet.session.post(url, json=body, headers=headers) as response:
                if response.status == 200:
                    return [row[0] for row in (await response.json())["rows"]]
        except (aiohttp.ClientError, TimeoutError) as error:
            logger.info("audit request failed, retrying", extra={"reason": str(error)})
        await asyncio.sleep(RETRY_DELAY)
    return None


async def stored_references(
    fleet: fleet_module.Fleet, prepared: workload_module.Prepared
) -> tuple[dict[str, int], bool]:
    """Return the number of rows by reference, and whether the result is complete.

    It is incomplete if the rows of a group and client account could not be read.
    """
    stored: collections.Counter[str] = collections.Counter()
    complete = True
    for group in fleet.layout.groups:
        for account in workload_module.accounts():
            references = await _references(
                fleet, prepared.keys[prepared.auditor], group.group, account.name
            )
            complete = complete and references is not None
            stored.update(references or [])
    return dict(stored), complete


def read_invariants(pages: abc.Iterable[str]) -> tuple[traces.InvariantCount, ...]:
    """Return the sums of the invariant counters on several metrics pages."""
    counts: dict[str, collections.Counter[str]] = collections.defaultdict(collections.Counter)
    for page in pages:
        for family in parser.text_string_to_metric_families(page):
            for sample in family.samples:
                if sample.name.startswith(_PREFIX) and sample.name.endswith("_total"):
                    kind = sample.name.removeprefix(_PREFIX).removesuffix("_total")
                    counts[sample.labels["invariant"]][kind] += int(sample.value)
    return tuple(
        traces.InvariantCount(name=name, checks=by_kind["checks"], violations=by_kind["violations"])
        for name, by_kind in sorted(counts.items())
    )


async def invariants(fleet: fleet_module.Fleet) -> tuple[traces.InvariantCount, ...]:
    """Return the invariant counts of all proxies and failover daemons that respond."""
    pages = []
    for vm in fleet.layout.vms:
        for address in (vm.metrics_address, vm.failover_metrics_address):
            try:
                async with fleet.session.get(f"http://{address}/metrics") as response:
                    pages.append(await response.text())
            except (aiohttp.ClientError, json.JSONDecodeError) as error:
                logger.info(
                    "metrics page could not be read", extra={"peer": address, "reason": str(error)}
                )
    return read_invariants(pages)
