"""Benchmark of the load balancer: added latency and throughput of its processes."""

from magnoliagrade_standins.bench.command import bench_command
from magnoliagrade_standins.bench.latency import AddedLatency, measure_latency
from magnoliagrade_standins.bench.throughput import Throughput, measure_throughput

__all__ = [
    "AddedLatency",
    "Throughput",
    "bench_command",
    "measure_latency",
    "measure_throughput",
]
