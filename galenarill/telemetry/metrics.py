"""Metrics by OpenTelemetry, read by Prometheus over HTTP."""

from collections.abc import Callable, Iterable, Mapping

from aiohttp import web
from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import Histogram, MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import REGISTRY, generate_latest

__all__ = ["Metrics", "MetricsPage", "meter"]

METER_NAME = "galenarill"


# Edges of latency histograms, in seconds: from a sync to a caller's patience.
LATENCY_EDGES = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


def meter() -> Meter:
    """Return the meter for counters and histograms of this process.

    Instruments may be made before `MetricsPage` is.
    """
    return metrics.get_meter(METER_NAME)


class MetricsPage:
    """Collects every instrument of this process, as text on request."""

    def __init__(self):
        """Begin to collect."""
        metrics.set_meter_provider(
            MeterProvider(
                metric_readers=[PrometheusMetricReader()],
                views=[
                    View(
                        instrument_type=Histogram,
                        aggregation=ExplicitBucketHistogramAggregation(
                            LATENCY_EDGES
                        ),
                    )
                ],
            )
        )

    def render(self) -> bytes:
        """Return all values in the Prometheus text format."""
        return generate_latest(REGISTRY)


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
