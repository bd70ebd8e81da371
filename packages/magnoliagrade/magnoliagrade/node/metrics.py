"""Metrics of this process and its links."""

import time

from prometheus_client import Gauge

__all__ = ["expose_process_metrics"]

_GAUGE_BY_ATTRIBUTE = {
    name: Gauge(f"magnoliagrade_link_{name}", f"Control {description} since the start")
    for name, description in (
        ("messages_in", "messages received"),
        ("messages_out", "messages sent"),
        ("bytes_in", "bytes received"),
        ("bytes_out", "bytes sent"),
    )
}
# The client library's own processor-time counter has a resolution of 10 ms.
PROCESS_CPU = Gauge(
    "magnoliagrade_process_cpu_seconds", "Processor time, user and system"
)
LINKS = Gauge("magnoliagrade_links", "Open links to other instances")


def expose_process_metrics(node):
    """Export a node's link counters and processor time on `/metrics`.

    Parameters
    ----------
    node : Node
        The only node of this process.
    """
    for name, gauge in _GAUGE_BY_ATTRIBUTE.items():
        gauge.set_function(lambda name=name: getattr(node.counters, name))
    PROCESS_CPU.set_function(time.process_time)
    LINKS.set_function(lambda: len(node.links.by_instance))
