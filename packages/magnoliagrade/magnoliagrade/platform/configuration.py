"""Decoding of the operators' configuration."""

from magnoliagrade.platform.fields import (
    FormatError,
    flag,
    load,
    number,
    optional,
    rows,
    text,
)
from magnoliagrade.world.site import (
    BackEndService,
    EngineProfile,
    RouteKind,
    ServiceRoute,
    ServiceShare,
    SiteConfiguration,
    SiteLimits,
    SiteOrganisation,
)

__all__ = ["decode_configuration"]

_KIND_BY_NAME = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
MS = 1e-3


def decode_configuration(data):
    """Return the configuration that bytes hold.

    Parameters
    ----------
    data : bytes
        Value of the operators' key.

    Returns
    -------
    configuration : SiteConfiguration
        The whole configuration.

    Raises
    ------
    FormatError
        If a field that is needed is missing or of another type.
    """
    document = load(data)
    services = [_service(row) for row in rows(document, "Services")]
    tenants = rows(document, "Tenants", None) if "Tenants" in document else None
    return SiteConfiguration(
        version=number(document, "Version"),
        routes=[_route(row) for row in rows(document, "Routes")],
        service_by_name={service.name: service for service in services},
        organisation_by_key=None if tenants is None else _organisations(tenants),
        limits=_limits(optional(document, "Limits") or {}),
    )


def _route(row):
    kind = text(row, "Kind")
    if kind not in _KIND_BY_NAME:
        raise FormatError(f"route kind {kind!r} is not known")
    if "Split" in row:
        shares = [
            ServiceShare(service=text(part, "Service"), weight=number(part, "Weight"))
            for part in rows(row, "Split")
        ]
    else:
        shares = [ServiceShare(service=text(row, "Service"), weight=1.0)]
    return ServiceRoute(
        name=text(row, "Name"),
        host=text(row, "Host").lower(),
        prefix=text(row, "Prefix"),
        kind=_KIND_BY_NAME[kind],
        shares=shares,
        timeout_s=number(row, "TimeoutMs") * MS,
        objective_s=number(row, "TargetLatencyMs", 0) * MS,
        gap_objective_s=number(row, "GapAimMs", 0) * MS,
        priority=int(number(row, "Priority", 5)),
        max_endpoints=max(1, int(number(row, "MaxAttempts", 1))),
        is_public=flag(row, "Public"),
        is_resumable=flag(row, "Resumable"),
    )


def _service(row):
    engine = optional(row, "Engine")
    return BackEndService(
        name=text(row, "Name"),
        max_connections=int(number(row, "MaxConns", 0)),
        cold_per_s=number(row, "ColdPerS", 0),
        engine=None if engine is None else _engine(engine),
    )


def _engine(row):
    usual = optional(row, "usual") or {}
    return EngineProfile(
        slots=int(number(row, "Slots")),
        step_s=number(row, "step_ms") * MS,
        sequence_s=number(row, "per_seq_ms") * MS,
        context_1000_s=number(row, "context_per_k") * MS,
        read_tokens_per_s=number(row, "read_per_s"),
        steps_per_pass=int(number(row, "Stride", 1)),
        usual_prompt=number(usual, "prompt", 0),
        usual_answer=number(usual, "answer", 0),
        sets=int(number(row, "Sets", 0)),
        experts=int(number(row, "Experts", 0)),
        places=int(number(row, "Places", 0)),
        spare=int(number(row, "Spare", 0)),
        expert_share=number(row, "ExpertShare", 0),
        expert_mb=number(row, "ExpertMb", 0),
    )


def _organisations(tenants):
    organisation_by_key = {}
    for row in tenants:
        priority = row.get("Priority")
        organisation = SiteOrganisation(
            name=text(row, "Name"),
            priority=None if priority is None else int(number(row, "Priority")),
        )
        for key in row.get("ApiKeys") or ():
            organisation_by_key[key] = organisation
    return organisation_by_key


def _limits(row):
    usual = SiteLimits()
    return SiteLimits(
        header_bytes=int(number(row, "MaxHeaderBytes", usual.header_bytes)),
        body_bytes=int(number(row, "MaxBodyBytes", usual.body_bytes)),
        header_timeout_s=number(row, "HeaderTimeoutMs", usual.header_timeout_s / MS)
        * MS,
        idle_timeout_s=number(row, "IdleTimeoutMs", usual.idle_timeout_s / MS) * MS,
    )
