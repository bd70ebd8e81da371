"""Metrics in the text format of Prometheus."""

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

__all__ = ["serve_metrics_text"]


async def serve_metrics_text(_request):
    """Respond to a scrape with all metrics of the process."""
    return web.Response(
        body=generate_latest(REGISTRY), headers={"Content-Type": CONTENT_TYPE_LATEST}
    )
