"""HTTP interface of the platform's stand-ins; docs/PLATFORM.md gives the protocol."""

import dataclasses

from aiohttp import web
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.store import StoreUnavailable

from magnoliagrade_standins.platform.store import StoreFaults

__all__ = ["make_platform_app"]

_STATUS_BY_KIND = {
    ErrorKind.CONFLICT: 409,
    ErrorKind.STORE_LIMITED: 429,
    ErrorKind.STORE_UNAVAILABLE: 503,
    ErrorKind.TOO_LARGE: 413,
}
_PURPOSE = "http"


def make_platform_app(*, store, listing):
    """Return an application that serves a store, a list and the control paths.

    Parameters
    ----------
    store : MemoryStore
        Store to serve.
    listing : ListedInstances
        List of instances to serve.
    """
    app = web.Application(client_max_size=8 * 1024 * 1024)
    app.router.add_routes(
        [
            *_store_routes(store),
            *_lease_routes(store),
            *_list_routes(listing),
            *_control_routes(store, listing),
        ]
    )
    app.middlewares.append(_respond_to_errors)
    return app


@web.middleware
async def _respond_to_errors(request, handler):
    try:
        return await handler(request)
    except StoreUnavailable as exc:
        # The store is down or the response is lost: close the connection without one.
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503, text=exc.detail)
    except MagnoliagradeError as exc:
        return web.Response(status=_STATUS_BY_KIND.get(exc.kind, 400), text=exc.detail)


def _store_routes(store):
    async def read(request):
        key = request.match_info["key"]
        if "after_revision" in request.query:
            value = await store.watch(
                key,
                after_revision=int(request.query["after_revision"]),
                wait_s=float(request.query["wait_s"]),
                purpose=_PURPOSE,
            )
        else:
            value = await store.get(key, purpose=_PURPOSE)
        if value is None:
            return web.Response(status=404)
        headers = {"Store-Revision": str(value.revision)}
        return web.Response(body=value.value, headers=headers)

    async def read_prefix(request):
        values = await store.list(request.query["prefix"], purpose=_PURPOSE)
        rows = [
            f"{v.key} {v.revision} {len(v.value)}\n".encode() + v.value for v in values
        ]
        return web.Response(body=b"".join(rows))

    async def write(request):
        revision = await store.put(
            request.match_info["key"],
            await request.read(),
            expected_revision=_expected_revision(request),
            lease=request.query.get("lease", ""),
            purpose=_PURPOSE,
        )
        return web.Response(headers={"Store-Revision": str(revision)})

    async def delete(request):
        await store.delete(
            request.match_info["key"],
            expected_revision=_expected_revision(request),
            purpose=_PURPOSE,
        )
        return web.Response()

    return [
        web.get("/v1/keys", read_prefix),
        web.get("/v1/keys/{key:.+}", read, allow_head=False),
        web.put("/v1/keys/{key:.+}", write),
        web.delete("/v1/keys/{key:.+}", delete),
    ]


def _expected_revision(request):
    text = request.query.get("expected_revision")
    return None if text is None else int(text)


def _lease_routes(store):
    async def grant(request):
        ttl_s = float(request.query["ttl_s"])
        return web.Response(text=await store.grant_lease(ttl_s, purpose=_PURPOSE))

    async def renew(request):
        await store.renew_lease(request.match_info["lease"], purpose=_PURPOSE)
        return web.Response()

    async def revoke(request):
        await store.revoke_lease(request.match_info["lease"], purpose=_PURPOSE)
        return web.Response()

    return [
        web.post("/v1/leases", grant),
        web.put("/v1/leases/{lease}", renew),
        web.delete("/v1/leases/{lease}", revoke),
    ]


def _list_routes(listing):
    async def read_rows(_request):
        return web.json_response(listing.rows())

    return [web.get("/v1/instances", read_rows)]


def _control_routes(store, listing):
    async def set_faults(request):
        store.set_faults(StoreFaults(**await request.json()))
        return web.json_response(dataclasses.asdict(store.faults))

    async def set_row(request):
        listing.set_row(request.match_info["name"], await request.json())
        return web.Response()

    async def set_lag(request):
        listing.lag_s = float((await request.json())["lag_s"])
        return web.Response()

    async def read_calls(_request):
        return web.json_response(store.calls_by_purpose)

    return [
        web.post("/control/faults", set_faults),
        web.post("/control/instances/{name}", set_row),
        web.post("/control/lag", set_lag),
        web.get("/control/calls", read_calls),
    ]
