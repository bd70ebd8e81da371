"""Documents that operators and endpoints write to the platform's store."""

__all__ = ["configuration_document", "endpoint_document", "route_document"]


def route_document(prefix, service, *, kind="safe", **fields):
    """Return the document of a route for the host `a.example`.

    Parameters
    ----------
    prefix : str
        Path prefix.
    service : str
        Name of the service that receives the route's requests.
    kind : str
        `safe`, `unsafe` or `streaming`; unsafe requests get a single attempt.
    **fields
        Fields of the document that replace the defaults.
    """
    document = {
        "Name": f"route {prefix}",
        "Host": "a.example",
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1 if kind == "unsafe" else 2,
        "Public": False,
    }
    if kind == "streaming":
        document |= {"Sticky": True, "Resumable": True, "GapAimMs": 120}
    return document | fields


def configuration_document(version, routes, *, keys=("key-1",), cold_per_s=0.0):
    """Return a complete configuration with one organisation, `org-1`.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : list of dict
        Routes, as `route_document` returns them.
    keys : sequence of str
        API keys of the organisation.
    cold_per_s : float
        Requests per second that a cold endpoint of any service sustains; 0 for no
        limit.
    """
    services = sorted({route["Service"] for route in routes})
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": name,
                "MaxConns": 100,
                "ColdPerS": cold_per_s,
                "ColdStartS": 3.0 if cold_per_s else 0.0,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "org-1", "ApiKeys": list(keys), "Priority": 1}],
    }


def endpoint_document(
    service, address, *, zone="dc-1", state="ready", slots=6, cold_ms=0
):
    """Return the document with which an endpoint registers itself in the store."""
    return {
        "Service": service,
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": slots,
        "State": state,
        "ColdRemainingMs": cold_ms,
        "Sequence": 1,
    }
