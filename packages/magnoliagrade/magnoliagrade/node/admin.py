"""The admin listener: health, readiness and metrics."""

from aiohttp import web

from magnoliagrade.http import problem_details_middleware
from magnoliagrade.observability import serve_metrics_text

__all__ = ["make_admin_app"]


def make_admin_app(*, reasons_not_ready, routes=()):
    """Return the admin application of a node.

    Parameters
    ----------
    reasons_not_ready : callable
        Returns a list of strings; empty if the node is ready.
    routes : sequence of aiohttp.web.RouteDef
        Further routes of the application.

    Returns
    -------
    app : aiohttp.web.Application
        With `/healthz`, `/readyz`, `/metrics` and the further routes.
    """

    async def healthz(_request):
        return web.json_response({"healthy": True})

    async def readyz(_request):
        reasons = reasons_not_ready()
        status = 503 if reasons else 200
        return web.json_response(
            {"ready": not reasons, "reasons": reasons}, status=status
        )

    app = web.Application(middlewares=[problem_details_middleware])
    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/metrics", serve_metrics_text)
    app.router.add_routes(routes)
    return app
