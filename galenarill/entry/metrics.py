"""Metrics by OpenTelemetry, read by Prometheus over HTTP."""

from collections.abc import Callable, Iterable, Mapping

from aiohttp import web
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

__all__ = ["Metrics"]

METER_NAME = "galenarill"


class Metrics:
    """Observable instruments, collected only when they are read."""

    def __init__(self, gauges: Mapping[str, Callable[[], float]]):
        """Make one instrument for each name.

        Args:
            gauges: Function that returns the present value, by name.
        """
        self._reader = PrometheusMetricReader()
        self._provider = MeterProvider(metric_readers=[self._reader])
        meter = self._provider.get_meter(METER_NAME)
        for name, read in gauges.items():
            meter.create_observable_gauge(
                f"galenarill_{name}", callbacks=[_observer(read)]
            )

    def add_routes(self, app: web.Application) -> None:
        """Add the endpoint for Prometheus to `app`."""
        app.router.add_get("/metrics", self._scrape)

    async def _scrape(self, request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(REGISTRY), content_type="text/plain"
        )


def _observer(read: Callable[[], float]):
    def observe(options: CallbackOptions) -> Iterable[Observation]:
        return [Observation(read())]

    return observe
