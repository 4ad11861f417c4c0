"""The metrics page of the daemons."""

import asyncio

import aiohttp
from prometheus_client import parser

from greengageshunt import application, config
from greengageshunt.metrics import page
from greengageshunt.proxy import reports
from support import callers, configurations


def _samples(text: str) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


async def test_page_counts_events_and_latencies():
    """Guards against events that are not counted, or are counted under wrong labels."""
    app = application.Application(name="greengageshunt-proxy")
    app.add_event("request-handled")
    page.setup(app)
    app.configure(config.parse("", app.declared_settings, "proxy.toml"))
    shown = app.part("metrics", "prometheus")

    for seconds in (0.010, 0.010, 0.500):
        report = reports.RequestReport(kind="read", code="ok", seconds=seconds)
        app.events.emit("request-handled", report)
    app.events.emit(
        "request-handled", reports.RequestReport(kind="write", code="no_grant", seconds=1.0)
    )

    samples = _samples(shown.render().decode())
    labels = (("code", "ok"), ("kind", "read"))
    assert samples["greengageshunt_requests_total", labels] == 3
    labels = (("code", "no_grant"), ("kind", "write"))
    assert samples["greengageshunt_requests_total", labels] == 1
    median = samples[
        "greengageshunt_request_seconds_quantile", (("kind", "read"), ("quantile", "0.5"))
    ]
    # The histograms record two significant digits.
    assert abs(median - 0.010) <= 0.0001


async def test_daemons_serve_their_pages(start_fleet):
    """Guards against a daemon without a metrics page, and a page that lacks a served request."""
    prepared = configurations.prepare()
    fleet = await start_fleet(prepared.configuration)
    vm = fleet.layout.vms[0]
    caller = callers.Caller(session=fleet.session, key=prepared.keys["account-1"])
    reply = await caller.call(vm.http_address, "booking.place", item="pot")
    assert reply.status == 200

    async with fleet.session.get(f"http://{vm.metrics_address}/metrics") as response:
        samples = _samples(await response.text())
    labels = (("code", "ok"), ("kind", "write"))
    assert samples["greengageshunt_requests_total", labels] == 1
    assert samples["greengageshunt_routing_decisions_total", (("reason", "write"),)] >= 1
    assert samples["greengageshunt_open_connections", (("side", "callers"),)] >= 1
    assert samples["greengageshunt_configuration_version", ()] == 1
    assert samples["process_resident_memory_bytes", ()] > 0

    async with asyncio.timeout(10):
        while True:
            try:
                url = f"http://{vm.failover_metrics_address}/metrics"
                async with fleet.session.get(url) as response:
                    assert "greengageshunt_loop_lag_seconds" in await response.text()
                    return
            except aiohttp.ClientConnectionError:
                await asyncio.sleep(0.05)
