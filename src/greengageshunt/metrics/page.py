"""The Prometheus text page of a daemon, served on a separate address."""

import asyncio
import logging

import prometheus_client
from aiohttp import web
from prometheus_client import exposition

from greengageshunt import application, config
from greengageshunt.metrics import collector

logger = logging.getLogger(__name__)

LAG_INTERVAL = 0.1  # seconds between samples of the event loop's lag


def is_address_or_empty(value: str) -> str | None:
    """Check that a value is empty or ``host:port``."""
    return config.is_address(value) if value else None


class MetricsPage:
    """Serves ``GET /metrics`` and samples the lag of the event loop."""

    def __init__(self, *, app: application.Application) -> None:
        self._app = app
        self._collector = collector.DaemonCollector(app=app)
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self._collector)
        prometheus_client.ProcessCollector(registry=self._registry)

    @property
    def collector(self) -> collector.DaemonCollector:
        """Collector of the daemon's metrics."""
        return self._collector

    async def run(self) -> None:
        """Serve the page until cancelled; without an address, only wait."""
        address = self._app.settings["metrics.address"]
        if not address:
            await asyncio.Event().wait()
        web_app = web.Application()
        web_app.router.add_get("/metrics", self._respond)
        runner = web.AppRunner(web_app, access_log=None, handle_signals=False)
        await runner.setup()
        host, _, port = address.rpartition(":")
        try:
            await web.TCPSite(runner, host, int(port)).start()
            await self._sample_lag()
        finally:
            await runner.cleanup()

    def render(self) -> bytes:
        """Return the page as Prometheus text."""
        return exposition.generate_latest(self._registry)

    async def _respond(self, request: web.Request) -> web.Response:
        headers = {"Content-Type": exposition.CONTENT_TYPE_PLAIN_0_0_4}
        return web.Response(body=self.render(), headers=headers)

    async def _sample_lag(self) -> None:
        while True:
            due = self._app.clock() + LAG_INTERVAL
            await asyncio.sleep(LAG_INTERVAL)
            self._collector.record_loop_lag(self._app.clock() - due)


def setup(app: application.Application) -> None:
    """Register the metrics page."""
    app.add_setting(
        config.Setting(
            key="metrics.address",
            kind=str,
            default="",
            doc="Address of the metrics page; empty for none.",
            check=is_address_or_empty,
        )
    )
    app.add_part("metrics", "prometheus", lambda app: MetricsPage(app=app))
    app.add_part("service", "metrics-page", lambda app: app.part("metrics", "prometheus"))
