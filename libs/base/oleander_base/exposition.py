"""Metrics as text, in the format that Prometheus reads."""

import collections.abc
import itertools
import typing

from oleander_base import metrics

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_PREFIX = "oleanderdeal_"


def render_metrics() -> bytes:
    """
    Return all counters, gauges and histograms of this process.

    The library is loaded when somebody first asks: it takes 2.7 MB of memory that a process
    whose metrics nobody reads does not need.
    """
    import prometheus_client.exposition
    import prometheus_client.registry

    registry = prometheus_client.registry.CollectorRegistry(auto_describe=False)
    registry.register(_Collector())
    return prometheus_client.exposition.generate_latest(registry)


class _Collector:
    """Hands our figures to the library."""

    def collect(self) -> collections.abc.Iterator[typing.Any]:
        """Yield each metric with its figures now."""
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
