"""HTTP interface that controls the fault proxy."""

from aiohttp import web

from magnoliagrade_standins.proxy.proxy import Flow, Rule

__all__ = ["make_proxy_app"]


def make_proxy_app(proxy):
    """Return an application that opens targets and sets addresses and rules.

    Parameters
    ----------
    proxy : FaultProxy
        Proxy to control.
    """

    async def open_target(request):
        target = (await request.json())["target"]
        return web.json_response({"address": await proxy.open(target)})

    async def set_address(request):
        fields = await request.json()
        proxy.set_address(fields["target"], fields["address"])
        return web.Response()

    async def set_rules(request):
        rows = await request.json()
        proxy.set_rules(
            Rule(**{**row, "flow": Flow(row.get("flow", "pass"))}) for row in rows
        )
        return web.Response()

    app = web.Application()
    app.router.add_post("/control/open", open_target)
    app.router.add_post("/control/point", set_address)
    app.router.add_post("/control/rules", set_rules)
    return app
