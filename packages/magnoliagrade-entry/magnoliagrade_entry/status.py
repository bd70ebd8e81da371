"""Status of an entry on its admin listener."""

from aiohttp import web

__all__ = ["entry_status", "status_routes"]


def status_routes(node):
    """Return the admin route for an entry's status.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    """

    async def status(_request):
        return web.json_response(entry_status(node))

    return [web.get("/status", status)]


def entry_status(node):
    """Return an entry's status as values that JSON can represent.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Returns
    -------
    status : dict
        Identity, configuration revision, links, endpoints and peers.
    """
    return {
        "instance": node.identity.instance,
        "incarnation": f"{node.identity.incarnation:016x}",
        "data_centre": node.identity.data_centre,
        "configuration_revision": node.configuration.revision,
        "is_leaving": node.is_leaving,
        "not_ready": node.reasons_not_ready(),
        "requests_in_flight": node.requests_in_flight,
        "links": sorted(node.links.by_instance),
        "endpoints": [
            _endpoint_row(h) for _, h in sorted(node.endpoints.by_name.items())
        ],
        "peers": [_peer_row(p) for _, p in sorted(node.peers.by_name.items())],
    }


def _endpoint_row(handle):
    return {
        "name": handle.endpoint.name,
        "state": handle.endpoint.state.value,
        "limit": handle.limit,
        "held": handle.held,
        "asked": handle.requested_cost,
        "token_s": handle.health.token_s,
        "is_ejected": handle.health.is_ejected(),
        "in_flight": handle.in_flight_cost,
        "boot_id": handle.endpoint.report.boot_id,
        "labels": handle.endpoint.labels,
    }


def _peer_row(peer):
    return {
        "name": peer.name,
        "data_centre": peer.data_centre,
        "has_summary": peer.summary is not None,
    }
