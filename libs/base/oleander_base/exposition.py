"""Metrics in the text exposition format of Prometheus."""

import collections.abc
import itertools
import typing

from oleander_base import metrics

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_PREFIX = "oleanderdeal_"


def render_metrics() -> bytes:
    """
    Return all counters, gauges and histograms of this process.

    prometheus_client is imported on the first call, as it takes 2.7 MB of memory that a process
    without a scraper does not need.
    """
    import prometheus_client.exposition
    import prometheus_client.registry

    registry = prometheus_client.registry.CollectorRegistry(auto_describe=False)
    registry.register(_Collector())
    return prometheus_client.exposition.generate_latest(registry)


class _Collector:
    """Converts the process's metrics to the metric families of prometheus_client."""

    def collect(self) -> collections.abc.Iterator[typing.Any]:
        """Yield every metric with its current value."""
        from prometheus_client import metrics_core

        meanings = {item.name: item.meaning for item in metrics.list_metrics()}
        for name, count in sorted(metrics.read_counts().items()):
            counter = metrics_core.CounterMetricFamily(
                _format_name(name), meanings.get(name, name)
            )
            counter.add_metric([], count)
            yield counter
        for name, value in sorted(metrics.read_gauges().items()):
            gauge = metrics_core.GaugeMetricFamily(_format_name(name), meanings.get(name, name))
            gauge.add_metric([], value)
            yield gauge
        for name, histogram in sorted(metrics.read_histograms().items()):
            family = metrics_core.HistogramMetricFamily(
                _format_name(name), meanings.get(name, name)
            )
            bounds = [*map(str, metrics.BUCKETS_MS), "+Inf"]
            cumulative_counts = itertools.accumulate(histogram.counts)
            family.add_metric(
                [], list(zip(bounds, cumulative_counts, strict=True)), histogram.total_ms
            )
            yield family


def _format_name(name: str) -> str:
    return _PREFIX + "".join(letter if letter.isalnum() else "_" for letter in name)
